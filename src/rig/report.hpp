// The page of a set of runs: plots that a browser shows without a network. docs/rig-operators.md reads one.
#pragma once
#include <ostream>
#include <vector>

#include "rig/figures.hpp"
#include "rig/judge.hpp"

namespace myrtleroute::rig {

struct ReportedRun {
    RunRecord record;
    Figures figures;
    Verdict verdict;
};
void write_report(std::ostream& out, const std::vector<ReportedRun>& runs);

}  // namespace myrtleroute::rig
