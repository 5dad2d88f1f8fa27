// A limit shared by all proxies, and the division of its allowance by which the rule on it holds by construction.
//
// The rule: in every span of `window`, the units used, summed over all proxies, are at most (rate x window + burst) x
// (1 + excess_ratio) + slack. Units are produced at the rate of the limit and wait, until they are used, in one of the
// places that Budget names; as long as at most Budget::depth units wait in total, the rule holds. docs/limits.md has
// the proof.
#pragma once
#include <algorithm>

#include "time.hpp"

namespace myrtleroute::leases {

// The limit of one tenant. A rate of 0 means no limit.
struct Limit {
    double rate = 0;    // units per second
    double burst = 0;   // units beyond the rate
    bool operator==(const Limit&) const = default;
};

// The excess over a limit that the deployment tolerates, and the window in which it is counted.
struct LimitRule {
    double slack = 0;          // units that all proxies together may use beyond the limit
    double excess_ratio = 0;   // tolerated excess as a ratio of the limit
    Span window{8};
};

// The parts of the allowance, in units. They add up to `depth`.
struct Budget {
    double fill_rate = 0;   // units produced per second
    double depth = 0;       // most units that wait in all places together

    double pool() const { return depth * 0.75; }            // most units at the allocator and granted, together
    double max_granted() const { return pool(); }           // most units granted
    double usual_granted() const { return depth * 0.45; }   // most units granted in advance of requests
    // Most units granted before they are produced, for single large requests.
    double debt() const { return depth * 0.05; }
    // Most units accumulated by all disconnected proxies together.
    double max_accumulated() const { return depth * 0.2; }
    // The part of the fill rate that all disconnected proxies together may use.
    double reserved_rate() const { return fill_rate * 0.5; }
};

inline Budget budget_of(const Limit& limit, const LimitRule& rule) {
    // If the rule allows almost nothing beyond the rate, a part of the rate is given up so that units can be granted.
    // If it allows much more than is useful for granting, half of the excess goes to the rate.
    constexpr double min_depth_fraction = 0.15;   // fraction of the allowance
    constexpr double max_useful_depth = 3;        // seconds of the rate
    const double window = std::max(rule.window.s, 1e-3);
    const double allowance = (limit.rate * window + limit.burst) * (1 + rule.excess_ratio) + rule.slack;
    const double beyond = allowance - limit.rate * window;
    const double spare = std::max(0.0, beyond - max_useful_depth * limit.rate);
    Budget budget;
    budget.depth = std::max(beyond - spare / 2, min_depth_fraction * allowance);
    budget.fill_rate = (allowance - budget.depth) / window;
    return budget;
}

}   // namespace myrtleroute::leases
