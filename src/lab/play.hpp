// Plays days: one by itself, many at once, and one again and again with less in it.
#pragma once
#include <functional>
#include <optional>
#include <ostream>
#include <string>

#include "lab/oracle.hpp"
#include "lab/scenario.hpp"
#include "lab/summary.hpp"

namespace myrtleroute::lab {

struct RunResult {
    std::optional<Violation> violation;
    Summary summary;
    uint64_t digest = 0, steps = 0;
};

// Up to that step, 0 = to the end; each line of the trace goes to `line`, if given.
RunResult run_scenario(const Scenario& scenario, uint64_t until = 0,
                       const std::function<void(const std::string&)>& line = {});

// The break, the last events of the calls concerned, and how to see more. `as` is what the tool is to be told.
void report(std::ostream& out, const Scenario& scenario, const Violation& violation, const std::string& as);

struct Sweep {
    uint64_t from = 0, seeds = 0;
    unsigned jobs = 1;
    bool stop_at_first = false;   // stop at the first break
    size_t max_reports = 5;
    std::string record;   // a file for a line a seed: seed, steps, digest, rule or "kept"; empty = none
};
// Whether all rules were kept on all days. Progress goes to `progress`, the rest to `out`.
bool sweep(const Sweep& options, std::ostream& out, std::ostream& progress);

// The smallest scenario found, in that many runs at most, in which the same rule still breaks; none if it
// does not break at all.
std::optional<Scenario> shrink(Scenario scenario, int max_runs, std::ostream& progress);

}  // namespace myrtleroute::lab
