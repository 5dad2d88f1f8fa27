// Messages between a lease holder (a proxy) and the allocator of units of shared limits.
//
// A holder has at most one outstanding request and applies only the reply to its newest one. So when a request arrives,
// whatever was granted to the holder before is either reported in the request as held, or will never be used.
#pragma once
#include <cstdint>
#include <map>
#include <string>

#include "time.hpp"

namespace myrtleroute::leases {

// Durations of leases. Each is measured on the clock of the process that waits; clocks of different processes are never
// compared.
struct LeaseTerms {
    Span grant_duration{4};     // validity of granted units, from the sending of the request that the grant answers
    Span reserve_delay{1.5};    // after a reply, the allocator keeps using the reserve for this long
    Span reserve_duration{7};   // validity of the reserve, from the sending of the request that the reply answers
    // Of an allocator, from the sending of a heartbeat round that a majority has answered.
    Span authority_duration{0.35};
    Span tenant_retention{4};     // how long a holder keeps a tenant without requests
    Span takeover_margin{0.05};   // added to `authority_duration` before another allocator begins
};

// Identifies one incarnation of a proxy's process. Another incarnation of the same node is another holder.
struct HolderId {
    std::string node;
    uint64_t incarnation = 0;
    auto operator<=>(const HolderId&) const = default;
};

// The state of one tenant's lease as the holder reports it.
struct LeaseStatus {
    double demand = 0;            // units per second that recent requests needed
    double held = 0;              // units granted and not used
    double returned = 0;          // units that the holder returns with this request
    double needed = 0;            // units that queued requests need beyond those held
    double needed_by_first = 0;   // the part of `needed` for the first queued request
    double reserve_rate = 0;      // units per second that the holder may use while disconnected from the allocator
    double idle = 0;              // seconds since this incarnation of the holder last used a unit
    bool operator==(const LeaseStatus&) const = default;
};

struct LeaseRequest {
    HolderId holder;
    uint64_t number = 0;                          // increases with each request of the holder
    uint64_t applied = 0;                         // number of the newest request whose reply the holder has applied
    uint64_t applied_term = 0;                    // term of the allocator that sent that reply
    double age = 0;                               // seconds since this incarnation started
    std::map<std::string, LeaseStatus> tenants;   // tenants with recent requests
    bool operator==(const LeaseRequest&) const = default;
};

// The allocator's grant for one tenant.
struct LeaseGrant {
    double granted = 0;        // additional units
    double target = 0;         // units that the holder should hold; it returns any excess
    double threshold = 0;      // requests are admitted only while at least this many units are held
    double reserve_rate = 0;   // units per second from now on
    double reserve_cap = 0;    // most units that may accumulate from the reserve while disconnected
    double overload = 0;       // total demand as a multiple of the limit
    bool operator==(const LeaseGrant&) const = default;
};

struct LeaseReply {
    HolderId holder;
    uint64_t number = 0;   // of the request
    uint64_t term = 0;     // of the allocator
    // The holder should send another request soon: the allocator has not received one from every node.
    bool request_again = false;
    std::map<std::string, LeaseGrant> tenants;
    bool operator==(const LeaseReply&) const = default;
};

}   // namespace myrtleroute::leases
