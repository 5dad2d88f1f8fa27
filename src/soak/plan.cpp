#include "soak/plan.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include "lab/random_stream.hpp"

namespace myrtleroute::soak {
namespace {

constexpr uint64_t plan_stream = 0x706c616e;   // random stream id, distinct from those of clients and hosts
constexpr double first_fault = 1, min_duration = 0.3, max_start_gap = 1;

struct DurationRange {
    double min, max;   // seconds
};

// Range of the durations of faults of this kind.
DurationRange duration_range(FaultKind kind) {
    switch (kind) {
        case FaultKind::kill_every_proxy:
        case FaultKind::kill_every_control: return {0.3, 1};
        case FaultKind::kill_proxies:
        case FaultKind::kill_controls:
        case FaultKind::wipe_control:
        case FaultKind::kill_hosts: return {0.3, 4};
        case FaultKind::stop_proxies:
        case FaultKind::stop_controls: return {1, 2};
        case FaultKind::hang_up_every_process: return {0.3, 0.3};
        default: return {1, 6};
    }
}

bool is_cut(FaultKind kind) {
    return kind == FaultKind::cut_machines || kind == FaultKind::cut_controls || kind == FaultKind::cut_proxies;
}

// A single signal without a duration.
bool is_instantaneous(FaultKind kind) { return kind == FaultKind::hang_up_every_process; }

bool affects_every_machine(FaultKind kind) {
    return kind == FaultKind::kill_every_proxy || kind == FaultKind::kill_every_control ||
           kind == FaultKind::cut_every_control || is_instantaneous(kind);
}

bool affects_connections(FaultKind kind) {
    return kind == FaultKind::control_answers_lost || kind == FaultKind::subscriptions_reset ||
           kind == FaultKind::host_answers_lost || kind == FaultKind::host_streams_reset;
}

// Number of machines, counted from the first, that this kind of fault can affect.
size_t candidate_count(FaultKind kind, FleetSize size) {
    switch (kind) {
        case FaultKind::kill_controls:
        case FaultKind::kill_every_control:
        case FaultKind::pause_controls:
        case FaultKind::stop_controls:
        case FaultKind::wipe_control:
        case FaultKind::cut_controls:
        case FaultKind::cut_every_control: return size.controls;
        case FaultKind::kill_hosts: return host_count;
        default: return size.proxies;
    }
}

class PlanGenerator {
public:
    PlanGenerator(uint64_t seed, FleetSize size, double length)
        : chance_(seed, plan_stream), size_(size), length_(length) {}

