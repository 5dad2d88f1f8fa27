// Test harness: feeds events to the load balancer's decisions and records their actions, without any network.
#pragma once
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "logic.hpp"

namespace myrtleroute {

// Settings as path=value lines. Products: 0 idempotent, 1 deduplicated, 2 non-idempotent; SLO 1 s, client timeout 4 s.
// Pairs in `more` take precedence, so that a case gives only what differs.
inline std::string pairs(const std::string& more = {}) {
    std::string s = more + "\n";
    const char* kinds[] = {"read_like", "idempotency_key", "non_idempotent"};
    s += "Products.count=3\n";
    for (int i = 0; i < 3; ++i) {
        const auto at = "Products." + std::to_string(i) + ".";
        s += at + "Name=p\n" + at + "BilledValue=1\n" + at + "LatencySloS=1\n" + at + "ClientTimeoutS=4\n" +
             at + "DedupWindowS=2\n" + at + "Idempotency=" + kinds[i] + "\n" + at + "KeyScope=all\n";
    }
    return s +
           "Balancers=2\nMe=0\nDiscovery=pushed\nLimits.Probing=true\nLimits.Cancel=true\n"
           "Limits.RetryAfter=true\nLimits.MaxShots=4\nLimits.MaxRetryAfterS=2\nGuarantees.AskWithinS=10\n"
           "Guarantees.WarmAfterS=10\nGuarantees.StartCapacity=0.2\nGuarantees."
           "TipMultiple=3\n";
}

struct ActionRecord {
    std::string kind;   // send, cancel, rate_limit, error, probe, watch
    CallId call = 0;
    ServerId server = 0;
    int attempt = 0;
};

class Harness : public Actions {
public:
    explicit Harness(const std::string& more = {}, int servers = 6, uint64_t seed = 7)
        : balancer(start_balancer(now, SettingsReader(pairs(more)).decode(), seed, *this)) {
        for (int i = 1; i <= servers; ++i) list({{static_cast<ServerId>(i)}}, i == 1);
    }
    struct Listed {
        ServerId id;
        State state = State::ready;
        Time launched = long_ago;
        uint16_t zone = 0, cell = 0;
        double size = 1;
    };
    void list(const std::vector<Listed>& entries, bool whole = false) {
        balancer->list_began(now, whole, false);
        for (const auto& e : entries) balancer->server_listed(e.id, e.zone, e.cell, e.state, e.size, e.launched);
        balancer->list_ended();
    }
    // Advances the time, and fires the timers that are due, in order.
    void advance(double seconds) {
        const Time until = now + Span{seconds};
        for (;;) {
            size_t next = timers.size();
            for (size_t i = 0; i < timers.size(); ++i)
                if (timers[i].first <= until && (next == timers.size() || timers[i].first < timers[next].first))
                    next = i;
            if (next == timers.size()) break;
            const auto timer = timers[next];
            timers.erase(timers.begin() + static_cast<long>(next));
            now = std::max(now, timer.first);
            balancer->timer_fired(now, timer.second);
        }
        now = until;
    }
    // Starts an API call; returns the server of its first attempt, 0 if there is none.
    ServerId start_call(CallId id, uint32_t product = 0, double timeout = 4, uint32_t tenant = 0,
                        double work = 0, uint64_t key = 0, bool again = false) {
        const size_t before = actions.size();
        balancer->call_arrived(now, id, product, tenant, Span{timeout}, Span{work}, key, again);
        for (size_t i = before; i < actions.size(); ++i)
            if (actions[i].kind == "send") return actions[i].server;
        return 0;
    }
    void end_attempt(CallId id, Outcome outcome, int attempt = 0) {
        balancer->attempt_ended(now, id, attempt, outcome, outcome == Outcome::fulfilled);
    }
    // Runs `n` calls in sequence, each answered after `took` seconds, or never if that is negative; returns the servers
    // that they went to.
    std::multiset<ServerId> run_calls(int n, double took = 0.05, uint32_t product = 0, uint32_t tenant = 0) {
        std::multiset<ServerId> used;
        for (const CallId last = next_id + n; next_id < last;) {
            const CallId id = 100000 + next_id++;
            if (const auto server = start_call(id, product, 4, tenant)) used.insert(server);
            if (took < 0) continue;
            advance(took);
            end_attempt(id, Outcome::fulfilled);
        }
        return used;
    }
    std::multiset<ServerId> leave_open(int n) { return run_calls(n, -1); }
    int count(const std::string& kind, CallId call = 0) const {
        int n = 0;
        for (const auto& d : actions) n += d.kind == kind && (!call || d.call == call);
        return n;
    }
    ServerId last_send(CallId call) const {
        ServerId server = 0;
        for (const auto& d : actions)
            if (d.kind == "send" && d.call == call) server = d.server;
        return server;
    }

    void send(CallId call, ServerId server, Span) override { actions.push_back({"send", call, server, 0}); }
    void cancel(CallId call, int attempt) override { actions.push_back({"cancel", call, 0, attempt}); }
    void rate_limit(CallId call, Span) override { actions.push_back({"rate_limit", call, 0, 0}); }
    void error(CallId call) override { actions.push_back({"error", call, 0, 0}); }
    void probe(ServerId server) override { actions.push_back({"probe", 0, server, 0}); }
    void close_idle(ServerId) override {}
    void watch_list() override { actions.push_back({"watch", 0, 0, 0}); }
    void set_timer(Span after, uint64_t cookie) override { timers.push_back({now + after, cookie}); }
    void log(std::string_view, ServerId) override {}

    Time now{100};
    std::vector<ActionRecord> actions;
    std::vector<std::pair<Time, uint64_t>> timers;
    CallId next_id = 0;
    std::unique_ptr<Balancer> balancer;
};

}  // namespace myrtleroute
