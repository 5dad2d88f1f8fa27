// The pools of all services, by key and by number. A pool is removed once its service has been unused for a while.
// Numbers are assigned in rotation, so that late events for a removed pool don't reach another one.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "roles/proxy/service_pool.hpp"

namespace myrtleroute::proxy {

class ServicePools {
public:
    static constexpr size_t max_pools = 256;
    static constexpr size_t none = static_cast<size_t>(-1);   // not a valid number

    // `events`: callbacks of every pool.
    ServicePools(Context& context, ServicePool::Events events);

    // The pool with that key, created if missing. Null if the maximum number of pools exists: no other pool may
    // serve in its place.
    ServicePool* get_or_create(const PoolKey& key);
    // Null if there is none.
    ServicePool* find(const PoolKey& key);
    // Makes the candidates of a rollout the serving hosts. The pool that they replace loses its key, and is removed
    // once unused.
    void promote(const PoolKey& candidates);
    // Null if it has been removed.
    ServicePool* find(size_t number);
    // Removes pools that have been unused for a minute, or for two seconds if they never had a request.
    void retire_unused(const std::set<size_t>& used, Time now);
    void set_place(int place, int proxies);
    size_t size() const { return pools_.size(); }

private:
    struct Entry {
        std::unique_ptr<ServicePool> pool;
        Time used;
    };

    std::shared_ptr<routing::RetryBudget> budget_of(const std::string& service);

    Context& context_;
    ServicePool::Events events_;
    std::map<size_t, Entry> pools_;   // by pool number
    std::map<PoolKey, size_t> numbers_;
    size_t next_number_ = 0;
    metrics::Counter refused_;
    Time last_logged_ = long_ago;
    int place_ = 0, proxies_ = 1;
};

}   // namespace myrtleroute::proxy
