// The history of the operators' calls on the configuration, and the check that it is linearizable.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "time.hpp"

namespace myrtleroute::lab::control {

// One call of an operator. Each attempt of an update is a call of its own.
struct Operation {
    enum class Outcome { unresolved, accepted, precondition_failed, version_too_low, read };
    bool is_read = false;
    uint64_t base = 0;       // of an update: the version that it builds on
    uint64_t version = 0;    // of an update: its own; of a read: the one returned
    uint64_t body = 0;       // of an update or of the document that a read returned: body number
    bool is_patch = false;   // an update that changes named items
    uint64_t result =
        0;   // of an update: body number of the whole document that it makes of its base; 0 = none that is valid
    Time invoked, answered;
    Outcome outcome = Outcome::
        unresolved;   // unresolved: no clear response came; it may have taken effect, at the time or later, or never
};

enum class Verdict { linearizable, not_linearizable, undecided };

// Looks for an order of the operations, each between its call and its response, in which a sequential register with
// versions gives all the responses (Wing and Gong 1993, with Lowe's memoization of visited states). Slow: meant for the
// history of one run.
Verdict check_history(const std::vector<Operation>& history);

}   // namespace myrtleroute::lab::control
