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
std::optional<Rule> rule_from_name(std::string_view name);

struct Violation {
    Rule rule{};
    uint64_t step = 0;
    Time at;
    std::vector<uint64_t> calls;   // that are concerned
    std::string what;
};

enum class Execution { in_flight, queued, running, executed, not_executed, unknown };   // of a shot at its server

struct LabAttempt {
    int server = 0;
    uint64_t socket = 0;      // the proxy's
    Time begun;
    bool fully_sent = false;// its last byte was written
    bool open = true;          // its connection is open and it has no answer
    Execution execution = Execution::in_flight;
    Time deadline;             // as the proxy said in X-Timeout
};

struct LabCall {
    uint64_t number = 0;
    int proxy = 0, product = 0;
    Time arrived{-1}, finished_at;      // `arrived`: its last byte came to the proxy's machine
    uint64_t client = 0, client_end = 0;  // the client's socket, and where on it the call ends
    bool taken = false, left = false, finished = false, resent = false, exempt = false;
    std::vector<LabAttempt> attempts;
    int executions = 0;
    std::unordered_map<int, Time> effects;   // of a deduplicated one, by zone
    const LabProduct& kind() const { return products[static_cast<size_t>(product)]; }
};

class Oracle : public Tap {
public:
    Oracle(Queue& queue, Trace& trace, const Scenario& scenario);
    ~Oracle() override;
    const std::optional<Violation>& violation() const { return violation_; }
    void report_violation(Rule rule, std::vector<uint64_t> calls, std::string what);   // the first counts
    Summary summary;

    // Clients.
    void call_sent(uint64_t number, int proxy, int product, const Socket& client);
    void call_resent(uint64_t number, const Socket& client);
    void client_left(uint64_t number);
    void response_read(uint64_t number, int status, const std::string& body);   // as the client read it
    void stray_connected(const Socket& client) { stray_connections_.insert(client.number); }

    // Servers. Null: of a connection that no call is known to be on.
    LabCall* call(uint64_t number);
    LabAttempt* attempt(uint64_t number, const Socket& servers_end);
    void set_execution(uint64_t number, LabAttempt& attempt, Execution execution);
    bool executed(uint64_t number, int server);   // false: it was a duplicate and had no effect
    void attempt_answered(LabAttempt& attempt) { attempt.open = false; }

    // Discovery: this list has come to the proxy's machine; entries by server slot.
    struct ListedServer {
        int server = 0;
        std::string uid;
        bool ready = false;
        Time launched = long_ago;
        bool drained = false;   // told as draining, and not as started anew since
        bool open = false;      // told as ready, and not as draining since
    };
    void list_received(int proxy, bool whole, const std::vector<ListedServer>& entries);
    void discovery_request(int proxy, bool open);   // whether a call to discovery is open
    std::function<void(int proxy, Socket&)> on_discovery_bytes;
    std::function<bool(int proxy, int server)> is_connecting;   // whether a connect there is under way
    bool knows_start(int proxy, int server, Time launched) const;

    // Proxies.
    void proxy_started(int proxy, const std::vector<ListedServer>& known);
    void proxy_killed(int proxy) { proxies_[proxy].killed = true; }   // SIGKILL: what it holds is lost
    void proxy_ended(int proxy);
    void proxy_paused(int proxy, Time from, Time to) { proxies_[proxy].pauses.emplace_back(from, to); }
    void set_descriptors_limited(int proxy) { proxies_[proxy].descriptors_limited = true; }
    bool descriptors_limited(int proxy) const { return proxies_[proxy].descriptors_limited; }
    Time deadline(int proxy, Time since, Span within) const;   // later for the pauses in that time
    int open_calls(int proxy) const { return proxies_[proxy].open_calls; }
    int busy_connections(int proxy) const { return proxies_[proxy].busy_connections; }   // with a shot or probe that was begun

    void was_written(Socket& s, std::string_view bytes) override;
    void was_read(Socket& s, std::string_view bytes) override;
    void bytes_arrived(Socket& s) override;
    void closing(Socket& s) override;
    void connect_started(Socket& s) override;

private:
    struct Connection;
    struct ProxyState {
        std::unordered_map<std::string, ListedServer> known_servers;        // by uid
        std::vector<Time> unavailable_since;                      // by server slot; `never` while it is listed as ready
        std::vector<std::pair<Time, Time>> pauses;
        bool killed = false, up = false, discovery_request_open = false, descriptors_limited = false;
        Time last_discovery_request{};
        int open_calls = 0, busy_connections = 0;                            // calls taken that have no answer; see lines_busy
    };
    Connection& connection(const Socket& s);
    void attempt_began(Connection& c, const Socket& s);
    void attempt_written(Connection& c);
    void response_written(Connection& c, const Socket& s);
    void finish(LabCall& call);
    void check_deadline(uint64_t number);
    void check_discovery_requests(int proxy);
    bool may_have_run(const LabAttempt& attempt) const;
    void record(Event what, uint64_t who, uint64_t a = 0, uint64_t b = 0) {
        trace_.record(queue_.steps(), queue_.now(), what, who, a, b);
    }
    void update_unavailable_since(ProxyState& p);

    Queue& queue_;
    Trace& trace_;
    const Scenario& scenario_;
    std::optional<Violation> violation_;
    std::unordered_map<uint64_t, std::unique_ptr<LabCall>> calls_;   // looked up only
    std::unordered_map<uint64_t, std::unique_ptr<Connection>> connections_;      // by the proxy's socket; looked up only
    std::unordered_map<uint64_t, uint64_t> on_client_;               // the latest call on a client's socket
    std::set<uint64_t> stray_connections_;
    std::vector<ProxyState> proxies_;
};

}  // namespace myrtleroute::lab
