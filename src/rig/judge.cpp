#include "rig/judge.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>

#include "rig/arrivals.hpp"

namespace myrtleroute::rig {

namespace {

constexpr const char* rule_names[] = {
#define X(name, text) #name,
    MYRTLEROUTE_RIG_RULES(X)
#undef X
};
constexpr const char* rule_texts[] = {
#define X(name, text) text,
    MYRTLEROUTE_RIG_RULES(X)
#undef X
};

constexpr double protocol_slack = 0.05;   // of the protocol page; added to the experiment's slack
constexpr double aftermath =
    1;   // seconds after a fault in which it still excuses: held bytes, the backlog of a stopped process
constexpr double max_memory_mb = 192;

struct Excuse { double from, to; const char* why; };

class Judge {
public:
    explicit Judge(const RunRecord& record) : d_(record), e_(record.e), slack_(e_.slack.s + protocol_slack) {
        call_excuses_.resize(static_cast<size_t>(e_.proxies));
        discovery_excuses_.resize(static_cast<size_t>(e_.proxies));
        records_.resize(static_cast<size_t>(e_.proxies));
        for (const auto& t : d_.discovery_records)
            if (t.proxy < records_.size()) records_[t.proxy].push_back(&t);
        excuses();
    }

    Verdict verdict() {
        v_.judged = d_.calls.size();
        for (const auto& s : d_.starved) v_.starved += s.to - s.from;
        size_t attempt = 0;
        for (const auto& call : d_.calls) {
            while (attempt < d_.attempts.size() && d_.attempts[attempt].call < call.call) ++attempt;
            size_t end = attempt;
            while (end < d_.attempts.size() && d_.attempts[end].call == call.call) ++end;
            judge_call(call, &d_.attempts[attempt], end - attempt);
            attempt = end;
        }
        check_drains();
        check_cold_servers();
        check_discovery();
        for (const auto& lost : d_.lost) add_violation(Rule::no_crash, 0, lost);
        for (const auto& left : d_.left) add_violation(Rule::all_back, 0, left);
        if (d_.max_memory_mb > max_memory_mb)
            add_violation(Rule::all_back, 0, "a proxy had " + std::to_string(d_.max_memory_mb) + " MB");
        return std::move(v_);
    }

private:
    // Collects the intervals in which a fault excuses violations, by proxy and by link.
    void excuses() {
        for (const auto& b : d_.applied_faults) {
            const auto& f = e_.faults[static_cast<size_t>(b.fault)];
            const char* why = name_of(f.kind).name;
            const Excuse excuse{b.from, b.to + aftermath, why};
            switch (name_of(f.kind).target) {
                case FaultTarget::process:
                    if (f.kind == FaultKind::restart || f.kind == FaultKind::other_build || f.kind == FaultKind::reread) break;
                    for (const int p : b.who) {
                        call_excuses_[static_cast<size_t>(p)].push_back(excuse);
                        discovery_excuses_[static_cast<size_t>(p)].push_back(excuse);
                    }
                    break;
                case FaultTarget::discovery:
                    if (f.kind == FaultKind::silent || f.kind == FaultKind::absent)
                        for (auto& each : discovery_excuses_) each.push_back(excuse);
                    break;
                case FaultTarget::link:
                    for (const int p : f.who.members) {
                        if (f.link == Kind::application) call_excuses_[static_cast<size_t>(p)].push_back(excuse);
                        if (f.link == Kind::discovery) discovery_excuses_[static_cast<size_t>(p)].push_back(excuse);
                        if (f.link == Kind::server)
                            for (const int s : f.to.members) link_excuses_[{p, s}].push_back(excuse);
                    }
                    break;
                case FaultTarget::server: break;   // excuses nothing: proxies must handle failing servers
            }
        }
    }
    static const char* excused(const std::vector<Excuse>& excuses, double from, double to) {
        for (const auto& x : excuses)
            if (x.from <= to && x.to >= from) return x.why;
        return nullptr;
    }
    const char* link_excused(int proxy, int server, double from, double to) const {
        const auto it = link_excuses_.find({proxy, server});
        return it == link_excuses_.end() ? nullptr : excused(it->second, from, to);
    }
    double starved(double from, double to) const {
        double sum = 0;
        for (auto it = std::lower_bound(d_.starved.begin(), d_.starved.end(), from - 5, [](auto& s, double t) { return s.from < t; });
             it != d_.starved.end() && it->from < to; ++it)
            sum += std::max(0.0, std::min(to, it->to) - std::max(from, it->from));
        return sum;
    }
    double seconds_into_run(double t) const { return std::round((t - d_.start) * 1000) / 1000; }

