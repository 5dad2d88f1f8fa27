// The judge of a run: whether the rules were kept, over all processes together, from the servers' ledgers and the
// applications' logs. What a fault excuses is counted apart, by the fault.
#pragma once
#include <map>
#include <ostream>

#include "rig/run_record.hpp"

namespace myrtleroute::rig {

#define MYRTLEROUTE_RIG_RULES(X)                                                                             \
    X(one_answer, "each call taken gets one final answer, in time")                                          \
    X(right_answer, "what is answered 200 a server made for that very call")                                 \
    X(no_effect_twice, "no non-idempotent or deduplicated call takes effect twice")                          \
    X(no_false_promise, "a rate-limit reply says truly that a retry is harmless")                            \
    X(no_second_copy, "no second shot while an earlier one is out")                                          \
    X(no_shot_after, "no shot after the final answer")                                                       \
    X(drains, "nothing to a server once its drain was told and the grace is over")                           \
    X(cold_servers, "no cold server pushed over by the sum of all that knew of its start")                   \
    X(listens, "discovery is watched, or asked within the time that the settings say")                       \
    X(no_crash, "no process ends that no fault ended")                                                       \
    X(all_back, "every process ends when it is told to, within its memory")

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
    uint64_t call;        // 0: none
    std::string what;     // the call, the proxies and the links that it touched
};

struct Verdict {
    std::vector<Violation> violations;
    std::map<std::string, uint64_t> excused;   // by rule and fault
    uint64_t judged = 0;                       // calls
    double starved = 0;                        // seconds that the machine kept the rig's processes waiting
    bool passed() const { return violations.empty(); }
};

Verdict judge(const RunRecord& record);
void print(std::ostream& out, const Verdict& verdict, size_t limit = 10);

}  // namespace myrtleroute::rig
