// Batches connections that wait for a read barrier of the replicated log: when a barrier passes, it covers every
// connection that was waiting when it was requested. A barrier may be lost with its leader, so it is requested again
// after a timeout; earlier barriers stay valid, because the leader may only be slow.
#pragma once
#include <cstdint>
#include <map>

#include "consensus/replica.hpp"
#include "roles/control/outputs.hpp"

namespace myrtleroute::control {

struct BarrierBatchOptions {
    consensus::BarrierRound round = consensus::BarrierRound::at_once;
    Span retry_after;    // a barrier that has not passed by then is requested again; the delay doubles with each retry
    Span min_interval;   // between the requests of two barriers, where none is open
};

// A connection that waits for a barrier, or whose barrier has passed.
struct BarrierWaiter {
    uint64_t value = 0;
    Time since;         // when it started to wait
    int barriers = 0;   // barriers requested since then
};

class BarrierBatch {
public:
    BarrierBatch(consensus::Replica& replica, BarrierBatchOptions options) : replica_(replica), options_(options) {}

    // `value` is returned with the connection; a later call for the same connection replaces it and restarts the wait.
    void add(ConnectionId connection, uint64_t value, Time now) { waiting_[connection] = {value, now, 0}; }
    void remove(ConnectionId connection);
    bool is_waiting(ConnectionId connection) const { return waiting_.count(connection) > 0; }
    void tick(Time now);   // requests a barrier if one is due
    // False if the barrier was not requested by this batch.
    bool barrier_passed(const consensus::BarrierPassed& barrier);
    // Removes and returns the connections whose barrier has passed, once this node knows the log up to the barrier's
    // index. Empty before that.
    std::map<ConnectionId, BarrierWaiter> take_passed(uint64_t known_index);

private:
    using Connections = std::map<ConnectionId, BarrierWaiter>;
    bool is_due(Time now) const;
    bool has_new_waiters() const;   // a connection waits that no requested barrier covers

    consensus::Replica& replica_;
    BarrierBatchOptions options_;
    Connections waiting_, passed_;
    std::map<uint64_t, Connections> requested_;   // open barriers by number; at most max_open_barriers
    int retries_ = 0;                             // since the last barrier that passed
    uint64_t passed_index_ = 0;   // this node must know the log up to here before `passed_` may be taken
    Time requested_at_ = long_ago;
};

}   // namespace myrtleroute::control
