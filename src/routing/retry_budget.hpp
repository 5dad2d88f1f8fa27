// A proxy's part of the budget of repeats that all proxies share: a share of its own requests in the window, and an
// even part of what is free beyond that.
#pragma once
#include <algorithm>

#include "sliding_window.hpp"
#include "time.hpp"

namespace myrtleroute::routing {

struct RetryBudgetOptions {
    double ratio = 0.2;   // repeats for each request
    Span window{10};
    double slack = 0;   // repeats beyond, of all proxies together
};

class RetryBudget {
public:
    // `started`: when this proxy's process was; what was sent again before it is not known.
    RetryBudget(RetryBudgetOptions options, Time started)
        : options_(options), started_(started), counts_(options.window) {}
    void request(Time now) { counts_.add(now, requests); }
    // Whether one more repeat may be sent; then it is counted. `proxies`: the most that there may be.
    bool take(Time now, size_t proxies) {
        // The window of the count reaches back further than the rule's, so a part is kept back for its edges.
        constexpr double used_part = 0.75;
        // A process that has just started may have used its part in its life before: it begins with what is kept back.
        const double known = std::clamp((now - started_) / options_.window, 0.0, 1.0);
        const double part = used_part * known + (1 - used_part) * (1 - known);
        double free = options_.slack * part / static_cast<double>(std::max<size_t>(1, proxies));
        if (now - started_ < fleet_known_after) free = std::min(free, 1.0);   // others may not be told of yet
        const double most = options_.ratio * used_part * counts_.total(now, requests) + free;
        if (counts_.total(now, repeats) + 1 > most) return false;
        counts_.add(now, repeats);
        return true;
    }

private:
    static constexpr Span fleet_known_after{3};
    enum { requests, repeats };
    RetryBudgetOptions options_;
    Time started_;
    SlidingWindow<2, 16> counts_;
};

}   // namespace myrtleroute::routing
