// Clients of the control plane: operators that race and resend updates, hosts that register, drain and leave, and
// proxies that subscribe.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/control/checker.hpp"
#include "lab/control/tenants.hpp"
#include "leases/configuration_lease.hpp"
#include "leases/holder.hpp"
#include "registry/host_table.hpp"
#include "rollout/watcher.hpp"
#include "roles/proxy/subscriber.hpp"

namespace myrtleroute::lab::control {

// What a caller needs of the simulation: which machines answer HTTP, and how to send them a request.
struct CallerEnvironment {
    std::function<std::vector<Machine*>()> machines;   // those that callers choose from
    std::function<void(Machine&, myrtleroute::control::HttpRequest, Reply)> send_request;
    std::function<Machine*(const std::string& location)> machine_for_location;   // of a 307 response
    std::function<std::string(uint64_t version)> tenants_json;                   // for a new document of that version
    std::optional<Span> revocation_bound;    // how long a key may be served after its removal; none: forever
    std::function<bool()> drops_responses;   // whether responses to operators are being dropped now
};

// The version that a configuration document names; 0 if it names none.
uint64_t version_of(const std::string& body);
// Whether a 400 response is only about the version, that is, the document is otherwise valid.
bool is_about_version(const std::string& answer);

class Operator {
public:
    Operator(Queue& queue, RandomStream random, const CallerEnvironment& environment, Checker& checker,
             std::vector<Operation>& history);
    void start() { schedule_next(); }
    void stop() { stopped_ = true; }
    bool is_idle() const { return !busy_; }
    uint64_t last_read_version() const { return last_read_version_; }   // 0 = nothing read yet
    void read_now();

private:
    void schedule_next();
    void draw_update();
    std::string draw_patch();
    void call(Machine* machine, int redirects);
    void completed(size_t operation, const std::optional<myrtleroute::control::HttpResponse>& answer, int redirects);
    void retry();
    void finish();
    Machine* choose_machine();

    Queue& queue_;
    RandomStream random_;
    const CallerEnvironment& environment_;
    Checker& checker_;
    std::vector<Operation>& history_;
    bool stopped_ = false, busy_ = false;
    Operation operation_;
    std::string body_;
    bool body_is_valid_ = true;
    int attempts_ = 0;
    uint64_t base_version_ = 0, call_number_ = 0, last_read_version_ = 0;
};

// One machine that runs a host, one incarnation after the other.
class SimulatedHost {
public:
    SimulatedHost(Queue& queue, RandomStream random, const CallerEnvironment& environment, Checker& checker,
                  size_t number);
    void start();

private:
    enum class Phase { ready, draining, drain_acknowledged, leaving };
    void start_incarnation();
    void send_heartbeats(uint64_t incarnation);
    void send_update(uint64_t incarnation, int attempts_left);
    void acknowledged(uint64_t incarnation);
    std::string body() const;

    Queue& queue_;
    RandomStream random_;
    const CallerEnvironment& environment_;
    Checker& checker_;
    size_t number_;
    uint64_t incarnation_ = 0, sequence_ = 0;
    Phase phase_ = Phase::ready;
    std::string id_;
    Machine* machine_ = nullptr;
};

// The control side of a proxy: subscription, leases and rollouts.
class SubscribedProxy {
public:
    // `revocation_bound`: how long a key may be served after its removal; none: forever.
    SubscribedProxy(Queue& queue, Network& network, Checker& checker, ProcessId process,
                    std::optional<Span> revocation_bound,
                    std::function<std::optional<ProcessId>(const Endpoint&)> find_process);
    void start(const std::vector<messages::ControlNode>& seeds, uint64_t seed);
    void terminate();
    void opened(ConnectionId connection);
    void received(ConnectionId connection, const messages::Message& message);
    void closed(ConnectionId connection);
    void freeze(Time until);
    void thaw_now();
    // A client's request arrives; `granted` is called when it is forwarded to a host.
    void request(const TenantRequest& request, std::function<void()> granted);

    bool is_frozen() const { return queue_.now() < frozen_until_; }
    Time resumed_at() const { return resumed_at_; }   // the last start or thaw
    bool is_running() const { return subscriber_ != nullptr; }
    ProcessId process() const { return process_; }
    uint64_t version() const { return version_; }
    const registry::HostTable& hosts() const { return hosts_; }
    bool has_hosts() const { return has_hosts_; }

private:
    void tick(uint64_t incarnation);
    void execute_outputs();
    void handle(const messages::Message& message);
    void apply_configuration(const messages::ConfigurationUpdate& update);
    void request_leases();
    void request_configuration_lease();
    void handle_lease_decisions();
    void serve_and_report();                           // sends some requests during a rollout and reports their results
    void run_or_defer(std::function<void()> action);   // runs the action now, or after the thaw
    void thaw(uint64_t incarnation);

    Queue& queue_;
    Network& network_;
    Checker& checker_;
    ProcessId process_;
    std::function<std::optional<ProcessId>(const Endpoint&)> find_process_;
    std::unique_ptr<proxy::Subscriber> subscriber_;
    registry::HostTable hosts_{{}};
    ConnectionId connection_ = 0;
    uint64_t incarnation_ = 0, version_ = 0;
    uint64_t confirmed_at_subscription_ = 0;   // newest confirmed version when the subscription was opened
    bool has_hosts_ = false, awaits_first_configuration_ = false;
    // Wired as in src/roles/proxy/proxy.cpp.
    std::unique_ptr<leases::Holder> leases_;
    std::optional<Span> revocation_bound_;
    leases::ConfigurationLease configuration_lease_{std::nullopt};
    std::map<uint64_t, std::function<void()>>
        waiting_requests_;   // continuations of requests that wait for a grant, by ticket
    uint64_t next_ticket_ = 1;
    std::shared_ptr<const Tenants> tenants_;   // of the configuration last received; null before the first
    rollout::Watcher rollouts_{{}, 0};
    RandomStream host_random_{0, 0};   // decides the results of requests at hosts
    Time frozen_until_ = long_ago, resumed_at_ = long_ago;
    std::deque<std::function<void()>> deferred_;
};

}   // namespace myrtleroute::lab::control
