// A limit that all proxies share, and how its allowance is divided so that the rule on it holds by construction.
//
// The rule: in every span of `window` no more than (rate x window + burst) x (1 + over) + slack units are used, summed
// over all proxies. Units come into being at the rate of the limit and wait, until they are used, in one of the places
// that Budget names; as long as no more than Budget::depth of them wait in all, the rule holds. docs/limits.md has the
// proof.
#pragma once
#include <algorithm>

#include "time.hpp"

namespace myrtleroute::leases {

// Of one tenant. A rate of 0 is no limit.
struct Limit {
    double rate = 0;    // units a second
    double burst = 0;   // units beyond the rate
    bool operator==(const Limit&) const = default;
};

// What the deployment tolerates beyond a limit, and in which window it is counted.
struct LimitRule {
    double slack = 0;          // units that all proxies together may use beyond it
    double excess_ratio = 0;   // share beyond it
    Span window{8};
};

// The parts of the allowance, in units. They add up to `depth`.
struct Budget {
    double fill_rate = 0;   // a second: how fast units come into being
    double depth = 0;       // most units that wait anywhere

    double pool() const { return depth * 0.75; }             // at the allocator and lent out, together
    double max_granted() const { return pool(); }            // lent out: the most
    double usual_granted() const { return depth * 0.45; }    // lent out to be had without asking
    double debt() const { return depth * 0.05; }             // lent ahead of the fill, for single large requests
    double max_accumulated() const { return depth * 0.2; }   // gathered by proxies that are out of touch, together
    // Of the fill: what proxies out of touch make use of by themselves, at the most, all of them together.
    double reserved_rate() const { return fill_rate * 0.5; }
};

inline Budget budget_of(const Limit& limit, const LimitRule& rule) {
    // Where the rule allows next to nothing beyond the rate, a part of the rate is given up for room to lend. Where it
    // allows much more than is of use as room, a half of the rest is for the rate.
    constexpr double least_depth = 0.15;   // of the allowance
    constexpr double useful_depth = 3;     // seconds of the rate
    const double window = std::max(rule.window.s, 1e-3);
    const double allowance = (limit.rate * window + limit.burst) * (1 + rule.excess_ratio) + rule.slack;
    const double beyond = allowance - limit.rate * window;
    const double spare = std::max(0.0, beyond - useful_depth * limit.rate);
    Budget budget;
    budget.depth = std::max(beyond - spare / 2, least_depth * allowance);
    budget.fill_rate = (allowance - budget.depth) / window;
    return budget;
}

}   // namespace myrtleroute::leases
