// An operator that starts one rollout after the other and reads their states.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "lab/control/callers.hpp"

namespace myrtleroute::lab::control {

class RolloutOperator {
public:
    RolloutOperator(Queue& queue, RandomStream random, const CallerEnvironment& environment, Checker& checker)
        : queue_(queue), random_(random), environment_(environment), checker_(checker) {}
    void start() { schedule_next(); }
    void stop() { stopped_ = true; }   // once the call in progress has ended
    void read_now();
    bool has_read() const { return has_read_; }   // since the last `read_now`

private:
    void schedule_next();
    void start_call(bool is_read);
    void call(Machine* machine, int redirects);
    void completed(const std::optional<myrtleroute::control::HttpResponse>& answer, int redirects);
    void handle_reading(const myrtleroute::control::HttpResponse& answer);
    void retry();
    Machine* choose_machine();

    Queue& queue_;
    RandomStream random_;
    const CallerEnvironment& environment_;
    Checker& checker_;
    bool stopped_ = false, busy_ = false, is_read_ = false, has_read_ = false;
    bool in_progress_ = false;   // as of the last read
    std::string target_version_;
    int attempts_ = 0;
    uint64_t call_number_ = 0, rollouts_sent_ = 0;
};

}   // namespace myrtleroute::lab::control
