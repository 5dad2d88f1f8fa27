#include "roles/control/barrier_batch.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace myrtleroute::control {
namespace {

constexpr size_t max_open_barriers = 32;   // the oldest one is dropped beyond that
constexpr int max_doublings = 3;

}   // namespace

void BarrierBatch::remove(ConnectionId connection) {
    waiting_.erase(connection);
    passed_.erase(connection);
    for (auto& [number, connections] : requested_) connections.erase(connection);
}

bool BarrierBatch::has_new_waiters() const {
    return std::any_of(waiting_.begin(), waiting_.end(), [](const auto& known) { return known.second.barriers == 0; });
}

bool BarrierBatch::is_due(Time now) const {
    if (requested_.empty()) return now - requested_at_ >= options_.min_interval;
    const int doublings = has_new_waiters() ? 0 : std::min(retries_, max_doublings);
    return now - requested_at_ >= options_.retry_after * (1 << doublings);
}

void BarrierBatch::tick(Time now) {
    if (waiting_.empty() || !passed_.empty() || !is_due(now)) return;
    const auto barrier = replica_.barrier(consensus::BarrierAt::committed, now, options_.round);
    if (!barrier) {   // there is no leader, so no open barrier will pass: retry at the next tick
        requested_at_ = long_ago;
        requested_.clear();
        return;
    }
    requested_at_ = now;
    retries_ = requested_.empty() ? 0 : retries_ + 1;
    for (auto& [connection, waiting] : waiting_) ++waiting.barriers;
    requested_[*barrier] = waiting_;
    if (requested_.size() > max_open_barriers) requested_.erase(requested_.begin());
}

// A barrier also covers everything that earlier ones would have covered.
bool BarrierBatch::barrier_passed(const consensus::BarrierPassed& barrier) {
    const auto held = requested_.find(barrier.number);
    if (held == requested_.end()) return false;
    for (const auto& [connection, proven] : held->second) passed_[connection] = proven;
    passed_index_ = std::max(passed_index_, barrier.index);
    requested_.erase(requested_.begin(), std::next(held));
    return true;
}

std::map<ConnectionId, BarrierWaiter> BarrierBatch::take_passed(uint64_t known_index) {
    if (known_index < passed_index_) return {};
    for (const auto& [connection, proven] : passed_)
        if (const auto waiting = waiting_.find(connection);
            waiting != waiting_.end() && waiting->second.value == proven.value)
            waiting_.erase(waiting);
    return std::exchange(passed_, {});
}

}   // namespace myrtleroute::control
