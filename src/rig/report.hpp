// HTML report of a set of runs: self-contained, with inline SVG plots. docs/rig-operators.md explains it.
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
