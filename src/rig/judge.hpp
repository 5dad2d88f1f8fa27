// The judge of a run: checks the rules over all processes together, from the records of servers, discovery and
// applications. Violations that an active fault explains are counted separately, by rule and fault.
#pragma once
#include <map>
#include <ostream>

#include "rig/run_record.hpp"

namespace myrtleroute::rig {

#define MYRTLEROUTE_RIG_RULES(X)                                                                             \
    X(one_answer, "each accepted call gets one final answer, in time")                                          \
    X(right_answer, "each answer 200 has the body that a server sent for this call")                                 \
    X(no_effect_twice, "no non-idempotent or deduplicated call takes effect twice")                          \
    X(no_false_promise, "a rate-limited call has had no effect, so that a retry is safe")                            \
    X(no_second_copy, "no second attempt while an earlier one is open")                                          \
    X(no_shot_after, "no attempt after the final answer")                                                       \
    X(drains, "no call to a server after its drain was reported and the grace is over")                           \
    X(cold_servers, "no cold server is overloaded by the sum of the proxies that knew of its start")                   \
    X(listens, "discovery is watched, or called within the interval in the settings")                       \
    X(no_crash, "no process ends without a fault that ends it")                                                       \
    X(all_back, "every process ends on request and stays within its memory limit")

enum class Rule {
#define X(name, text) name,
    MYRTLEROUTE_RIG_RULES(X)
#undef X
    kinds
};
const char* name_of(Rule rule);
const char* text_of(Rule rule);

struct Violation {
    Rule rule;
    uint64_t call;        // id; 0: none
    std::string what;     // description: the call, its proxy and its attempts
};

struct Verdict {
    std::vector<Violation> violations;
    std::map<std::string, uint64_t> excused;   // by rule and fault
    uint64_t judged = 0;                       // calls
    double starved = 0;                        // seconds by which the machine scheduled the rig's processes late
    bool passed() const { return violations.empty(); }
};

Verdict judge(const RunRecord& record);
void print(std::ostream& out, const Verdict& verdict, size_t limit = 10);

}  // namespace myrtleroute::rig
