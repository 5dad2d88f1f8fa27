// Counters of a run; those of several runs can be added up.
#pragma once
#include <array>
#include <cstdint>
#include <ostream>

#include "lab/scenario.hpp"

namespace myrtleroute::lab {

#define MYRTLEROUTE_LAB_HARD(X)                                                                              \
    X(answer_before_time_out, "an answer read at the moment of its timeout")                                 \
    X(time_out_before_answer, "a timeout closing on an answer that had arrived or was in flight")            \
    X(cancel_crosses_answer, "another close, as by a cancel, crossing an answer")                            \
    X(leaves_as_answered, "a client's disconnect and the answer to its call in the same millisecond")        \
    X(drain_before_connect, "a drain published while a connect for a call to that server was in progress")   \
    X(dies_after_last_byte, "a server dead between a non-idempotent call's last byte and its answer")        \
    X(resent_while_first_runs, "an idempotent call resent while its earlier attempt still runs")             \
    X(restart_with_calls_out, "a proxy killed with open calls, restarted with an old list")                  \
    X(moves_while_watching, "discovery moved by SIGHUP during a watch")                                      \
    X(stops_with_calls_out, "SIGTERM with open calls")                                                       \
    X(call_crosses_close, "a call sent on a connection that the proxy was closing, sent again")              \
    X(broken_before_last_byte, "a connection closed before the last byte of a call was written")             \
    X(all_at_once, "a run with every kind of fault")

enum class Hard {
#define X(name, text) name,
    MYRTLEROUTE_LAB_HARD(X)
#undef X
    kinds
};

struct Summary {
    uint64_t runs = 0, steps = 0, rounds = 0, calls = 0, taken = 0, attempts = 0, executed = 0, resets = 0;
    uint64_t fulfilled = 0, rate_limited = 0, errored = 0, turned_away = 0, left = 0, lost_to_kills = 0;
    uint64_t further_attempts = 0, probes = 0, strangers = 0, max_held_bytes = 0;
    std::array<uint64_t, static_cast<size_t>(FaultKind::kinds)> faults{};
    std::array<uint64_t, static_cast<size_t>(Hard::kinds)> hard{};

    void met(Hard what) { ++hard[static_cast<size_t>(what)]; }
    void add(const Summary& o);
    void print(std::ostream& out) const;
};

}  // namespace myrtleroute::lab
