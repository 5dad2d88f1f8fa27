// A day of the control plane in a virtual world: control machines with the real node and the real ring on virtual disks,
// operators, hosts and proxies, under the faults of a plan. Everything is drawn from the plan's seed.
#pragma once
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/control/callers.hpp"
#include "lab/control/plan.hpp"
#include "lab/control/rollout_caller.hpp"

namespace myrtleroute::lab::control {

constexpr size_t fault_kinds = static_cast<size_t>(FaultKind::kinds);

// What a day came to.
struct Outcome {
    std::optional<Break> broken;
    std::array<size_t, invariant_kinds> violations{};
    size_t requests = 0, ran = 0;   // of tenants' clients; that arrived at hosts
    uint64_t digest = 0;            // of all that was committed, answered and told
    uint64_t steps = 0;
    size_t confirmed = 0, refused = 0, readings = 0, unclear = 0, drains = 0;
    double fullest_window = 0;                                          // of a tenant, as a share of what it might use
    size_t undecided = 0;                                               // histories too long for the plain model
    std::array<size_t, fault_kinds> met{};                              // faults that struck
    std::array<std::array<size_t, fault_kinds>, fault_kinds> pairs{};   // that overlapped
    double agreed_after = 0;   // seconds from the end of the last fault to agreement
};

class World {
public:
    World(const Plan& plan, std::function<void(const std::string&)> trace);
    ~World();
    Outcome play();

private:
    struct Active {
        FaultKind kind;
        Time until;
    };
    Machine& add_machine(bool is_seed);
    std::optional<ProcessId> process_at(const Endpoint& peer) const;
    void begin_proxies();
    void strike(const Fault& fault, bool on_acknowledger);
    bool may_strike(const Fault& fault, const Machine& machine) const;
    Machine* target_of(const Fault& fault);
    void apply(const Fault& fault, Machine& machine);
    void send(size_t preferred, const TenantRequest& request);
    void watch_contact();
    bool in_touch(const SubscribedProxy& proxy);
    void restart_after(SubscribedProxy& proxy, Span down);
    void kill_herd(const Fault& fault);
    std::vector<SubscribedProxy*> half_of_proxies(const Fault& fault);
    void cut_site(const Fault& fault, const Machine& machine);
    void cut(const Fault& fault, ProcessId process, bool control_only, bool inward, bool outward);
    void end_all(Machine::End how, Span down);
    void down_for(Machine& machine, Machine::End how, Span span);
    void replace(Machine& machine, bool planned);
    void lose_disk(Machine& machine, Span span, bool rots);
    bool is_lost(const Machine& machine) const;
    size_t lost() const;
    void note_caught_up();   // tells the checker which machines no longer count as lost
    void answered(Machine& by, const myrtleroute::control::HttpRequest& request,
                  const myrtleroute::control::HttpResponse& answer);
    void order_answered(Machine& by, const myrtleroute::control::HttpRequest& request,
                        const myrtleroute::control::HttpResponse& answer);
    void acknowledged(Machine& by);   // faults that wait for this strike
    void check_drains();
    void watch_drains();
    void await_closing();
    void strike_closing(Machine* acknowledger);
    std::vector<Machine*> closing_order(Machine* acknowledger);
    void end_of_day();
    bool agrees() const;
    std::string disagreement() const;
    void note(const std::string& what);
    void note_fault(FaultKind kind, Time until);
    std::vector<const Machine*> disks() const;
    std::vector<messages::ControlNode> seeds();   // as a process is told them that starts now
    std::vector<Machine*> listed();

    Plan plan_;
    std::function<void(const std::string&)> trace_;
    Queue queue_;
    RandomStream chance_;
    Outcome outcome_;
    std::unique_ptr<Network> network_;
    Checker checker_;
    Platform platform_;
    std::vector<std::unique_ptr<Machine>> machines_;
    std::vector<std::unique_ptr<SubscribedProxy>> proxies_;
    std::vector<std::unique_ptr<Operator>> operators_;
    std::unique_ptr<RolloutOperator> rollout_operator_;
    std::vector<std::unique_ptr<Announcer>> announcers_;
    std::unique_ptr<TenantTraffic> traffic_;
    std::vector<Time> contact_since_;   // of each proxy, with a majority
    std::vector<Operation> history_;
    std::vector<Fault> waiting_for_acknowledgement_;
    std::vector<Active> active_;
    std::map<ProcessId, Time> cut_until_;   // control machines that are cut off
    Time answers_lost_until_ = long_ago, disturbed_until_ = long_ago;
    bool closing_waits_ = false;   // for the next acknowledgement
    bool over_ = false;
};

Outcome play(const Plan& plan, std::function<void(const std::string&)> trace = {});

// The least of the plan's faults with which the same invariant still breaks.
Plan shrink(const Plan& plan);

}   // namespace myrtleroute::lab::control
