// Lends the tenants' limits to the proxies while this node leads, and only then.
//
// Two leaders never lend at a time: one lends only while a majority has answered a round that it sent within the
// authority of LeaseTerms, and begins only when so much time has passed since those who elected it answered an earlier
// one. The names of the nodes that
// may hold leases are part of the replicated state: a node is lent nothing before its name is committed, so the next
// leader knows of whom it has to hear.
#pragma once
#include <optional>
#include <set>
#include <string>

#include "consensus/replica.hpp"
#include "leases/allocator.hpp"
#include "roles/control/bounds_reached.hpp"

namespace myrtleroute::control {

class LendingService {
public:
    LendingService(consensus::Replica& replica, leases::LimitRule rule, BoundsReached& bounds)
        : replica_(replica), bounds_(bounds), allocator_(rule) {}

    // The configuration that is committed, as the operator sent it.
    void configured(const PackedText& body);
    void tick(Time now);
    // Nothing where this node does not lend, or the ask is an old one.
    std::optional<leases::LeaseReply> ask(const leases::LeaseRequest& ask, Time now);

    bool lends() const { return lends_; }
    // Of the allocator's invariant, since the start.
    uint64_t violations() const { return violations_; }
    const std::string& last_violation() const { return last_violation_; }

private:
    void follow_leadership(Time now);
    bool may_lend(Time now) const;
    bool is_settled() const;   // what this leader knows as its state is committed
    std::set<std::string> committed_nodes() const;
    void change_nodes(Time now);
    void note_violation(const std::optional<std::string>& violated);

    consensus::Replica& replica_;
    BoundsReached& bounds_;
    leases::Allocator allocator_;
    leases::LeaseTerms terms_;
    std::optional<PackedText> configuration_;   // whose limits the allocator has yet to be told
    // Of the leader, as this node has seen it.
    struct Reign {
        uint64_t term = 0;
        Time since = long_ago;
    };
    Reign reign_;
    Time lends_since_ = long_ago;
    uint64_t admitted_at_ = 0;           // index of the entry whose nodes the allocator has been told
    Time forget_at_ = long_ago;          // when it is looked next for nodes that have gone
    std::set<std::string> applicants_;   // nodes that have asked and are not admitted yet
    bool lends_ = false;
    uint64_t violations_ = 0;
    std::string last_violation_;
};

}   // namespace myrtleroute::control
