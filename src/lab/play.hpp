// Runs scenarios: a single one, many in parallel, or one repeatedly to shrink it.
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

// Runs up to step `until`, 0 = to the end. Each line of the trace is passed to `line`, if given.
RunResult run_scenario(const Scenario& scenario, uint64_t until = 0,
                       const std::function<void(const std::string&)>& line = {});

// Prints the broken rule, the last events of the calls concerned, and the command that prints the whole trace; `as`
// holds the arguments of myrtleroute_lab for this scenario.
void report(std::ostream& out, const Scenario& scenario, const Violation& violation, const std::string& as);

struct Sweep {
    uint64_t from = 0, seeds = 0;
    unsigned jobs = 1;
    bool stop_at_first = false;   // stop at the first broken rule
    size_t max_reports = 5;
    std::string record;   // file for a line per seed: seed, steps, digest, rule or "kept"; empty = none
};
// Returns whether all rules were kept in all runs. Progress goes to `progress`, the results to `out`.
bool sweep(const Sweep& options, std::ostream& out, std::ostream& progress);

// Returns the smallest scenario found in at most `max_runs` runs that still breaks the same rule; none if the given
// scenario breaks no rule.
std::optional<Scenario> shrink(Scenario scenario, int max_runs, std::ostream& progress);

}  // namespace myrtleroute::lab
