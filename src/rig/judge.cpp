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

constexpr double protocols_slack = 0.05;   // as the protocol page has it, beside the experiment's own
constexpr double after = 1;                // for what a fault leaves behind: held bytes, a stopped process's backlog
constexpr double most_memory_mb = 192;

struct Excuse { double from, to; const char* why; };

class Judge {
public:
    explicit Judge(const Day& day) : d_(day), e_(day.e), slack_(e_.slack.s + protocols_slack) {
        by_proxy_.resize(static_cast<size_t>(e_.proxies));
        lists_.resize(static_cast<size_t>(e_.proxies));
        told_.resize(static_cast<size_t>(e_.proxies));
        for (const auto& t : d_.told)
            if (t.proxy < told_.size()) told_[t.proxy].push_back(&t);
        excuses();
    }

    Verdict verdict() {
        v_.judged = d_.calls.size();
        for (const auto& s : d_.starved) v_.starved += s.to - s.from;
        size_t shot = 0;
        for (const auto& call : d_.calls) {
            while (shot < d_.shots.size() && d_.shots[shot].call < call.call) ++shot;
            size_t end = shot;
            while (end < d_.shots.size() && d_.shots[end].call == call.call) ++end;
            judge_call(call, &d_.shots[shot], end - shot);
            shot = end;
        }
        drains();
        cold_servers();
        listens();
        for (const auto& lost : d_.lost) breaks(Rule::no_crash, 0, lost);
        for (const auto& left : d_.left) breaks(Rule::all_back, 0, left);
        if (d_.most_memory_mb > most_memory_mb) breaks(Rule::all_back, 0, "a proxy had " + std::to_string(d_.most_memory_mb) + " MB");
        return std::move(v_);
    }

private:
    // Which times of which proxies, and of which links, a fault stands for.
    void excuses() {
        for (const auto& b : d_.befell) {
            const auto& f = e_.faults[static_cast<size_t>(b.fault)];
            const char* why = name_of(f.kind).name;
            const Excuse excuse{b.from, b.to + after, why};
            switch (name_of(f.kind).whom) {
                case Whom::process:
                    if (f.kind == FaultKind::restart || f.kind == FaultKind::other_build || f.kind == FaultKind::reread) break;
                    for (const int p : b.who) {
                        by_proxy_[static_cast<size_t>(p)].push_back(excuse);
                        lists_[static_cast<size_t>(p)].push_back(excuse);
                    }
                    break;
                case Whom::discovery:
                    if (f.kind == FaultKind::silent || f.kind == FaultKind::absent)
                        for (auto& each : lists_) each.push_back(excuse);
                    break;
                case Whom::link:
                    for (const int p : f.who.members) {
                        if (f.link == Kind::application) by_proxy_[static_cast<size_t>(p)].push_back(excuse);
                        if (f.link == Kind::discovery) lists_[static_cast<size_t>(p)].push_back(excuse);
                        if (f.link == Kind::server)
                            for (const int s : f.to.members) links_[{p, s}].push_back(excuse);
                    }
                    break;
                case Whom::server: break;   // excuse nothing: that is what the proxies are for
            }
        }
    }
    static const char* excused(const std::vector<Excuse>& excuses, double from, double to) {
        for (const auto& x : excuses)
            if (x.from <= to && x.to >= from) return x.why;
        return nullptr;
    }
    const char* link_excused(int proxy, int server, double from, double to) const {
        const auto it = links_.find({proxy, server});
        return it == links_.end() ? nullptr : excused(it->second, from, to);
    }
    double starved(double from, double to) const {
        double sum = 0;
        for (auto it = std::lower_bound(d_.starved.begin(), d_.starved.end(), from - 5, [](auto& s, double t) { return s.from < t; });
             it != d_.starved.end() && it->from < to; ++it)
            sum += std::max(0.0, std::min(to, it->to) - std::max(from, it->from));
        return sum;
    }
    double since(double t) const { return std::round((t - d_.start) * 1000) / 1000; }

