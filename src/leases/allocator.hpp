// Lends the units of shared limits to the proxies that ask for them, as a state machine without clock and I/O.
//
// One allocator acts at a time: the caller sees to it that `begin` is called no sooner than the authority of the one
// before has ended, and asks are handed in only while its own holds. It begins without memory of what was lent, but
// with the names of all nodes to which anything may have been lent: once each of them has asked, it knows all that is
// left. Until then what others may still hold is bounded by what any allocator may lend, and by the leases' ends.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "leases/lease.hpp"
#include "leases/limit.hpp"

namespace myrtleroute::leases {

class Allocator {
public:
    explicit Allocator(LimitRule rule, LeaseTerms terms = {}) : rule_(rule), terms_(terms) {}

    // The limits in force, by tenant; tenants without a limit are left out.
    void set_limits(std::map<std::string, Limit> limits, Time now);
    // Starts anew. The authority of any earlier allocator has ended. `term`: no other allocator has it. `nodes`: those to
    // which earlier ones may have lent.
    void begin(uint64_t term, const std::set<std::string>& nodes, Time now);
    // The nodes to which may be lent from now on; at least all to which something may have been lent.
    void admit(std::set<std::string> nodes) { nodes_ = std::move(nodes); }
    bool is_admitted(const std::string& node) const { return nodes_.count(node) > 0; }
    bool is_full_for(const HolderId& holder) const;   // there are as many others as may be
    // When a node asked last; nothing where it has not since `begin`.
    std::optional<Time> last_request(const std::string& node) const;
    void tick(Time now);   // several times a second

    // Nothing where the ask is older than one that has been answered, or its node is not admitted.
    std::optional<LeaseReply> handle(const LeaseRequest& ask, Time now);

    // What must hold at any time; the first that doesn't is named. It looks at all shares of all tenants.
    std::optional<std::string> violated_invariant() const;
    // The part of it that an ask may break, for the tenants of that ask.
    std::optional<std::string> violated_by(const LeaseRequest& ask) const;
    size_t holders() const { return holders_.size(); }
    struct Amounts {
        double pooled = 0, granted = 0, fill_rate = 0, demand = 0;
    };
    std::optional<Amounts> amounts(const std::string& tenant) const;

private:
    // What one holder may have of one tenant's limit.
    struct Share {
        double lent = 0;      // units, at the most
        double granted = 0;   // of these, with the last reply
        double reserve = 0;   // units a second, at the most
        double asked = 0;
        // Its holder's, as of the ask that named it last: each ask brings all shares of its holder up to date, so that a tick,
        // which looks at all shares, need not look their holders up.
        Time lent_until = long_ago, pooled_until = long_ago, reserve_until = long_ago;
    };
    struct Holder {
        uint64_t last_ask = 0;
        Time replied = long_ago;         // to that ask
        Time lent_until = long_ago;      // whatever it holds has ended then
        Time pooled_until = long_ago;    // until then it leaves its reserve to the pool
        Time reserve_until = long_ago;   // its reserve has ended then
        // It has taken a reply of this allocator: its process lives, and what it tells is not of before.
        bool proven = false;
        std::set<std::string> tenants;   // of which it has a share
    };
    struct Tenant {
        Limit limit;
        Budget budget;
        double level = 0;       // units in the pool
        double overdrawn = 0;   // below what may be lent ahead, since the limit was lowered
        double fill = 0;        // units a second
        Time filled = long_ago, filled_until = long_ago;
        // Of what holders said when this allocator first heard of them: what they held, and when any of them last used units.
        double first_reported = 0;
        Time last_used = long_ago;
        std::map<HolderId, Share> shares;
        double lent = 0, reserved = 0, asked = 0;   // sums of the shares
        bool is_over() const { return limit.rate <= 0 && shares.empty(); }
    };
    void plan_fill(Tenant& tenant, Time now);
    void refill(Tenant& tenant, Time now);
    bool knows_all() const { return missing_.empty(); }
    void note_first(const LeaseRequest& ask, Time now);
    void credit_idle_time(Time now);
    double unknown(const Tenant& tenant, Time now) const;
    double room(const Tenant& tenant, Time now) const;
    void count(Tenant& tenant, const Share& before, const Share& after);
    void expire(Tenant& tenant, Time now);
    void end_other_lives(const HolderId& living);
    LeaseGrant lend(Tenant& tenant, Share& share, const LeaseStatus& asked, Time now);
    double reserve_for(const Tenant& tenant, const Share& share, Time now) const;
    bool limit_binds(const Tenant& tenant, Time now) const;
    static std::optional<std::string> violated_budget(const std::string& name, const Tenant& tenant);

    LimitRule rule_;
    LeaseTerms terms_;
    std::map<std::string, Tenant> tenants_;
    std::map<HolderId, Holder> holders_;
    uint64_t term_ = 0;
    std::set<std::string> nodes_;   // admitted
    std::set<std::string>
        missing_;   // of these, at the beginning, those of whom nothing that is proven was heard since
    std::map<std::string, Time> heard_;
    Time began_ = long_ago;
    Time lent_before_gone_ = long_ago, reserves_before_gone_ = long_ago;
};

}   // namespace myrtleroute::leases
