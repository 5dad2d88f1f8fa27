// Log lines for changes of a control node's status in the replicated log: elections, leaders, contact with a majority
// of the voters, number of voters, and whether it grants leases on the tenants' limits.
#pragma once
#include <string>
#include <vector>

#include "consensus/replica.hpp"

namespace myrtleroute::control {

// A node's status at one moment.
struct ReplicaStatus {
    consensus::Role role = consensus::Role::follower;
    uint64_t term = 0;
    std::optional<consensus::ReplicaId> leader;
    bool current = false;         // in contact with a majority of the voters recently
    bool grants_leases = false;   // grants leases on the tenants' limits
    size_t voters = 0;
    bool operator==(const ReplicaStatus&) const = default;
};

ReplicaStatus replica_status(const consensus::Replica& replica, bool grants_leases, Time now);

class ReplicaStatusLog {
public:
    // Returns a line for each change since the last call.
    std::vector<std::string> changes(const ReplicaStatus& status);

private:
    ReplicaStatus last_;
};

}   // namespace myrtleroute::control
