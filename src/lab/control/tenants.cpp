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
constexpr double keyless_share = 0.35;           // of the ranges of versions, for each tenant
constexpr uint64_t versions_per_key_draw = 14;   // the draw whether a tenant has a key holds for this many versions
constexpr std::array<double, tenant_count> usual_rates{80000, 150000, 250000};   // limits, in tokens per second
constexpr double limit_to_demand = 1.3;
constexpr double min_burst = 1, max_burst = 1.6;   // in seconds of the rate
constexpr double max_change_factor = 4;            // factor of a limit, up or down
constexpr uint64_t versions_per_limit = 12;        // limits change once in this many versions
constexpr double mean_cost = 7000, min_cost = 50, max_cost = 50000;
constexpr double cost_spread = 1;   // standard deviation of the logarithm

double draw_cost(RandomStream& random) {
    const double normal =
        std::sqrt(-2 * std::log(1 - random.uniform())) * std::cos(2 * std::numbers::pi * random.uniform());
    const double logarithm = std::log(mean_cost) - cost_spread * cost_spread / 2 + cost_spread * normal;
    return std::clamp(std::exp(logarithm), min_cost, max_cost);
}

std::vector<double> draw_preference(RandomStream& random, size_t proxies) {
    std::vector<double> cumulative;
    double sum = 0;
    for (size_t i = 0; i < proxies; ++i) {
        sum += random.exponential(1);
        cumulative.push_back(sum);
    }
    for (auto& share : cumulative) share /= sum;
    return cumulative;
}

Span draw_client_latency(RandomStream& random) {
    constexpr double slow_share = 0.02;
    return Span{0.002 + random.exponential(0.01) + (random.bernoulli(slow_share) ? 0.2 : 0)};
}

Span draw_host_latency(RandomStream& random) {
    constexpr double queued_share = 0.1;   // share of requests that wait at the proxy for a free host
    return Span{0.002 + random.exponential(0.005) + (random.bernoulli(queued_share) ? random.between(0.05, 0.5) : 0)};
}

}   // namespace

std::string tenant_name(size_t number) { return "tenant-" + std::to_string(number); }

std::string tenants_text(uint64_t seed, uint64_t version, TenantChanges changes) {
    auto tenants = nlohmann::json::array();
    for (size_t i = 0; i < tenant_count; ++i) {
        RandomStream usual(seed, limits_stream + i);
        const double burst = usual.between(min_burst, max_burst);
        RandomStream random(seed, limits_stream + tenant_count + i + (version / versions_per_limit) * tenant_count);
        const double change = changes.limits ? std::pow(max_change_factor, random.between(-1, 1)) : 1;
        const double rate = std::round(usual_rates[i] * change);
        auto keys = nlohmann::json::array();
        RandomStream revoked(seed, keys_stream + i + (version / versions_per_key_draw) * tenant_count);
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
    auto& parsed = parsed_[body];
    if (parsed) return parsed;
    auto tenants = std::make_shared<Tenants>();
    const auto checked = configuration::read_configuration(body);
    if (const auto* configuration = std::get_if<configuration::Configuration>(&checked))
        for (const auto& tenant : configuration->tenants) tenants->emplace(tenant.name, tenant);
    parsed = std::move(tenants);
    return parsed;
}

TenantTraffic::TenantTraffic(Queue& queue, uint64_t seed, std::vector<Surge> surges, size_t proxies, Send send)
    : queue_(queue), started_at_(queue.now()), surges_(std::move(surges)), send_(std::move(send)) {
    for (size_t i = 0; i < tenant_count; ++i) {
        RandomStream random(seed, traffic_stream + i);
        auto preference = draw_preference(random, proxies);
        clients_.push_back({random, std::move(preference)});
    }
}

void TenantTraffic::start() {
    for (size_t i = 0; i < tenant_count; ++i) schedule_next(i);
}

double TenantTraffic::requests_per_second(size_t tenant) const {
    const double now = (queue_.now() - started_at_).s;
    double factor = 1;
    for (const auto& surge : surges_)
        if (surge.tenant == tenant && now >= surge.at && now < surge.at + surge.duration)
            factor = std::max(factor, surge.factor);
    return factor * usual_rates[tenant] / limit_to_demand / mean_cost;
}

void TenantTraffic::schedule_next(size_t tenant) {
    const double delay = clients_[tenant].random.exponential(1 / requests_per_second(tenant));
    queue_.in({delay}, [this, tenant] {
        send(tenant);
        schedule_next(tenant);
    });
}

void TenantTraffic::send(size_t tenant) {
    auto& [random, preference] = clients_[tenant];
    TenantRequest request;
    request.tenant = tenant_name(tenant);
    request.sent = queue_.now();
    request.cost = draw_cost(random);
    request.to_proxy = draw_client_latency(random);
    request.to_host = draw_host_latency(random);
    const auto chosen = std::upper_bound(preference.begin(), std::prev(preference.end()), random.uniform());
    send_(static_cast<size_t>(chosen - preference.begin()), request);
}

}   // namespace myrtleroute::lab::control
