// The data that decisions are made about: products, servers, API calls and their attempts, linked by pointers.
#pragma once
#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "sliding_window.hpp"
#include "time.hpp"

namespace myrtleroute {

enum class Idempotency { idempotent, deduplicated, non_idempotent };
enum class DedupScope { all, zone, cell };   // which servers recognise each other's duplicates
// `full`: rejected, since the server has no capacity left; `never_sent`: not a byte of the attempt went out.
enum class Outcome { fulfilled, errored, full, timed_out, connect_failed, reset, cancelled, never_sent };
enum class State { gone, ready, draining };

// A class of API calls with the same SLO and idempotency.
struct Product {
    std::string name;
    double value = 1;          // of an answer within the SLO
    Span slo, client_timeout;
    Span window;               // during which servers recognise a duplicate (deduplicated products)
    Span max_timeout;          // the longest that a first try of a client came with
    Idempotency repeat = Idempotency::idempotent;
    DedupScope scope = DedupScope::all;
    double late_value = 0;     // share of the value that an answer after the SLO still has
    int max_attempts = 0;      // servers that a call may be sent to, 0 = as the settings say
    double p20_latency = 0;    // estimated 20th percentile of the latency in seconds, 0 = no answer yet
    double latency = 0;        // moving average of the latency in seconds, bounded by the SLO, 0 = no answer yet
    size_t number = 0;         // index in the product table
    int open_calls = 0;        // calls of this product that are held
    uint64_t used = 0;         // sequence number of the last use, for eviction
};

struct Call;
struct Server;

// One try to have a call answered by one server.
struct Attempt {
    Call* call = nullptr;
    Server* server = nullptr;
    Time sent;
    int number = 0;            // within the call, from 0
    bool open = true;          // its outcome is not known yet
    bool cancel_sent = false;
    Outcome outcome = Outcome::fulfilled;
    bool may_have_run() const {
        if (open) return true;
        return outcome != Outcome::full && outcome != Outcome::connect_failed &&
               outcome != Outcome::never_sent;
    }
};

struct Call {
    uint64_t id = 0;
    Product* product = nullptr;
    uint32_t tenant = 0;
    uint64_t key = 0;          // the object that the call concerns, 0 = unknown
    double affinity = 0;       // calls that a server in `preferred` may be busier than others
    Server* preferred[2] = {}; // servers that hold what the call needs, the same at every proxy
    Span work;                 // declared cost at a server, 0 = unknown
    double weight = 1;         // declared work relative to the usual call's
    double value = 0;          // the product's value, lowered if the tenant exceeds its allowance
    Time arrived, deadline;
    std::vector<Attempt> attempts;   // reserved up to the limit at arrival, so that pointers to attempts stay valid
    bool ended = false;        // the final answer was sent
    bool streaming = false;    // the response has begun
    bool has_open() const {
        return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.open; });
    }
    Attempt* open_attempt(int number) {   // null if that attempt is not open
        const bool found = number >= 0 && number < static_cast<int>(attempts.size()) && attempts[number].open;
        return found ? &attempts[number] : nullptr;
    }
    bool succeeded() const {
        const auto answered = [](const Attempt& a) { return !a.open && a.outcome == Outcome::fulfilled; };
        return std::any_of(attempts.begin(), attempts.end(), answered);
    }
};

// Recent calls of a tenant or a product, and those that missed the SLO, to find ones that are slow at every server.
enum SloCounter { seen, missed };
struct LatenessStats {
    SlidingWindow<2> calls;
    Time last_admitted = long_ago;   // when a call was last admitted
    explicit LatenessStats(Span memory) : calls(memory) {}
    double count(Time now, SloCounter what) { return calls.total(now, what); }
    void add(Time now, bool late) {
        calls.add(now, seen);
        if (late) calls.add(now, missed);
    }
};

// The state of a zone with a concurrency limit of its own, or of all servers together.
enum ZoneCounter { response_count, response_s, attempt_count, attempt_s, zone_counters };   // `_s`: sums of seconds
enum RiskCounter { samples, risks };
struct Zone {
    SlidingWindow<zone_counters> recent{Span{2}};
    SlidingWindow<2> lateness{Span{60}};
    double risk = 0;           // share of the value that is lost to lateness there
    double response_rate = 0;  // responses per second, slowly decaying maximum
    double limit = 0;          // concurrency limit for the call that is being placed
    double min_limit = 0;      // admitted whatever the response rate
    double queued = 0;         // calls that count towards the limit
    double queued_all = 0;     // the same with calls at silent or excluded servers counted fully
    double capacity = 0;       // sum of the usable members', while cold reduced
    double stuck_weight = 1;   // how much a call at a silent or excluded server counts towards the limit
};

enum ServerCounter { answered, answered_s, failed, spent_s, expected_s, server_counters };   // `_s`: sums of seconds

struct Server {
    uint64_t id = 0;
    uint16_t zone = 0, cell = 0;
    State state = State::gone;
    double capacity = 0;             // hint from the server list, relative to other servers
    Time launched = long_ago;        // last start that was listed
    bool drained = false;            // listed as draining since that start
    double others_load = 0;          // calls of other proxies that it held at its last load report
    Time reported_at = long_ago;     // time of that report
    Time last_seen = long_ago;       // when it was last listed as running, or answered a call
    Time absent_until = long_ago;    // excluded: listed as gone, and a connect failed
    double next_turn = -1;           // round in which it is due among members with equal load
    double credit = 0;               // of a cold server: a call may go there when it reaches 1
    Time penalty_until = long_ago;
    std::vector<Time> full_until;    // by product, after it rejected one of its calls
    Time last_data = long_ago;       // last bytes from it, probe replies included
    Time last_response = long_ago;   // last response to a call, whatever its status
    Time answered_sent = long_ago;   // latest send time of its answered attempts
    Time next_probe = long_ago;      // while quarantined
    int references = 0;              // attempts of held calls that point to it
    bool member = false, quarantined = false, probe_pending = false;
    int quarantines = 0;             // since it joined the pool
    std::vector<Attempt*> open;
    struct Abandoned {               // an attempt that was given up, but that the server may still hold
        Time sent;
        double weight;
    };
    std::vector<Abandoned> abandoned;
    size_t held() const { return open.size() + abandoned.size(); }
    double load() const {            // the same calls by their weight
        double sum = 0;
        for (const auto* attempt : open) sum += attempt->call->weight;
        for (const auto& attempt : abandoned) sum += attempt.weight;
        return sum;
    }
    SlidingWindow<server_counters> stats;
    explicit Server(Span memory) : stats(memory) {}
};

}  // namespace myrtleroute
