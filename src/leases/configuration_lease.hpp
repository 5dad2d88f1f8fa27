// A proxy's lease on its configuration: how long it may decide on API keys without confirmation that its configuration
// is the newest.
//
// The proxy repeatedly asks its control node which configuration is the newest. The reply rests on a read barrier that
// begins after the request has arrived, so it covers every change that was acknowledged before the request was *sent*.
// A lease that begins at that moment and is shorter than the operator's bound therefore ends before the deadline for
// any key whose removal this proxy does not know of. The arrival time of the reply is not used: replies may have waited
// in the socket of a process that was paused.
//
// A state machine without clock and I/O.
#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "time.hpp"

namespace myrtleroute::leases {

struct ConfigurationLeaseRequest {
    uint64_t number = 0;   // increases with each request of one incarnation of a proxy
    bool operator==(const ConfigurationLeaseRequest&) const = default;
};

// No configuration newer than `version` had been acknowledged when the request was sent.
struct ConfigurationLeaseReply {
    uint64_t number = 0;
    uint64_t version = 0;
    bool operator==(const ConfigurationLeaseReply&) const = default;
};

class ConfigurationLease {
public:
    // `bound`: the longest time for which a key may be accepted after its removal was acknowledged; nothing: there is
    // no such bound, and the lease never ends.
    explicit ConfigurationLease(std::optional<Span> bound);

    // Call on a new connection: requests sent on an earlier one get no reply, and the next request is due at once.
    void connected();
    // The next request if one is due; it counts as sent now.
    std::optional<ConfigurationLeaseRequest> next_request(Time now);
    void apply(const ConfigurationLeaseReply& reply);
    void set_version(uint64_t version);   // the version that decides requests from now on

    // `now` must be read from the clock after anything that may have delayed the process.
    bool is_valid(Time now) const { return !duration_ || now - began_ < *duration_; }

private:
    struct PendingRequest {
        uint64_t number = 0;
        Time sent;
    };
    struct Confirmation {
        uint64_t version = 0;
        Time requested;
    };
    void renew();

    std::optional<Span> duration_;
    // When the newest request was sent whose reply named the version in use or an older one.
    Time began_ = long_ago;
    Time next_request_at_ = long_ago;
    uint64_t last_number_ = 0, version_ = 0;
    std::deque<PendingRequest> pending_requests_;   // unanswered requests, the oldest first
    std::deque<Confirmation> confirmations_;        // replies for versions that are not in use yet, the oldest first
};

}   // namespace myrtleroute::leases
