#include <algorithm>
#include <ostream>

#include "lab/application.hpp"
#include "lab/play.hpp"

namespace myrtleroute::lab {

namespace {

// Takes parts out of a list of things as long as the rule still breaks: halves first, then ever smaller ones
// (Zeller and Hildebrandt 2002, ddmin, complements only).
template <class Thing, class Breaks>
std::vector<Thing> least(std::vector<Thing> things, const Breaks& breaks) {
    for (size_t part = (things.size() + 1) / 2; part > 0 && !things.empty(); part = part == 1 ? 0 : (part + 1) / 2)
        for (size_t from = 0; from < things.size();) {
            auto fewer = things;
            const auto begin = fewer.begin() + static_cast<std::ptrdiff_t>(from);
            fewer.erase(begin, begin + static_cast<std::ptrdiff_t>(std::min(part, things.size() - from)));
            if (breaks(fewer)) things = std::move(fewer);
            else from += part;
        }
    return things;
}

using Range = std::pair<uint64_t, uint64_t>;

// What is left out is what is between those that are kept.
std::vector<Range> others(const std::vector<Range>& kept, int proxies) {
    std::vector<Range> out;
    for (int p = 0; p < proxies; ++p) {
        uint64_t from = static_cast<uint64_t>(p) * calls_a_proxy + 1;
        const uint64_t last = from + calls_a_proxy - 2;
        for (const auto& [first, end] : kept) {
            if (first < from || first > last) continue;
            if (first > from) out.emplace_back(from, first - 1);
            from = end + 1;
        }
        if (from <= last) out.emplace_back(from, last);
    }
    return out;
}

}  // namespace

std::optional<Scenario> shrink(Scenario scenario, int most_runs, std::ostream& progress) {
    const auto first = play(scenario);
    if (!first.broken) return {};
    const Rule rule = first.broken->rule;
    int runs = 0;
    const auto breaks = [&](const Scenario& s) {
        if (++runs > most_runs) return false;
        const auto day = play(s);
        return day.broken && day.broken->rule == rule;
    };
    // No load is needed after the break.
    auto shorter = scenario;
    shorter.lasts = std::min(scenario.lasts, first.broken->at - Time{99.5});
    if (shorter.lasts > Span{0.1} && breaks(shorter)) scenario = shorter;
    scenario.faults = least(scenario.faults, [&](const std::vector<Fault>& fewer) {
        auto s = scenario;
        s.faults = fewer;
        return breaks(s);
    });
    progress << scenario.faults.size() << " faults are left after " << runs << " runs" << std::endl;
    // Calls, in ranges that get smaller as fewer are left.
    std::vector<Range> kept;
    constexpr uint64_t grain = 16;
    const auto most = play(scenario).summary.calls + 200;
    for (int p = 0; p < scenario.proxies; ++p)
        for (uint64_t n = 1; n < most; n += grain) {
            const uint64_t from = static_cast<uint64_t>(p) * calls_a_proxy + n;
            kept.emplace_back(from, from + grain - 1);
        }
    const auto with = [&](const std::vector<Range>& fewer) {
        auto s = scenario;
        s.left_out = others(fewer, scenario.proxies);
        return s;
    };
    if (scenario.left_out.empty() && breaks(with(kept))) {
        kept = least(kept, [&](const std::vector<Range>& fewer) { return breaks(with(fewer)); });
        std::vector<Range> single;
        for (const auto& [from, to] : kept)
            for (uint64_t n = from; n <= to; ++n) single.emplace_back(n, n);
        if (breaks(with(single))) kept = least(single, [&](const std::vector<Range>& fewer) { return breaks(with(fewer)); });
        scenario = with(kept);
        progress << kept.size() << " calls are left after " << runs << " runs" << std::endl;
    }
    return scenario;
}

}  // namespace myrtleroute::lab
