// Grants leases on the tenants' limits to the proxies, only while this node is the leader.
//
// Two leaders never grant leases at the same time: a leader grants only while a majority has answered a round that it
// sent within LeaseTerms::authority_duration, and starts only when that authority plus a margin has passed since the
// voters that elected it last answered an earlier leader. The names of the nodes that may hold leases are part of the
// replicated state: a node is granted nothing before its name is committed, so the next leader knows which nodes must
// report their leases to it.
#pragma once
#include <optional>
#include <set>
#include <string>

#include "consensus/replica.hpp"
#include "leases/allocator.hpp"
#include "roles/control/bounds_reached.hpp"

namespace myrtleroute::control {

class LeaseService {
public:
    LeaseService(consensus::Replica& replica, leases::LimitRule rule, BoundsReached& bounds)
        : replica_(replica), bounds_(bounds), allocator_(rule) {}

    // The configuration that is committed, as the operator sent it.
    void set_configuration(const PackedText& body);
    void tick(Time now);
    // nullopt if this node does not grant leases, or the request is outdated.
    std::optional<leases::LeaseReply> handle(const leases::LeaseRequest& request, Time now);

    bool grants_leases() const { return grants_leases_; }
    // Violations of the allocator's invariant since the start.
    uint64_t violations() const { return violations_; }
    const std::string& last_violation() const { return last_violation_; }

private:
    void follow_leadership(Time now);
    bool may_grant(Time now) const;
    bool has_committed_in_term() const;   // the last entry is of this leader's term and committed
    std::set<std::string> committed_nodes() const;
    void update_nodes(Time now);
    void record_violation(const std::optional<std::string>& violated);

    consensus::Replica& replica_;
    BoundsReached& bounds_;
    leases::Allocator allocator_;
    leases::LeaseTerms terms_;
    std::optional<PackedText> configuration_;   // its limits are not yet passed to the allocator
    // The current leader's term, and when this node learned of it.
    struct LeaderTerm {
        uint64_t term = 0;
        Time since = long_ago;
    };
    LeaderTerm leader_term_;
    Time granting_since_ = long_ago;
    uint64_t admitted_index_ = 0;           // index of the entry whose nodes were last passed to the allocator
    Time next_cleanup_ = long_ago;          // next time to remove nodes that no longer send requests
    std::set<std::string> pending_nodes_;   // nodes that sent a request and are not admitted yet
    bool grants_leases_ = false;
    uint64_t violations_ = 0;
    std::string last_violation_;
};

}   // namespace myrtleroute::control
