// Explores the real replica: all interleavings, up to a depth and within budgets of faults, of messages, ends of writes,
// time-outs, proposals, crashes, broken connections, lost disks and machines that join.
//
// Messages between two replicas arrive in their order, as on a connection; a broken connection loses what was on its way.
// States that differ only in the numbers of rounds count as one. Breadth first: what is found has the fewest actions.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace myrtleroute::lab::control {

struct ExplorationOptions {
    size_t voters = 3;
    size_t joiners = 0;           // machines that are no voters at first
    bool starts_elected = true;   // it begins with a leader whose first entry is committed, and nothing under way
    size_t depth = 16;            // actions
    int election_timeouts = 2;    // elections begun, of all replicas together
    int heartbeats = 1;           // ticks of a leader
    int proposals = 1;
    int crashes = 1;              // with what was not yet written
    int lost_disks = 0;           // a crash after which the machine is another replica
    int broken_connections = 1;   // connections
    uint64_t max_states = 400'000;
};

struct ExplorationResult {
    uint64_t states = 0;   // different ones
    uint64_t transitions = 0;
    uint64_t elections = 0;                 // leaders that were seen to begin
    uint64_t commits = 0;                   // entries that a leader saw committed, on all paths
    bool complete = true;                   // else the number of states was the limit
    std::optional<std::string> violation;   // the invariant and the actions that lead to it
};

ExplorationResult explore(const ExplorationOptions& options);

}   // namespace myrtleroute::lab::control
