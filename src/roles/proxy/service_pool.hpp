// Load balancing for one service: feeds a Balancer with hosts, requests and results, and carries out its actions.
#pragma once
#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "logic.hpp"
#include "registry/host_table.hpp"
#include "roles/proxy/context.hpp"
#include "roles/proxy/request.hpp"
#include "routing/retry_budget.hpp"

namespace myrtleroute::proxy {

// Identifies a pool: the serving hosts of a service, or the candidates of a rollout to a version.
struct PoolKey {
    std::string service;
    std::string version;   // empty: the serving hosts
    auto operator<=>(const PoolKey&) const = default;
};

class ServicePool : public Actions {
public:
    struct Events {
        std::function<void(CallId, ServerId, Span)> send;
        std::function<void(CallId, int)> cancel;
        std::function<void(CallId, Span)> refuse;   // not executed: the client may retry after that time
        std::function<void(CallId)> fail;           // the request may have been executed
        std::function<void(ServerId)> probe;
        std::function<void(ServerId)> close_idle;
    };
    static constexpr size_t max_numbers = 1 << 20;   // possible pool numbers
    // `number`: identifies the pool, also in the cookies of its timers. `budget`: the retry budget shared by all
    // pools of the service.
    ServicePool(Context& context, PoolKey key, size_t number, uint64_t seed,
                std::shared_ptr<routing::RetryBudget> budget, Events events);

    const PoolKey& key() const { return key_; }
    const std::string& name() const { return key_.service; }
    bool is_candidate() const { return !key_.version.empty(); }
    void promote() { key_.version.clear(); }   // its hosts are the serving ones from now on
    const std::shared_ptr<routing::RetryBudget>& budget() const { return budget_; }
    size_t number() const { return number_; }
    bool has_served() const { return has_served_; }   // whether it has had a request
    Balancer& balancer() { return *balancer_; }
    void start_request(const Request& request);
    void update_host(const registry::Host& host, ServerId id);
    void exclude_host(const registry::Host& host, ServerId id);   // until an update reports it as ready
    void on_timer(uint64_t cookie);
    static size_t pool_of(uint64_t cookie);   // number of the pool that a timer's cookie belongs to
    size_t ready_hosts() const { return ready_hosts_; }

    std::string health_check;   // path of the probe
    bool is_engine = false;

    void send(CallId call, ServerId server, Span timeout) override { events_.send(call, server, timeout); }
    void cancel(CallId call, int attempt) override { events_.cancel(call, attempt); }
    void rate_limit(CallId call, Span retry_after) override { events_.refuse(call, retry_after); }
    void error(CallId call) override { events_.fail(call); }
    void probe(ServerId server) override { events_.probe(server); }
    void close_idle(ServerId server) override { events_.close_idle(server); }
    void watch_list() override {}
    void set_timer(Span after, uint64_t cookie) override;
    void log(std::string_view line, ServerId about) override;
    bool may_repeat(CallId call) override;

private:
    Context& context_;
    PoolKey key_;
    size_t number_;
    bool has_served_ = false;
    Events events_;
    std::shared_ptr<routing::RetryBudget> budget_;
    std::unique_ptr<Balancer> balancer_;
    Invariant& decided_by_route_;
    std::map<ServerId, bool> ready_;   // hosts that are neither lost nor gone, and whether they are ready
    size_t ready_hosts_ = 0;
    // How often a host has come back after an exclusion. The balancer treats each return as a new start of the
    // host.
    std::map<ServerId, int> returns_;
    std::set<ServerId> excluded_;
};

}   // namespace myrtleroute::proxy
