// Rollouts of service versions at a control node: takes the operator's orders and readings where it leads, gathers the proxies'
// ballots, and moves each rollout on.
//
// An order and each stage is an entry of the replicated log. An order is answered once its entry is committed, a reading or
// an order that is known already once a barrier shows that this replica still led. A new leader finds the stages in its last entry; the
// proxies tell it their sums again.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "consensus/replica.hpp"
#include "rollout/judge.hpp"
#include "rollout/order.hpp"
#include "rollout/rollout.hpp"
#include "roles/control/bounds_reached.hpp"
#include "roles/control/outputs.hpp"

namespace myrtleroute::control {

class RolloutService {
public:
    struct Fleet {
        std::function<size_t()> proxies;   // that there are, as far as known
        // Hosts of that service that are ready, by version; a version may have none.
        std::function<std::map<std::string, size_t>(const std::string& service)> versions;
        std::function<void(const std::string& line)> log;
    };
    RolloutService(consensus::Replica& replica, Outputs& outputs, BoundsReached& bounds, Fleet fleet)
        : replica_(replica), outputs_(outputs), bounds_(bounds), fleet_(std::move(fleet)) {}

    // The caller has made sure that this replica leads.
    void order(RequestId request, const std::string& body, Time now);     // POST /rollouts
    void read(RequestId request, const std::string& service, Time now);   // GET /rollouts/SERVICE

    void ballot(const rollout::RolloutReport& ballot, Time now);
    // What is committed, at any control node. True: it is newer than what was known.
    bool committed(const rollout::Rollouts& rollouts, Time now);
    const rollout::Rollouts& known() const { return known_; }

    void committed_index(uint64_t index);
    bool barrier_passed(uint64_t number);   // false: it is somebody else's
    void leadership_lost();
    void tick(Time now);

private:
    // An answer that waits for an entry or a barrier.
    struct Waiting {
        HttpResponse answer;
        std::optional<uint64_t> index, barrier;
        Time since;
    };
    // A rollout in progress, as this node knows it.
    struct Watched {
        Time since;         // when this node learnt of the order
        Time stage_since;   // and of its stage
        rollout::Stage stage = rollout::Stage::observing;
        rollout::Judge judge;
    };
    void answer_behind_barrier(HttpResponse answer, Time now);
    void begin(RequestId request, const rollout::Order& order, Time now);
    void log_progress(const rollout::Rollout& rollout, const Watched& watched, Time now);
    void move_on(const rollout::Rollout& rollout, const Watched& watched, Time now);
    static Span elapsed(const Watched& watched, Time now);   // since the order
    rollout::Stage next_stage(const rollout::Rollout& rollout, const Watched& watched, Time now) const;
    bool propose(rollout::Rollouts rollouts, Time now);
    bool has_room(const rollout::Rollout& rollout) const;   // the candidates could serve all requests
    bool is_settled() const;                                // what this leader knows as its state is committed

    consensus::Replica& replica_;
    Outputs& outputs_;
    BoundsReached& bounds_;
    Fleet fleet_;
    rollout::Rollouts known_;               // committed
    std::map<uint64_t, Watched> watched_;   // by number of the order
    std::map<uint64_t, Time> ended_;        // when this node learnt of an end, by number
    std::vector<Waiting> waiting_;
    Time judged_at_ = long_ago, logged_at_ = long_ago;
};

}   // namespace myrtleroute::control
