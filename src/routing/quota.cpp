#include "routing/quota.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace myrtleroute::routing {
namespace {

constexpr Span told_within{1.3};   // older figures of the fleet count for nothing
constexpr Span averaged{1};
constexpr Span forgotten{60};   // a tenant that asks for nothing is dropped after this
constexpr double negligible = 1e-3;
constexpr double surge = 2;                           // times its part, what a proxy may grant before the fleet knows
constexpr double shared_part = 0.3, own_part = 0.4;   // of what is free beyond the rate, for either bucket
constexpr double most_debt = 2;                       // seconds of the rate

}   // namespace

void Quotas::Average::add(double amount, Time now) {
    const double passed = std::clamp((now - counted).s, 0.0, 1e3);
    rate = rate * std::exp(-passed / averaged.s) + amount / averaged.s;
    counted = now;
}

bool Quotas::in_touch(Time now) const { return now - told_ < told_within; }

QuotaRates Quotas::total(const std::string& name, const Tenant& tenant) const {
    const auto known = total_.find(name);
    const QuotaRates told = known == total_.end() ? QuotaRates{} : known->second;
    return {std::max(told.asked, tenant.told.asked), std::max(told.granted, tenant.told.granted)};
}

Quotas::Sizes Quotas::sizes(const Tenant& tenant, const QuotaRates& total, double rate, double burst, Time now) const {
    const double even = 1 / proxies_;
    const double free = burst + options_.over * (rate * options_.window.s + burst) + options_.slack;
    if (!in_touch(now)) return {0, free * own_part * even, rate * even};
    const double share = total.asked > 0 ? tenant.told.asked / total.asked : even;
    const double part = std::max(share, total.asked < rate ? even : 0);
    return {free * shared_part, free * own_part * (even + share) / 2, surge * rate * part};
}

void Quotas::refill(Tenant& tenant, const QuotaRates& total, const Sizes& sizes, double rate, Time now) {
    const bool first = tenant.refilled <= long_ago;
    const double passed = first ? 0 : (now - tenant.refilled).s;
    tenant.refilled = now;
    if (first) {
        // A process that has just started finds the bucket as the others have left it: emptier, the further they ask for
        // more than the rate already.
        const double left = std::clamp(2 - total.asked / rate, 0.0, 1.0);
        tenant.shared = sizes.shared_depth * left;
        tenant.own = sizes.own_depth * left;
        return;
    }
    // What the others grant is known as it was; what is granted here is known as it is.
    const double others = std::max(0.0, total.granted - tenant.told.granted);
    const double change = (rate - others - tenant.granted.rate) * passed;
    tenant.shared = std::clamp(tenant.shared + change, -rate * most_debt, sizes.shared_depth);
    tenant.own = std::min(tenant.own + sizes.own_fill * passed, sizes.own_depth);
}

Quotas::Grant Quotas::take(const std::string& name, double rate, double burst, double cost, Time now) {
    auto& tenant = tenants_[name];
    tenant.asked.add(cost, now);
    if (rate <= 0) return {};
    tenant.granted.add(0, now);
    const auto all = total(name, tenant);
    const auto bounds = sizes(tenant, all, rate, burst, now);
    refill(tenant, all, bounds, rate, now);
    const bool shared_has = !in_touch(now) || tenant.shared > 0;
    // While the fleet is far from the quota, a debt of the own bucket may grow: requests differ much in size.
    const bool calm = in_touch(now) && tenant.shared > bounds.shared_depth / 2;
    const double least_own = calm ? -bounds.own_depth : 0;
    if (!shared_has || tenant.own <= least_own) {
        const double wait = shared_has ? (least_own - tenant.own) / std::max(bounds.own_fill, 1.0)
                                       : -tenant.shared / std::max(rate, 1.0);
        return {false, Span{wait}, shared_has ? RefusalCause::own_part_used : RefusalCause::fleet_over_limit};
    }
    tenant.own -= cost;   // may leave a debt: a request larger than the depth has its turn as well
    tenant.granted.add(cost, now);
    return {};
}

std::map<std::string, QuotaRates> Quotas::own(Time now) {
    std::map<std::string, QuotaRates> rates;
    for (auto it = tenants_.begin(); it != tenants_.end();) {
        auto& tenant = it->second;
        tenant.asked.add(0, now);
        tenant.granted.add(0, now);
        tenant.told = {tenant.asked.rate, tenant.granted.rate};
        const bool idle = tenant.asked.rate < negligible;
        if (!idle) rates[it->first] = tenant.told;
        it = idle && now - tenant.refilled > forgotten ? tenants_.erase(it) : std::next(it);
    }
    return rates;
}

void Quotas::fleet(std::map<std::string, QuotaRates> total, size_t proxies, Time now) {
    total_ = std::move(total);
    proxies_ = static_cast<double>(std::max<size_t>(1, proxies));
    told_ = now;
}

}   // namespace myrtleroute::routing
