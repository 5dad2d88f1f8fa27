// A simulated run of the control plane: control machines with the real node and the real record ring on virtual
// disks, operators, hosts and proxies, under the faults of a plan. Everything is drawn from the plan's seed.
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

// The result of a run.
struct Outcome {
    std::optional<Violation> violation;
    std::array<size_t, invariant_kinds> violations{};
    size_t requests = 0, executed = 0;   // tenants' requests: sent by clients, and arrived at hosts
    uint64_t digest = 0;                 // of all that was committed, answered and reported
    uint64_t steps = 0;
    size_t confirmed = 0, refused = 0, reads = 0, unresolved = 0, drains = 0;
    double max_quota_usage = 0;                   // of a tenant in a window, as a share of what was allowed
    size_t undecided = 0;                         // histories too long for the linearizability check
    std::array<size_t, fault_kinds> injected{};   // number of faults, by kind
    std::array<std::array<size_t, fault_kinds>, fault_kinds> overlapping_pairs{};   // faults that overlapped
    double agreement_time = 0;   // seconds from the end of the last fault
};

class World {
public:
    World(const Plan& plan, std::function<void(const std::string&)> trace);
    ~World();
    Outcome run();

private:
    struct ActiveFault {
        FaultKind kind;
        Time until;
    };
    Machine& add_machine(bool is_seed);
    std::optional<ProcessId> process_at(const Endpoint& peer) const;
    void start_proxies();
    void inject(const Fault& fault, bool immediately);
    bool may_inject(const Fault& fault, const Machine& machine) const;
    Machine* target_of(const Fault& fault);
    void apply(const Fault& fault, Machine& machine);
    void send(size_t preferred, const TenantRequest& request);
    void watch_contact();
    bool is_in_contact(const SubscribedProxy& proxy);
    void restart_after(SubscribedProxy& proxy, Span downtime);
    void kill_herd(const Fault& fault);
    std::vector<SubscribedProxy*> half_of_proxies(const Fault& fault);
    void cut_site(const Fault& fault, const Machine& machine);
    void cut(const Fault& fault, ProcessId process, bool control_only, bool inward, bool outward);
    void take_all_down(Machine::Termination how, Span downtime);
    void take_down(Machine& machine, Machine::Termination how, Span downtime);
    void replace(Machine& machine, bool planned);
    void lose_disk(Machine& machine, Span downtime, bool rots);
    bool is_lost(const Machine& machine) const;
    size_t lost_count() const;
    void mark_all_caught_up();   // reports to the checker the machines that no longer count as lost
    void request_answered(Machine& machine, const myrtleroute::control::HttpRequest& request,
                          const myrtleroute::control::HttpResponse& answer);
    void update_answered(Machine& machine, const myrtleroute::control::HttpRequest& request,
                         const myrtleroute::control::HttpResponse& answer);
    void acknowledged(Machine& machine);   // injects the faults that wait for an acknowledgement
    void check_drains();
    void watch_drains();
    void await_closing();
    void inject_closing(Machine* acknowledger);
    std::vector<Machine*> closing_order(Machine* acknowledger);
    void end_faults();
    bool agrees() const;
    std::string disagreement() const;
    void record(const std::string& what);
    void record_fault(FaultKind kind, Time until);
    std::vector<const Machine*> present_machines_const() const;
    std::vector<messages::ControlNode> seed_nodes();   // for a process that starts now
    std::vector<Machine*> present_machines();

    Plan plan_;
    std::function<void(const std::string&)> trace_;
    Queue queue_;
    RandomStream random_;
    Outcome outcome_;
    std::unique_ptr<Network> network_;
    Checker checker_;
    CallerEnvironment caller_environment_;
    std::vector<std::unique_ptr<Machine>> machines_;
    std::vector<std::unique_ptr<SubscribedProxy>> proxies_;
    std::vector<std::unique_ptr<Operator>> operators_;
    std::unique_ptr<RolloutOperator> rollout_operator_;
    std::vector<std::unique_ptr<SimulatedHost>> simulated_hosts_;
    std::unique_ptr<TenantTraffic> traffic_;
    std::vector<Time> contact_since_;   // with a majority of the control machines, by proxy
    std::vector<Operation> history_;
    std::vector<Fault> waiting_for_acknowledgement_;
    std::vector<ActiveFault> active_;
    std::map<ProcessId, Time> cut_until_;   // control machines that are cut off
    Time answers_lost_until_ = long_ago, disturbed_until_ = long_ago;
    bool closing_pending_ = false;   // waits for the next acknowledgement
    bool faults_ended_ = false;
};

Outcome run_plan(const Plan& plan, std::function<void(const std::string&)> trace = {});

// Removes faults from the plan as long as the same invariant is still violated.
Plan shrink(const Plan& plan);

}   // namespace myrtleroute::lab::control
