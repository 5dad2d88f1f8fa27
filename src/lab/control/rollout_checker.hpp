// Invariants of rollouts in the simulation: of what is committed and of what the operator reads.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "rollout/rollout.hpp"

namespace myrtleroute::lab::control {

// Whether the candidates of that version fail in the simulation.
bool is_bad_version(const std::string& version);

// What the operator has read of a rollout.
struct RolloutReading {
    std::string target_version, state;
};

// Each check returns a description of the violation, or nullopt.
class RolloutChecker {
public:
    using Error = std::optional<std::string>;

    // The rollouts of a committed entry, on any machine.
    Error committed(const rollout::Rollouts& rollouts);
    // The operator has sent a rollout request; the request has been acknowledged.
    void sent(const std::string& target_version);
    void acknowledged(const std::string& target_version);
    Error read(const RolloutReading& reading);
    // A response said that no rollout is known.
    Error read_none() const;

private:
    std::map<uint64_t, rollout::Rollouts> by_revision_;
    std::map<uint64_t, std::pair<uint64_t, rollout::Stage>>
        furthest_;                                  // by rollout number: the revision and the stage
    std::map<std::string, uint64_t> send_number_;   // by target version, in the order of sending
    uint64_t sent_count_ = 0, acknowledged_ = 0;
    std::map<std::string, std::string> final_state_;   // final state that was read, by target version
};

}   // namespace myrtleroute::lab::control
