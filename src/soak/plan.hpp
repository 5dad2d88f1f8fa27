// The faults of a run: what strikes which machines, when and for how long. Drawn from one seed.
//
// Faults come in episodes of two or three that overlap in time. Machines are numbered from 0; the first `controls` of
// them run a control node, and all of them run a proxy.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace myrtleroute::soak {

enum class FaultKind {
    kill_proxies,            // SIGKILL, started again after the span
    kill_controls,           //
    kill_every_proxy,        // at one moment
    kill_every_control,      //
    pause_proxies,           // SIGSTOP, SIGCONT after the span
    pause_controls,          //
    stop_proxies,            // SIGTERM, started again once they have ended
    stop_controls,           //
    wipe_control,            // SIGKILL, started again on an empty disk
    cut_machines,            // the machines from all others
    cut_controls,            // the control nodes of the machines from the other control nodes; proxies reach all
    cut_every_control,       // every control node from every other one; proxies reach all
    cut_proxies,             // the proxies of the machines from every control node
    control_answers_lost,    // of what hosts and the operator are answered, half is reset
    subscriptions_reset,     // connections of proxies to control nodes break as something is told on them
    host_answers_lost,       // of what hosts have run, a third is reset before the answer
    hang_up_every_process,   // SIGHUP to every process, at one moment
    kinds
};
const char* name_of(FaultKind kind);

// Which bytes a cut holds up, as the machines that it names see it.
enum class CutSide { both, inward, outward };

struct Fault {
    FaultKind kind = FaultKind::kill_proxies;
    double at = 0;         // seconds from the start of the faults
    double duration = 1;   // seconds
    std::vector<size_t> machines;
    CutSide side = CutSide::both;   // of cuts
    double end() const { return at + duration; }
    bool operator==(const Fault&) const = default;
};

struct FleetSize {
    size_t controls = 4, proxies = 8;
};

struct Plan {
    uint64_t seed = 1;
    std::vector<Fault> faults;   // by the time at which they strike
};

// No fault outlasts `length` (seconds). A disk is lost only while every other control node is well, and has been for
// `catch_up` seconds: that is what the settings' tolerance of one machine allows.
constexpr double catch_up = 6;
Plan generate_plan(uint64_t seed, FleetSize size, double length);

// Planned work alone, in series that overlap: machines are stopped and started again one or two after the other, and
// processes are told that their settings have changed. Control nodes are stopped one at a time.
Plan generate_planned_work(uint64_t seed, FleetSize size, double length);

// Whether the fault puts a control node out of order.
bool affects_control(const Fault& fault, size_t controls);

// A connection within the fleet: a control node or a proxy has dialed a control node.
struct InternalConnection {
    bool from_proxy = false;
    size_t from = 0, to = 0;   // machines
};
// Of the bytes on a link: `there` go from who has dialed, `back` come to it.
enum class Direction { forward, backward };

// Whether a cut holds up what goes this way on the link.
bool blocks(const Fault& cut, const InternalConnection& connection, Direction direction);

std::string fault_text(const Fault& fault);

}   // namespace myrtleroute::soak