    void add_violation(Rule rule, uint64_t call, const std::string& what) {
        v_.violations.push_back({rule, call, what});
    }
    // Counts an excused violation if `why` names a fault, else records the violation.
    void add_violation(Rule rule, const CallRecord& c, const AttemptRecord* attempts, size_t n, const char* why,
                       const std::string& what) {
        if (why) {
            ++v_.excused[std::string(name_of(rule)) + " by " + why];
            return;
        }
        std::ostringstream text;
        text << what << "; call " << std::hex << c.call << std::dec << " of " << e_.products[c.product].name
             << " at proxy " << proxy_of(c.call) << ", sent " << seconds_into_run(c.sent) << " s, ended "
             << seconds_into_run(c.ended) << " s with " << c.status << ", attempts:";
        for (size_t i = 0; i < n; ++i) {
            text << " [server " << attempts[i].server << " began " << seconds_into_run(attempts[i].began)
                 << " received " << seconds_into_run(attempts[i].received);
            if (attempts[i].executed > 0) text << " executed " << seconds_into_run(attempts[i].executed);
            text << (attempts[i].answered ? " answered " : " closed ")
                 << (attempts[i].ended > 0 ? seconds_into_run(attempts[i].ended) : -1) << ']';
        }
        add_violation(rule, c.call, text.str());
    }

    void judge_call(const CallRecord& c, const AttemptRecord* attempts, size_t n) {
        const auto& p = e_.products[c.product];
        const int proxy = proxy_of(c.call);
        const auto& excuses = call_excuses_[static_cast<size_t>(proxy)];
        const char* why = excused(excuses, c.sent, c.ended);
        if (c.end == CallOutcome::not_connected) return;   // no proxy accepted it
        const double limit = p.timeout.s + e_.grace.s + slack_ + starved(c.sent, c.ended);
        if (c.end == CallOutcome::disconnected)
            add_violation(Rule::one_answer, c, attempts, n, why, "its connection closed without an answer");
        if (c.end == CallOutcome::timed_out || (c.end == CallOutcome::answered && c.ended - c.sent > limit))
            add_violation(Rule::one_answer, c, attempts, n, why, "no answer in time");
        if (c.end == CallOutcome::wrong)
            add_violation(Rule::right_answer, c, attempts, n, why,
                          "answered 200 with a body that no server sent for it");
        int effects = 0;
        double first = 0;
        for (size_t i = 0; i < n; ++i) {
            const auto& s = attempts[i];
            if (s.executed > 0) {
                const bool again = effects > 0 && (p.idempotency == Idempotency::non_idempotent ||
                                                   s.began - first > p.window + protocol_slack);
                if (again && p.idempotency != Idempotency::idempotent)
                    add_violation(Rule::no_effect_twice, c, attempts, n, nullptr,
                                  "took effect again at server " + std::to_string(s.server));
                if (effects++ == 0) first = s.received;   // receipt of the first executed attempt; the sender keeps within the window
            }
            const char* link_cause = link_excused(proxy, s.server, c.sent, s.received);
            if (s.began > c.ended + slack_ + starved(c.ended, s.began))
                add_violation(Rule::no_shot_after, c, attempts, n, link_cause ? link_cause : why,
                              "an attempt after its end, to server " + std::to_string(s.server));
            for (size_t k = 0; k < i; ++k) {
                const auto& earlier = attempts[k];
                const double left = (earlier.ended > 0 ? earlier.ended : s.received + 1e9) - s.received;
                if (left <= slack_ + starved(s.received - 1, s.received + 1)) continue;
                const char* link = link_excused(proxy, earlier.server, c.sent, s.received);
                add_violation(Rule::no_second_copy, c, attempts, n,
                              link_cause ? link_cause
                              : link     ? link
                                         : why,
                              "a second attempt while an earlier one was open");
            }
        }
        if ((c.status == 429 || c.status == 503) && p.idempotency == Idempotency::non_idempotent && effects > 0)
            add_violation(Rule::no_false_promise, c, attempts, n, nullptr, "rate-limited although it took effect");
    }

    const Incarnation* incarnation_at(int proxy, double t) const {
        const Incarnation* found = nullptr;
        for (const auto& l : d_.incarnations)
            if (l.proxy == proxy && l.from <= t) found = &l;
        return found;
    }
    // When discovery reported a change to the proxy process that ran at `t`; 1e18: never.
    double notified_at(int proxy, uint32_t rev, double listed, double t) const {
        const auto* incarnation = incarnation_at(proxy, t);
        if (!incarnation) return 1e18;
        for (const auto* r : records_[static_cast<size_t>(proxy)]) {
            if (r->request || r->rev < rev || r->at < std::max(listed, incarnation->from)) continue;
            double at = r->at;
            for (const auto& x : discovery_excuses_[static_cast<size_t>(proxy)])
                if (x.from <= at && at <= x.to) at = x.to;   // the fault held the answer until then
            return at;
        }
        return 1e18;
    }

