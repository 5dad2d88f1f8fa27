#include "lab/control/rollout_checker.hpp"

#include <utility>

namespace myrtleroute::lab::control {
namespace {

using rollout::Stage;

}   // namespace

bool is_bad_version(const std::string& version) { return version.starts_with("bad"); }

RolloutChecker::Error RolloutChecker::committed(const rollout::Rollouts& rollouts) {
    if (rollouts.revision == 0) return {};
    const auto [existing, inserted] = by_revision_.try_emplace(rollouts.revision, rollouts);
    if (!inserted) {
        if (existing->second == rollouts) return {};
        return "revision " + std::to_string(rollouts.revision) + " of the rollouts was committed with two states";
    }
    for (const auto& rollout : rollouts.all) {
        const auto name = "the rollout to " + rollout.target_version;
        if (rollout.stage == Stage::completed && is_bad_version(rollout.target_version))
            return name + " has completed, its version is bad";
        const auto [furthest, first_seen] = furthest_.try_emplace(rollout.number, rollouts.revision, rollout.stage);
        auto& [revision, stage] = furthest->second;
        if (first_seen || rollouts.revision < revision) continue;
        const bool has_ended = stage == Stage::completed || stage == Stage::rolled_back;
        if (rollout.stage < stage || (has_ended && rollout.stage != stage))
            return name + " has changed to a stage that may not follow";
        furthest->second = {rollouts.revision, rollout.stage};
    }
    return {};
}

void RolloutChecker::sent(const std::string& target_version) {
    send_number_.try_emplace(target_version, ++sent_count_);
}

void RolloutChecker::acknowledged(const std::string& target_version) {
    acknowledged_ = std::max(acknowledged_, send_number_[target_version]);
}

RolloutChecker::Error RolloutChecker::read(const RolloutReading& reading) {
    if (send_number_[reading.target_version] < acknowledged_)
        return "the rollout to " + reading.target_version + " was read, a later one was acknowledged";
    const auto final_state = final_state_.find(reading.target_version);
    if (final_state != final_state_.end() && final_state->second != reading.state)
        return "the rollout to " + reading.target_version + " was " + final_state->second + " and is " + reading.state;
    if (reading.state != "in_progress") final_state_[reading.target_version] = reading.state;
    return {};
}

RolloutChecker::Error RolloutChecker::read_none() const {
    if (acknowledged_ == 0) return {};
    return "no rollout is known, one was acknowledged";
}

}   // namespace myrtleroute::lab::control
