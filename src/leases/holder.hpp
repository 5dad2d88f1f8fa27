// A proxy's leases: decides for each request of a tenant whether it is within the limit that all proxies share.
//
// A state machine without clock and I/O. Units are used where they were lent, so a request is decided at once while
// enough are held; else it waits for the reply to an ask, as long as one may come in time. `now` is always the
// moment at which the units are used, read from the clock after whatever may have held the process up.
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
    waiting,   // `take_decided` tells later
    refused,
};

struct Decision {
    Verdict verdict = Verdict::granted;
    // Of a refusal.
    RefusalCause cause = RefusalCause::over_limit;
    Span retry_after;   // when there may be units for the request
};

class Holder {
public:
    // `started`: when the holder's process was.
    Holder(HolderId id, LeaseTerms terms, Time started) : id_(std::move(id)), terms_(terms), started_(started) {}

    // A request that costs so many units. `ticket` names it in what `take_decided` returns; it waits for units no longer
    // than `patience`.
    Decision acquire(const std::string& tenant, double cost, uint64_t ticket, Span patience, Time now);
    void cancel(uint64_t ticket);   // a request that waits no longer

    // Whether there is a connection on which asks can be sent. Where it ends, the ask under way gets no reply.
    void connected(bool is_up);
    // There may be another allocator, or it wants to hear again: the next ask is due.
    void expedite() { ask_at_once_ = true; }
    bool is_expedited() const { return ask_at_once_; }
    // The next ask, where one is due. It counts as sent: at most one is under way.
    std::optional<LeaseRequest> next_request(Time now);
    void apply(const LeaseReply& reply, Time now);
    void tick(Time now);   // decides what has waited for too long; several times a second

    struct Decided {
        uint64_t ticket = 0;
        Decision decision;
    };
    std::vector<Decided> take_decided() { return std::exchange(decided_, {}); }
    bool has_waiting() const { return waiting_count_ > 0; }
    Time next_deadline() const { return waits_until_; }   // when the next of those that wait is given up

    // Everything that was ever got and used, in units; used is never more.
    struct Totals {
        double received = 0, used = 0;
    };
    const Totals& totals() const { return totals_; }
    // Of one tenant, as of the last request or reply; nothing where nothing is known of it.
    struct TenantStatus {
        double held = 0;       // units that may be used
        double overload = 0;   // what all proxies are asked for, as a multiple of the limit
    };
    std::optional<TenantStatus> tenant_status(const std::string& tenant) const;
    Time last_reply() const { return replied_; }   // when the allocator's last reply came

private:
    static constexpr Span first_reply_within{0.15};
    struct Waiting {
        uint64_t ticket = 0;
        double cost = 0;
        Time until;
        uint64_t asked_with = 0;   // number of the ask that named it; 0 = none yet
    };
    struct Lease {
        double asked = 0;   // units a second, averaged
        Time averaged_at = long_ago, requested_at = long_ago, used_at = long_ago;
        double held = 0, gathered = 0;   // units: lent, and got of the reserve
        Time gathered_at = long_ago;
        LeaseGrant lent;   // as it was told last
        // When what was lent ends, and from when to when the reserve is this holder's own. Only a reply that names the
        // tenant moves these: the allocator counts nothing else.
        Time held_until = long_ago, gather_from = long_ago, gather_until = long_ago;
        std::deque<Waiting> waiting;
        bool changed = true;   // since the last ask
        double usable() const { return held + gathered; }
    };
    void note_asked(Lease& lease, double cost, Time now) const;
    void settle(Lease& lease, Time now);   // to what may be used now
    void use(Lease& lease, double cost, Time now);
    void gain(double& into, double units);
    bool may_be_answered(Time now) const;
    Decision refusal(const Lease& lease, double cost, RefusalCause cause, Time now) const;
    void decide_waiting(Lease& lease, bool replied, Time now);
    LeaseStatus report(Lease& lease, Time now);
    void find_next_deadline();

    HolderId id_;
    LeaseTerms terms_;
    Time started_;
    std::map<std::string, Lease> leases_;
    std::vector<Decided> decided_;
    size_t waiting_count_ = 0;
    Time waits_until_ = long_ago;
    uint64_t number_ = 0, applied_ = 0;   // of asks
    bool connected_ = false;
    Time asked_at_ = long_ago;                 // when the ask under way was sent; long ago: none is
    bool asked_for_waiting_ = false;           // requests wait for its reply
    Time unanswered_since_ = long_ago;         // the first ask since the last reply, or since the connection came up
    Span reply_within_ = first_reply_within;   // of the ask under way; then another one is sent
    Time last_ask_ = long_ago, replied_ = long_ago;
    uint64_t applied_term_ = 0;
    bool ask_at_once_ = false;
    Totals totals_;
};

}   // namespace myrtleroute::leases
