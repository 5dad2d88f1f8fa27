#include "routing/answer_times.hpp"

#include <algorithm>
#include <cmath>

namespace myrtleroute::routing {
namespace {

constexpr size_t most_sorts = 64;
// The time of an answer of fewer tokens is that of its pauses, and tells little of a token's.
constexpr double least_tokens = 100;

}   // namespace

long long AnswerTimes::period_at(Time now) { return static_cast<long long>(std::floor(now.s / memory.s)); }

void AnswerTimes::forget_old(long long period) {
    std::erase_if(sorts_, [period](const auto& known) {
        const auto& periods = known.second;
        return std::all_of(periods.begin(), periods.end(), [period](const auto& p) { return p.number < period - 1; });
    });
}

void AnswerTimes::note(const configuration::Route& route, double tokens, AnswerTime took, Time now) {
    const auto number = period_at(now);
    const auto sort = sort_of(route);
    if (!sorts_.count(sort) && sorts_.size() >= most_sorts) forget_old(number);
    if (!sorts_.count(sort) && sorts_.size() >= most_sorts) return;
    auto& period = sorts_[sort][static_cast<size_t>(number) % 2];
    if (period.number != number) period = {number};
    period.wait = std::max(period.wait, took.until_begun.s);
    period.token = std::max(period.token, took.until_whole.s / std::max(tokens, least_tokens));
}

std::optional<AnswerTime> AnswerTimes::longest(const configuration::Route& route, double tokens, Time now) const {
    const auto known = sorts_.find(sort_of(route));
    if (known == sorts_.end()) return {};
    const auto number = period_at(now);
    std::optional<AnswerTime> longest;
    for (const auto& period : known->second) {
        if (period.number < number - 1) continue;
        if (!longest) longest = AnswerTime{};
        longest->until_begun = std::max(longest->until_begun, Span{period.wait});
        longest->until_whole = std::max(longest->until_whole, Span{period.token * std::max(tokens, least_tokens)});
    }
    return longest;
}

}   // namespace myrtleroute::routing
