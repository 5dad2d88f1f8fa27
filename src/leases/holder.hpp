// A proxy's leases: decides for each request of a tenant whether it is within the limit that all proxies share.
//
// A state machine without clock and I/O. Units are used by the holder to which they were granted, so a request is
// decided at once while enough are held; otherwise it is queued for the reply to a lease request, as long as one may
// arrive in time. `now` must be the moment at which the units are used, read from the clock after anything that may
// have delayed the process.
#pragma once
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "leases/lease.hpp"
#include "leases/refusal_cause.hpp"

namespace myrtleroute::leases {

enum class Verdict {
    granted,
    waiting,   // queued; `take_decided` returns the decision later
    refused,
};

struct Decision {
    Verdict verdict = Verdict::granted;
    // Set only if refused.
    RefusalCause cause = RefusalCause::over_limit;
    Span retry_after;   // when units may be available for the request
};

class Holder {
public:
    // `started`: the start time of the holder's process.
    Holder(HolderId id, LeaseTerms terms, Time started) : id_(std::move(id)), terms_(terms), started_(started) {}

    // Admits, queues or refuses a request that costs `cost` units. `ticket` identifies it in the results of
    // `take_decided`; it is queued no longer than `timeout`.
    Decision acquire(const std::string& tenant, double cost, uint64_t ticket, Span timeout, Time now);
    void cancel(uint64_t ticket);   // removes a queued request

    // Sets whether a connection to the allocator exists. When it ends, the outstanding request gets no reply.
    void connected(bool is_up);
    // Makes the next request due at once: there may be a new allocator, or the allocator requires another request.
    void expedite() { expedite_ = true; }
    bool is_expedited() const { return expedite_; }
    // The next request if one is due. It counts as sent; at most one is outstanding.
    std::optional<LeaseRequest> next_request(Time now);
    void apply(const LeaseReply& reply, Time now);
    void tick(Time now);   // decides queued requests whose time has run out; call several times per second

    struct Decided {
        uint64_t ticket = 0;
        Decision decision;
    };
    std::vector<Decided> take_decided() { return std::exchange(decided_, {}); }
    bool has_waiting() const { return waiting_count_ > 0; }
    Time next_deadline() const { return next_deadline_; }   // when the next queued request times out

    // Units received and used since the start; used never exceeds received.
    struct Totals {
        double received = 0, used = 0;
    };
    const Totals& totals() const { return totals_; }
    // State of one tenant as of the last request or reply; nothing for an unknown tenant.
    struct TenantStatus {
        double held = 0;       // units available
        double overload = 0;   // total demand at all proxies as a multiple of the limit
    };
    std::optional<TenantStatus> tenant_status(const std::string& tenant) const;
    Time last_reply() const { return last_reply_; }   // when the last reply of the allocator arrived

private:
    static constexpr Span initial_reply_timeout{0.15};
    struct Waiting {
        uint64_t ticket = 0;
        double cost = 0;
        Time deadline;
        uint64_t request_number = 0;   // number of the lease request that included it; 0 = none yet
    };
    struct Lease {
        double demand = 0;   // units per second, averaged
        Time demand_updated_at = long_ago, requested_at = long_ago, used_at = long_ago;
        double held = 0, accumulated = 0;   // units: granted, and accumulated from the reserve
        Time accumulated_at = long_ago;
        LeaseGrant grant;   // the last one received
        // When the granted units expire, and the span in which the reserve belongs to this holder. Only a reply that
        // names the tenant changes these: the allocator counts nothing else.
        Time grant_expires = long_ago, reserve_begins = long_ago, reserve_expires = long_ago;
        std::deque<Waiting> waiting;
        bool changed = true;   // since the last lease request
        double usable() const { return held + accumulated; }
    };
    void update_demand(Lease& lease, double cost, Time now) const;
    void update_balance(Lease& lease, Time now);   // expires grants and accumulates the reserve up to `now`
    void use(Lease& lease, double cost, Time now);
    void add_units(double& into, double units);
    bool can_expect_reply(Time now) const;
    Decision refusal(const Lease& lease, double cost, RefusalCause cause, Time now) const;
    void decide_queued(Lease& lease, bool replied, Time now);
    LeaseStatus make_status(Lease& lease, Time now);
    void find_next_deadline();

    HolderId id_;
    LeaseTerms terms_;
    Time started_;
    std::map<std::string, Lease> leases_;
    std::vector<Decided> decided_;
    size_t waiting_count_ = 0;
    Time next_deadline_ = long_ago;
    uint64_t number_ = 0, applied_ = 0;   // numbers of lease requests
    bool connected_ = false;
    Time request_sent_at_ = long_ago;       // when the outstanding request was sent; long_ago: none is outstanding
    bool request_covers_waiting_ = false;   // queued requests wait for its reply
    // Time of the first request since the last reply, or since the connection was established.
    Time unanswered_since_ = long_ago;
    Span reply_timeout_ = initial_reply_timeout;   // after this another request is sent
    Time last_request_ = long_ago, last_reply_ = long_ago;
    uint64_t applied_term_ = 0;
    bool expedite_ = false;
    Totals totals_;
};

}   // namespace myrtleroute::leases
