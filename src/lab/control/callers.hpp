// Who calls the control plane from outside: operators that race and resend, hosts that register, drain and leave, and
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

// What a caller knows of the world: which machines answer HTTP, and how to ask one.
struct Platform {
    std::function<std::vector<Machine*>()> machines;   // in the list that callers choose from
    std::function<void(Machine&, myrtleroute::control::HttpRequest, Reply)> ask;
    std::function<Machine*(const std::string& location)> machine_at;   // of a 307
    std::function<std::string(uint64_t version)> tenants;              // of a new document
    std::optional<Span> revocation_bound;   // for how long a key may be served after its removal; nothing: for ever
    std::function<bool()> loses_answers;    // to operators, just now
};

// The version that a configuration's text names; 0 where it is none.
uint64_t version_of(const std::string& body);
// Whether a 400 is about the version alone: the document is sound otherwise.
bool is_about_version(const std::string& answer);

class Operator {
public:
    Operator(Queue& queue, RandomStream chance, const Platform& platform, Checker& checker,
             std::vector<Operation>& history);
    void begin() { think(); }
    void stop() { stopped_ = true; }
    bool is_idle() const { return !busy_; }
    uint64_t read() const { return last_read_; }   // version of the last reading; 0 = none yet
    void read_now();

private:
    void think();
    void draw_order();
    std::string draw_patch();
    void call(Machine* machine, int redirects);
    void ended(size_t operation, const std::optional<myrtleroute::control::HttpResponse>& answer, int redirects);
    void try_again();
    void done();
    Machine* choose();

    Queue& queue_;
    RandomStream chance_;
    const Platform& platform_;
    Checker& checker_;
    std::vector<Operation>& history_;
    bool stopped_ = false, busy_ = false;
    Operation order_;
    std::string body_;
    bool valid_ = true;
    int tries_ = 0;
    uint64_t base_ = 0, call_ = 0, last_read_ = 0;
};

// One machine on which a host runs: one incarnation after the other.
class Announcer {
public:
    Announcer(Queue& queue, RandomStream chance, const Platform& platform, Checker& checker, size_t number);
    void begin();

private:
    enum class Phase { ready, draining, serving_on, leaving };
    void incarnate();
    void beat(uint64_t life);
    void tell(uint64_t life, int left);
    void acknowledged(uint64_t life);
    std::string body() const;

    Queue& queue_;
    RandomStream chance_;
    const Platform& platform_;
    Checker& checker_;
    size_t number_;
    uint64_t life_ = 0, sequence_ = 0;
    Phase phase_ = Phase::ready;
    std::string id_;
    Machine* at_ = nullptr;
};

// The control side of a proxy.
class SubscribedProxy {
public:
    // `revocation_bound`: for how long a key may be served after its removal; nothing: for ever.
    SubscribedProxy(Queue& queue, Network& network, Checker& checker, ProcessId process,
                    std::optional<Span> revocation_bound,
                    std::function<std::optional<ProcessId>(const Endpoint&)> find);
    void start(const std::vector<messages::ControlNode>& seeds, uint64_t seed);
    void end();
    void opened(ConnectionId connection);
    void came(ConnectionId connection, const messages::Message& message);
    void closed(ConnectionId connection);
    void freeze(Time until);
    void thaw_now();
    // A client's request arrives; `granted` is called where it goes on to a host.
    void request(const TenantRequest& request, std::function<void()> granted);

    bool stands_still() const { return queue_.now() < frozen_until_; }
    Time back_at() const { return back_at_; }   // when it last was started or thawed
    bool runs() const { return subscriber_ != nullptr; }
    ProcessId process() const { return process_; }
    uint64_t version() const { return version_; }
    const registry::HostTable& hosts() const { return hosts_; }
    bool knows_hosts() const { return knows_hosts_; }

private:
    void tick(uint64_t life);
    void carry_out();
    void take(const messages::Message& message);
    void configured(const messages::ConfigurationUpdate& told);
    void ask_for_leases();
    void ask_for_configuration_lease();
    void lease_decisions();
    void serve_and_tell();                         // some requests, of which rollouts are judged
    void do_or_wait(std::function<void()> what);   // now, or when it no longer stands still
    void thaw(uint64_t life);

    Queue& queue_;
    Network& network_;
    Checker& checker_;
    ProcessId process_;
    std::function<std::optional<ProcessId>(const Endpoint&)> find_;
    std::unique_ptr<proxy::Subscriber> subscriber_;
    registry::HostTable hosts_{{}};
    ConnectionId connection_ = 0;
    uint64_t life_ = 0, version_ = 0;
    uint64_t confirmed_when_asked_ = 0;   // newest version when the subscription was opened
    bool knows_hosts_ = false, first_told_ = false;
    // As src/roles/proxy/proxy.cpp wires them.
    std::unique_ptr<leases::Holder> leases_;
    std::optional<Span> revocation_bound_;
    leases::ConfigurationLease configuration_lease_{std::nullopt};
    std::map<uint64_t, std::function<void()>> waiting_;   // what is to be done once granted, by ticket
    uint64_t next_ticket_ = 1;
    std::shared_ptr<const Tenants> tenants_;   // of the configuration that it was told; null before
    rollout::Watcher rollouts_{{}, 0};
    RandomStream hosts_chance_{0, 0};   // what becomes of requests at hosts
    Time frozen_until_ = long_ago, back_at_ = long_ago;
    std::deque<std::function<void()>> held_back_;
};

}   // namespace myrtleroute::lab::control
