// How long answers took lately, beside a plain model that keeps every answer.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <vector>

#include "lab/chance.hpp"
#include "routing/answer_times.hpp"

using namespace myrtleroute;
using configuration::Route;
using configuration::RouteKind;
using routing::AnswerTime;
using routing::AnswerTimes;

namespace {

Route route(RouteKind kind, double target_latency) {
    Route made;
    made.kind = kind;
    made.target_latency = Span{target_latency};
    return made;
}

struct Noted {
    Route route;
    double tokens;
    AnswerTime took;
    Time at;
};

// The longest of all answers since the period before the one of `now` began.
std::optional<AnswerTime> longest_of(const std::vector<Noted>& all, const Route& route, double tokens, Time now) {
    const double since = (std::floor(now.s / AnswerTimes::memory.s) - 1) * AnswerTimes::memory.s;
    std::optional<AnswerTime> longest;
    for (const auto& noted : all) {
        if (noted.at.s < since || noted.route.kind != route.kind || noted.route.target_latency != route.target_latency)
            continue;
        if (!longest) longest = AnswerTime{};
        longest->until_begun = std::max(longest->until_begun, noted.took.until_begun);
        const double token = noted.took.until_whole.s / std::max(noted.tokens, 100.0);
        longest->until_whole = std::max(longest->until_whole, Span{token * std::max(tokens, 100.0)});
    }
    return longest;
}

}   // namespace

TEST_CASE("the longest answer of the last seconds is that of a plain list of all answers") {
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        lab::Chance chance(seed, 1);
        AnswerTimes times;
        std::vector<Noted> all;
        const std::vector<Route> routes{route(RouteKind::streaming, 1), route(RouteKind::streaming, 0.4),
                                        route(RouteKind::idempotent, 1)};
        Time now{chance.between(0, 100)};
        for (int step = 0; step < 300; ++step) {
            now = now + Span{chance.exponential(0.5)};
            const auto& of = routes[static_cast<size_t>(chance.below(3))];
            const double tokens = chance.below(1500);
            if (chance.yes(0.5)) {
                const AnswerTime took{Span{chance.between(0, 2)}, Span{chance.between(0, 6)}};
                times.note(of, tokens, took, now);
                all.push_back({of, tokens, took, now});
            }
            const auto real = times.longest(of, tokens, now), plain = longest_of(all, of, tokens, now);
            REQUIRE(real.has_value() == plain.has_value());
            if (!real) continue;
            CHECK(real->until_begun.s == doctest::Approx(plain->until_begun.s));
            CHECK(real->until_whole.s == doctest::Approx(plain->until_whole.s));
        }
    }
}

TEST_CASE("answers of more sorts than there is room for are passed over until old ones are forgotten") {
    AnswerTimes times;
    const AnswerTime took{Span{1}, Span{1}};
    for (int i = 0; i < 64; ++i) times.note(route(RouteKind::streaming, i + 1), 100, took, Time{1});
    const auto another = route(RouteKind::streaming, 0.5);
    times.note(another, 100, took, Time{2});
    CHECK_FALSE(times.longest(another, 100, Time{2}));
    CHECK(times.longest(route(RouteKind::streaming, 64), 100, Time{2}));
    times.note(another, 100, took, Time{30});
    CHECK(times.longest(another, 100, Time{30}));
    CHECK_FALSE(times.longest(route(RouteKind::streaming, 64), 100, Time{30}));
}