    std::vector<Fault> generate() {
        for (double at = first_fault; at + min_duration < length_;) at = add_episode(at);
        std::sort(faults_.begin(), faults_.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
        return std::move(faults_);
    }

private:
    // Adds two or three overlapping faults. Returns the start time of the next episode.
    double add_episode(double at) {
        const int count = 2 + chance_.below(2);
        double end = at;
        double pause = chance_.bernoulli(0.5) ? chance_.between(0.3, 2) : chance_.between(4, 7);
        for (int i = 0; i < count; ++i) {
            auto fault = random_fault(at + (i ? chance_.between(0, max_start_gap) : 0));
            if (fault.end() > length_) fault.duration = length_ - fault.at;
            if (fault.duration < min_duration || !is_tolerated(fault)) continue;
            if (fault.kind == FaultKind::wipe_control) pause = std::max(pause, catch_up_time);
            end = std::max(end, fault.end());
            faults_.push_back(std::move(fault));
        }
        return end + pause;
    }

    Fault random_fault(double at) {
        Fault fault;
        fault.kind = static_cast<FaultKind>(chance_.below(static_cast<int>(FaultKind::kinds)));
        fault.at = at;
        const auto range = duration_range(fault.kind);
        fault.duration = chance_.between(range.min, range.max);
        if (is_cut(fault.kind) && chance_.bernoulli(0.5))
            fault.side = chance_.bernoulli(0.5) ? CutSide::inward : CutSide::outward;
        if (!affects_connections(fault.kind)) fault.machines = choose_machines(fault.kind);
        return fault;
    }

    std::vector<size_t> choose_machines(FaultKind kind) {
        const size_t among = candidate_count(kind, size_);
        std::vector<size_t> machines(among);
        for (size_t i = 0; i < among; ++i) machines[i] = i;
        if (affects_every_machine(kind)) return machines;
        const int max_count = std::max(1, static_cast<int>(among / 2));
        const auto count = static_cast<size_t>(kind == FaultKind::wipe_control ? 1 : 1 + chance_.below(max_count));
        for (size_t i = 0; i < count; ++i)
            std::swap(machines[i], machines[i + static_cast<size_t>(chance_.below(static_cast<int>(among - i)))]);
        machines.resize(count);
        std::sort(machines.begin(), machines.end());
        return machines;
    }

    // An erased data directory together with a fault of another control node, at the same time or within
    // `catch_up_time` seconds, exceeds the tolerance of one machine.
    bool is_tolerated(const Fault& fault) const {
        if (!affects_control(fault, size_.controls)) return true;
        return std::none_of(faults_.begin(), faults_.end(), [&](const Fault& other) {
            const bool wipes = other.kind == FaultKind::wipe_control || fault.kind == FaultKind::wipe_control;
            const bool near = fault.at < other.end() + catch_up_time && other.at < fault.end() + catch_up_time;
            return wipes && near && affects_control(other, size_.controls);
        });
    }

    lab::RandomStream chance_;
    FleetSize size_;
    double length_;
    std::vector<Fault> faults_;
};

}   // namespace

const char* name_of(FaultKind kind) {
    constexpr const char* names[] = {
        "kill_proxies",      "kill_controls",      "kill_every_proxy", "kill_every_control",   "pause_proxies",
        "pause_controls",    "stop_proxies",       "stop_controls",    "wipe_control",         "cut_machines",
        "cut_controls",      "cut_every_control",  "cut_proxies",      "control_answers_lost", "subscriptions_reset",
        "host_answers_lost", "host_streams_reset", "kill_hosts",       "hang_up_every_process"};
    static_assert(std::size(names) == static_cast<size_t>(FaultKind::kinds));
    return names[static_cast<size_t>(kind)];
}

Plan generate_plan(uint64_t seed, FleetSize size, double length) {
    return {seed, PlanGenerator(seed, size, length).generate()};
}

Plan generate_planned_work(uint64_t seed, FleetSize size, double length) {
    lab::RandomStream chance(seed, plan_stream);
    Plan plan{seed, {}};
    const auto add_series = [&](FaultKind kind, size_t among, int max_together, double min_gap, double max_gap) {
        auto machine = static_cast<size_t>(chance.below(static_cast<int>(among)));
        for (double at = chance.between(first_fault, first_fault + 1); at + min_duration < length;) {
            Fault stop{kind, at, min_duration, {}, CutSide::both};
            for (int together = 1 + chance.below(max_together); together > 0; --together)
                stop.machines.push_back(machine++ % among);
            plan.faults.push_back(std::move(stop));
            at += chance.between(min_gap, max_gap);
        }
    };
    add_series(FaultKind::stop_proxies, size.proxies, 2, 0.3, 2.5);
    add_series(FaultKind::stop_controls, size.controls, 1, 3, 6);
    for (double at = first_fault; at < length; at += chance.between(0.5, 4))
        plan.faults.push_back({FaultKind::hang_up_every_process, at, min_duration, {}, CutSide::both});
    for (auto& fault : plan.faults)
        for (size_t machine = 0; fault.kind == FaultKind::hang_up_every_process && machine < size.proxies; ++machine)
            fault.machines.push_back(machine);
    std::stable_sort(plan.faults.begin(), plan.faults.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    return plan;
}

bool affects_control(const Fault& fault, size_t controls) {
    if (fault.kind == FaultKind::cut_machines)
        return std::any_of(fault.machines.begin(), fault.machines.end(), [&](size_t m) { return m < controls; });
    constexpr FleetSize any{1, 2};
    return candidate_count(fault.kind, any) == any.controls;
}

bool blocks(const Fault& cut, const InternalConnection& connection, Direction direction) {
    const auto named = [&](size_t machine) {
        return std::find(cut.machines.begin(), cut.machines.end(), machine) != cut.machines.end();
    };
    if (cut.kind == FaultKind::cut_every_control) return !connection.from_proxy;
    bool from_inside = named(connection.from), to_inside = named(connection.to);
    if (cut.kind == FaultKind::cut_proxies) {
        from_inside = from_inside && connection.from_proxy;
        to_inside = false;
    } else if (cut.kind == FaultKind::cut_controls && connection.from_proxy) {
        return false;
    } else if (cut.kind != FaultKind::cut_machines && cut.kind != FaultKind::cut_controls) {
        return false;
    }
    if (from_inside == to_inside) return false;
    const bool leaves = (direction == Direction::forward) == from_inside;   // the bytes come from an affected machine
    return cut.side == CutSide::both || (cut.side == CutSide::outward) == leaves;
}

std::string fault_text(const Fault& fault) {
    constexpr const char* sides[] = {"", " inward", " outward"};
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << fault.at << " to " << fault.end() << "  " << name_of(fault.kind)
         << sides[static_cast<size_t>(fault.side)];
    for (const auto machine : fault.machines) text << ' ' << machine;
    return text.str();
}

}   // namespace myrtleroute::soak
