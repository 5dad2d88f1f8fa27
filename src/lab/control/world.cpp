#include "lab/control/world.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace myrtleroute::lab::control {
namespace {

constexpr Time start_time{100};
constexpr uint64_t world_stream = 0x574f524c, network_stream = 0x4e455457, caller_stream = 0x43414c4c;
constexpr size_t proxy_count = 6, operator_count = 2, host_count = 3;
constexpr ProcessId first_proxy = 100;
constexpr uint16_t internal_port = 7500, control_port = 8367;
constexpr Span catch_up_duration{4};   // a machine that is back counts as lost for this long
constexpr Span contact_duration{3};    // a disturbance longer ago than this no longer excuses a violation
constexpr Span drain_bound{2};         // from an acknowledgement to the last request
constexpr Span stop_timeout{8};        // from SIGTERM to SIGKILL when a machine is removed
constexpr Span fault_retry_interval{0.5}, drain_check_interval{0.5}, contact_check_interval{0.25};
constexpr Span settle_timeout{12},
    final_read_timeout{4};   // after the last fault: until all agree, then until the last responses
constexpr double slow_disk_factor = 30;
constexpr Span revocation_bound{5};
constexpr Span closing_timeout{2};        // without an acknowledgement the closing fault occurs after this time
constexpr Span max_closing_duration{6};   // from the end of the plan until all are back

}   // namespace

World::World(const Plan& plan, std::function<void(const std::string&)> trace)
    : plan_(plan),
      trace_(std::move(trace)),
      queue_(start_time),
      random_(plan.seed, world_stream),
      checker_(queue_, plan.tolerated_losses, plan.revokes_keys ? std::optional(revocation_bound) : std::nullopt) {
    Network::Events events;
    events.opened = [this](ProcessId process, ConnectionId connection) {
        if (process >= first_proxy) return proxies_[process - first_proxy]->opened(connection);
        machines_[process]->opened(connection);
    };
    events.received = [this](ProcessId process, ConnectionId connection, const messages::Message& message) {
        if (process >= first_proxy) return proxies_[process - first_proxy]->received(connection, message);
        machines_[process]->received(connection, message);
    };
    events.closed = [this](ProcessId process, ConnectionId connection) {
        if (process >= first_proxy) return proxies_[process - first_proxy]->closed(connection);
        machines_[process]->closed(connection);
    };
    network_ = std::make_unique<Network>(queue_, RandomStream(plan.seed, network_stream), std::move(events));
    caller_environment_.machines = [this] {
        return present_machines();
    };
    caller_environment_.send_request = [this](Machine& machine, myrtleroute::control::HttpRequest request,
                                              Reply reply) {
        queue_.in(network_->latency(), [this, &machine, request = std::move(request), reply = std::move(reply)] {
            if (machine.is_running()) {
                const auto on_answered = [this, &machine, request](const auto& answer) {
                    request_answered(machine, request, *answer);
                };
                return machine.request(request, on_answered, reply);
            }
            queue_.in(network_->latency(), [reply] { reply({}); });
        });
    };
    caller_environment_.machine_for_location = [this](const std::string& location) -> Machine* {
        for (const auto& machine : machines_)
            if (location.find(machine->settings().control->text() + "/") != std::string::npos) return machine.get();
        return nullptr;
    };
    caller_environment_.tenants_json = [this](uint64_t version) {
        return tenants_text(plan_.seed, version, {plan_.changes_limits, plan_.revokes_keys});
    };
    if (plan_.revokes_keys) caller_environment_.revocation_bound = revocation_bound;
    caller_environment_.drops_responses = [this] {
        return queue_.now() < answers_lost_until_;
    };
}

World::~World() = default;

