#include "roles/proxy/shutdown.hpp"

#include <algorithm>

namespace myrtleroute::proxy {
namespace {

constexpr Span unasked_after{2.3};        // the platform has seen two failed readiness checks by then
constexpr double listening_share = 0.4;   // fraction of a short grace period
constexpr Span on_its_way{0.3};           // margin for requests sent before the client noticed the close
// Time reserved before the end of the grace period for writing failures and for the exit; in a short one at most
// these shares of it.
constexpr Span to_write_failures{0.6}, to_exit{0.15};
constexpr double most_to_write_failures = 0.1, most_to_exit = 0.02;

}   // namespace

void Shutdown::begin(Time now) {
    begun_ = true;
    began_at_ = now;
}

Time Shutdown::listeners_end() const { return began_at_ + std::min(unasked_after, grace_ * listening_share); }

Time Shutdown::take_until() const { return listeners_end() + on_its_way; }

Time Shutdown::answers_end() const { return began_at_ + grace_ - std::min(to_exit, grace_ * most_to_exit); }

Shutdown::Step Shutdown::next(Time now) {
    const Time failures_at = began_at_ + grace_ - std::min(to_write_failures, grace_ * most_to_write_failures);
    const auto due = [&](Step step, Time at) {
        return told_ < step && now >= at;
    };
    if (!begun_) return Step::none;
    if (due(Step::close_listeners, listeners_end())) return told_ = Step::close_listeners;
    if (due(Step::answer_waiting, failures_at)) return told_ = Step::answer_waiting;
    if (due(Step::cut, answers_end())) return told_ = Step::cut;
    return Step::none;
}

}   // namespace myrtleroute::proxy
