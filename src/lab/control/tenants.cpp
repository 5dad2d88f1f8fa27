#include "lab/control/tenants.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <nlohmann/json.hpp>
#include <numbers>
#include <utility>

namespace myrtleroute::lab::control {
namespace {

constexpr uint64_t traffic_stream = 0x54454e41, limits_stream = 0x4c494d49, keys_stream = 0x4b455953;
constexpr double keyless_share = 0.35;      // of the spans of versions, for each tenant
constexpr uint64_t versions_keyless = 14;   // a key stays away for so many
constexpr std::array<double, tenant_count> usual_rates{80000, 150000, 250000};   // limits, tokens a second
constexpr double limit_to_demand = 1.3;
constexpr double least_burst = 1, most_burst = 1.6;   // seconds of the rate
constexpr double most_change = 4;                     // factor of a limit, up or down
constexpr uint64_t versions_alike = 12;               // limits change once in so many versions
constexpr double mean_cost = 7000, least_cost = 50, most_cost = 50000;
constexpr double cost_spread = 1;   // standard deviation of the logarithm

double draw_cost(RandomStream& chance) {
    const double normal =
        std::sqrt(-2 * std::log(1 - chance.uniform())) * std::cos(2 * std::numbers::pi * chance.uniform());
    const double logarithm = std::log(mean_cost) - cost_spread * cost_spread / 2 + cost_spread * normal;
    return std::clamp(std::exp(logarithm), least_cost, most_cost);
}

std::vector<double> draw_preference(RandomStream& chance, size_t proxies) {
    std::vector<double> cumulative;
    double sum = 0;
    for (size_t i = 0; i < proxies; ++i) {
        sum += chance.exponential(1);
        cumulative.push_back(sum);
    }
    for (auto& share : cumulative) share /= sum;
    return cumulative;
}

Span draw_client_latency(RandomStream& chance) {
    constexpr double slow_share = 0.02;
    return Span{0.002 + chance.exponential(0.01) + (chance.bernoulli(slow_share) ? 0.2 : 0)};
}

Span draw_host_latency(RandomStream& chance) {
    constexpr double queued_share = 0.1;   // waits at the proxy for a host that is free
    return Span{0.002 + chance.exponential(0.005) + (chance.bernoulli(queued_share) ? chance.between(0.05, 0.5) : 0)};
}

}   // namespace

std::string tenant_name(size_t number) { return "tenant-" + std::to_string(number); }

std::string tenants_text(uint64_t seed, uint64_t version, TenantChanges changes) {
    auto tenants = nlohmann::json::array();
    for (size_t i = 0; i < tenant_count; ++i) {
        RandomStream usual(seed, limits_stream + i);
        const double burst = usual.between(least_burst, most_burst);
        RandomStream chance(seed, limits_stream + tenant_count + i + (version / versions_alike) * tenant_count);
        const double change = changes.limits ? std::pow(most_change, chance.between(-1, 1)) : 1;
        const double rate = std::round(usual_rates[i] * change);
        auto keys = nlohmann::json::array();
        RandomStream revoked(seed, keys_stream + i + (version / versions_keyless) * tenant_count);
        if (!changes.keys || !revoked.bernoulli(keyless_share)) keys.push_back("key-" + std::to_string(i));
        tenants.push_back({{"name", tenant_name(i)},
                           {"apiKeys", std::move(keys)},
                           {"unit", "token_rate"},
                           {"ratePerS", rate},
                           {"burst", std::round(rate * burst)}});
    }
    return tenants.dump();
}

std::shared_ptr<const Tenants> TenantDocuments::read(const std::string& body) {
    auto& known = known_[body];
    if (known) return known;
    auto tenants = std::make_shared<Tenants>();
    const auto checked = configuration::read_configuration(body);
    if (const auto* configuration = std::get_if<configuration::Configuration>(&checked))
        for (const auto& tenant : configuration->tenants) tenants->emplace(tenant.name, tenant);
    known = std::move(tenants);
    return known;
}

TenantTraffic::TenantTraffic(Queue& queue, uint64_t seed, std::vector<Surge> surges, size_t proxies, Send send)
    : queue_(queue), began_(queue.now()), surges_(std::move(surges)), send_(std::move(send)) {
    for (size_t i = 0; i < tenant_count; ++i) {
        RandomStream chance(seed, traffic_stream + i);
        auto preference = draw_preference(chance, proxies);
        clients_.push_back({chance, std::move(preference)});
    }
}

void TenantTraffic::begin() {
    for (size_t i = 0; i < tenant_count; ++i) wait(i);
}

double TenantTraffic::requests_per_second(size_t tenant) const {
    const double now = (queue_.now() - began_).s;
    double factor = 1;
    for (const auto& surge : surges_)
        if (surge.tenant == tenant && now >= surge.at && now < surge.at + surge.span)
            factor = std::max(factor, surge.factor);
    return factor * usual_rates[tenant] / limit_to_demand / mean_cost;
}

void TenantTraffic::wait(size_t tenant) {
    const double pause = clients_[tenant].chance.exponential(1 / requests_per_second(tenant));
    queue_.in({pause}, [this, tenant] {
        send(tenant);
        wait(tenant);
    });
}

void TenantTraffic::send(size_t tenant) {
    auto& [chance, preference] = clients_[tenant];
    TenantRequest request;
    request.tenant = tenant_name(tenant);
    request.sent = queue_.now();
    request.cost = draw_cost(chance);
    request.to_proxy = draw_client_latency(chance);
    request.to_host = draw_host_latency(chance);
    const auto chosen = std::upper_bound(preference.begin(), std::prev(preference.end()), chance.uniform());
    send_(static_cast<size_t>(chosen - preference.begin()), request);
}

}   // namespace myrtleroute::lab::control