Machine& World::add_machine(bool is_seed) {
    const auto process = machines_.size();
    configuration::NodeSettings settings;
    settings.address = "10.0.0." + std::to_string(process + 1);
    settings.node_name = "control-" + std::to_string(process);
    settings.zone = process % 2 ? "north" : "south";
    settings.control = Endpoint{settings.address, control_port};
    settings.first_internal_port = internal_port;
    for (size_t i = 0; i < plan_.seeds; ++i)
        settings.seeds.push_back({"10.0.0." + std::to_string(i + 1), control_port});
    if (!is_seed) settings.seeds.clear();
    for (const auto& machine : machines_)   // the machines that serve control now
        if (!is_seed && !machine->removed && settings.seeds.size() < 3)
            settings.seeds.push_back(*machine->settings().control);
    settings.bootstrap = is_seed;
    settings.counts_for_quorum = true;
    settings.tolerated_machines = static_cast<int>(plan_.tolerated_losses);
    settings.data_directory = "virtual";
    settings.quota_slack = limit_rule.slack;
    settings.quota_tolerance = limit_rule.excess_ratio;
    settings.quota_window = limit_rule.window;
    Machine::Environment environment;
    environment.process_at = [this](const Endpoint& peer) {
        return process_at(peer);
    };
    environment.after_step = [this](Machine& machine) {
        checker_.check_node(machine);
    };
    machines_.push_back(std::make_unique<Machine>(queue_, *network_, process, settings, plan_.seed, environment));
    machines_.back()->disk_created_at = queue_.now();
    return *machines_.back();
}

std::optional<ProcessId> World::process_at(const Endpoint& peer) const {
    for (const auto& machine : machines_)
        if (machine->peer() == peer) return machine->process();
    return {};
}

void World::start_proxies() {
    for (size_t i = 0; i < proxy_count; ++i) {
        const auto find_process = [this](const Endpoint& peer) {
            return process_at(peer);
        };
        proxies_.push_back(std::make_unique<SubscribedProxy>(queue_, *network_, checker_, first_proxy + i,
                                                             caller_environment_.revocation_bound, find_process));
        proxies_.back()->start(seed_nodes(), random_.number());
    }
    contact_since_.assign(proxy_count, queue_.now());
    const auto to_proxy = [this](size_t preferred, const TenantRequest& request) {
        send(preferred, request);
    };
    traffic_ = std::make_unique<TenantTraffic>(queue_, plan_.seed, plan_.surges, proxy_count, to_proxy);
}

Outcome World::run() {
    for (size_t i = 0; i < plan_.seeds; ++i) add_machine(true);
    for (size_t i = 0; i < plan_.joiners; ++i) add_machine(false);
    for (const auto& machine : machines_) queue_.in({random_.between(0, 0.3)}, [&machine] { machine->start(); });
    start_proxies();
    for (size_t i = 0; i < operator_count; ++i)
        operators_.push_back(std::make_unique<Operator>(queue_, RandomStream(plan_.seed, caller_stream + i),
                                                        caller_environment_, checker_, history_));
    rollout_operator_ = std::make_unique<RolloutOperator>(queue_, RandomStream(plan_.seed, caller_stream + 15),
                                                          caller_environment_, checker_);
    for (size_t i = 0; i < host_count; ++i)
        simulated_hosts_.push_back(std::make_unique<SimulatedHost>(
            queue_, RandomStream(plan_.seed, caller_stream + 16 + i), caller_environment_, checker_, i));
    queue_.in({1}, [this] {
        for (const auto& caller : operators_) caller->start();
        rollout_operator_->start();
        for (const auto& caller : simulated_hosts_) caller->start();
        watch_drains();
        watch_contact();
        traffic_->start();
    });
    for (const auto& fault : plan_.faults)
        queue_.at(start_time + Span{fault.at}, [this, fault] { inject(fault, false); });
    queue_.at(start_time + Span{plan_.length}, [this] { plan_.closing ? await_closing() : end_faults(); });
    const Time end = start_time + Span{plan_.length} + max_closing_duration + settle_timeout + final_read_timeout;
    while (!checker_.ends_run() && queue_.step(end)) {
    }
    if (!checker_.ends_run()) {
        checker_.resolve_results(history_);
        const auto verdict = check_history(history_);
        if (verdict == Verdict::not_linearizable)
            checker_.report_violation(Invariant::linearizable,
                                      "the history of the operators' calls is not linearizable");
        outcome_.undecided += verdict == Verdict::undecided;
    }
    outcome_.violation = checker_.first_violation();
    record(std::to_string(outcome_.executed) + " of " + std::to_string(outcome_.requests) + " requests of tenants ran");
    if (outcome_.violation)
        record(std::string("broken: ") + name_of(outcome_.violation->invariant) + ": " + outcome_.violation->what);
    outcome_.violations = checker_.violations();
    outcome_.max_quota_usage = checker_.max_quota_usage();
    outcome_.steps = queue_.steps();
    outcome_.drains = checker_.drains().size();
    for (const auto& operation : history_) {
        using Kind = Operation::Outcome;
        outcome_.confirmed += operation.outcome == Kind::accepted;
        outcome_.refused +=
            operation.outcome == Kind::precondition_failed || operation.outcome == Kind::version_too_low;
        outcome_.reads += operation.outcome == Kind::read;
        outcome_.unresolved += operation.outcome == Kind::unresolved && operation.invoked.s < 1e16;
    }
    return outcome_;
}