    void check_drains() {
        for (size_t i = 0; i < d_.list.size(); ++i) {
            const auto& entry = d_.list[i];
            if (entry.state != ListedState::draining) continue;
            double until = 1e18;   // until it serves again
            for (size_t k = i + 1; k < d_.list.size() && until > 1e17; ++k)
                if (d_.list[k].server == entry.server && d_.list[k].state == ListedState::serving)
                    until = d_.list[k].at;
            for (const auto& s : d_.attempts) {
                if (s.server != entry.server || s.call == 0 || s.began < entry.at + e_.drain_grace.s || s.began > until) continue;
                const double notified = notified_at(s.proxy, entry.rev, entry.at, s.began);
                if (s.began <= notified + e_.drain_grace.s + slack_ + starved(notified, s.began)) continue;
                const char* why = link_excused(s.proxy, s.server, notified, s.began);
                if (!why) why = excused(call_excuses_[s.proxy], notified, s.began);
                if (why) {
                    ++v_.excused[std::string("drains by ") + why];
                    continue;
                }
                std::ostringstream text;
                text << "proxy " << s.proxy << " sent call " << std::hex << s.call << std::dec << " to server "
                     << s.server << " at " << seconds_into_run(s.began) << " s, notified of its drain at "
                     << seconds_into_run(notified) << " s";
                add_violation(Rule::drains, s.call, text.str());
            }
        }
    }

    void check_cold_servers() {
        for (const auto& overload : d_.overloads) {
            const ListRecord* start = nullptr;
            for (const auto& l : d_.list)
                if (l.server == overload.server && l.state == ListedState::serving && l.boot > 0 && l.at <= overload.at)
                    start = &l;
            double all = 0, known = 0;
            std::set<int> who;
            for (const auto& s : d_.attempts) {
                if (s.server != overload.server || s.call == 0 || s.received < overload.from || s.received > overload.at) continue;
                all += s.work;
                if (!start || notified_at(s.proxy, start->rev, start->at, s.began) > s.began) continue;
                known += s.work;
                who.insert(s.proxy);
            }
            if (known < all * 2 / 3) {
                ++v_.excused["cold_servers by calls of proxies that had not been notified of the start"];
                continue;
            }
            std::ostringstream text;
            text << "server " << overload.server << " was overloaded at " << seconds_into_run(overload.at) << " s with " << all
                 << " s of work since " << seconds_into_run(overload.from) << " s, " << known << " s of it from "
                 << who.size() << " proxies that knew of its start";
            add_violation(Rule::cold_servers, 0, text.str());
        }
    }

    void check_discovery() {
        const double limit = e_.ask_within.s + aftermath + slack_;
        for (const auto& incarnation : d_.incarnations) {
            const double over = incarnation.to > 0 ? std::min(incarnation.to, d_.end) : d_.end;
            double idle = incarnation.from;
            bool asks = false;
            const auto check = [&](double now) {
                double from = idle;
                for (const auto& x : discovery_excuses_[static_cast<size_t>(incarnation.proxy)])
                    if (x.from <= now && x.to >= from) from = std::max(from, x.to);
                if (asks || now - from <= limit + starved(from, now)) return;
                std::ostringstream text;
                text << "proxy " << incarnation.proxy << " neither watched nor called discovery from "
                     << seconds_into_run(from) << " s to " << seconds_into_run(now) << " s";
                add_violation(Rule::listens, 0, text.str());
            };
            for (const auto* r : records_[static_cast<size_t>(incarnation.proxy)]) {
                if (r->at < incarnation.from || r->at > over) continue;
                check(r->at);
                asks = r->request;
                idle = r->at;
            }
            check(over);
        }
    }

    const RunRecord& d_;
    const Experiment& e_;
    double slack_;
    Verdict v_;
    std::vector<std::vector<Excuse>> call_excuses_,
        discovery_excuses_;   // by proxy: for calls; for discovery's answers
    std::map<std::pair<int, int>, std::vector<Excuse>> link_excuses_;
    std::vector<std::vector<const DiscoveryRecord*>> records_;
};

}  // namespace

const char* name_of(Rule rule) { return rule_names[static_cast<int>(rule)]; }
const char* text_of(Rule rule) { return rule_texts[static_cast<int>(rule)]; }

Verdict judge(const RunRecord& record) { return Judge(record).verdict(); }

void print(std::ostream& out, const Verdict& v, size_t limit) {
    std::map<Rule, size_t> count;
    for (const auto& b : v.violations) ++count[b.rule];
    for (const auto& [why, n] : v.excused) out << "excused: " << n << " x " << why << '\n';
    for (const auto& [rule, n] : count) {
        out << "BROKEN " << name_of(rule) << " (" << text_of(rule) << "), " << n << " times\n";
        size_t shown = 0;
        for (const auto& b : v.violations)
            if (b.rule == rule && shown++ < limit) out << "  " << b.what << '\n';
    }
    if (v.passed()) out << "all rules were kept over " << v.judged << " calls\n";
    if (v.starved > 0.5) out << "the machine scheduled processes of the rig late by " << v.starved << " s in all\n";
}

}  // namespace myrtleroute::rig
