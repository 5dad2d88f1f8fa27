// Checks the rules after every step. It observes what each proxy writes, reads and closes and what the servers do
// with each call at the moment at which it happens, so it judges by what really ran and not by responses only.
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
    X(one_answer, "each API call that a proxy reads gets exactly one final answer")                          \
    X(in_time, "the answer is sent in time")                                                                 \
    X(right_answer, "an answer is the one that a server made for this call")                                 \
    X(no_shot_after, "no attempt starts after the final answer")                                             \
    X(no_effect_twice, "no call has its effect twice")                                                       \
    X(no_second_copy, "a call never has two attempts open at once")                                          \
    X(no_false_promise, "a rate-limit reply is sent only where nothing may have run")                        \
    X(drains, "no attempt is sent to a server after the grace period of its drain")                          \
    X(cold_servers, "no cold server is overloaded by proxies that know of its start")                        \
    X(listens, "the list is requested within the time that the guarantee allows")                            \
    X(owed, "every connection gets an answer or a close within 3 s")                                         \
    X(sound, "what a proxy writes is well-formed")                                                           \
    X(beliefs, "a proxy's own counts match those of the system")                                             \
    X(nothing_left, "no call, timer or descriptor is left when all is quiet")                                \
    X(no_busy_loop, "the number of rounds is bounded by the number of events")                               \
    X(bounded_memory, "memory is bounded")                                                                   \
    X(ends_in_time, "a proxy ends in time after SIGTERM, and never otherwise")                               \
    X(no_crash, "a proxy does not crash")

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
    std::vector<uint64_t> calls;   // calls concerned
    std::string what;
};

// State of an attempt at its server; unknown: it may have run.
enum class Execution { in_flight, queued, running, executed, not_executed, unknown };

struct LabAttempt {
    int server = 0;
    uint64_t socket = 0;   // number of the proxy's socket
    Time begun;
    bool fully_sent = false;   // its last byte was written
    bool open = true;          // its connection is open and no response was sent
    Execution execution = Execution::in_flight;
    Time deadline;   // from the X-Timeout that the proxy sent
};

struct LabCall {
    uint64_t number = 0;
    int proxy = 0, product = 0;
    Time arrived{-1}, finished_at;         // arrived: when its last byte reached the proxy's machine; -1 = not yet
    uint64_t client = 0, client_end = 0;   // the client's socket, and the byte offset on it at which the call ends
    bool taken = false, left = false, finished = false, resent = false, exempt = false;
    std::vector<LabAttempt> attempts;
    int executions = 0;
    std::unordered_map<int, Time> effects;   // of a deduplicated call, by zone
    const LabProduct& kind() const { return products[static_cast<size_t>(product)]; }
};

class Oracle : public Tap {
public:
    Oracle(Queue& queue, Trace& trace, const Scenario& scenario);
    ~Oracle() override;
    const std::optional<Violation>& violation() const { return violation_; }
    void report_violation(Rule rule, std::vector<uint64_t> calls, std::string what);   // only the first is kept
    Summary summary;

    // Reported by clients.
    void call_sent(uint64_t number, int proxy, int product, const Socket& client);
    void call_resent(uint64_t number, const Socket& client);
    void client_left(uint64_t number);
    void response_read(uint64_t number, int status, const std::string& body);   // as read by the client
    void stray_connected(const Socket& client) { stray_connections_.insert(client.number); }

    // Reported by servers. Lookups return null if no such call is known, or none on that connection.
    LabCall* call(uint64_t number);
    LabAttempt* attempt(uint64_t number, const Socket& servers_end);
    void set_execution(uint64_t number, LabAttempt& attempt, Execution execution);
    bool executed(uint64_t number, int server);   // false: a duplicate without effect
    void attempt_answered(LabAttempt& attempt) { attempt.open = false; }

    // Reported by discovery. A list arrived at the proxy's machine; `whole`: it holds all servers, not only changes.
    struct ListedServer {
        int server = 0;
        std::string uid;
        bool ready = false;
        Time launched = long_ago;
        bool drained = false;     // listed as draining, and not as restarted since
        bool available = false;   // listed as ready, and not as draining since
    };
    void list_received(int proxy, bool whole, const std::vector<ListedServer>& entries);
    void discovery_request(int proxy, bool open);   // whether a request to discovery is open
    std::function<void(int proxy, Socket&)> on_discovery_bytes;
    std::function<bool(int proxy, int server)> is_connecting;   // whether a connect to it is in progress
    // Whether the proxy has a list in which the server started then or later.
    bool knows_start(int proxy, int server, Time launched) const;

    // Reported by the world about proxies.
    void proxy_started(int proxy, const std::vector<ListedServer>& known);
    void process_ending(int proxy) { proxies_[proxy].ending = true; }   // its open calls are lost, which breaks no rule
    void proxy_ended(int proxy);
    void proxy_paused(int proxy, Time from, Time to) { proxies_[proxy].pauses.emplace_back(from, to); }
    void set_descriptors_limited(int proxy) { proxies_[proxy].descriptors_limited = true; }
    bool descriptors_limited(int proxy) const { return proxies_[proxy].descriptors_limited; }
    // Returns since + within, later by the pauses of the process in that time.
    Time deadline(int proxy, Time since, Span within) const;
    int open_calls(int proxy) const { return proxies_[proxy].open_calls; }
    // Connections to servers on which an attempt or probe was started and is not answered.
    int busy_connections(int proxy) const { return proxies_[proxy].busy_connections; }

    void was_written(Socket& s, std::string_view bytes) override;
    void was_read(Socket& s, std::string_view bytes) override;
    void bytes_arrived(Socket& s) override;
    void closing(Socket& s) override;
    void connect_started(Socket& s) override;

private:
    struct Connection;
    struct ProxyState {
        std::unordered_map<std::string, ListedServer> known_servers;   // by uid
        std::vector<Time> unavailable_since;   // by server slot; `never` while attempts may be sent to it
        std::vector<std::pair<Time, Time>> pauses;
        bool ending = false, up = false, discovery_request_open = false, descriptors_limited = false;
        Time last_discovery_request{};
        int open_calls = 0, busy_connections = 0;   // calls read whole without a response; see busy_connections()
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
    std::unordered_map<uint64_t, std::unique_ptr<LabCall>> calls_;   // by number; never iterated
    std::unordered_map<uint64_t, std::unique_ptr<Connection>> connections_;   // by the proxy's socket; never iterated
    std::unordered_map<uint64_t, uint64_t> on_client_;   // latest call on each client's socket
    std::set<uint64_t> stray_connections_;
    std::vector<ProxyState> proxies_;
};

}  // namespace myrtleroute::lab
