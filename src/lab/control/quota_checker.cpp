#include "lab/control/quota_checker.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace myrtleroute::lab::control {
namespace {

constexpr Span max_config_delay{2};   // configMs of the operators' rule: until a new configuration applies

}   // namespace

double SlidingSum::add(Time sent, double cost, Time now) {
    const auto later = [](Time at, const Use& use) {
        return at < use.sent;
    };
    uses_.insert(std::upper_bound(uses_.begin(), uses_.end(), sent, later), {sent, cost});
    sum_ += cost;
    while (!uses_.empty() && now - uses_.front().sent > window_) {
        sum_ -= uses_.front().cost;
        uses_.pop_front();
    }
    return sum_;
}

void LimitsInForce::committed(uint64_t version, std::shared_ptr<const Tenants> tenants) {
    versions_[version].tenants = std::move(tenants);
}

void LimitsInForce::acknowledged(uint64_t version, Time now) {
    auto& entry = versions_[version];
    if (!entry.acknowledged) entry.acknowledged = now;
}

void LimitsInForce::proxies_in_contact(const std::set<size_t>& proxies, size_t proxy_count, Time now) {
    for (auto& [number, version] : versions_) {
        if (version.in_force_at || !version.acknowledged || now - *version.acknowledged < config_delay_) continue;
        version.contacted.insert(proxies.begin(), proxies.end());
        if (version.contacted.size() == proxy_count) version.in_force_at = now + window_;
    }
}

void LimitsInForce::drop_ended(Time now) {
    for (auto it = versions_.rbegin(); it != versions_.rend(); ++it)
        if (it->second.in_force_at && *it->second.in_force_at <= now) {
            const auto newest = it->first;
            versions_.erase(versions_.begin(), versions_.find(newest));
            return;
        }
}

double LimitsInForce::max_allowed(const std::string& tenant, Time now) {
    drop_ended(now);
    double highest = 0;
    for (const auto& [number, version] : versions_) {
        if (!version.tenants) continue;
        const auto limit = version.tenants->find(tenant);
        if (limit != version.tenants->end()) highest = std::max(highest, allowed_in_window(limit->second));
    }
    return highest;
}

double allowed_in_window(const configuration::Tenant& tenant) {
    const double quota = tenant.rate_per_second * limit_rule.window.s + tenant.burst;
    return quota * (1 + limit_rule.excess_ratio) + limit_rule.slack;
}

QuotaChecker::QuotaChecker() : limits_(limit_rule.window, max_config_delay) {}

std::optional<std::string> QuotaChecker::check_arrival(const TenantRequest& request, Time now) {
    auto& use = uses_.try_emplace(request.tenant, limit_rule.window).first->second;
    const double used = use.add(request.sent, request.cost, now);
    const double allowed = limits_.max_allowed(request.tenant, now);
    if (allowed > 0) max_usage_ = std::max(max_usage_, used / allowed);
    if (used <= allowed) return {};
    return request.tenant + " has used " + std::to_string(std::llround(used)) + " tokens within a window, " +
           std::to_string(std::llround(allowed)) + " are allowed";
}

}   // namespace myrtleroute::lab::control
