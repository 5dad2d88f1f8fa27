#include "lab/control/quota_checker.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace myrtleroute::lab::control {
namespace {

constexpr Span config_within{2};   // configMs of the operators' rule

}   // namespace

double SlidingUse::arrived(Time sent, double cost, Time now) {
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

void LimitsInForce::applied(uint64_t version, std::shared_ptr<const Tenants> tenants) {
    versions_[version].tenants = std::move(tenants);
}

void LimitsInForce::acknowledged(uint64_t version, Time now) {
    auto& known = versions_[version];
    if (!known.acknowledged) known.acknowledged = now;
}

void LimitsInForce::in_touch(const std::set<size_t>& proxies, size_t of, Time now) {
    for (auto& [number, version] : versions_) {
        if (version.holds || !version.acknowledged || now - *version.acknowledged < config_) continue;
        version.in_touch.insert(proxies.begin(), proxies.end());
        if (version.in_touch.size() == of) version.holds = now + window_;
    }
}

void LimitsInForce::drop_ended(Time now) {
    for (auto it = versions_.rbegin(); it != versions_.rend(); ++it)
        if (it->second.holds && *it->second.holds <= now) {
            const auto newest = it->first;
            versions_.erase(versions_.begin(), versions_.find(newest));
            return;
        }
}

double LimitsInForce::highest(const std::string& tenant, Time now) {
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

QuotaChecker::QuotaChecker() : limits_(limit_rule.window, config_within) {}

std::optional<std::string> QuotaChecker::arrived(const TenantRequest& request, Time now) {
    auto& use = uses_.try_emplace(request.tenant, limit_rule.window).first->second;
    const double used = use.arrived(request.sent, request.cost, now);
    const double allowed = limits_.highest(request.tenant, now);
    if (allowed > 0) fullest_ = std::max(fullest_, used / allowed);
    if (used <= allowed) return {};
    return request.tenant + " has used " + std::to_string(std::llround(used)) + " tokens within a window, " +
           std::to_string(std::llround(allowed)) + " are allowed";
}

}   // namespace myrtleroute::lab::control
