// Rollouts of service versions at a control node: handles the operator's orders and reads while this node is the
// leader, collects the proxies' reports, and advances each rollout through its stages.
//
// An order and each change of stage is an entry of the replicated log. An order is answered once its entry is
// committed; a read, or an order that is known already, once a barrier shows that this replica was still the leader. A
// new leader finds the stages in its last entry; the proxies send it their cumulative reports again.
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
    struct FleetView {
        std::function<size_t()> proxies;   // number of known proxies
        // Number of ready hosts of that service by version; may be 0.
        std::function<std::map<std::string, size_t>(const std::string& service)> versions;
        std::function<void(const std::string& line)> log;
    };
    RolloutService(consensus::Replica& replica, Outputs& outputs, BoundsReached& bounds, FleetView fleet)
        : replica_(replica), outputs_(outputs), bounds_(bounds), fleet_(std::move(fleet)) {}

    // Precondition: this replica is the leader.
    void handle_order(RequestId request, const std::string& body, Time now);     // POST /rollouts
    void handle_read(RequestId request, const std::string& service, Time now);   // GET /rollouts/SERVICE

    void add_report(const rollout::RolloutReport& report, Time now);
    // Sets the committed rollouts, on leaders and followers. True if they are newer than the known ones.
    bool set_committed(const rollout::Rollouts& rollouts, Time now);
    const rollout::Rollouts& rollouts() const { return rollouts_; }

    void entry_committed(uint64_t index);
    bool barrier_passed(uint64_t number);   // false if the barrier was not requested here
    void leadership_lost();
    void tick(Time now);

private:
    // A response that waits for an entry to be committed or a barrier to pass.
    struct Waiting {
        HttpResponse response;
        std::optional<uint64_t> index, barrier;
        Time since;
    };
    // A rollout in progress, as observed by this node.
    struct Progress {
        Time since;         // when this node learned of the order
        Time stage_since;   // when this node learned of the current stage
        rollout::Stage stage = rollout::Stage::observing;
        rollout::Judge judge;
    };
    void respond_after_barrier(HttpResponse response, Time now);
    void begin(RequestId request, const rollout::Order& order, Time now);
    void log_progress(const rollout::Rollout& rollout, const Progress& progress, Time now);
    void advance(const rollout::Rollout& rollout, const Progress& progress, Time now);
    static Span elapsed(const Progress& progress, Time now);   // time since the order
    rollout::Stage next_stage(const rollout::Rollout& rollout, const Progress& progress, Time now) const;
    bool propose(rollout::Rollouts rollouts, Time now);
    bool has_capacity(const rollout::Rollout& rollout) const;   // the hosts of the new version can serve all requests
    bool has_committed_in_term() const;                         // the last entry is of this leader's term and committed

    consensus::Replica& replica_;
    Outputs& outputs_;
    BoundsReached& bounds_;
    FleetView fleet_;
    rollout::Rollouts rollouts_;              // as committed
    std::map<uint64_t, Progress> progress_;   // by rollout number
    std::map<uint64_t, Time> ended_;          // when this node learned that the rollout had ended, by rollout number
    std::vector<Waiting> waiting_;
    Time next_judgement_ = long_ago, next_log_ = long_ago;
};

}   // namespace myrtleroute::control
