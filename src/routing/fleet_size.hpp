// An upper estimate of the number of proxies, used to divide budgets that all of them share: the largest number
// reported recently.
//
// During a network partition, or just after a start, each control node knows only some of the proxies. A share of a
// budget computed from such a number would be too large on every side.
#pragma once
#include <algorithm>
#include <cstddef>
#include <deque>

#include "time.hpp"

namespace myrtleroute::routing {

class FleetSize {
public:
    void update(size_t proxies, Time now) {
        while (!samples_.empty() && samples_.back().proxies <= proxies) samples_.pop_back();
        if (samples_.size() < max_samples) samples_.push_back({proxies, now});
    }
    size_t maximum(Time now) {
        while (samples_.size() > 1 && now - samples_.front().at > window) samples_.pop_front();
        return samples_.empty() ? 1 : std::max<size_t>(1, samples_.front().proxies);
    }

private:
    static constexpr Span window{30};   // longer than a partition of the control nodes lasts
    static constexpr size_t max_samples = 1024;
    struct Sample {
        size_t proxies;
        Time at;
    };
    std::deque<Sample> samples_;   // decreasing numbers, oldest first
};

}   // namespace myrtleroute::routing