void World::record(const std::string& what) {
    const auto line = std::to_string((queue_.now() - start_time).s) + " " + what;
    outcome_.digest = XXH3_64bits_withSeed(line.data(), line.size(), outcome_.digest);
    if (trace_) trace_(line);
}

std::vector<const Machine*> World::present_machines_const() const {
    std::vector<const Machine*> machines;
    for (const auto& machine : machines_)
        if (!machine->removed) machines.push_back(machine.get());
    return machines;
}

std::vector<Machine*> World::present_machines() {
    std::vector<Machine*> machines;
    for (const auto& machine : machines_)
        if (!machine->removed) machines.push_back(machine.get());
    return machines;
}

std::vector<messages::ControlNode> World::seed_nodes() {
    std::vector<messages::ControlNode> nodes;
    for (const auto* machine : present_machines())
        if (nodes.size() < plan_.seeds)
            nodes.push_back({machine->peer(), *machine->settings().control, machine->settings().zone});
    return nodes;
}

// Faults.

bool World::is_lost(const Machine& machine) const {
    if (machine.removed) return false;   // its successor counts as lost until it has caught up
    const auto cut = cut_until_.find(machine.process());
    const bool is_cut = cut != cut_until_.end() && queue_.now() < cut->second + catch_up_duration;
    return !machine.is_running() || machine.is_frozen() || is_cut || machine.is_stopping() ||
           queue_.now() - machine.resumed_at < catch_up_duration;
}

size_t World::lost_count() const {
    return static_cast<size_t>(
        std::count_if(machines_.begin(), machines_.end(), [this](const auto& machine) { return is_lost(*machine); }));
}

void World::mark_all_caught_up() {
    for (const auto& machine : machines_)
        if (!is_lost(*machine)) checker_.mark_caught_up(*machine);
}

bool World::may_inject(const Fault& fault, const Machine& machine) const {
    if (fault.kind == FaultKind::kill_all || fault.kind == FaultKind::power_loss_all) return true;
    if (machine.removed) return false;
    if (!plan_.orderly) return true;
    // Until it has caught up it counts for the machine that it replaces, which is lost already.
    if (loses_disk(fault.kind) && machine.is_successor && is_lost(machine)) return false;
    return lost_count() - (is_lost(machine) ? 1 : 0) < plan_.tolerated_losses;
}

Machine* World::target_of(const Fault& fault) {
    const auto machines = present_machines();
    if (fault.target == Target::leader)
        for (auto* machine : machines)
            if (machine->is_running() && machine->node()->replica().role() == consensus::Role::leader) return machine;
    if (fault.target == Target::oldest_disk)
        return *std::min_element(machines.begin(), machines.end(),
                                 [](const auto* a, const auto* b) { return a->disk_created_at < b->disk_created_at; });
    return machines[fault.selector % machines.size()];
}

