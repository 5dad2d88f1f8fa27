#include "roles/proxy/service_pools.hpp"

#include <utility>

#include "roles/log.hpp"

namespace myrtleroute::proxy {
namespace {

// `unused_timeout` is for pools that have had requests. It is longer than any window of the retry budget, which the
// pool holds.
constexpr Span unused_timeout{60}, unserved_timeout{2};
constexpr Span log_interval{1};

}   // namespace

ServicePools::ServicePools(Context& context, ServicePool::Events events)
    : context_(context),
      events_(std::move(events)),
      refused_(context.metrics.counter("myrtleroute_service_pools_refused_total",
                                       "Uses of a service for which there was no room among the pools.")) {}

ServicePool* ServicePools::get_or_create(const PoolKey& key) {
    if (auto* known = find(key)) return known;
    const auto now = context_.now();
    if (pools_.size() >= max_pools) {
        refused_.add();
        if (now - last_logged_ > log_interval) {
            last_logged_ = now;
            log_error() << "service \"" << key.service << "\" is not served: the limit of " << max_pools
                        << " service pools is reached";
        }
        return nullptr;
    }
    while (pools_.count(next_number_ %= ServicePool::max_numbers)) ++next_number_;
    const size_t number = next_number_++;
    const auto seed = static_cast<uint64_t>(context_.rng.next()) << 32 | context_.rng.next();
    auto pool = std::make_unique<ServicePool>(context_, key, number, seed, budget_of(key.service), events_);
    numbers_[key] = number;
    pool->balancer().position_changed(place_, proxies_);
    return pools_.emplace(number, Entry{std::move(pool), now}).first->second.pool.get();
}

// All pools of a service share one retry budget.
std::shared_ptr<routing::RetryBudget> ServicePools::budget_of(const std::string& service) {
    for (const auto& [number, entry] : pools_)
        if (entry.pool->name() == service) return entry.pool->budget();
    const auto& settings = context_.settings;
    const routing::RetryBudgetOptions options{settings.retry_budget_ratio, settings.retry_budget_window,
                                              settings.retry_budget_slack};
    return std::make_shared<routing::RetryBudget>(options, context_.started);
}

ServicePool* ServicePools::find(const PoolKey& key) {
    const auto known = numbers_.find(key);
    return known == numbers_.end() ? nullptr : pools_.at(known->second).pool.get();
}

void ServicePools::promote(const PoolKey& candidates) {
    const auto known = numbers_.extract(candidates);
    if (known.empty()) return;
    numbers_[{candidates.service, {}}] = known.mapped();
    pools_.at(known.mapped()).pool->promote();
}

ServicePool* ServicePools::find(size_t number) {
    const auto known = pools_.find(number);
    return known == pools_.end() ? nullptr : known->second.pool.get();
}

void ServicePools::retire_unused(const std::set<size_t>& used, Time now) {
    for (auto& [number, entry] : pools_)
        if (used.count(number)) entry.used = now;
    std::erase_if(pools_, [&](const auto& known) {
        const auto& entry = known.second;
        if (now - entry.used < (entry.pool->has_served() ? unused_timeout : unserved_timeout)) return false;
        std::erase_if(numbers_, [&](const auto& keyed) { return keyed.second == known.first; });
        return true;
    });
}

void ServicePools::set_place(int place, int proxies) {
    place_ = place;
    proxies_ = proxies;
    for (auto& [number, entry] : pools_) entry.pool->balancer().position_changed(place, proxies);
}

}   // namespace myrtleroute::proxy
