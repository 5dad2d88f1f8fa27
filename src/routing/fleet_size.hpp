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
    void told(size_t proxies, Time now) {
        while (!told_.empty() && told_.back().proxies <= proxies) told_.pop_back();
        if (told_.size() < most_kept) told_.push_back({proxies, now});
    }
    size_t most(Time now) {
        while (told_.size() > 1 && now - told_.front().at > remembered) told_.pop_front();
        return told_.empty() ? 1 : std::max<size_t>(1, told_.front().proxies);
    }

private:
    static constexpr Span remembered{30};   // longer than a partition of the control nodes lasts
    static constexpr size_t most_kept = 1024;
    struct Told {
        size_t proxies;
        Time at;
    };
    std::deque<Told> told_;   // decreasing numbers, oldest first
};

}   // namespace myrtleroute::routing
