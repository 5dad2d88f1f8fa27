#include "roles/proxy/service_pools.hpp"

#include <utility>

#include "roles/log.hpp"

namespace myrtleroute::proxy {
namespace {

// Of a pool that has had requests, longer than any window of the retry budget, which it keeps.
constexpr Span kept_unused{60}, kept_unserved{2};
constexpr Span line_every{1};

}   // namespace

ServicePools::ServicePools(Context& context, ServicePool::Events events)
    : context_(context),
      events_(std::move(events)),
      refused_(context.metrics.counter("myrtleroute_service_pools_refused_total",
                                       "Uses of a service for which there was no room among the pools.")) {}

ServicePool* ServicePools::of(const std::string& service) {
    if (const auto known = numbers_.find(service); known != numbers_.end()) return pools_.at(known->second).pool.get();
    const auto now = context_.now();
    if (pools_.size() >= most) {
        refused_.add();
        if (now - logged_ > line_every) {
            logged_ = now;
            log_error() << "service \"" << service << "\" is not served: there are " << most << " others";
        }
        return nullptr;
    }
    while (pools_.count(next_number_ %= ServicePool::numbers)) ++next_number_;
    const size_t number = next_number_++;
    numbers_[service] = number;
    const auto seed = static_cast<uint64_t>(context_.chance.next()) << 32 | context_.chance.next();
    auto pool = std::make_unique<ServicePool>(context_, service, number, seed, events_);
    pool->balancer().placed(place_, proxies_);
    return pools_.emplace(number, Entry{std::move(pool), now}).first->second.pool.get();
}

ServicePool* ServicePools::find(size_t number) {
    const auto known = pools_.find(number);
    return known == pools_.end() ? nullptr : known->second.pool.get();
}

void ServicePools::retire_unused(const std::set<std::string>& used, Time now) {
    for (auto& [number, entry] : pools_)
        if (used.count(entry.pool->name())) entry.used = now;
    std::erase_if(pools_, [&](const auto& known) {
        const auto& entry = known.second;
        if (now - entry.used < (entry.pool->has_served() ? kept_unused : kept_unserved)) return false;
        numbers_.erase(entry.pool->name());
        return true;
    });
}

void ServicePools::placed(int place, int proxies) {
    place_ = place;
    proxies_ = proxies;
    for (auto& [number, entry] : pools_) entry.pool->balancer().placed(place, proxies);
}

}   // namespace myrtleroute::proxy
