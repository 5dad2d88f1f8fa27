// Plays events to the decisions and keeps what they do, without any wire.
#pragma once
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "logic.hpp"

namespace myrtleroute {

// Products: 0 idempotent, 1 deduplicated, 2 non-idempotent; SLO 1 s, client timeout 4 s. Pairs given in
// `more` win, so that a case gives just what differs.
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

struct Done {
    std::string what;   // send, cancel, rate_limit, error, probe, watch
    CallId call = 0;
    ServerId server = 0;
    int shot = 0;
};

class Play : public Actions {
public:
    explicit Play(const std::string& more = {}, int servers = 6, uint64_t seed = 7)
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
    // Lets time pass and wakes what asked for it, in order.
    void pass(double seconds) {
        const Time until = now + Span{seconds};
        for (;;) {
            size_t next = wakes.size();
            for (size_t i = 0; i < wakes.size(); ++i)
                if (wakes[i].first <= until && (next == wakes.size() || wakes[i].first < wakes[next].first))
                    next = i;
            if (next == wakes.size()) break;
            const auto wake = wakes[next];
            wakes.erase(wakes.begin() + static_cast<long>(next));
            now = std::max(now, wake.first);
            balancer->timer_fired(now, wake.second);
        }
        now = until;
    }
    // Takes an API call; answers the server of its first shot, 0 if it got none.
    ServerId call(CallId id, uint32_t product = 0, double patience = 4, uint32_t tenant = 0,
                  double work = 0, uint64_t key = 0, bool again = false) {
        const size_t before = done.size();
        balancer->call_arrived(now, id, product, tenant, Span{patience}, Span{work}, key, again);
        for (size_t i = before; i < done.size(); ++i)
            if (done[i].what == "send") return done[i].server;
        return 0;
    }
    void end(CallId id, Outcome outcome, int shot = 0) {
        balancer->attempt_ended(now, id, shot, outcome, outcome == Outcome::fulfilled);
    }
    // `n` calls one after another, each answered after `took` seconds, or never; the servers they went to.
    std::multiset<ServerId> answer_some(int n, double took = 0.05, uint32_t product = 0, uint32_t tenant = 0) {
        std::multiset<ServerId> used;
        for (const CallId last = next_id + n; next_id < last;) {
            const CallId id = 100000 + next_id++;
            if (const auto server = call(id, product, 4, tenant)) used.insert(server);
            if (took < 0) continue;
            pass(took);
            end(id, Outcome::fulfilled);
        }
        return used;
    }
    std::multiset<ServerId> leave_open(int n) { return answer_some(n, -1); }
    int count(const std::string& what, CallId call = 0) const {
        int n = 0;
        for (const auto& d : done) n += d.what == what && (!call || d.call == call);
        return n;
    }
    ServerId last_send(CallId call) const {
        ServerId server = 0;
        for (const auto& d : done)
            if (d.what == "send" && d.call == call) server = d.server;
        return server;
    }

    void send(CallId call, ServerId server, Span) override { done.push_back({"send", call, server, 0}); }
    void cancel(CallId call, int shot) override { done.push_back({"cancel", call, 0, shot}); }
    void rate_limit(CallId call, Span) override { done.push_back({"rate_limit", call, 0, 0}); }
    void error(CallId call) override { done.push_back({"error", call, 0, 0}); }
    void probe(ServerId server) override { done.push_back({"probe", 0, server, 0}); }
    void close_idle(ServerId) override {}
    void watch_list() override { done.push_back({"watch", 0, 0, 0}); }
    void set_timer(Span after, uint64_t cookie) override { wakes.push_back({now + after, cookie}); }
    void log(std::string_view, ServerId) override {}

    Time now{100};
    std::vector<Done> done;
    std::vector<std::pair<Time, uint64_t>> wakes;
    CallId next_id = 0;
    std::unique_ptr<Balancer> balancer;
};

}  // namespace myrtleroute
