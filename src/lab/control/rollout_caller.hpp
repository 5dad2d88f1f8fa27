// An operator who orders one rollout after the other and asks what has become of them.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "lab/control/callers.hpp"

namespace myrtleroute::lab::control {

class RolloutOperator {
public:
    RolloutOperator(Queue& queue, RandomStream chance, const Platform& platform, Checker& checker)
        : queue_(queue), chance_(chance), platform_(platform), checker_(checker) {}
    void begin() { think(); }
    void stop() { stopped_ = true; }   // after the call that is under way
    void read_now();
    bool has_read() const { return has_read_; }   // since the last `read_now`

private:
    void think();
    void begin_call(bool reads);
    void call(Machine* machine, int redirects);
    void ended(const std::optional<myrtleroute::control::HttpResponse>& answer, int redirects);
    void read(const myrtleroute::control::HttpResponse& answer);
    void try_again();
    Machine* choose();

    Queue& queue_;
    RandomStream chance_;
    const Platform& platform_;
    Checker& checker_;
    bool stopped_ = false, busy_ = false, reads_ = false, has_read_ = false;
    bool in_progress_ = false;   // by the last reading
    std::string target_version_;
    int tries_ = 0;
    uint64_t call_ = 0, orders_ = 0;
};

}   // namespace myrtleroute::lab::control