void World::inject(const Fault& fault, bool immediately) {
    if (faults_ended_) return;
    if (fault.after_acknowledgement && !immediately) return waiting_for_acknowledgement_.push_back(fault);
    const bool of_proxies = affects_proxies(fault.kind) || fault.kind == FaultKind::answers_lost;
    auto* machine = target_of(fault);
    if (!of_proxies && !may_inject(fault, *machine)) {
        queue_.in(fault_retry_interval, [this, fault] { inject(fault, true); });
        return;
    }
    record_fault(fault.kind, queue_.now() + Span{fault.duration});
    record(std::string(name_of(fault.kind)) + " " + machine->settings().node_name);
    apply(fault, *machine);
}

void World::record_fault(FaultKind kind, Time until) {
    const auto number = static_cast<size_t>(kind);
    ++outcome_.injected[number];
    std::erase_if(active_, [this](const auto& other) { return other.until < queue_.now(); });
    for (const auto& other : active_) {
        ++outcome_.overlapping_pairs[number][static_cast<size_t>(other.kind)];
        ++outcome_.overlapping_pairs[static_cast<size_t>(other.kind)][number];
    }
    active_.push_back({kind, until});
    disturbed_until_ = std::max(disturbed_until_, until + contact_duration + catch_up_duration);
}

void World::apply(const Fault& fault, Machine& machine) {
    const Time until = queue_.now() + Span{fault.duration};
    auto& proxy = *proxies_[fault.selector % proxies_.size()];
    switch (fault.kind) {
        case FaultKind::kill: return take_down(machine, Machine::Termination::killed, Span{fault.duration});
        case FaultKind::power_loss: return take_down(machine, Machine::Termination::power_lost, Span{fault.duration});
        case FaultKind::kill_all: return take_all_down(Machine::Termination::killed, Span{fault.duration});
        case FaultKind::power_loss_all: return take_all_down(Machine::Termination::power_lost, Span{fault.duration});
        case FaultKind::freeze: return machine.freeze(until);
        case FaultKind::cut: return cut(fault, machine.process(), false, true, true);
        case FaultKind::cut_control: return cut(fault, machine.process(), true, true, true);
        case FaultKind::cut_site: return cut_site(fault, machine);
        case FaultKind::cut_inward: return cut(fault, machine.process(), false, true, false);
        case FaultKind::cut_outward: return cut(fault, machine.process(), false, false, true);
        case FaultKind::disk_hang: return machine.delay_disk_until(until, 0);
        case FaultKind::disk_slow: return machine.delay_disk_until(until, slow_disk_factor);
        case FaultKind::disk_full:
            machine.disk().fails_writes = true;
            return queue_.at(until, [&machine] { machine.disk().fails_writes = false; });
        case FaultKind::stop:
            return machine.stop([this, &machine, downtime = Span{fault.duration}] {
                queue_.in(downtime, [&machine] { machine.start(); });
            });
        case FaultKind::wipe: return lose_disk(machine, Span{fault.duration}, false);
        case FaultKind::rot: return lose_disk(machine, Span{fault.duration}, true);
        case FaultKind::replace: return replace(machine, false);
        case FaultKind::replace_planned: return replace(machine, true);
        case FaultKind::proxy_restart: proxy.terminate(); return restart_after(proxy, Span{fault.duration});
        case FaultKind::proxy_cut: return cut(fault, proxy.process(), false, true, true);
        case FaultKind::proxy_freeze: return proxy.freeze(until);
        case FaultKind::proxy_cut_inward: return cut(fault, proxy.process(), false, true, false);
        case FaultKind::proxy_cut_outward: return cut(fault, proxy.process(), false, false, true);
        case FaultKind::proxy_herd: return kill_herd(fault);
        case FaultKind::answers_lost: answers_lost_until_ = until; return;
        case FaultKind::closing:
        case FaultKind::kinds: return;
    }
}

