// What the holder of leases and their allocator say to each other.
//
// A holder has at most one ask under way and takes only the reply to its newest one. So when an ask arrives, whatever
// was lent to the holder before is either in what the ask names as held, or will never be used.
#pragma once
#include <cstdint>
#include <map>
#include <string>

#include "time.hpp"

namespace myrtleroute::leases {

// How long what is told holds. All spans are measured on the clock of the one who waits; clocks are never compared.
struct LeaseTerms {
    Span grant_duration{4};          // units that were lent, from the sending of the ask that they answer
    Span reserve_delay{1.5};         // the reserve stays with the allocator so long after a reply has come
    Span reserve_duration{7};        // the reserve, from the sending of the ask that it answers
    Span authority_duration{0.35};   // of an allocator, from the sending of the round that a majority has answered
    Span tenant_retention{4};        // by a holder, a tenant of whom nothing is asked
    Span takeover_margin{0.05};      // beyond that, until another one begins
};

// Names one life of a proxy's process. Another life of the same node is another holder.
struct HolderId {
    std::string node;
    uint64_t incarnation = 0;
    auto operator<=>(const HolderId&) const = default;
};

// Of one tenant, as the holder has it.
struct LeaseStatus {
    double demand = 0;            // units a second that requests have asked for lately
    double held = 0;              // units lent and not used
    double returned = 0;          // units that the holder has given up with this ask
    double needed = 0;            // units that requests wait for just now, beyond what is held
    double needed_by_first = 0;   // of these, for the one that came first
    double reserve_rate = 0;      // units a second that it may use by itself out of touch
    double idle = 0;              // seconds for which this life of the holder has used none
    bool operator==(const LeaseStatus&) const = default;
};

struct LeaseRequest {
    HolderId holder;
    uint64_t number = 0;                          // rises with each ask of the holder
    uint64_t applied = 0;                         // the newest ask whose reply the holder has taken
    uint64_t applied_term = 0;                    // of the allocator that gave it
    double age = 0;                               // seconds since this life began
    std::map<std::string, LeaseStatus> tenants;   // those of whom something was asked lately
    bool operator==(const LeaseRequest&) const = default;
};

// Of one tenant, as the allocator lends it.
struct LeaseGrant {
    double granted = 0;        // units more
    double target = 0;         // units to hold; what is more is to be returned
    double threshold = 0;      // requests have their turn while at least so many are held
    double reserve_rate = 0;   // units a second, from now on
    double reserve_cap = 0;    // most units to gather out of touch
    double overload = 0;       // what all ask for, as a multiple of the limit
    bool operator==(const LeaseGrant&) const = default;
};

struct LeaseReply {
    HolderId holder;
    uint64_t number = 0;          // of the ask
    uint64_t term = 0;            // of the allocator
    bool request_again = false;   // another ask is wanted soon: the allocator has yet to hear of all
    std::map<std::string, LeaseGrant> tenants;
    bool operator==(const LeaseReply&) const = default;
};

}   // namespace myrtleroute::leases
