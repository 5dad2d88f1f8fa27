// A proxy's part of the retry budget that all proxies share: a ratio of its own requests in the window, and an
// equal part of the slack.
#pragma once
#include <algorithm>

#include "sliding_window.hpp"
#include "time.hpp"

namespace myrtleroute::routing {

struct RetryBudgetOptions {
    double ratio = 0.2;   // retries per request
    Span window{10};
    double slack = 0;   // retries beyond the ratio, of all proxies together
};

class RetryBudget {
public:
    // `started`: when this process started; retries sent before that are unknown.
    RetryBudget(RetryBudgetOptions options, Time started)
        : options_(options), started_(started), counts_(options.window) {}
    void count_request(Time now) { counts_.add(now, requests); }
    // Returns whether one more retry may be sent, and counts it if so. `proxies`: upper estimate of the fleet's
    // size.
    bool try_take(Time now, size_t proxies) {
        // The counter's window reaches further back than the budget's, so part of the budget is reserved for the
        // window's edges.
        constexpr double usable_share = 0.75;
        // The previous process on this node may have used its part, so a new one starts with the reserved part
        // only.
        const double known = std::clamp((now - started_) / options_.window, 0.0, 1.0);
        const double share = usable_share * known + (1 - usable_share) * (1 - known);
        double slack = options_.slack * share / static_cast<double>(std::max<size_t>(1, proxies));
        if (now - started_ < fleet_known_after) slack = std::min(slack, 1.0);   // other proxies may not be known yet
        const double allowed = options_.ratio * usable_share * counts_.total(now, requests) + slack;
        if (counts_.total(now, retries) + 1 > allowed) return false;
        counts_.add(now, retries);
        return true;
    }

private:
    static constexpr Span fleet_known_after{3};
    enum { requests, retries };
    RetryBudgetOptions options_;
    Time started_;
    SlidingWindow<2, 16> counts_;
};

}   // namespace myrtleroute::routing