void World::cut(const Fault& fault, ProcessId process, bool control_only, bool inward, bool outward) {
    const Time until = queue_.now() + Span{fault.duration};
    std::vector<ProcessId> others;
    for (const auto& machine : machines_) others.push_back(machine->process());
    for (const auto& proxy : proxies_)
        if (!control_only) others.push_back(proxy->process());
    for (const auto other : others) {
        if (other == process) continue;
        if (inward) network_->cut(other, process, until);
        if (outward) network_->cut(process, other, until);
    }
    if (process < first_proxy) cut_until_[process] = std::max(cut_until_[process], until);
}

void World::restart_after(SubscribedProxy& proxy, Span downtime) {
    queue_.in(downtime, [this, &proxy] {
        if (!proxy.is_running()) proxy.start(seed_nodes(), random_.number());
    });
}

void World::kill_herd(const Fault& fault) {
    for (auto* proxy : half_of_proxies(fault)) {
        proxy->terminate();
        restart_after(*proxy, Span{fault.duration} + Span{random_.between(0, 0.5)});
    }
}

std::vector<SubscribedProxy*> World::half_of_proxies(const Fault& fault) {
    std::vector<SubscribedProxy*> half;
    for (size_t i = 0; i < proxy_count / 2; ++i) half.push_back(proxies_[(fault.selector + i) % proxy_count].get());
    return half;
}

void World::cut_site(const Fault& fault, const Machine& machine) {
    const Time until = queue_.now() + Span{fault.duration};
    std::set<ProcessId> inside{machine.process()};
    for (const auto* proxy : half_of_proxies(fault)) inside.insert(proxy->process());
    std::vector<ProcessId> all;
    for (const auto& each : machines_) all.push_back(each->process());
    for (const auto& each : proxies_) all.push_back(each->process());
    for (const auto other : all) {
        if (inside.count(other)) continue;
        for (const auto process : inside) {
            network_->cut(process, other, until);
            network_->cut(other, process, until);
        }
    }
    auto& cut_until = cut_until_[machine.process()];
    cut_until = std::max(cut_until, until);
}

void World::take_down(Machine& machine, Machine::Termination how, Span downtime) {
    machine.terminate(how);
    queue_.in(downtime, [&machine] { machine.start(); });
}

void World::take_all_down(Machine::Termination how, Span downtime) {
    for (auto* machine : present_machines()) {
        machine->terminate(how);
        queue_.in(downtime + Span{random_.between(0, 0.1)}, [machine] { machine->start(); });
    }
}

void World::lose_disk(Machine& machine, Span downtime, bool rots) {
    mark_all_caught_up();
    if (lost_count() == 0) checker_.check_before_disk_loss(present_machines_const());
    checker_.disk_lost(machine);
    machine.terminate(rots ? Machine::Termination::killed : Machine::Termination::power_lost);
    if (rots)
        machine.disk().corrupt(random_);
    else
        machine.disk().wipe();
    machine.clear_bootstrap();
    machine.disk_created_at = queue_.now();
    queue_.in(downtime, [&machine] { machine.start(); });
}

void World::replace(Machine& machine, bool planned) {
    mark_all_caught_up();
    if (lost_count() == 0) checker_.check_before_disk_loss(present_machines_const());
    auto& successor = add_machine(false);
    successor.is_successor = true;
    if (!planned) {
        checker_.disk_lost(machine);
        machine.terminate(Machine::Termination::power_lost);
        machine.removed = true;
        successor.resumed_at = queue_.now();
        return queue_.in({1}, [&successor] { successor.start(); });
    }
    successor.start();
    queue_.in({1}, [this, &machine] {
        machine.stop([&machine] { machine.removed = true; });
        queue_.in(stop_timeout, [&machine] {
            machine.terminate(Machine::Termination::killed);
            machine.removed = true;
        });
    });
}

