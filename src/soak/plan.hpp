// The fault plan of a run: which faults affect which machines, when and for how long. Generated from one seed.
//
// Faults come in episodes of two or three that overlap in time. Machines are numbered from 0. The first `controls`
// machines run a control node, and all of them run a proxy.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace myrtleroute::soak {

enum class FaultKind {
    kill_proxies,            // SIGKILL, restarted after the duration
    kill_controls,           //
    kill_every_proxy,        // all at the same time
    kill_every_control,      //
    pause_proxies,           // SIGSTOP, SIGCONT after the duration
    pause_controls,          //
    stop_proxies,            // SIGTERM, restarted after they have ended
    stop_controls,           //
    wipe_control,            // SIGKILL, restarted with an empty data directory
    cut_machines,            // disconnects the machines from all others
    cut_controls,            // disconnects the machines' control nodes from the other control nodes; proxies reach all
    cut_every_control,       // disconnects all control nodes from each other; proxies reach all
    cut_proxies,             // disconnects the machines' proxies from every control node
    control_answers_lost,    // resets half of the responses of control nodes to hosts and the operator
    subscriptions_reset,     // resets some connections from proxies to control nodes when data is sent to the proxy
    host_answers_lost,       // resets a third of the connections of requests that hosts have run, before the response
    host_streams_reset,      // resets some connections of hosts in the middle of a stream
    kill_hosts,              // ends the connections and listeners of hosts, restarted after the duration
    hang_up_every_process,   // SIGHUP to every process, all at the same time
    kinds
};
const char* name_of(FaultKind kind);

// Which bytes a cut blocks, from the point of view of the affected machines.
enum class CutSide { both, inward, outward };

struct Fault {
    FaultKind kind = FaultKind::kill_proxies;
    double at = 0;                  // seconds from the start of the faults
    double duration = 1;            // seconds
    std::vector<size_t> machines;   // of kill_hosts: numbers of hosts
    CutSide side = CutSide::both;   // for cuts only
    double end() const { return at + duration; }
    bool operator==(const Fault&) const = default;
};

constexpr size_t host_count = 6;

struct FleetSize {
    size_t controls = 4, proxies = 8;
};

struct Plan {
    uint64_t seed = 1;
    std::vector<Fault> faults;   // in the order of their start times
};

// No fault lasts beyond `length` (seconds). A data directory is erased only if no other control node has a fault at
// that time or within `catch_up_time` seconds before or after: the settings tolerate the loss of one machine.
constexpr double catch_up_time = 6;
Plan generate_plan(uint64_t seed, FleetSize size, double length);

// Only planned work, in overlapping series: one or two proxies at a time are stopped and restarted, control nodes one
// at a time, and all processes reload their settings.
Plan generate_planned_work(uint64_t seed, FleetSize size, double length);

// Whether the fault affects a control node.
bool affects_control(const Fault& fault, size_t controls);

// A connection within the fleet, opened by a control node or a proxy to a control node.
struct InternalConnection {
    bool from_proxy = false;
    size_t from = 0, to = 0;   // machines
};
// Direction of bytes on a connection: `forward` from the node that opened it, `backward` to that node.
enum class Direction { forward, backward };

// Whether a cut blocks bytes in this direction on the connection.
bool blocks(const Fault& cut, const InternalConnection& connection, Direction direction);

std::string fault_text(const Fault& fault);

}   // namespace myrtleroute::soak
