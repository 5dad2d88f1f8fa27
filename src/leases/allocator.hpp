// Lends the units of shared limits to the proxies that ask for them, as a state machine without clock and I/O.
//
// One allocator acts at a time: the caller sees to it that `begin` is called no sooner than the authority of the one
// before has ended, and asks are handed in only while its own holds. It begins without memory. What holders may still
// have from before is bounded by what any allocator may lend, and is taken into account until it has ended.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>

#include "leases/lease.hpp"
#include "leases/limit.hpp"

namespace myrtleroute::leases {

class Allocator {
public:
    explicit Allocator(LimitRule rule, LeaseTerms terms = {}) : rule_(rule), terms_(terms) {}

    // The limits in force, by tenant; tenants without a limit are left out.
    void limits(std::map<std::string, Limit> limits, Time now);
    // Which allocators there were before this one.
    enum class Before {
        none,      // there surely was none whose leases may still hold
        one,       // the last one acted for longer than leases hold
        several,   // that is not known
    };
    // Starts anew. The authority of any earlier allocator has ended.
    void begin(Time now, Before before);
    void tick(Time now);   // several times a second

    // Nothing where the ask is older than one that has been answered.
    std::optional<LeaseReply> ask(const LeaseAsk& ask, Time now);

    // What must hold at any time; the first that doesn't is named.
    std::optional<std::string> violated_invariant() const;
    size_t holders() const { return holders_.size(); }
    struct Amounts {
        double level = 0, lent = 0, fill = 0, asked = 0;
    };
    std::optional<Amounts> amounts(const std::string& tenant) const;

private:
    // What one holder may have of one tenant's limit.
    struct Share {
        double lent = 0;      // units, at the most
        double granted = 0;   // of these, with the last reply
        double reserve = 0;   // units a second, at the most
        double asked = 0;
    };
    struct Holder {
        uint64_t last_ask = 0;
        Time replied = long_ago;         // to that ask
        Time lent_until = long_ago;      // whatever it holds has ended then
        Time pooled_until = long_ago;    // until then it leaves its reserve to the pool
        Time reserve_until = long_ago;   // its reserve has ended then
    };
    struct Tenant {
        Limit limit;
        Budget budget;
        double level = 0;   // units in the pool
        double fill = 0;    // units a second
        Time filled = long_ago, filled_until = long_ago;
        double first_reported = 0;   // what holders had when this allocator first heard of them
        std::map<HolderId, Share> shares;
        double lent = 0, reserved = 0, asked = 0;   // sums of the shares
        bool is_over() const { return limit.rate <= 0 && shares.empty(); }
    };
    void plan_fill(Tenant& tenant, Time now);
    void refill(Tenant& tenant, Time now);
    double unknown(const Tenant& tenant, Time now) const;
    double room(const Tenant& tenant, Time now) const;
    void count(Tenant& tenant, const Share& before, const Share& after);
    void expire(Tenant& tenant, Time now);
    void end_other_lives(const HolderId& living);
    LentLease lend(Tenant& tenant, Share& share, const HeldLease& asked, Time now);
    double reserve_for(const Tenant& tenant, const Share& share, Time now) const;
    bool limit_binds(const Tenant& tenant, Time now) const;

    LimitRule rule_;
    LeaseTerms terms_;
    std::map<std::string, Tenant> tenants_;
    std::map<HolderId, Holder> holders_;
    Before before_ = Before::none;
    Time lent_before_gone_ = long_ago, reserves_before_gone_ = long_ago;
};

}   // namespace myrtleroute::leases