// Called when a node responds, before the response arrives.
void World::request_answered(Machine& machine, const myrtleroute::control::HttpRequest& request,
                             const myrtleroute::control::HttpResponse& answer) {
    record(machine.settings().node_name + " answers " + request.method + " " + request.path + " " +
           std::to_string(answer.status));
    const bool is_update = request.method == "PUT" || request.method == "PATCH";
    if (is_update && request.path == "/config") return update_answered(machine, request, answer);
    if (request.method == "POST" && answer.status == 200) return acknowledged(machine);   // of a rollout
    constexpr std::string_view instances = "/instances/";
    if (answer.status != 200 || !request.path.starts_with(instances)) return;
    const bool leaves = request.method == "DELETE";
    if (!leaves && request.body.find("draining") == std::string::npos) return;
    checker_.drain_acknowledged(request.path.substr(instances.size()),
                                leaves ? registry::HostState::gone : registry::HostState::draining, machine,
                                present_machines_const());
    acknowledged(machine);
}

void World::update_answered(Machine& machine, const myrtleroute::control::HttpRequest& request,
                            const myrtleroute::control::HttpResponse& answer) {
    Operation update;
    update.version = version_of(request.body);
    update.base = std::stoull(request.if_match);
    update.is_patch = request.method == "PATCH";
    update.body = checker_.number_of_update(request.body, update.is_patch);
    if (answer.status == 200) {
        mark_all_caught_up();
        checker_.confirmed(update, present_machines_const());
        return acknowledged(machine);
    }
    if (answer.status == 412 || answer.status == 400) checker_.refused(update);
}

void World::acknowledged(Machine& machine) {
    if (std::exchange(closing_pending_, false))
        queue_.in({plan_.closing->delay}, [this, &machine] { inject_closing(&machine); });
    for (const auto& fault : std::exchange(waiting_for_acknowledgement_, {}))
        queue_.in({random_.between(0, 0.005)}, [this, fault, &machine] {
            auto targeted = fault;
            const auto machines = present_machines();
            const auto at = std::find(machines.begin(), machines.end(), &machine);
            targeted.target = Target::random;
            if (at != machines.end()) targeted.selector = static_cast<uint32_t>(at - machines.begin());
            inject(targeted, true);
        });
}

// Tenants.

// Clients prefer a proxy, and take the next one if it refuses connections.
void World::send(size_t preferred, const TenantRequest& request) {
    ++outcome_.requests;
    queue_.in(request.to_proxy, [this, preferred, request] {
        size_t chosen = preferred;
        for (size_t i = 0; i < proxy_count && !proxies_[chosen]->is_running(); ++i) chosen = (chosen + 1) % proxy_count;
        proxies_[chosen]->request(request, [this, request] {
            queue_.in(request.to_host, [this, request] {
                ++outcome_.executed;
                checker_.request_executed(request);
            });
        });
    });
}

// Whether a proxy is connected to a majority of the control machines, including the leader, that are unimpaired.
bool World::is_in_contact(const SubscribedProxy& proxy) {
    if (!proxy.is_running() || proxy.is_frozen()) return false;
    size_t reached = 0;
    bool leader_reached = false;
    const auto machines = present_machines();
    for (const auto* machine : machines) {
        if (is_lost(*machine) || machine->disk_is_impaired()) continue;
        if (!network_->connected(proxy.process(), machine->process())) continue;
        ++reached;
        leader_reached = leader_reached || machine->node()->replica().role() == consensus::Role::leader;
    }
    return leader_reached && 2 * reached > machines.size();
}

