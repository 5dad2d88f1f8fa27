#include "rollout/rollout.hpp"

#include <algorithm>
#include <utility>

namespace myrtleroute::rollout {
namespace {

constexpr size_t max_rejected = 16, max_services = 256;

bool contains(const std::vector<std::string>& versions, const std::string& version) {
    return std::find(versions.begin(), versions.end(), version) != versions.end();
}

auto find_rollout(Rollouts& rollouts, const std::string& service) {
    return std::find_if(rollouts.all.begin(), rollouts.all.end(),
                        [&](const auto& rollout) { return rollout.service == service; });
}

void reject(Rollout& rollout) {
    if (rollout.rejected.size() >= max_rejected) rollout.rejected.erase(rollout.rejected.begin());
    rollout.rejected.push_back(rollout.target_version);
}

void remove_oldest_ended(Rollouts& rollouts) {
    auto oldest = rollouts.all.end();
    for (auto it = rollouts.all.begin(); it != rollouts.all.end(); ++it)
        if (!it->in_progress() && (oldest == rollouts.all.end() || it->number < oldest->number)) oldest = it;
    if (oldest != rollouts.all.end()) rollouts.all.erase(oldest);
}

}   // namespace

const Rollout* Rollouts::find(const std::string& service) const {
    const auto found =
        std::find_if(all.begin(), all.end(), [&](const auto& rollout) { return rollout.service == service; });
    return found == all.end() ? nullptr : &*found;
}

Group group_of(const Rollout* rollout, const std::string& version) {
    if (!rollout) return Group::serving;
    if (contains(rollout->rejected, version)) return Group::excluded;
    if (rollout->in_progress()) return version == rollout->target_version ? Group::candidate : Group::serving;
    return Group::serving;
}

const char* state_name(Stage stage) {
    switch (stage) {
        case Stage::observing:
        case Stage::moving: return "in_progress";
        case Stage::completed: return "completed";
        case Stage::rolled_back: return "rolled_back";
    }
    return "";
}

Rollouts with_stage(Rollouts rollouts, const std::string& service, Stage stage) {
    const auto rollout = find_rollout(rollouts, service);
    if (rollout == rollouts.all.end() || !rollout->in_progress() || rollout->stage >= stage) return rollouts;
    rollout->stage = stage;
    if (stage == Stage::rolled_back) reject(*rollout);
    ++rollouts.revision;
    return rollouts;
}

Rollouts with_new_rollout(Rollouts rollouts, const std::string& service, const std::string& target_version,
                          double duration) {
    auto rollout = find_rollout(rollouts, service);
    if (rollout == rollouts.all.end()) {
        if (rollouts.all.size() >= max_services) remove_oldest_ended(rollouts);
        rollout = rollouts.all.insert(rollouts.all.end(), Rollout{});
    }
    const auto number = ++rollouts.revision;
    auto rejected = std::move(rollout->rejected);
    std::erase(rejected, target_version);
    *rollout = Rollout{number, service, target_version, duration, Stage::observing, std::move(rejected)};
    return rollouts;
}

}   // namespace myrtleroute::rollout
