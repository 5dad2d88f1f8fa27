// How long answers took lately, and how long the next one may take: the longest of the last seconds, not the mean.
//
// Requests are told apart by kind and by the latency that is aimed at, not by route: a change of the configuration may
// add hundreds of routes, and moves time-outs and services.
#pragma once
#include <array>
#include <map>
#include <optional>
#include <utility>

#include "configuration/configuration.hpp"
#include "time.hpp"

namespace myrtleroute::routing {

// What is awaited of an answer that is not whole.
struct AnswerTime {
    Span until_begun;   // from when the request was taken
    Span until_whole;   // from when the answer began
    Span total() const { return until_begun + until_whole; }
};

class AnswerTimes {
public:
    // An answer was whole. `tokens`: the most that its request let a host generate, 0 where it does not say.
    void note(const configuration::Route& route, double tokens, AnswerTime took, Time now);

    // The longest that an answer of so many tokens may take by what is known of the last `memory` at least, and of twice
    // that at most. Nothing where no answer of its sort was whole.
    std::optional<AnswerTime> longest(const configuration::Route& route, double tokens, Time now) const;

    static constexpr Span memory{10};

private:
    using Sort = std::pair<configuration::RouteKind, double>;   // and the latency aimed at, in seconds
    struct Period {
        long long number = -1;   // since the clock's zero
        double wait = 0;         // seconds
        double token = 0;        // seconds for each
    };
    using Periods = std::array<Period, 2>;
    static long long period_at(Time now);
    static Sort sort_of(const configuration::Route& route) { return {route.kind, route.target_latency.s}; }
    void forget_old(long long period);

    std::map<Sort, Periods> sorts_;
};

}   // namespace myrtleroute::routing
