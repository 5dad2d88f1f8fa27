// Lends the tenants' limits to the proxies while this node leads, and only then.
//
// Two leaders never lend at a time: one lends only while a majority has answered a round that it sent within the
// authority of LeaseTerms, and begins only when so much time has passed since it was elected.
#pragma once
#include <optional>
#include <string>

#include "consensus/replica.hpp"
#include "leases/allocator.hpp"

namespace myrtleroute::control {

class LendingService {
public:
    LendingService(const consensus::Replica& replica, leases::LimitRule rule) : replica_(replica), allocator_(rule) {}

    // The configuration that is committed, as the operator sent it.
    void configured(const std::string& body);
    void tick(Time now);
    // Nothing where this node does not lend, or the ask is an old one.
    std::optional<leases::LeaseReply> ask(const leases::LeaseAsk& ask, Time now);

    bool lends() const { return lends_; }
    const leases::Allocator& allocator() const { return allocator_; }
    // Of the allocator's invariant, since the start.
    uint64_t violations() const { return violations_; }
    const std::string& last_violation() const { return last_violation_; }

private:
    void follow_leadership(Time now);
    bool may_lend(Time now) const;
    leases::Allocator::Before predecessors(Time now) const;
    void check_invariant();

    const consensus::Replica& replica_;
    leases::Allocator allocator_;
    leases::LeaseTerms terms_;
    std::optional<std::string> configuration_;   // whose limits the allocator has yet to be told
    // The leaders as this node has seen them.
    struct Reign {
        uint64_t term = 0;
        Time since = long_ago;
    };
    Reign reign_, reign_before_;
    bool lends_ = false;
    uint64_t violations_ = 0;
    std::string last_violation_;
};

}   // namespace myrtleroute::control
