#include "roles/control/barrier_batch.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace myrtleroute::control {
namespace {

constexpr size_t most_open = 32;   // barriers that have not held; the oldest no longer counts then
constexpr int most_doublings = 3;

}   // namespace

void BarrierBatch::remove(ConnectionId link) {
    waiting_.erase(link);
    proven_.erase(link);
    for (auto& [number, connections] : asked_for_) connections.erase(link);
}

bool BarrierBatch::has_unasked() const {
    return std::any_of(waiting_.begin(), waiting_.end(), [](const auto& known) { return known.second.asked == 0; });
}

bool BarrierBatch::is_due(Time now) const {
    if (asked_for_.empty()) return now - asked_at_ >= options_.pause;
    const int doublings = has_unasked() ? 0 : std::min(asked_again_, most_doublings);
    return now - asked_at_ >= options_.again * (1 << doublings);
}

void BarrierBatch::tick(Time now) {
    if (waiting_.empty() || !proven_.empty() || !is_due(now)) return;
    const auto barrier = replica_.barrier(consensus::BarrierAt::committed, now, options_.round);
    if (!barrier) {   // nobody leads, so none under way will hold: again as soon as there may be somebody
        asked_at_ = long_ago;
        asked_for_.clear();
        return;
    }
    asked_at_ = now;
    asked_again_ = asked_for_.empty() ? 0 : asked_again_ + 1;
    for (auto& [link, waiting] : waiting_) ++waiting.asked;
    asked_for_[*barrier] = waiting_;
    if (asked_for_.size() > most_open) asked_for_.erase(asked_for_.begin());
}

// What an earlier barrier would prove is proven as well.
bool BarrierBatch::passed(const consensus::BarrierPassed& barrier) {
    const auto held = asked_for_.find(barrier.number);
    if (held == asked_for_.end()) return false;
    for (const auto& [link, proven] : held->second) proven_[link] = proven;
    proven_index_ = std::max(proven_index_, barrier.index);
    asked_for_.erase(asked_for_.begin(), std::next(held));
    return true;
}

std::map<ConnectionId, Proven> BarrierBatch::take_proven(uint64_t known_index) {
    if (known_index < proven_index_) return {};
    for (const auto& [link, proven] : proven_)
        if (const auto waiting = waiting_.find(link);
            waiting != waiting_.end() && waiting->second.value == proven.value)
            waiting_.erase(waiting);
    return std::exchange(proven_, {});
}

}   // namespace myrtleroute::control
