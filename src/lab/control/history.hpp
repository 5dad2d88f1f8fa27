// What operators asked of the configuration and were answered, and whether one register can explain it.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "time.hpp"

namespace myrtleroute::lab::control {

// One call of an operator. Every try of an order is one.
struct Operation {
    enum class Outcome { unresolved, accepted, precondition_failed, version_too_low, read };
    bool is_read = false;
    uint64_t base = 0;       // of an order: the version that it builds on
    uint64_t version = 0;    // of an order: its own; of a reading: the one that was answered
    uint64_t body = 0;       // of an order or what a reading was answered: number of the body
    bool is_patch = false;   // an order that changes named items
    uint64_t result = 0;     // of an order: number of the whole that it makes of its base; 0 = nothing valid
    Time invoked, answered;
    Outcome outcome = Outcome::unresolved;   // open: no clear answer came; it may have taken effect, then or never
};

enum class Verdict { linearizable, not_linearizable, undecided };

// Looks for an order of the operations, each between its call and its answer, in which a plain register with versions
// gives all the answers (Wing and Gong 1993, with Lowe's memory of what was tried). Slow; for one day's history.
Verdict check_history(const std::vector<Operation>& history);

}   // namespace myrtleroute::lab::control
