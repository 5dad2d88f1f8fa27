#include "roles/proxy/shutdown.hpp"

#include <algorithm>

namespace myrtleroute::proxy {
namespace {

constexpr Span listening_time{2.3};       // the platform has seen two failed readiness checks by then
constexpr double listening_share = 0.4;   // fraction of a short grace period
constexpr Span transit_time{0.3};         // margin for requests sent before the client noticed the close
// Time reserved before the end of the grace period for writing failures and for the exit; in a short one at most
// these shares of it.
constexpr Span failure_reserve{0.6}, exit_reserve{0.15};
constexpr double max_failure_share = 0.1, max_exit_share = 0.02;

}   // namespace

void Shutdown::begin(Time now) {
    begun_ = true;
    began_at_ = now;
}

Time Shutdown::listeners_end() const { return began_at_ + std::min(listening_time, grace_ * listening_share); }

Time Shutdown::requests_end() const { return listeners_end() + transit_time; }

Time Shutdown::answers_end() const { return began_at_ + grace_ - std::min(exit_reserve, grace_ * max_exit_share); }

Shutdown::Step Shutdown::next(Time now) {
    const Time failures_at = began_at_ + grace_ - std::min(failure_reserve, grace_ * max_failure_share);
    const auto due = [&](Step step, Time at) {
        return last_step_ < step && now >= at;
    };
    if (!begun_) return Step::none;
    if (due(Step::close_listeners, listeners_end())) return last_step_ = Step::close_listeners;
    if (due(Step::answer_waiting, failures_at)) return last_step_ = Step::answer_waiting;
    if (due(Step::cut, answers_end())) return last_step_ = Step::cut;
    return Step::none;
}

}   // namespace myrtleroute::proxy
