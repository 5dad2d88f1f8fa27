// A proxy's lease on its configuration: for how long it may answer for API keys without hearing of a newer one.
//
// The proxy asks its control node, again and again, which configuration is the newest. The answer rests on a read barrier that
// begins after the ask has arrived, so whatever was acknowledged before the ask was *sent* is in it. A lease that begins at that
// moment and is shorter than the operator's bound therefore ends before any key that was taken away without this proxy's
// knowledge must no longer be served. The time of the answer's arrival plays no part: answers may lie in the socket of a process
// that stood still.
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
    uint64_t number = 0;   // rises with each ask of one life of a proxy
    bool operator==(const ConfigurationLeaseRequest&) const = default;
};

// No newer configuration than that version had been acknowledged when the ask was sent.
struct ConfigurationLeaseReply {
    uint64_t number = 0;
    uint64_t version = 0;
    bool operator==(const ConfigurationLeaseReply&) const = default;
};

class ConfigurationLease {
public:
    // `bound`: a key is served for so long at most after its removal was acknowledged; nothing: there is no such bound, and
    // the lease never ends.
    explicit ConfigurationLease(std::optional<Span> bound);

    // Asks that were sent on an earlier connection get no reply; on a new one the next is due at once.
    void connected();
    // The next ask, where one is due; it counts as sent now.
    std::optional<ConfigurationLeaseRequest> next_request(Time now);
    void apply(const ConfigurationLeaseReply& reply);
    void set_version(uint64_t version);   // requests are decided by this version from now on

    // `now` is read from the clock after whatever may have held the process up.
    bool is_valid(Time now) const { return !length_ || now - began_ < *length_; }

private:
    struct Ask {
        uint64_t number = 0;
        Time sent;
    };
    struct Proof {
        uint64_t version = 0;
        Time asked;
    };
    void renew();

    std::optional<Span> length_;
    Time began_ = long_ago;   // when the newest ask was sent whose answer named the version in use, or an older one
    Time next_ask_ = long_ago;
    uint64_t numbers_ = 0, version_ = 0;
    std::deque<Ask> asks_;       // without an answer, the oldest first
    std::deque<Proof> proofs_;   // of versions that are not in use yet, the oldest first
};

}   // namespace myrtleroute::leases
