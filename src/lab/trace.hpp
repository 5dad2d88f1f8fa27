// Records every event of a run: always into a digest, and as lines of text if a sink is set. Two runs with the same
// digest had the same events.
#pragma once
#include <xxhash.h>

#include <bit>
#include <cstdint>
#include <functional>
#include <iomanip>
#include <sstream>
#include <string>

#include "time.hpp"

namespace myrtleroute::lab {

// The meaning of who, a and b for each event is documented in docs/lab.md.
#define MYRTLEROUTE_LAB_EVENTS(X)                                                                            \
    X(fault_begins) X(fault_ends) X(call_sent) X(call_taken) X(call_left) X(call_again) X(answer_written)    \
    X(answer_read) X(shot_begins) X(shot_written) X(shot_closed) X(shot_arrived) X(shot_runs)                \
    X(shot_executed) X(shot_refused) X(shot_dropped) X(shot_answered) X(told) X(asked) X(round) X(started)   \
    X(ended) X(killed) X(signal) X(paused) X(tipped) X(connected) X(reset) X(list_changes) X(noise)

enum class Event : uint64_t {
#define X(name) name,
    MYRTLEROUTE_LAB_EVENTS(X)
#undef X
};

// `set_sink` is optional; without a sink only the digest is kept.
class Trace {
public:
    using Sink = std::function<void(Event, uint64_t who, const std::string& line)>;
    void set_sink(Sink sink) { sink_ = std::move(sink); }
    bool has_sink() const { return sink_ != nullptr; }
    uint64_t digest() const { return digest_; }

    void record(uint64_t step, Time at, Event what, uint64_t who, uint64_t a = 0, uint64_t b = 0) {
        const uint64_t fields[] = {step, std::bit_cast<uint64_t>(at.s), static_cast<uint64_t>(what), who, a, b};
        digest_ = XXH64(fields, sizeof fields, digest_);
        if (!sink_) return;
        static constexpr const char* names[] = {
#define X(name) #name,
            MYRTLEROUTE_LAB_EVENTS(X)
#undef X
        };
        std::ostringstream line;
        line << step << ' ' << std::fixed << std::setprecision(6) << at.s << ' '
             << names[static_cast<size_t>(what)] << ' ' << who << ' ' << a << ' ' << b;
        sink_(what, who, line.str());
    }
    void log(const std::string& line) {   // a line of a proxy's log; not in the digest
        if (sink_) sink_(Event::noise, ~0ULL, line);
    }

private:
    uint64_t digest_ = 0;
    Sink sink_;
};

}  // namespace myrtleroute::lab
