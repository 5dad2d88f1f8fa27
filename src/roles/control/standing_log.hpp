// Tells the changes of a control node's standing among the voters, for its log: elections, leaders, contact with a majority,
// voters, and whether it lends the tenants' limits.
#pragma once
#include <string>
#include <vector>

#include "consensus/replica.hpp"

namespace myrtleroute::control {

// A node's standing at one moment.
struct Standing {
    consensus::Role role = consensus::Role::follower;
    uint64_t term = 0;
    std::optional<consensus::ReplicaId> leader;
    bool current = false;   // lately in touch with a majority
    bool lends = false;     // the tenants' limits
    size_t voters = 0;
    bool operator==(const Standing&) const = default;
};

Standing standing_of(const consensus::Replica& replica, bool lends, Time now);

class StandingLog {
public:
    // A line for each change since the last call.
    std::vector<std::string> changes(const Standing& standing);

private:
    Standing known_;
};

}   // namespace myrtleroute::control