void World::watch_contact() {
    std::set<size_t> in_contact;
    for (size_t i = 0; i < proxy_count; ++i) {
        const auto& proxy = *proxies_[i];
        contact_since_[i] = std::max(contact_since_[i], proxy.resumed_at());
        if (!is_in_contact(proxy)) contact_since_[i] = queue_.now();
        if (queue_.now() - contact_since_[i] >= contact_duration) in_contact.insert(i);
    }
    checker_.proxies_in_contact(in_contact, proxy_count);
    queue_.in(contact_check_interval, [this] { watch_contact(); });
}

// Checks of the whole system.

void World::watch_drains() {
    check_drains();
    queue_.in(drain_check_interval, [this] { watch_drains(); });
}

void World::check_drains() {
    if (queue_.now() < disturbed_until_) return;
    for (const auto& proxy : proxies_) {
        if (!proxy->is_running() || !proxy->has_hosts()) continue;
        for (const auto& [id, drained] : checker_.drains()) {
            if (queue_.now() - drained.second < drain_bound) continue;
            const auto* host = proxy->hosts().find(id);
            if (host && host->state == registry::HostState::ready)
                checker_.report_violation(Invariant::drain_known, "edge-" + std::to_string(proxy->process()) +
                                                                      " lists " + id +
                                                                      " as ready after its drain was acknowledged");
        }
    }
}

void World::await_closing() {
    closing_pending_ = true;
    queue_.in(closing_timeout, [this] {
        if (std::exchange(closing_pending_, false)) inject_closing(nullptr);
    });
}

// The machines in the order in which they lose their disks.
std::vector<Machine*> World::closing_order(Machine* acknowledger) {
    auto machines = present_machines();
    std::rotate(machines.begin(),
                machines.begin() + static_cast<std::ptrdiff_t>(plan_.closing->selector % machines.size()),
                machines.end());
    if (plan_.closing->oldest_disks)
        std::stable_sort(machines.begin(), machines.end(),
                         [](const auto* a, const auto* b) { return a->disk_created_at < b->disk_created_at; });
    if (plan_.closing->acknowledger)
        std::stable_partition(machines.begin(), machines.end(), [&](const auto* each) { return each == acknowledger; });
    return machines;
}

// A machine that is lost already counts among the tolerated losses, whether it loses its disk now or not.
void World::inject_closing(Machine* acknowledger) {
    record("the day is closed");
    const Span downtime{plan_.closing->downtime};
    record_fault(FaultKind::closing, queue_.now() + downtime);
    size_t losses_left = plan_.tolerated_losses - std::min(plan_.tolerated_losses, lost_count());
    std::vector<Machine*> others;
    for (auto* machine : closing_order(acknowledger)) {
        if (losses_left > 0 && !is_lost(*machine)) {
            --losses_left;
            record("the disk of " + machine->settings().node_name + " is lost");
            lose_disk(*machine, downtime + Span{random_.between(0, 0.5)}, false);
        } else {
            others.push_back(machine);
        }
    }
    for (auto* machine : others)
        take_down(*machine, Machine::Termination::power_lost, downtime + Span{random_.between(0, 0.5)});
    for (const auto& proxy : proxies_) {
        proxy->terminate();
        restart_after(*proxy, downtime + Span{random_.between(0, 0.5)});
    }
    queue_.in(downtime + Span{1}, [this] { end_faults(); });
}

