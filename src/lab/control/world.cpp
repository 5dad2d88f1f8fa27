#include "lab/control/world.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace myrtleroute::lab::control {
namespace {

constexpr Time dawn{100};
constexpr uint64_t world_stream = 0x574f524c, network_stream = 0x4e455457, caller_stream = 0x43414c4c;
constexpr size_t proxies = 6, operators = 2, announcers = 3;
constexpr ProcessId first_proxy = 100;
constexpr uint16_t internal_port = 7500, control_port = 8367;
constexpr Span catch_up{4};       // a machine that is back counts as lost for so long
constexpr Span contact{3};        // what was disturbed longer ago no longer excuses
constexpr Span drain{2};          // from an acknowledgement to the last request
constexpr Span killed_after{8};   // SIGTERM; an order to stop for good
constexpr Span wait_turn{0.5}, watch_every{0.5}, watch_contact_every{0.25};
constexpr Span settle{12}, answer_settle{4};   // after the last fault: until all agree, and then until the last answers
constexpr double slow_disk = 30;
constexpr Span revocation_bound{5};
constexpr Span closing_within{2};    // without an acknowledgement the day is closed then all the same
constexpr Span longest_closing{6};   // from the end of the plan until all are back

}   // namespace

World::World(const Plan& plan, std::function<void(const std::string&)> trace)
    : plan_(plan),
      trace_(std::move(trace)),
      queue_(dawn),
      chance_(plan.seed, world_stream),
      checker_(queue_, plan.tolerated, plan.revokes ? std::optional(revocation_bound) : std::nullopt) {
    Network::Events events;
    events.opened = [this](ProcessId process, ConnectionId connection) {
        if (process >= first_proxy) return proxies_[process - first_proxy]->opened(connection);
        machines_[process]->opened(connection);
    };
    events.came = [this](ProcessId process, ConnectionId connection, const messages::Message& message) {
        if (process >= first_proxy) return proxies_[process - first_proxy]->came(connection, message);
        machines_[process]->came(connection, message);
    };
    events.closed = [this](ProcessId process, ConnectionId connection) {
        if (process >= first_proxy) return proxies_[process - first_proxy]->closed(connection);
        machines_[process]->closed(connection);
    };
    network_ = std::make_unique<Network>(queue_, RandomStream(plan.seed, network_stream), std::move(events));
    platform_.machines = [this] {
        return listed();
    };
    platform_.ask = [this](Machine& machine, myrtleroute::control::HttpRequest request, Reply reply) {
        queue_.in(network_->latency(), [this, &machine, request = std::move(request), reply = std::move(reply)] {
            if (machine.runs()) {
                const auto given = [this, &machine, request](const auto& answer) {
                    answered(machine, request, *answer);
                };
                return machine.request(request, given, reply);
            }
            queue_.in(network_->latency(), [reply] { reply({}); });
        });
    };
    platform_.machine_at = [this](const std::string& location) -> Machine* {
        for (const auto& machine : machines_)
            if (location.find(machine->settings().control->text() + "/") != std::string::npos) return machine.get();
        return nullptr;
    };
    platform_.tenants = [this](uint64_t version) {
        return tenants_text(plan_.seed, version, {plan_.limits_change, plan_.revokes});
    };
    if (plan_.revokes) platform_.revocation_bound = revocation_bound;
    platform_.loses_answers = [this] {
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
    for (const auto& machine : machines_)   // a list of machines that serve control just now
        if (!is_seed && !machine->gone && settings.seeds.size() < 3)
            settings.seeds.push_back(*machine->settings().control);
    settings.bootstrap = is_seed;
    settings.counts_for_quorum = true;
    settings.tolerated_machines = static_cast<int>(plan_.tolerated);
    settings.data_directory = "virtual";
    settings.quota_slack = limit_rule.slack;
    settings.quota_tolerance = limit_rule.excess_ratio;
    settings.quota_window = limit_rule.window;
    Machine::Surroundings surroundings;
    surroundings.process_at = [this](const Endpoint& peer) {
        return process_at(peer);
    };
    surroundings.acted = [this](Machine& machine) {
        checker_.acted(machine);
    };
    machines_.push_back(std::make_unique<Machine>(queue_, *network_, process, settings, plan_.seed, surroundings));
    machines_.back()->disk_since = queue_.now();
    return *machines_.back();
}

std::optional<ProcessId> World::process_at(const Endpoint& peer) const {
    for (const auto& machine : machines_)
        if (machine->peer() == peer) return machine->process();
    return {};
}

void World::begin_proxies() {
    for (size_t i = 0; i < proxies; ++i) {
        const auto find = [this](const Endpoint& peer) {
            return process_at(peer);
        };
        proxies_.push_back(std::make_unique<SubscribedProxy>(queue_, *network_, checker_, first_proxy + i,
                                                             platform_.revocation_bound, find));
        proxies_.back()->start(seeds(), chance_.number());
    }
    contact_since_.assign(proxies, queue_.now());
    const auto to_proxy = [this](size_t preferred, const TenantRequest& request) {
        send(preferred, request);
    };
    traffic_ = std::make_unique<TenantTraffic>(queue_, plan_.seed, plan_.surges, proxies, to_proxy);
}

Outcome World::play() {
    for (size_t i = 0; i < plan_.seeds; ++i) add_machine(true);
    for (size_t i = 0; i < plan_.joiners; ++i) add_machine(false);
    for (const auto& machine : machines_) queue_.in({chance_.between(0, 0.3)}, [&machine] { machine->start(); });
    begin_proxies();
    for (size_t i = 0; i < operators; ++i)
        operators_.push_back(std::make_unique<Operator>(queue_, RandomStream(plan_.seed, caller_stream + i), platform_,
                                                        checker_, history_));
    rollout_operator_ =
        std::make_unique<RolloutOperator>(queue_, RandomStream(plan_.seed, caller_stream + 15), platform_, checker_);
    for (size_t i = 0; i < announcers; ++i)
        announcers_.push_back(std::make_unique<Announcer>(queue_, RandomStream(plan_.seed, caller_stream + 16 + i),
                                                          platform_, checker_, i));
    queue_.in({1}, [this] {
        for (const auto& caller : operators_) caller->begin();
        rollout_operator_->begin();
        for (const auto& caller : announcers_) caller->begin();
        watch_drains();
        watch_contact();
        traffic_->begin();
    });
    for (const auto& fault : plan_.faults) queue_.at(dawn + Span{fault.at}, [this, fault] { strike(fault, false); });
    queue_.at(dawn + Span{plan_.length}, [this] { plan_.closing ? await_closing() : end_of_day(); });
    const Time end = dawn + Span{plan_.length} + longest_closing + settle + answer_settle;
    while (!checker_.ends_the_day() && queue_.step(end)) {
    }
    if (!checker_.ends_the_day()) {
        checker_.resolve(history_);
        const auto verdict = check_history(history_);
        if (verdict == Verdict::broken) checker_.breaks(Invariant::linearizable, "no register gives these answers");
        outcome_.undecided += verdict == Verdict::undecided;
    }
    outcome_.broken = checker_.broken();
    note(std::to_string(outcome_.ran) + " of " + std::to_string(outcome_.requests) + " requests of tenants ran");
    if (outcome_.broken)
        note(std::string("broken: ") + name_of(outcome_.broken->invariant) + ": " + outcome_.broken->what);
    outcome_.violations = checker_.violations();
    outcome_.fullest_window = checker_.fullest_window();
    outcome_.steps = queue_.steps();
    outcome_.drains = checker_.drains().size();
    for (const auto& operation : history_) {
        using Kind = Operation::Outcome;
        outcome_.confirmed += operation.outcome == Kind::accepted;
        outcome_.refused += operation.outcome == Kind::stale || operation.outcome == Kind::old;
        outcome_.readings += operation.outcome == Kind::read;
        outcome_.unclear += operation.outcome == Kind::open && operation.invoked.s < 1e16;
    }
    return outcome_;
}

void World::note(const std::string& what) {
    const auto line = std::to_string((queue_.now() - dawn).s) + " " + what;
    outcome_.digest = XXH3_64bits_withSeed(line.data(), line.size(), outcome_.digest);
    if (trace_) trace_(line);
}

std::vector<const Machine*> World::disks() const {
    std::vector<const Machine*> machines;
    for (const auto& machine : machines_)
        if (!machine->gone) machines.push_back(machine.get());
    return machines;
}

std::vector<Machine*> World::listed() {
    std::vector<Machine*> machines;
    for (const auto& machine : machines_)
        if (!machine->gone) machines.push_back(machine.get());
    return machines;
}

std::vector<messages::ControlNode> World::seeds() {
    std::vector<messages::ControlNode> nodes;
    for (const auto* machine : listed())
        if (nodes.size() < plan_.seeds)
            nodes.push_back({machine->peer(), *machine->settings().control, machine->settings().zone});
    return nodes;
}

// Faults.

bool World::is_lost(const Machine& machine) const {
    if (machine.gone) return false;   // its successor counts until it has had its time
    const auto cut = cut_until_.find(machine.process());
    const bool is_cut = cut != cut_until_.end() && queue_.now() < cut->second + catch_up;
    return !machine.runs() || machine.stands_still() || is_cut || machine.is_stopping() ||
           queue_.now() - machine.back_at < catch_up;
}

size_t World::lost() const {
    return static_cast<size_t>(
        std::count_if(machines_.begin(), machines_.end(), [this](const auto& machine) { return is_lost(*machine); }));
}

void World::note_caught_up() {
    for (const auto& machine : machines_)
        if (!is_lost(*machine)) checker_.caught_up(*machine);
}

bool World::may_strike(const Fault& fault, const Machine& machine) const {
    if (fault.kind == FaultKind::kill_all || fault.kind == FaultKind::power_loss_all) return true;
    if (machine.gone) return false;
    if (!plan_.orderly) return true;
    // Until it has had its time it stands for the one that it replaces, which is lost already.
    if (loses_disk(fault.kind) && machine.succeeds && is_lost(machine)) return false;
    return lost() - (is_lost(machine) ? 1 : 0) < plan_.tolerated;
}

Machine* World::target_of(const Fault& fault) {
    const auto machines = listed();
    if (fault.target == Target::leader)
        for (auto* machine : machines)
            if (machine->runs() && machine->node()->replica().role() == consensus::Role::leader) return machine;
    if (fault.target == Target::oldest_disk)
        return *std::min_element(machines.begin(), machines.end(),
                                 [](const auto* a, const auto* b) { return a->disk_since < b->disk_since; });
    return machines[fault.lot % machines.size()];
}

void World::strike(const Fault& fault, bool now) {
    if (over_) return;
    if (fault.after_acknowledgement && !now) return waiting_for_acknowledgement_.push_back(fault);
    const bool of_proxies = strikes_proxies(fault.kind) || fault.kind == FaultKind::answers_lost;
    auto* machine = target_of(fault);
    if (!of_proxies && !may_strike(fault, *machine)) {
        queue_.in(wait_turn, [this, fault] { strike(fault, true); });
        return;
    }
    note_fault(fault.kind, queue_.now() + Span{fault.span});
    note(std::string(name_of(fault.kind)) + " " + machine->settings().node_name);
    apply(fault, *machine);
}

void World::note_fault(FaultKind kind, Time until) {
    const auto number = static_cast<size_t>(kind);
    ++outcome_.met[number];
    std::erase_if(active_, [this](const auto& other) { return other.until < queue_.now(); });
    for (const auto& other : active_) {
        ++outcome_.pairs[number][static_cast<size_t>(other.kind)];
        ++outcome_.pairs[static_cast<size_t>(other.kind)][number];
    }
    active_.push_back({kind, until});
    disturbed_until_ = std::max(disturbed_until_, until + contact + catch_up);
}

void World::apply(const Fault& fault, Machine& machine) {
    const Time until = queue_.now() + Span{fault.span};
    auto& proxy = *proxies_[fault.lot % proxies_.size()];
    switch (fault.kind) {
        case FaultKind::kill: return down_for(machine, Machine::End::killed, Span{fault.span});
        case FaultKind::power_loss: return down_for(machine, Machine::End::without_power, Span{fault.span});
        case FaultKind::kill_all: return end_all(Machine::End::killed, Span{fault.span});
        case FaultKind::power_loss_all: return end_all(Machine::End::without_power, Span{fault.span});
        case FaultKind::freeze: return machine.freeze(until);
        case FaultKind::cut: return cut(fault, machine.process(), false, true, true);
        case FaultKind::cut_control: return cut(fault, machine.process(), true, true, true);
        case FaultKind::cut_site: return cut_site(fault, machine);
        case FaultKind::cut_inward: return cut(fault, machine.process(), false, true, false);
        case FaultKind::cut_outward: return cut(fault, machine.process(), false, false, true);
        case FaultKind::disk_hang: return machine.disk_busy_until(until, 0);
        case FaultKind::disk_slow: return machine.disk_busy_until(until, slow_disk);
        case FaultKind::disk_full:
            machine.disk().refuses = true;
            return queue_.at(until, [&machine] { machine.disk().refuses = false; });
        case FaultKind::stop:
            return machine.stop(
                [this, &machine, span = Span{fault.span}] { queue_.in(span, [&machine] { machine.start(); }); });
        case FaultKind::wipe: return lose_disk(machine, Span{fault.span}, false);
        case FaultKind::rot: return lose_disk(machine, Span{fault.span}, true);
        case FaultKind::replace: return replace(machine, false);
        case FaultKind::replace_planned: return replace(machine, true);
        case FaultKind::proxy_restart: proxy.end(); return restart_after(proxy, Span{fault.span});
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
    const Time until = queue_.now() + Span{fault.span};
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

void World::restart_after(SubscribedProxy& proxy, Span down) {
    queue_.in(down, [this, &proxy] {
        if (!proxy.runs()) proxy.start(seeds(), chance_.number());
    });
}

void World::kill_herd(const Fault& fault) {
    for (auto* proxy : half_of_proxies(fault)) {
        proxy->end();
        restart_after(*proxy, Span{fault.span} + Span{chance_.between(0, 0.5)});
    }
}

std::vector<SubscribedProxy*> World::half_of_proxies(const Fault& fault) {
    std::vector<SubscribedProxy*> half;
    for (size_t i = 0; i < proxies / 2; ++i) half.push_back(proxies_[(fault.lot + i) % proxies].get());
    return half;
}

void World::cut_site(const Fault& fault, const Machine& machine) {
    const Time until = queue_.now() + Span{fault.span};
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

void World::down_for(Machine& machine, Machine::End how, Span span) {
    machine.end(how);
    queue_.in(span, [&machine] { machine.start(); });
}

void World::end_all(Machine::End how, Span down) {
    for (auto* machine : listed()) {
        machine->end(how);
        queue_.in(down + Span{chance_.between(0, 0.1)}, [machine] { machine->start(); });
    }
}

void World::lose_disk(Machine& machine, Span span, bool rots) {
    note_caught_up();
    if (lost() == 0) checker_.before_a_loss(disks());
    checker_.disk_lost(machine);
    machine.end(rots ? Machine::End::killed : Machine::End::without_power);
    if (rots)
        machine.disk().rot(chance_);
    else
        machine.disk().wipe();
    machine.forget_first_start();
    machine.disk_since = queue_.now();
    queue_.in(span, [&machine] { machine.start(); });
}

void World::replace(Machine& machine, bool planned) {
    note_caught_up();
    if (lost() == 0) checker_.before_a_loss(disks());
    auto& successor = add_machine(false);
    successor.succeeds = true;
    if (!planned) {
        checker_.disk_lost(machine);
        machine.end(Machine::End::without_power);
        machine.gone = true;
        successor.back_at = queue_.now();
        return queue_.in({1}, [&successor] { successor.start(); });
    }
    successor.start();
    queue_.in({1}, [this, &machine] {
        machine.stop([&machine] { machine.gone = true; });
        queue_.in(killed_after, [&machine] {
            machine.end(Machine::End::killed);
            machine.gone = true;
        });
    });
}

// What a node answers, at the moment at which it does.
void World::answered(Machine& by, const myrtleroute::control::HttpRequest& request,
                     const myrtleroute::control::HttpResponse& answer) {
    note(by.settings().node_name + " answers " + request.method + " " + request.path + " " +
         std::to_string(answer.status));
    const bool orders = request.method == "PUT" || request.method == "PATCH";
    if (orders && request.path == "/config") return order_answered(by, request, answer);
    if (request.method == "POST" && answer.status == 200) return acknowledged(by);   // of a rollout
    constexpr std::string_view instances = "/instances/";
    if (answer.status != 200 || !request.path.starts_with(instances)) return;
    const bool leaves = request.method == "DELETE";
    if (!leaves && request.body.find("draining") == std::string::npos) return;
    checker_.drain_acknowledged(request.path.substr(instances.size()),
                                leaves ? registry::HostState::gone : registry::HostState::draining, by, disks());
    acknowledged(by);
}

void World::order_answered(Machine& by, const myrtleroute::control::HttpRequest& request,
                           const myrtleroute::control::HttpResponse& answer) {
    Operation order;
    order.version = version_of(request.body);
    order.base = std::stoull(request.if_match);
    order.patches = request.method == "PATCH";
    order.body = checker_.number_of_order(request.body, order.patches);
    if (answer.status == 200) {
        note_caught_up();
        checker_.confirmed(order, disks());
        return acknowledged(by);
    }
    if (answer.status == 412 || answer.status == 400) checker_.refused(order);
}

void World::acknowledged(Machine& by) {
    if (std::exchange(closing_waits_, false)) queue_.in({plan_.closing->delay}, [this, &by] { strike_closing(&by); });
    for (const auto& fault : std::exchange(waiting_for_acknowledgement_, {}))
        queue_.in({chance_.between(0, 0.005)}, [this, fault, &by] {
            auto struck = fault;
            const auto machines = listed();
            const auto at = std::find(machines.begin(), machines.end(), &by);
            struck.target = Target::lot;
            if (at != machines.end()) struck.lot = static_cast<uint32_t>(at - machines.begin());
            strike(struck, true);
        });
}

// Tenants.

// Clients prefer a proxy, and take the next one where its machine refuses connections.
void World::send(size_t preferred, const TenantRequest& request) {
    ++outcome_.requests;
    queue_.in(request.to_proxy, [this, preferred, request] {
        size_t chosen = preferred;
        for (size_t i = 0; i < proxies && !proxies_[chosen]->runs(); ++i) chosen = (chosen + 1) % proxies;
        proxies_[chosen]->request(request, [this, request] {
            queue_.in(request.to_host, [this, request] {
                ++outcome_.ran;
                checker_.ran(request);
            });
        });
    });
}

// Connected to a majority of the control machines, their leader among them, that are in order themselves.
bool World::in_touch(const SubscribedProxy& proxy) {
    if (!proxy.runs() || proxy.stands_still()) return false;
    size_t reached = 0;
    bool leads = false;
    const auto machines = listed();
    for (const auto* machine : machines) {
        if (is_lost(*machine) || machine->disk_is_busy()) continue;
        if (!network_->connected(proxy.process(), machine->process())) continue;
        ++reached;
        leads = leads || machine->node()->replica().role() == consensus::Role::leader;
    }
    return leads && 2 * reached > machines.size();
}

void World::watch_contact() {
    std::set<size_t> for_long;
    for (size_t i = 0; i < proxies; ++i) {
        const auto& proxy = *proxies_[i];
        contact_since_[i] = std::max(contact_since_[i], proxy.back_at());
        if (!in_touch(proxy)) contact_since_[i] = queue_.now();
        if (queue_.now() - contact_since_[i] >= contact) for_long.insert(i);
    }
    checker_.in_touch(for_long, proxies);
    queue_.in(watch_contact_every, [this] { watch_contact(); });
}

// Checks of the whole.

void World::watch_drains() {
    check_drains();
    queue_.in(watch_every, [this] { watch_drains(); });
}

void World::check_drains() {
    if (queue_.now() < disturbed_until_) return;
    for (const auto& proxy : proxies_) {
        if (!proxy->runs() || !proxy->knows_hosts()) continue;
        for (const auto& [id, drained] : checker_.drains()) {
            if (queue_.now() - drained.second < drain) continue;
            const auto* host = proxy->hosts().find(id);
            if (host && host->state == registry::HostState::ready)
                checker_.breaks(Invariant::drain_known, "edge-" + std::to_string(proxy->process()) + " takes " + id +
                                                            " for ready after its drain was acknowledged");
        }
    }
}

void World::await_closing() {
    closing_waits_ = true;
    queue_.in(closing_within, [this] {
        if (std::exchange(closing_waits_, false)) strike_closing(nullptr);
    });
}

// The machines in the order in which their disks are lost.
std::vector<Machine*> World::closing_order(Machine* acknowledger) {
    auto machines = listed();
    std::rotate(machines.begin(), machines.begin() + static_cast<std::ptrdiff_t>(plan_.closing->lot % machines.size()),
                machines.end());
    if (plan_.closing->oldest_disks)
        std::stable_sort(machines.begin(), machines.end(),
                         [](const auto* a, const auto* b) { return a->disk_since < b->disk_since; });
    if (plan_.closing->acknowledger)
        std::stable_partition(machines.begin(), machines.end(), [&](const auto* each) { return each == acknowledger; });
    return machines;
}

// One that is lost already counts among the losses that are borne, whether its disk is lost now or not.
void World::strike_closing(Machine* acknowledger) {
    note("the day is closed");
    const Span down{plan_.closing->down};
    note_fault(FaultKind::closing, queue_.now() + down);
    size_t borne = plan_.tolerated - std::min(plan_.tolerated, lost());
    std::vector<Machine*> others;
    for (auto* machine : closing_order(acknowledger)) {
        if (borne > 0 && !is_lost(*machine)) {
            --borne;
            note("the disk of " + machine->settings().node_name + " is lost");
            lose_disk(*machine, down + Span{chance_.between(0, 0.5)}, false);
        } else {
            others.push_back(machine);
        }
    }
    for (auto* machine : others) down_for(*machine, Machine::End::without_power, down + Span{chance_.between(0, 0.5)});
    for (const auto& proxy : proxies_) {
        proxy->end();
        restart_after(*proxy, down + Span{chance_.between(0, 0.5)});
    }
    queue_.in(down + Span{1}, [this] { end_of_day(); });
}

void World::end_of_day() {
    over_ = true;
    network_->heal();
    cut_until_.clear();
    answers_lost_until_ = long_ago;
    for (const auto& machine : machines_) {
        machine->disk().refuses = false;
        machine->disk_is_well();
        machine->thaw_now();
        if (!machine->gone) machine->start();
    }
    for (const auto& proxy : proxies_) {
        proxy->thaw_now();
        if (!proxy->runs()) proxy->start(seeds(), chance_.number());
    }
    for (const auto& caller : operators_) caller->stop();
    rollout_operator_->stop();
    note("the last fault is over");
    const Time calm = queue_.now();
    for (double after = 0.25; after < settle.s; after += 0.25)
        queue_.in({after}, [this, calm] {
            if (outcome_.agreed_after == 0 && agrees()) outcome_.agreed_after = (queue_.now() - calm).s;
        });
    queue_.in(settle, [this] {
        if (!agrees()) checker_.breaks(Invariant::agreement, disagreement());
        operators_[0]->read_now();
        rollout_operator_->read_now();
    });
    queue_.in(settle + Span{3.5}, [this] {
        check_drains();
        if (operators_[0]->read() < checker_.newest_confirmed() || !operators_[0]->is_idle())
            checker_.breaks(Invariant::nothing_lost, "version " + std::to_string(operators_[0]->read()) + " is read, " +
                                                         std::to_string(checker_.newest_confirmed()) +
                                                         " was confirmed");
        if (!rollout_operator_->has_read()) checker_.breaks(Invariant::rollout_kept, "no rollout can be read");
        note("read " + std::to_string(operators_[0]->read()));
    });
}

bool World::agrees() const { return disagreement().empty(); }

std::string World::disagreement() const {
    const consensus::Replica* leader = nullptr;
    for (const auto& machine : machines_) {
        if (machine->gone) continue;
        if (!machine->runs()) return machine->settings().node_name + " does not run";
        const auto& replica = machine->node()->replica();
        if (replica.role() == consensus::Role::leader) leader = &replica;
    }
    if (!leader || !leader->entry()) return "nobody leads";
    for (const auto& machine : machines_) {
        if (machine->gone) continue;
        const auto& replica = machine->node()->replica();
        if (!replica.entry() || !(*replica.entry() == *leader->entry()))
            return machine->settings().node_name + " lacks the last entry";
        if (replica.committed() < replica.entry()->position.index)
            return machine->settings().node_name + " does not know the last entry committed";
        if (!leader->is_voter(replica.self())) return machine->settings().node_name + " does not vote";
    }
    if (leader->entry()->state.voters.size() != disks().size()) return "one that is gone still votes";
    for (const auto& proxy : proxies_)
        if (proxy->version() != leader->entry()->state.version || !proxy->knows_hosts())
            return "edge-" + std::to_string(proxy->process()) + " has version " + std::to_string(proxy->version());
    return {};
}

Outcome play(const Plan& plan, std::function<void(const std::string&)> trace) {
    return World(plan, std::move(trace)).play();
}

namespace {

// Each with one fault or surge fewer, or without changes of limits.
std::vector<Plan> plans_with_less(const Plan& plan) {
    std::vector<Plan> plans;
    for (size_t i = 0; i < plan.faults.size(); ++i) {
        plans.push_back(plan);
        plans.back().faults.erase(plans.back().faults.begin() + static_cast<std::ptrdiff_t>(i));
    }
    for (size_t i = 0; i < plan.surges.size(); ++i) {
        plans.push_back(plan);
        plans.back().surges.erase(plans.back().surges.begin() + static_cast<std::ptrdiff_t>(i));
    }
    if (plan.limits_change) {
        plans.push_back(plan);
        plans.back().limits_change = false;
    }
    if (plan.closing) {
        plans.push_back(plan);
        plans.back().closing.reset();
    }
    return plans;
}

bool still_breaks(const Plan& plan, Invariant invariant) {
    const auto broken = play(plan).broken;
    return broken && broken->invariant == invariant;
}

}   // namespace

Plan shrink(const Plan& plan) {
    auto least = plan;
    const auto first = play(plan).broken;
    if (!first) return least;
    for (bool smaller = true; smaller;) {
        smaller = false;
        for (const auto& without : plans_with_less(least)) {
            if (!still_breaks(without, first->invariant)) continue;
            least = without;
            smaller = true;
            break;
        }
    }
    return least;
}

}   // namespace myrtleroute::lab::control
