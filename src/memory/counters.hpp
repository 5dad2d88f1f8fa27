// Counters of counter the proxy receives, sends and answers, from its start on.
#pragma once
#include <array>
#include <cstdint>
#include <ostream>

namespace myrtleroute::memory {

#define MYRTLEROUTE_COUNTERS(X)                                                                              \
    X(calls_taken) X(calls_fulfilled) X(calls_rate_limited) X(calls_errored) X(calls_left_by_client)         \
    X(calls_turned_away_full) X(calls_malformed) X(shots_sent) X(shots_fulfilled) X(shots_errored)   \
    X(shots_full) X(shots_timed_out) X(shots_connect_failed) X(shots_reset) X(shots_cancelled)               \
    X(shots_never_sent) X(probes_sent) X(probes_answered) X(connections_from_clients)                        \
    X(connections_to_servers) X(connections_shed) X(lists_told) X(lists_failed) X(load_reports)              \
    X(load_reports_bad)

enum class Count {
#define X(name) name,
    MYRTLEROUTE_COUNTERS(X)
#undef X
    kinds
};

class Counters {
public:
    void add(Count counter) { ++counts_[static_cast<size_t>(counter)]; }
    uint64_t operator[](Count counter) const { return counts_[static_cast<size_t>(counter)]; }
    void print(std::ostream& out) const {
        static constexpr const char* names[] = {
#define X(name) #name,
            MYRTLEROUTE_COUNTERS(X)
#undef X
        };
        for (size_t i = 0; i < counts_.size(); ++i) out << (i ? " " : "") << names[i] << '=' << counts_[i];
    }

private:
    std::array<uint64_t, static_cast<size_t>(Count::kinds)> counts_{};
};

#undef MYRTLEROUTE_COUNTERS

}  // namespace myrtleroute::memory
