// The things decided about: products, servers, API calls and their shots. They point to each other.
#pragma once
#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "sliding_window.hpp"
#include "time.hpp"

namespace myrtleroute {

enum class Idempotency { idempotent, deduplicated, non_idempotent };
enum class Group { all, zone, cell };   // which servers drop each other's repeats
enum class Outcome { fulfilled, errored, full, timed_out, connect_failed, reset, cancelled, never_sent };
enum class State { gone, ready, draining };

struct Product {
    std::string name;
    double value = 1;
    Span slo, client_timeout, window;
    Span patience;             // of the most patient first tries
    Idempotency repeat = Idempotency::idempotent;
    Group group = Group::all;
    double late_value = 0;    // share of the value still earned after the SLO
    int attempts = 0;          // servers that a call may be sent to, 0 = as the settings say
    double quick = 0;          // seconds that the quickest fifth of the answers stay under, 0 = none seen yet
    double took = 0;           // seconds an answer lately took on an unhurried server, 0 = none seen yet
    size_t number = 0;         // its place among the products
    int calls = 0;             // held that are of it
    uint64_t used = 0;         // rises with each use of any product
};

struct Call;
struct Server;

struct Shot {
    Call* call = nullptr;
    Server* server = nullptr;
    Time sent;
    int number = 0;
    bool out = true;
    bool called_off = false;
    Outcome outcome = Outcome::fulfilled;
    bool may_have_run() const {
        if (out) return true;
        return outcome != Outcome::full && outcome != Outcome::connect_failed &&
               outcome != Outcome::never_sent;
    }
};

struct Call {
    uint64_t id = 0;
    Product* product = nullptr;
    uint32_t tenant = 0;
    uint64_t key = 0;          // what it concerns, 0 = not told
    double pull = 0;           // how much busier one of `homes` may be
    Server* homes[2] = {};     // where what it needs lies, at every balancer the same
    Span work;                 // what it is told to cost a server, 0 = not told
    double weight = 1;         // that over the usual call's
    double worth = 0;          // its product's value, less where its tenant is over its allowance
    Time arrived, give_up;
    std::vector<Shot> shots;   // reserved up to the limit at arrival, so that pointers to shots hold
    bool ended = false;        // has had its final answer
    bool streaming = false;
    bool out() const {
        return std::any_of(shots.begin(), shots.end(), [](const Shot& s) { return s.out; });
    }
    Shot* out(int number) {        // that shot while it is out, or none
        const bool found = number >= 0 && number < static_cast<int>(shots.size()) && shots[number].out;
        return found ? &shots[number] : nullptr;
    }
    bool served() const {
        const auto answered = [](const Shot& s) { return !s.out && s.outcome == Outcome::fulfilled; };
        return std::any_of(shots.begin(), shots.end(), answered);
    }
};

// How tenants' or products' calls fare, to find those that take long at every server.
enum Faring { asked, missed };
struct Kind {
    SlidingWindow<2> ends;
    Time tried = long_ago;     // when one was last let in
    explicit Kind(Span memory) : ends(memory) {}
    double count(Time now, Faring what) { return ends.total(now, what); }
    void add(Time now, bool late) {
        ends.add(now, asked);
        if (late) ends.add(now, missed);
    }
};

// What is known of a zone whose servers are limited apart, or of all of them.
enum Pace { answers, waits, shots, spans, paces };   // `waits`: seconds of the answers
enum Lateness { tried, risked };
struct Zone {
    SlidingWindow<paces> lately{Span{2}};
    SlidingWindow<2> late{Span{60}};
    double risk = 0;           // share of worth that lateness takes there
    double rate = 0;           // answers a second, at best lately
    double room = 0;           // calls that it may hold, for the call being placed
    double floor = 0, held = 0, all = 0, strength = 0;   // `all`: what hangs at silent servers counted whole
    double crowd = 1;          // how far what hangs at servers out of use or silent counts as held
};

enum Tally { answered, replied, failed, spent, expected, tallies };   // `replied`: seconds of the answered

struct Server {
    uint64_t id = 0;
    uint16_t zone = 0, cell = 0;
    State state = State::gone;
    double size = 0;               // capacity hint, comparable between servers
    Time launched = long_ago;      // last start that was listed
    bool drained = false;          // listed as draining since that start
    double others = 0;             // calls of other balancers that it held when it last said so
    Time reported = long_ago;
    Time vouched = long_ago;       // when it was last known to be listed as running, or answered a call
    Time absent_until = long_ago;  // gone by the list's word and by a failed connect
    double turn = -1;              // when it is due among members that tie
    double credit = 0;             // of a cold one: a call may go there when it reaches 1
    Time penalty_until = long_ago;
    std::vector<Time> full_until;  // by product, after it turned one away
    Time last_heard = long_ago;    // also of probes
    Time last_answer = long_ago;   // of a call, whichever
    Time answered_sent = long_ago; // when the latest-sent of its answered shots was sent
    Time next_probe = long_ago;    // of a quarantined one
    int named = 0;                 // by shots of calls that are still held
    bool member = false, quarantined = false, probing = false;
    int offences = 0;              // quarantines since it joined
    std::vector<Shot*> open;
    struct Ghost {                 // a shot that was given up but that it may still hold
        Time sent;
        double weight;
    };
    std::vector<Ghost> ghosts;
    size_t held() const { return open.size() + ghosts.size(); }
    double load() const {          // the same by work, where that is told
        double sum = 0;
        for (const auto* shot : open) sum += shot->call->weight;
        for (const auto& ghost : ghosts) sum += ghost.weight;
        return sum;
    }
    SlidingWindow<tallies> record;
    explicit Server(Span memory) : record(memory) {}
};

}  // namespace myrtleroute
