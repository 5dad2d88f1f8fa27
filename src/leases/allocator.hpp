// Grants units of shared limits to the proxies that request them. A state machine without clock and I/O.
//
// Only one allocator is active at a time: the caller must call `begin` no sooner than the authority of the previous
// allocator has expired, and pass requests in only while this allocator's own authority is valid. A new allocator does
// not know what was granted before, but it is given the names of all nodes that may hold grants: once each of them has
// sent a request, it knows all outstanding grants. Until then, what other nodes may still hold is bounded by what any
// allocator may grant and by the expiry of leases.
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

    // Sets the limits by tenant; tenants without a limit are omitted.
    void set_limits(std::map<std::string, Limit> limits, Time now);
    // Starts a new term. The authority of any earlier allocator must have expired. `term`: used by no other allocator.
    // `nodes`: the nodes to which earlier allocators may have granted units.
    void begin(uint64_t term, const std::set<std::string>& nodes, Time now);
    // Sets the nodes that may receive grants from now on; must include every node that may hold a grant.
    void admit(std::set<std::string> nodes) { nodes_ = std::move(nodes); }
    bool is_admitted(const std::string& node) const { return nodes_.count(node) > 0; }
    bool is_full_for(const HolderId& holder) const;   // the maximum number of other holders is reached
    // The time of a node's last request; nothing if it has sent none since `begin`.
    std::optional<Time> last_request(const std::string& node) const;
    void tick(Time now);   // call several times per second

    // Returns nothing if the request is older than one already answered, or if its node is not admitted.
    std::optional<LeaseReply> handle(const LeaseRequest& request, Time now);

    // Checks all shares of all tenants and describes the first violated invariant.
    std::optional<std::string> violated_invariant() const;
    // Checks the invariants that a request may violate, for the tenants of that request only.
    std::optional<std::string> violated_by(const LeaseRequest& request) const;
    size_t holders() const { return holders_.size(); }
    struct Amounts {
        double pooled = 0, granted = 0, fill_rate = 0, demand = 0;
    };
    std::optional<Amounts> amounts(const std::string& tenant) const;

private:
    // What one holder may hold of one tenant's limit.
    struct Share {
        double granted = 0;        // upper bound, units
        double last_granted = 0;   // the part granted with the last reply
        double reserve = 0;        // upper bound, units per second
        double demand = 0;
        // Copied from the holder when it last sent a request: each request updates all shares of its holder, so that a
        // tick, which visits all shares, does not have to look up their holders.
        Time grant_expires = long_ago, reserve_pooled_until = long_ago, reserve_expires = long_ago;
    };
    struct Holder {
        uint64_t last_request_number = 0;
        Time replied = long_ago;                // when that request was answered
        Time grant_expires = long_ago;          // its grants have expired by then
        Time reserve_pooled_until = long_ago;   // until then it leaves its reserve to the pool
        Time reserve_expires = long_ago;        // its reserve has expired by then
        // It has applied a reply of this allocator: its process is alive, and its reports are current.
        bool is_confirmed = false;
        std::set<std::string> tenants;   // tenants in which it has a share
    };
    struct Tenant {
        Limit limit;
        Budget budget;
        double pooled = 0;        // units in the pool; negative when granted before they are produced
        double excess_debt = 0;   // units below the permitted debt, because the limit was lowered
        double fill_rate = 0;     // units per second
        Time refilled_at = long_ago, fill_valid_until = long_ago;
        // From the first reports of holders to this allocator: the units they held, and when any of them last used
        // units.
        double reported_earlier_grants = 0;
        Time last_used = long_ago;
        std::map<HolderId, Share> shares;
        double granted = 0, reserved = 0, demand = 0;   // sums over the shares
        bool is_expired() const { return limit.rate <= 0 && shares.empty(); }
    };
    void plan_fill(Tenant& tenant, Time now);
    void refill(Tenant& tenant, Time now);
    bool all_reported() const { return unreported_nodes_.empty(); }
    void apply_first_report(const LeaseRequest& request, Time now);
    void credit_idle_time(Time now);
    double unreported_grants(const Tenant& tenant, Time now) const;
    double capacity_left(const Tenant& tenant, Time now) const;
    void update_totals(Tenant& tenant, const Share& before, const Share& after);
    void expire(Tenant& tenant, Time now);
    void end_other_incarnations(const HolderId& current);
    LeaseGrant grant(Tenant& tenant, Share& share, const LeaseStatus& status, Time now);
    double reserve_for(const Tenant& tenant, const Share& share, Time now) const;
    bool limit_is_binding(const Tenant& tenant, Time now) const;
    static std::optional<std::string> violated_budget(const std::string& name, const Tenant& tenant);

    LimitRule rule_;
    LeaseTerms terms_;
    std::map<std::string, Tenant> tenants_;
    std::map<HolderId, Holder> holders_;
    uint64_t term_ = 0;
    std::set<std::string> nodes_;
    std::set<std::string> unreported_nodes_;   // the nodes given to `begin` that have not yet sent a confirmed request
    std::map<std::string, Time> last_requests_;
    Time began_ = long_ago;
    Time earlier_grants_expire_ = long_ago, earlier_reserves_expire_ = long_ago;
};

}   // namespace myrtleroute::leases
