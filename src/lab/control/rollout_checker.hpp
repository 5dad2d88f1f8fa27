// What must hold of rollouts in the virtual world: what is committed of them, and what the operator is told.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "rollout/rollout.hpp"

namespace myrtleroute::lab::control {

// Whether the candidates of that version fail in this world.
bool is_bad_version(const std::string& version);

// What the operator was told of a rollout.
struct RolloutReading {
    std::string target_version, state;
};

// Each call returns what is broken, nothing where all is well.
class RolloutChecker {
public:
    using Error = std::optional<std::string>;

    // The rollouts of a committed entry, at any machine.
    Error committed(const rollout::Rollouts& rollouts);
    // The operator has sent an order; it has been acknowledged.
    void sent(const std::string& target_version);
    void acknowledged(const std::string& target_version);
    Error read(const RolloutReading& reading);
    // Nothing is known of a rollout, says an answer.
    Error read_none() const;

private:
    std::map<uint64_t, rollout::Rollouts> by_revision_;
    std::map<uint64_t, std::pair<uint64_t, rollout::Stage>> furthest_;   // by number: at which revision, which stage
    std::map<std::string, uint64_t> send_number_;                        // of target versions, as they were sent
    uint64_t sent_count_ = 0, acknowledged_ = 0;
    std::map<std::string, std::string> final_state_;   // state that was told, by target version
};

}   // namespace myrtleroute::lab::control