void World::end_faults() {
    faults_ended_ = true;
    network_->heal();
    cut_until_.clear();
    answers_lost_until_ = long_ago;
    for (const auto& machine : machines_) {
        machine->disk().fails_writes = false;
        machine->end_disk_delay();
        machine->thaw_now();
        if (!machine->removed) machine->start();
    }
    for (const auto& proxy : proxies_) {
        proxy->thaw_now();
        if (!proxy->is_running()) proxy->start(seed_nodes(), random_.number());
    }
    for (const auto& caller : operators_) caller->stop();
    rollout_operator_->stop();
    record("the last fault is over");
    const Time faults_ended_at = queue_.now();
    for (double after = 0.25; after < settle_timeout.s; after += 0.25)
        queue_.in({after}, [this, faults_ended_at] {
            if (outcome_.agreement_time == 0 && agrees()) outcome_.agreement_time = (queue_.now() - faults_ended_at).s;
        });
    queue_.in(settle_timeout, [this] {
        if (!agrees()) checker_.report_violation(Invariant::agreement, disagreement());
        operators_[0]->read_now();
        rollout_operator_->read_now();
    });
    queue_.in(settle_timeout + Span{3.5}, [this] {
        check_drains();
        if (operators_[0]->last_read_version() < checker_.newest_confirmed() || !operators_[0]->is_idle())
            checker_.report_violation(Invariant::nothing_lost,
                                      "version " + std::to_string(operators_[0]->last_read_version()) + " was read, " +
                                          std::to_string(checker_.newest_confirmed()) + " was confirmed");
        if (!rollout_operator_->has_read())
            checker_.report_violation(Invariant::rollout_kept, "the rollout could not be read");
        record("read " + std::to_string(operators_[0]->last_read_version()));
    });
}

bool World::agrees() const { return disagreement().empty(); }

std::string World::disagreement() const {
    const consensus::Replica* leader = nullptr;
    for (const auto& machine : machines_) {
        if (machine->removed) continue;
        if (!machine->is_running()) return machine->settings().node_name + " is not running";
        const auto& replica = machine->node()->replica();
        if (replica.role() == consensus::Role::leader) leader = &replica;
    }
    if (!leader || !leader->entry()) return "no control machine leads";
    for (const auto& machine : machines_) {
        if (machine->removed) continue;
        const auto& replica = machine->node()->replica();
        if (!replica.entry() || !(*replica.entry() == *leader->entry()))
            return machine->settings().node_name + " lacks the last entry";
        if (replica.committed() < replica.entry()->position.index)
            return machine->settings().node_name + " has not committed the last entry";
        if (!leader->is_voter(replica.self())) return machine->settings().node_name + " is not a voter";
    }
    if (leader->entry()->state.voters.size() != present_machines_const().size())
        return "a removed machine is still a voter";
    for (const auto& proxy : proxies_)
        if (proxy->version() != leader->entry()->state.version || !proxy->has_hosts())
            return "edge-" + std::to_string(proxy->process()) + " has version " + std::to_string(proxy->version());
    return {};
}

Outcome run_plan(const Plan& plan, std::function<void(const std::string&)> trace) {
    return World(plan, std::move(trace)).run();
}

namespace {

// Plans with one fault or surge less, without changes of limits, or without the closing fault.
std::vector<Plan> reduced_plans(const Plan& plan) {
    std::vector<Plan> plans;
    for (size_t i = 0; i < plan.faults.size(); ++i) {
        plans.push_back(plan);
        plans.back().faults.erase(plans.back().faults.begin() + static_cast<std::ptrdiff_t>(i));
    }
    for (size_t i = 0; i < plan.surges.size(); ++i) {
        plans.push_back(plan);
        plans.back().surges.erase(plans.back().surges.begin() + static_cast<std::ptrdiff_t>(i));
    }
    if (plan.changes_limits) {
        plans.push_back(plan);
        plans.back().changes_limits = false;
    }
    if (plan.closing) {
        plans.push_back(plan);
        plans.back().closing.reset();
    }
    return plans;
}

bool still_violates(const Plan& plan, Invariant invariant) {
    const auto violation = run_plan(plan).violation;
    return violation && violation->invariant == invariant;
}

}   // namespace

Plan shrink(const Plan& plan) {
    auto smallest = plan;
    const auto first = run_plan(plan).violation;
    if (!first) return smallest;
    for (bool smaller = true; smaller;) {
        smaller = false;
        for (const auto& reduced : reduced_plans(smallest)) {
            if (!still_violates(reduced, first->invariant)) continue;
            smallest = reduced;
            smaller = true;
            break;
        }
    }
    return smallest;
}

}   // namespace myrtleroute::lab::control
