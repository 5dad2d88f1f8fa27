#include <algorithm>
#include <ostream>

#include "lab/application.hpp"
#include "lab/play.hpp"

namespace myrtleroute::lab {

namespace {

// Removes parts of the list while the rule still breaks: halves first, then ever smaller parts (delta debugging:
// Zeller and Hildebrandt 2002, ddmin, complements only).
template <class Item, class Predicate>
std::vector<Item> minimize(std::vector<Item> items, const Predicate& breaks) {
    for (size_t part = (items.size() + 1) / 2; part > 0 && !items.empty(); part = part == 1 ? 0 : (part + 1) / 2)
        for (size_t from = 0; from < items.size();) {
            auto fewer = items;
            const auto begin = fewer.begin() + static_cast<std::ptrdiff_t>(from);
            fewer.erase(begin, begin + static_cast<std::ptrdiff_t>(std::min(part, items.size() - from)));
            if (breaks(fewer)) items = std::move(fewer);
            else from += part;
        }
    return items;
}

using Range = std::pair<uint64_t, uint64_t>;

// Returns the ranges of call numbers between the kept ones: the calls to omit.
std::vector<Range> complement(const std::vector<Range>& kept, int proxies) {
    std::vector<Range> out;
    for (int p = 0; p < proxies; ++p) {
        uint64_t from = static_cast<uint64_t>(p) * call_numbers_per_proxy + 1;
        const uint64_t last = from + call_numbers_per_proxy - 2;
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

std::optional<Scenario> shrink(Scenario scenario, int max_runs, std::ostream& progress) {
    const auto first = run_scenario(scenario);
    if (!first.violation) return {};
    const Rule rule = first.violation->rule;
    int runs = 0;
    const auto breaks = [&](const Scenario& s) {
        if (++runs > max_runs) return false;
        const auto result = run_scenario(s);
        return result.violation && result.violation->rule == rule;
    };
    // No load is needed after the violation.
    auto shorter = scenario;
    shorter.duration = std::min(scenario.duration, first.violation->at - Time{99.5});
    if (shorter.duration > Span{0.1} && breaks(shorter)) scenario = shorter;
    scenario.faults = minimize(scenario.faults, [&](const std::vector<Fault>& fewer) {
        auto s = scenario;
        s.faults = fewer;
        return breaks(s);
    });
    progress << scenario.faults.size() << " faults are left after " << runs << " runs" << std::endl;
    // Calls: first in ranges of `grain` numbers, then one by one.
    std::vector<Range> kept;
    constexpr uint64_t grain = 16;
    const auto most = run_scenario(scenario).summary.calls + 200;
    for (int p = 0; p < scenario.proxies; ++p)
        for (uint64_t n = 1; n < most; n += grain) {
            const uint64_t from = static_cast<uint64_t>(p) * call_numbers_per_proxy + n;
            kept.emplace_back(from, from + grain - 1);
        }
    const auto with = [&](const std::vector<Range>& fewer) {
        auto s = scenario;
        s.omitted_calls = complement(fewer, scenario.proxies);
        return s;
    };
    if (scenario.omitted_calls.empty() && breaks(with(kept))) {
        kept = minimize(kept, [&](const std::vector<Range>& fewer) { return breaks(with(fewer)); });
        std::vector<Range> single;
        for (const auto& [from, to] : kept)
            for (uint64_t n = from; n <= to; ++n) single.emplace_back(n, n);
        if (breaks(with(single)))
            kept = minimize(single, [&](const std::vector<Range>& fewer) { return breaks(with(fewer)); });
        scenario = with(kept);
        progress << kept.size() << " calls are left after " << runs << " runs" << std::endl;
    }
    return scenario;
}

}  // namespace myrtleroute::lab
