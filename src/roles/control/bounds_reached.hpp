// How often tables of a control node that are bounded were full, since the start of its process. docs/bounds.md tells what
// happens there.
#pragma once
#include <cstdint>

namespace myrtleroute::control {

struct BoundsReached {
    uint64_t orders = 0;             // that wait: a further one is refused
    uint64_t accepted_digests = 0;   // of configurations: the oldest is forgotten
    uint64_t lease_asks = 0;         // that wait for a leader: a further one is dropped
    uint64_t lease_holders = 0;      // an ask of a further one gets no reply
    uint64_t lease_nodes = 0;        // a further one is lent nothing
    uint64_t confirmations = 0;      // owed for drains: a further one is dropped
    uint64_t hosts = 0;              // one that is gone gives way
    uint64_t control_nodes = 0;      // a further one is not connected to
    uint64_t queued_bytes = 0;       // of a connection: its reader is given up
};

}   // namespace myrtleroute::control
