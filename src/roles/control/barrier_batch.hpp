// Connections that wait for a read barrier of the replicated log, in batches: those that wait when a barrier is asked for are
// proven when it holds. A barrier may be lost with its leader, so it is asked for again; the ones before still count, as the
// leader may only be late.
#pragma once
#include <cstdint>
#include <map>

#include "consensus/replica.hpp"
#include "roles/control/outputs.hpp"

namespace myrtleroute::control {

struct BarrierBatchOptions {
    consensus::BarrierRound round = consensus::BarrierRound::at_once;
    Span again;   // a barrier that has not held by then is asked for again; twice as late each further time
    Span pause;   // between the beginnings of two barriers
};

// A connection whose barrier has held.
struct Proven {
    uint64_t value = 0;
    Time since;      // when it began to wait
    int asked = 0;   // barriers asked for meanwhile
};

class BarrierBatch {
public:
    BarrierBatch(consensus::Replica& replica, BarrierBatchOptions options) : replica_(replica), options_(options) {}

    // `value` is returned with the connection; a later one of the same connection takes its place, and waits anew.
    void add(ConnectionId link, uint64_t value, Time now) { waiting_[link] = {value, now, 0}; }
    void remove(ConnectionId link);
    bool is_waiting(ConnectionId link) const { return waiting_.count(link) > 0; }
    void tick(Time now);   // asks for a barrier where one is wanted
    // False: the barrier is somebody else's.
    bool passed(const consensus::BarrierPassed& barrier);
    // Those that are proven, once everything up to the barrier's index is known here. They wait no longer.
    std::map<ConnectionId, Proven> take_proven(uint64_t known_index);

private:
    using Connections = std::map<ConnectionId, Proven>;
    bool is_due(Time now) const;
    bool has_unasked() const;   // some wait for which no barrier was asked for yet

    consensus::Replica& replica_;
    BarrierBatchOptions options_;
    Connections waiting_, proven_;
    std::map<uint64_t, Connections> asked_for_;   // by barrier, bounded
    int asked_again_ = 0;                         // since one has held
    uint64_t proven_index_ = 0;                   // that must be known before `proven_` are taken
    Time asked_at_ = long_ago;
};

}   // namespace myrtleroute::control
