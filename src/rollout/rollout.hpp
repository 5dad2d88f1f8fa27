// Rollouts of service versions: the replicated order, and how it groups hosts and requests.
//
// The hosts of the target version, the candidates, start beside the serving hosts. While a rollout is `observing`, the
// candidates get a small share of the requests; while it is `moving`, all of them. Both are reported to the operator as
// in progress, and may still end as `rolled_back`. A rollout that has ended never changes.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace myrtleroute::rollout {

enum class Stage { observing, moving, completed, rolled_back };

struct Rollout {
    uint64_t number = 0;   // of the order; increases with each order for any service
    std::string service, target_version;
    double duration = 0;   // seconds from the order to its deadline
    Stage stage = Stage::observing;
    // Versions of this service that were rolled back, the oldest first, bounded.
    std::vector<std::string> rejected;
    bool operator==(const Rollout&) const = default;

    bool in_progress() const { return stage == Stage::observing || stage == Stage::moving; }
};

// The replicated rollouts: the newest one of each service.
struct Rollouts {
    uint64_t revision = 0;   // increases with each change
    std::vector<Rollout> all;
    bool operator==(const Rollouts&) const = default;

    const Rollout* find(const std::string& service) const;
};

// The role of a host in its service's rollout.
enum class Group { serving, candidate, excluded };

// `rollout`: the newest one of the host's service; null if there is none.
Group group_of(const Rollout* rollout, const std::string& version);

// The state reported to the operator: in_progress, completed or rolled_back.
const char* state_name(Stage stage);

// Returns the rollouts with the service's rollout at that stage. Unchanged if it has ended or there is none.
Rollouts with_stage(Rollouts rollouts, const std::string& service, Stage stage);

// Returns the rollouts with a new order. The service's earlier rollout must have ended. Beyond the number of services
// kept, the rollout whose order is the oldest among the ended ones is removed.
Rollouts with_new_rollout(Rollouts rollouts, const std::string& service, const std::string& target_version,
                          double duration);

}   // namespace myrtleroute::rollout