    void breaks(Rule rule, uint64_t call, const std::string& what) { v_.breaks.push_back({rule, call, what}); }
    // Counted as excused where there is an excuse, else it breaks the rule.
    void breaks(Rule rule, const CallRecord& c, const ShotRecord* shots, size_t n, const char* why, const std::string& what) {
        if (why) {
            ++v_.excused[std::string(name_of(rule)) + " by " + why];
            return;
        }
        std::ostringstream text;
        text << what << "; call " << std::hex << c.call << std::dec << " of " << e_.products[c.product].name << " at proxy "
             << proxy_of(c.call) << ", sent " << since(c.sent) << " s, ended " << since(c.ended) << " s with " << c.status << ", shots:";
        for (size_t i = 0; i < n; ++i) {
            text << " [server " << shots[i].server << " began " << since(shots[i].began) << " whole " << since(shots[i].whole);
            if (shots[i].executed > 0) text << " run " << since(shots[i].executed);
            text << (shots[i].answered ? " answered " : " closed ") << (shots[i].ended > 0 ? since(shots[i].ended) : -1) << ']';
        }
        breaks(rule, c.call, text.str());
    }

    void judge_call(const CallRecord& c, const ShotRecord* shots, size_t n) {
        const auto& p = e_.products[c.product];
        const int proxy = proxy_of(c.call);
        const auto& excuses = by_proxy_[static_cast<size_t>(proxy)];
        const char* why = excused(excuses, c.sent, c.ended);
        if (c.end == CallEnd::not_connected) return;   // nobody took it
        const double most = p.timeout.s + e_.grace.s + slack_ + starved(c.sent, c.ended);
        if (c.end == CallEnd::broken) breaks(Rule::one_answer, c, shots, n, why, "its connection ended without an answer");
        if (c.end == CallEnd::unanswered || (c.end == CallEnd::answered && c.ended - c.sent > most))
            breaks(Rule::one_answer, c, shots, n, why, "no answer in time");
        if (c.end == CallEnd::wrong) breaks(Rule::right_answer, c, shots, n, why, "answered with what no server made for it");
        int effects = 0;
        double first = 0;
        for (size_t i = 0; i < n; ++i) {
            const auto& s = shots[i];
            if (s.executed > 0) {
                const bool again = effects > 0 && (p.repeat == Idempotency::non_idempotent || s.began - first > p.window + protocols_slack);
                if (again && p.repeat != Idempotency::idempotent)
                    breaks(Rule::no_effect_twice, c, shots, n, nullptr, "took effect again at server " + std::to_string(s.server));
                if (effects++ == 0) first = s.whole;   // the window is the sender's to keep
            }
            const char* held = link_excused(proxy, s.server, c.sent, s.whole);
            if (s.began > c.ended + slack_ + starved(c.ended, s.began))
                breaks(Rule::no_shot_after, c, shots, n, held ? held : why, "a shot after its end, to server " + std::to_string(s.server));
            for (size_t k = 0; k < i; ++k) {
                const auto& earlier = shots[k];
                const double left = (earlier.ended > 0 ? earlier.ended : s.whole + 1e9) - s.whole;
                if (left <= slack_ + starved(s.whole - 1, s.whole + 1)) continue;
                const char* link = link_excused(proxy, earlier.server, c.sent, s.whole);
                breaks(Rule::no_second_copy, c, shots, n, held ? held : link ? link : why, "a second shot while the first was out");
            }
        }
        if ((c.status == 429 || c.status == 503) && p.repeat == Idempotency::non_idempotent && effects > 0)
            breaks(Rule::no_false_promise, c, shots, n, nullptr, "rate-limited, and yet it took effect");
    }

    const Life* life_at(int proxy, double t) const {
        const Life* found = nullptr;
        for (const auto& l : d_.lives)
            if (l.proxy == proxy && l.from <= t) found = &l;
        return found;
    }
    // When the proxy's process that ran at `t` was told a change; never: a time beyond all.
    double told_of(int proxy, uint32_t rev, double listed, double t) const {
        const auto* life = life_at(proxy, t);
        if (!life) return 1e18;
        for (const auto* r : told_[static_cast<size_t>(proxy)]) {
            if (r->asked || r->rev < rev || r->at < std::max(listed, life->from)) continue;
            double at = r->at;
            for (const auto& x : lists_[static_cast<size_t>(proxy)])
                if (x.from <= at && at <= x.to) at = x.to;   // it lay in the link until then
            return at;
        }
        return 1e18;
    }

