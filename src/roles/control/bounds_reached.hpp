// Counters of how often each bounded table of a control node was full, since the process started. docs/bounds.md
// describes the effect of each bound.
#pragma once
#include <cstdint>

namespace myrtleroute::control {

struct BoundsReached {
    uint64_t orders = 0;             // operators' requests that wait: a further one is refused
    uint64_t accepted_digests = 0;   // of configurations: the oldest is dropped
    uint64_t lease_asks = 0;         // lease requests that wait for a leader: a further one is dropped
    uint64_t lease_holders = 0;      // a request of a further holder gets no reply
    uint64_t lease_nodes = 0;        // a further node is granted nothing
    uint64_t confirmations = 0;      // still to be sent for drains: a further one is dropped
    uint64_t hosts = 0;              // a host that is gone is evicted
    uint64_t control_nodes = 0;      // a further control node is not connected to
    uint64_t queued_bytes = 0;       // of a connection: it is closed because its reader is too slow
};

}   // namespace myrtleroute::control
