// Sees the true world and checks the rules after every step: what each proxy writes, reads and closes comes to
// it as it does so, what servers do with calls as they do it. It judges by what truly ran, not by outcomes.
#pragma once
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "lab/net.hpp"
#include "lab/site.hpp"
#include "lab/summary.hpp"
#include "wire/http.hpp"

namespace myrtleroute::lab {

#define MYRTLEROUTE_LAB_RULES(X)                                                                             \
    X(one_answer, "each API call taken gets exactly one final answer")                                       \
    X(in_time, "its answer comes in time")                                                                   \
    X(right_answer, "an answer is the one that a server made for this call")                                 \
    X(no_shot_after, "no shot after the final answer")                                                       \
    X(no_effect_twice, "no effect twice")                                                                    \
    X(no_second_copy, "never two shots of a call out")                                                       \
    X(no_false_promise, "a rate-limit reply only where nothing may have run")                                \
    X(drains, "no shot to a server beyond the grace after its drain was told")                               \
    X(cold_servers, "no cold server pushed over by proxies that know of its start")                          \
    X(listens, "the list is asked for within the time in which a balancer counts as told")                   \
    X(owed, "whoever connects has an answer or a close within 3 s")                                          \
    X(sound, "what a proxy writes can be read")                                                              \
    X(beliefs, "what a proxy holds is what the system holds for it")                                         \
    X(nothing_left, "no call, timer or descriptor is left when all is quiet")                                \
    X(no_busy_loop, "rounds are bounded by what happens")                                                    \
    X(bounded_memory, "memory is bounded")                                                                   \
    X(ends_in_time, "told to stop, it ends in time, and never otherwise")                                    \
    X(no_crash, "it does not crash")

enum class Rule {
#define X(name, text) name,
    MYRTLEROUTE_LAB_RULES(X)
#undef X
};
const char* name_of(Rule rule);
const char* text_of(Rule rule);
std::optional<Rule> rule_named(std::string_view name);

struct Broken {
    Rule rule{};
    uint64_t step = 0;
    Time at;
    std::vector<uint64_t> calls;   // that are concerned
    std::string what;
};

enum class Fate { on_its_way, waits, runs, executed, never, unproved };   // of a shot at its server

struct LabShot {
    int server = 0;
    uint64_t socket = 0;      // the proxy's
    Time begun;
    bool whole = false;       // its last byte was written
    bool out = true;          // its connection is open and it has no answer
    Fate fate = Fate::on_its_way;
    Time give_up;             // as the proxy said in X-Timeout
};

struct LabCall {
    uint64_t number = 0;
    int proxy = 0, product = 0;
    Time arrived{-1}, over_at;      // `arrived`: its last byte came to the proxy's machine
    uint64_t client = 0, ends = 0;  // the client's socket, and where on it the call ends
    bool taken = false, left = false, over = false, again = false, excused = false;
    std::vector<LabShot> shots;
    int executions = 0;
    std::unordered_map<int, Time> effects;   // of a deduplicated one, by zone
    const LabProduct& kind() const { return products[static_cast<size_t>(product)]; }
};

class Oracle : public Tap {
public:
    Oracle(Queue& queue, Trace& trace, const Scenario& scenario);
    ~Oracle() override;
    const std::optional<Broken>& broken() const { return broken_; }
    void breaks(Rule rule, std::vector<uint64_t> calls, std::string what);   // the first counts
    Summary summary;

    // Clients.
    void sent(uint64_t number, int proxy, int product, const Socket& client);
    void sent_again(uint64_t number, const Socket& client);
    void left(uint64_t number);
    void answered(uint64_t number, int status, const std::string& body);   // as the client read it
    void stranger(const Socket& client) { strangers_.insert(client.number); }

    // Servers. Null: of a connection that no call is known to be on.
    LabCall* call(uint64_t number);
    LabShot* shot(uint64_t number, const Socket& servers_end);
    void fate(uint64_t number, LabShot& shot, Fate fate);
    bool executed(uint64_t number, int server);   // false: it was a duplicate and had no effect
    void done(LabShot& shot) { shot.out = false; }

    // Discovery: this list has come to the proxy's machine; entries by server slot.
    struct Told {
        int server = 0;
        std::string uid;
        bool ready = false;
        Time launched = long_ago;
        bool drained = false;   // told as draining, and not as started anew since
        bool open = false;      // told as ready, and not as draining since
    };
    void list_told(int proxy, bool whole, const std::vector<Told>& entries);
    void asks(int proxy, bool open);   // whether a call to discovery is open
    std::function<void(int proxy, Socket&)> on_discovery_bytes;
    std::function<bool(int proxy, int server)> connecting;   // whether a connect there is under way
    bool knows_start(int proxy, int server, Time launched) const;

    // Proxies.
    void starts(int proxy, const std::vector<Told>& known);
    void dies(int proxy) { proxies_[proxy].dying = true; }   // SIGKILL: what it holds is lost
    void ended(int proxy);
    void paused(int proxy, Time from, Time to) { proxies_[proxy].pauses.emplace_back(from, to); }
    void short_of_descriptors(int proxy) { proxies_[proxy].was_short = true; }
    bool was_short(int proxy) const { return proxies_[proxy].was_short; }
    Time due(int proxy, Time since, Span within) const;   // later for the pauses in that time
    int calls_open(int proxy) const { return proxies_[proxy].open; }
    int lines_busy(int proxy) const { return proxies_[proxy].busy; }   // with a shot or probe that was begun

    void wrote(Socket& s, std::string_view bytes) override;
    void took(Socket& s, std::string_view bytes) override;
    void came(Socket& s) override;
    void closing(Socket& s) override;
    void opened(Socket& s) override;

private:
    struct Conn;
    struct ProxyState {
        std::unordered_map<std::string, Told> told;        // by uid
        std::vector<Time> gone_since;                      // by server slot; `never` while it is listed as ready
        std::vector<std::pair<Time, Time>> pauses;
        bool dying = false, up = false, asks = false, was_short = false;
        Time asked{};
        int open = 0, busy = 0;                            // calls taken that have no answer; see lines_busy
    };
    Conn& conn(const Socket& s);
    void shot_begins(Conn& c, const Socket& s);
    void shot_written(Conn& c);
    void answer_written(Conn& c, const Socket& s);
    void over(LabCall& call);
    void check_due(uint64_t number);
    void look_after(int proxy);
    bool may_have_run(const LabShot& shot) const;
    void note(Event what, uint64_t who, uint64_t a = 0, uint64_t b = 0) {
        trace_.note(queue_.steps(), queue_.now(), what, who, a, b);
    }
    void gone_since(ProxyState& p);

    Queue& queue_;
    Trace& trace_;
    const Scenario& scenario_;
    std::optional<Broken> broken_;
    std::unordered_map<uint64_t, std::unique_ptr<LabCall>> calls_;   // looked up only
    std::unordered_map<uint64_t, std::unique_ptr<Conn>> conns_;      // by the proxy's socket; looked up only
    std::unordered_map<uint64_t, uint64_t> on_client_;               // the latest call on a client's socket
    std::set<uint64_t> strangers_;
    std::vector<ProxyState> proxies_;
};

}  // namespace myrtleroute::lab
