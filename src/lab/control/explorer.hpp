// Model checker for the real replica: explores all interleavings, up to a depth and within budgets of faults, of
// messages, completed writes, timeouts, proposals, crashes, broken connections, lost disks and joining machines.
//
// Messages between two replicas arrive in order, as on a connection; a broken connection loses its messages in
// flight. States that differ only in round numbers count as one. The search is breadth first, so a violation is found
// with the fewest actions.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace myrtleroute::lab::control {

struct ExplorationOptions {
    size_t voters = 3;
    size_t joiners = 0;           // machines that are not voters at first
    bool starts_elected = true;   // starts with a leader whose first entry is committed and no messages in flight
    size_t depth = 16;            // max actions on a path
    int election_timeouts = 2;    // elections started, by all replicas together
    int heartbeats = 1;           // ticks of a leader
    int proposals = 1;
    int crashes = 1;              // with the loss of pending writes
    int lost_disks = 0;           // crashes after which the machine is a new replica
    int broken_connections = 1;   // number of connections broken
    uint64_t max_states = 400'000;
};

struct ExplorationResult {
    uint64_t states = 0;   // distinct states
    uint64_t transitions = 0;
    uint64_t elections = 0;                 // times that a leader was elected, on all paths
    uint64_t commits = 0;                   // entries that a leader committed, on all paths
    bool complete = true;                   // false: stopped at max_states
    std::optional<std::string> violation;   // the invariant and the actions that lead to its violation
};

ExplorationResult explore(const ExplorationOptions& options);

}   // namespace myrtleroute::lab::control