    void drains() {
        for (size_t i = 0; i < d_.list.size(); ++i) {
            const auto& entry = d_.list[i];
            if (entry.state != Listed::draining) continue;
            double until = 1e18;   // it serves again
            for (size_t k = i + 1; k < d_.list.size() && until > 1e17; ++k)
                if (d_.list[k].server == entry.server && d_.list[k].state == Listed::serving) until = d_.list[k].at;
            for (const auto& s : d_.shots) {
                if (s.server != entry.server || s.call == 0 || s.began < entry.at + e_.drain_grace.s || s.began > until) continue;
                const double told = told_of(s.proxy, entry.rev, entry.at, s.began);
                if (s.began <= told + e_.drain_grace.s + slack_ + starved(told, s.began)) continue;
                const char* why = link_excused(s.proxy, s.server, told, s.began);
                if (!why) why = excused(by_proxy_[s.proxy], told, s.began);
                if (why) {
                    ++v_.excused[std::string("drains by ") + why];
                    continue;
                }
                std::ostringstream text;
                text << "proxy " << s.proxy << " sent call " << std::hex << s.call << std::dec << " to server " << s.server << " at "
                     << since(s.began) << " s, told of its drain at " << since(told) << " s";
                breaks(Rule::drains, s.call, text.str());
            }
        }
    }

    void cold_servers() {
        for (const auto& tip : d_.tips) {
            const ListRecord* start = nullptr;
            for (const auto& l : d_.list)
                if (l.server == tip.server && l.state == Listed::serving && l.boot > 0 && l.at <= tip.at) start = &l;
            double all = 0, known = 0;
            std::set<int> who;
            for (const auto& s : d_.shots) {
                if (s.server != tip.server || s.call == 0 || s.whole < tip.from || s.whole > tip.at) continue;
                all += s.work;
                if (!start || told_of(s.proxy, start->rev, start->at, s.began) > s.began) continue;
                known += s.work;
                who.insert(s.proxy);
            }
            if (known < all * 2 / 3) {
                ++v_.excused["cold_servers by calls of proxies that had not been told of the start"];
                continue;
            }
            std::ostringstream text;
            text << "server " << tip.server << " was pushed over at " << since(tip.at) << " s with " << all << " s of work since "
                 << since(tip.from) << " s, " << known << " s of it from " << who.size() << " proxies that knew of its start";
            breaks(Rule::cold_servers, 0, text.str());
        }
    }

    void listens() {
        const double most = e_.ask_within.s + after + slack_;
        for (const auto& life : d_.lives) {
            const double over = life.to > 0 ? std::min(life.to, d_.end) : d_.end;
            double idle = life.from;
            bool asks = false;
            const auto check = [&](double now) {
                double from = idle;
                for (const auto& x : lists_[static_cast<size_t>(life.proxy)])
                    if (x.from <= now && x.to >= from) from = std::max(from, x.to);
                if (asks || now - from <= most + starved(from, now)) return;
                std::ostringstream text;
                text << "proxy " << life.proxy << " neither watched nor asked from " << since(from) << " s to " << since(now) << " s";
                breaks(Rule::listens, 0, text.str());
            };
            for (const auto* r : told_[static_cast<size_t>(life.proxy)]) {
                if (r->at < life.from || r->at > over) continue;
                check(r->at);
                asks = r->asked;
                idle = r->at;
            }
            check(over);
        }
    }

    const Day& d_;
    const Experiment& e_;
    double slack_;
    Verdict v_;
    std::vector<std::vector<Excuse>> by_proxy_, lists_;   // of calls; of what discovery tells
    std::map<std::pair<int, int>, std::vector<Excuse>> links_;
    std::vector<std::vector<const ToldRecord*>> told_;
};

}  // namespace

const char* name_of(Rule rule) { return rule_names[static_cast<int>(rule)]; }
const char* text_of(Rule rule) { return rule_texts[static_cast<int>(rule)]; }

Verdict judge(const Day& day) { return Judge(day).verdict(); }

void print(std::ostream& out, const Verdict& v, size_t most) {
    std::map<Rule, size_t> count;
    for (const auto& b : v.breaks) ++count[b.rule];
    for (const auto& [why, n] : v.excused) out << "excused: " << n << " x " << why << '\n';
    for (const auto& [rule, n] : count) {
        out << "BROKEN " << name_of(rule) << " (" << text_of(rule) << "), " << n << " times\n";
        size_t shown = 0;
        for (const auto& b : v.breaks)
            if (b.rule == rule && shown++ < most) out << "  " << b.what << '\n';
    }
    if (v.kept()) out << "all rules were kept over " << v.judged << " calls\n";
    if (v.starved > 0.5) out << "the machine kept processes of the rig waiting for " << v.starved << " s in all\n";
}

}  // namespace myrtleroute::rig
