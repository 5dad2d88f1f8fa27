#include "lab/oracle.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "wire/ask.hpp"
#include "wire/text.hpp"

namespace myrtleroute::lab {

namespace {

constexpr Time never{std::numeric_limits<double>::infinity()};
constexpr Span slack{0.02};        // rounding of waits, and what a round takes
constexpr Span look{0.25};         // between looks at each proxy
constexpr Span ask_slack{1.5};     // a failed connect is told late

constexpr const char* rule_names[] = {
#define X(name, text) #name,
    MYRTLEROUTE_LAB_RULES(X)
#undef X
};
constexpr const char* rule_texts[] = {
#define X(name, text) text,
    MYRTLEROUTE_LAB_RULES(X)
#undef X
};

// What the oracle reads of either direction's messages.
struct Reader : wire::HttpHandler {
    uint64_t number = 0;
    bool has_number = false;
    int status = 0;
    Span give_up;
    std::string text;
    std::function<void()> head;
    int start(std::string_view first, std::string_view second, std::string_view) override {
        number = 0;
        has_number = false;
        give_up = {};
        text.clear();
        status = first.starts_with("HTTP/") ? wire::parse_integer<int>(second).value_or(0) : 0;
        return 0;
    }
    int field(std::string_view name, std::string_view value) override {
        if (wire::equals_ignore_case(name, "X-Request-ID"))
            if (const auto n = wire::parse_integer<uint64_t>(value)) {
                number = *n;
                has_number = true;
            }
        if (wire::equals_ignore_case(name, "X-Timeout")) give_up = wire::parse_timeout(value);
        return 0;
    }
    int head_ended(Body) override {
        if (head) head();
        return 0;
    }
    void body(std::string_view bytes) override { text.append(bytes); }
};

}  // namespace

const char* name_of(Rule rule) { return rule_names[static_cast<int>(rule)]; }
const char* text_of(Rule rule) { return rule_texts[static_cast<int>(rule)]; }
std::optional<Rule> rule_named(std::string_view name) {
    for (size_t i = 0; i < std::size(rule_names); ++i)
        if (name == rule_names[i]) return static_cast<Rule>(i);
    return {};
}

struct Oracle::Conn {
    explicit Conn(bool to_server)
        : machine(to_server ? wire::HttpParser::Side::request : wire::HttpParser::Side::response, reader), asks(to_server) {}
    Reader reader;
    wire::HttpParser machine;
    bool asks;                // to a server; else to a client
    int proxy = 0, server = -1;
    Time begun;
    uint64_t call = 0;        // whose shot is being written or is out
    int shot = -1;            // < 0: none
    // What the proxy has read of the answer to it, and whether it still waits for more.
    Reader heard;
    wire::HttpParser answer{wire::HttpParser::Side::response, heard};
    bool busy = false;
};

Oracle::Oracle(Queue& queue, Trace& trace, const Scenario& scenario)
    : queue_(queue), trace_(trace), scenario_(scenario), proxies_(static_cast<size_t>(scenario.proxies)) {
    for (int i = 0; i < scenario.proxies; ++i) {
        proxies_[i].gone_since.assign(static_cast<size_t>(scenario.servers), long_ago);
        queue_.in(look, [this, i] { look_after(i); });
    }
}
Oracle::~Oracle() = default;

void Oracle::breaks(Rule rule, std::vector<uint64_t> calls, std::string what) {
    if (!broken_) broken_ = {rule, queue_.steps(), queue_.now(), std::move(calls), std::move(what)};
}

// ---- clients

void Oracle::sent(uint64_t number, int proxy, int product, const Socket& client) {
    auto& c = calls_[number];
    c = std::make_unique<LabCall>();
    c->number = number;
    c->proxy = proxy;
    c->product = product;
    c->client = client.number;
    c->ends = client.sent;
    on_client_[client.number] = number;
    ++summary.calls;
    note(Event::call_sent, number, product, client.number);
}

void Oracle::sent_again(uint64_t number, const Socket& client) {
    auto& c = *calls_[number];
    c.client = client.number;
    c.ends = client.sent;
    c.arrived = {-1};
    c.again = true;
    on_client_[client.number] = number;
    summary.met(Hard::call_crosses_close);
    note(Event::call_again, number, client.number);
}

void Oracle::left(uint64_t number) {
    auto* c = call(number);
    if (!c || c->over) return;
    c->left = true;
    ++summary.left;
    note(Event::call_left, number);
}

void Oracle::answered(uint64_t number, int status, const std::string& body) {
    note(Event::answer_read, number, status);
    if (status == 200 && !body.starts_with("done " + std::to_string(number) + " "))
        breaks(Rule::right_answer, {number}, "the client read: " + body.substr(0, 40));
}

LabCall* Oracle::call(uint64_t number) {
    const auto it = calls_.find(number);
    return it == calls_.end() ? nullptr : it->second.get();
}

// ---- servers

LabShot* Oracle::shot(uint64_t number, const Socket& servers_end) {
    auto* c = call(number);
    if (!c || !servers_end.other) return nullptr;
    for (auto it = c->shots.rbegin(); it != c->shots.rend(); ++it)
        if (it->socket == servers_end.other->number) return &*it;
    return nullptr;
}

void Oracle::fate(uint64_t number, LabShot& shot, Fate fate) {
    shot.fate = fate;
    const auto what = fate == Fate::runs ? Event::shot_runs : fate == Fate::never ? Event::shot_refused
                      : fate == Fate::unproved ? Event::shot_dropped : Event::shot_arrived;
    if (fate != Fate::executed) note(what, number, shot.server, shot.socket);
}

bool Oracle::executed(uint64_t number, int server) {
    auto& c = *call(number);
    if (c.kind().repeat == Idempotency::deduplicated) {
        // A group remembers for longer than the window, so a shot sent within it never has a second effect.
        const auto [effect, first] = c.effects.try_emplace(server % zones, queue_.now());
        if (!first) return false;
    }
    ++c.executions;
    ++summary.executed;
    note(Event::shot_executed, number, server, static_cast<uint64_t>(c.executions));
    if (c.executions > 1 && c.kind().repeat != Idempotency::idempotent)
        breaks(Rule::no_effect_twice, {number}, "it has had its effect " + std::to_string(c.executions) + " times");
    return true;
}

bool Oracle::may_have_run(const LabShot& s) const {
    if (s.fate == Fate::never) return false;
    return s.whole || s.out;   // half a call can't run once its connection is closed
}

// ---- the list

void Oracle::list_told(int proxy, bool whole, const std::vector<Told>& entries) {
    auto& p = proxies_[proxy];
    note(Event::told, static_cast<uint64_t>(proxy), whole, entries.size());
    if (whole)
        for (auto& [uid, entry] : p.told) entry.ready = false;
    for (const auto& e : entries) {
        auto& entry = p.told[e.uid];
        const bool anew = e.ready && e.launched > entry.launched, was_open = entry.open;
        const bool drained = e.drained || (entry.drained && !anew);
        entry = e;
        entry.drained = drained;
        entry.open = (e.ready || was_open) && !drained;
        if (!e.ready && connecting && connecting(proxy, e.server)) summary.met(Hard::drain_before_connect);
    }
    gone_since(p);
}

void Oracle::gone_since(ProxyState& p) {
    std::vector<bool> ready(p.gone_since.size(), false);
    for (const auto& [uid, entry] : p.told)
        if (scenario_.drain_alone ? entry.open : entry.ready) ready[static_cast<size_t>(entry.server)] = true;
    for (size_t i = 0; i < ready.size(); ++i) {
        if (ready[i]) p.gone_since[i] = never;
        else if (p.gone_since[i] == never) p.gone_since[i] = queue_.now();
    }
}

void Oracle::asks(int proxy, bool open) {
    auto& p = proxies_[proxy];
    p.asks = open;
    p.asked = queue_.now();
    if (open) note(Event::asked, static_cast<uint64_t>(proxy));
}

bool Oracle::knows_start(int proxy, int server, Time launched) const {
    for (const auto& [uid, entry] : proxies_[proxy].told)
        if (entry.server == server && entry.launched >= launched - Span{0.002}) return true;
    return false;
}

// ---- proxies

void Oracle::starts(int proxy, const std::vector<Told>& known) {
    auto& p = proxies_[proxy];
    const bool was_short = p.was_short;
    auto pauses = std::move(p.pauses);
    p = {};
    p.was_short = was_short;
    p.pauses = std::move(pauses);
    p.up = true;
    p.asked = queue_.now();
    p.gone_since.assign(static_cast<size_t>(scenario_.servers), queue_.now());
    list_told(proxy, true, known);
    note(Event::started, static_cast<uint64_t>(proxy));
}

void Oracle::ended(int proxy) {
    proxies_[proxy].up = false;
    note(Event::ended, static_cast<uint64_t>(proxy));
}

Time Oracle::due(int proxy, Time since, Span within) const {
    Time due = since + within;
    for (const auto& [from, to] : proxies_[proxy].pauses)
        if (to > since && from < due) due = due + (to - std::max(from, since)) + Span{0.05};
    return due;
}

void Oracle::look_after(int proxy) {
    auto& p = proxies_[proxy];
    queue_.in(look, [this, proxy] { look_after(proxy); });
    if (p.up && !p.asks && queue_.now() > due(proxy, p.asked, ask_within + ask_slack))
        breaks(Rule::listens, {}, "proxy " + std::to_string(proxy) + " last asked " +
                                      std::to_string((queue_.now() - p.asked).s) + " s ago");
}

Oracle::Conn& Oracle::conn(const Socket& s) {
    auto& c = conns_[s.number];
    if (!c) {
        c = std::make_unique<Conn>(s.local == 0);
        c->proxy = s.here->number;
        const auto ip = static_cast<uint32_t>(s.remote >> 16);
        if (ip >= server_ip && ip < discovery_ip) c->server = static_cast<int>(ip - server_ip) - 1;
    }
    return *c;
}

void Oracle::wrote(Socket& s, std::string_view bytes) {
    const auto ip = static_cast<uint32_t>(s.remote >> 16);
    if (s.local == 0 && ip >= discovery_ip) return asks(s.here->number, true);
    if (s.local != 0 && s.other && strangers_.count(s.other->number)) return;
    auto& c = conn(s);
    while (!bytes.empty()) {
        if (!c.machine.started()) {
            c.begun = queue_.now();
            c.shot = -1;
            if (c.asks && !std::exchange(c.busy, true)) ++proxies_[c.proxy].busy;
            c.reader.head = c.asks ? std::function<void()>([this, &c, &s] { shot_begins(c, s); }) : nullptr;
        }
        bytes.remove_prefix(c.machine.feed(bytes));
        if (c.machine.fault()) return breaks(Rule::sound, {}, "to " + std::string(c.asks ? "a server" : "a client"));
        if (!c.machine.done()) continue;
        if (c.asks) shot_written(c);
        else answer_written(c, s);
        c.machine.next();
    }
}

void Oracle::shot_begins(Conn& c, const Socket& s) {
    if (!c.reader.has_number) {
        ++summary.probes;
        return;
    }
    auto* found = call(c.reader.number);
    if (!found) return breaks(Rule::sound, {}, "a shot of a call that nobody made");
    auto& call = *found;
    LabShot shot;
    shot.server = c.server;
    shot.socket = s.number;
    shot.begun = c.begun;
    shot.give_up = c.begun + c.reader.give_up;
    ++summary.shots;
    summary.further_shots += !call.shots.empty();
    note(Event::shot_begins, call.number, c.server, s.number);
    if (call.over) return breaks(Rule::no_shot_after, {call.number}, "to server " + std::to_string(c.server));
    if (!call.taken) return breaks(Rule::sound, {call.number}, "a shot of a call that was not read whole");
    const auto& kind = call.kind();
    for (const auto& earlier : call.shots) {
        if (earlier.out) return breaks(Rule::no_second_copy, {call.number}, "the earlier one is out at server " +
                                                                                std::to_string(earlier.server));
        if (!may_have_run(earlier)) continue;
        if (earlier.fate == Fate::runs || earlier.fate == Fate::waits) summary.met(Hard::resent_while_first_runs);
        const bool grouped = earlier.server % zones == c.server % zones && c.begun - earlier.begun < Span{kind.window};
        if (kind.repeat == Idempotency::non_idempotent || (kind.repeat == Idempotency::deduplicated && !grouped))
            return breaks(Rule::no_effect_twice, {call.number}, "sent to server " + std::to_string(c.server) +
                          " though it may have run at server " + std::to_string(earlier.server));
    }
    const auto gone = proxies_[c.proxy].gone_since[static_cast<size_t>(c.server)];
    if (c.begun > due(c.proxy, gone, drain_grace + slack))
        return breaks(Rule::drains, {call.number}, "to server " + std::to_string(c.server) + ", told " +
                                                      std::to_string((c.begun - gone).s) + " s before");
    c.call = call.number;
    c.shot = static_cast<int>(call.shots.size());
    call.shots.push_back(shot);
}

void Oracle::shot_written(Conn& c) {
    if (c.shot < 0) return;
    call(c.call)->shots[static_cast<size_t>(c.shot)].whole = true;
    note(Event::shot_written, c.call, c.server);
}

void Oracle::over(LabCall& call) {
    call.over = true;
    call.over_at = queue_.now();
    if (call.taken) --proxies_[call.proxy].open;
}

void Oracle::answer_written(Conn& c, const Socket& s) {
    const int status = c.reader.status;
    const auto on = s.other ? on_client_.find(s.other->number) : on_client_.end();
    auto* found = on == on_client_.end() ? nullptr : call(on->second);
    if (!found || found->over || found->client != s.other->number) {
        // What is no call may be turned away; an answer to nothing is the second of the call before.
        if (found && found->over && (status == 200 || status == 502 || status == 429))
            breaks(Rule::one_answer, {found->number}, "a second answer, " + std::to_string(status));
        return;
    }
    auto& call = *found;
    note(Event::answer_written, call.number, status);
    if (!call.taken) {   // half of it
        if (status < 400 || status == 429) breaks(Rule::sound, {call.number}, "answered before it was read");
        ++summary.turned_away;
        call.excused = true;
        return over(call);
    }
    over(call);
    if (status == 200) ++summary.fulfilled;
    else if (status == 429) ++summary.rate_limited;
    else if (status == 502) ++summary.errored;
    else ++summary.turned_away;
    const Time latest = due(call.proxy, call.arrived, Span{call.kind().timeout} + answer_grace + slack);
    if (queue_.now() > latest)
        return breaks(Rule::in_time, {call.number}, std::to_string((queue_.now() - latest).s) + " s late");
    if (status == 200 && call.executions == 0 && call.kind().repeat != Idempotency::deduplicated)
        return breaks(Rule::right_answer, {call.number}, "fulfilled, but it never ran");
    if ((status == 429 || status == 503) && call.kind().repeat != Idempotency::idempotent)
        for (const auto& shot : call.shots)
            if (may_have_run(shot))
                return breaks(Rule::no_false_promise, {call.number}, "it may have run at server " + std::to_string(shot.server));
}

void Oracle::opened(Socket& s) {
    if (static_cast<uint32_t>(s.remote >> 16) >= discovery_ip) asks(s.here->number, true);
    note(Event::connected, static_cast<uint64_t>(s.here->number), s.remote >> 16, s.number);
}

void Oracle::took(Socket& s, std::string_view bytes) {
    if (s.local == 0) {
        const auto it = conns_.find(s.number);
        if (it == conns_.end() || !it->second->busy) return;
        auto& c = *it->second;
        c.answer.feed(bytes);
        if (c.answer.done()) {
            c.answer.next();
            c.busy = false;
            --proxies_[c.proxy].busy;
        }
        if (c.shot < 0) return;
        const auto& shot = call(c.call)->shots[static_cast<size_t>(c.shot)];
        if (std::abs((queue_.now() - shot.give_up).s) < 0.0015) summary.met(Hard::answer_before_time_out);
    }
    if (s.local == 0 || !s.other) return;
    const auto on = on_client_.find(s.other->number);
    if (on == on_client_.end()) return;
    auto& call = *this->call(on->second);
    if (call.taken || call.over || call.client != s.other->number || s.taken < call.ends) return;
    call.taken = true;
    // Where it had no descriptor left to accept with, its time counts from when it could.
    if (proxies_[call.proxy].was_short) call.arrived = queue_.now();
    ++summary.taken;
    ++proxies_[call.proxy].open;
    note(Event::call_taken, call.number);
}

void Oracle::came(Socket& s) {
    const auto ip = static_cast<uint32_t>(s.remote >> 16);
    if (s.local == 0 && ip >= discovery_ip && on_discovery_bytes) return on_discovery_bytes(s.here->number, s);
    if (s.local == 0 || !s.other) return;
    const auto on = on_client_.find(s.other->number);
    if (on == on_client_.end()) return;
    auto& call = *this->call(on->second);
    if (call.arrived.s >= 0 || call.client != s.other->number || s.got < call.ends) return;
    call.arrived = queue_.now();
    const Time due = call.arrived + Span{call.kind().timeout} + answer_grace + slack * 2;
    queue_.at(due, [this, number = call.number] { check_due(number); });
}

// Its time is up: had it been taken, it has its answer.
void Oracle::check_due(uint64_t number) {
    auto& call = *this->call(number);
    if (call.over || call.left || call.excused) return;
    if (!call.taken) return;   // never read: its connection waits, or was closed with it
    const Time latest = due(call.proxy, call.arrived, Span{call.kind().timeout} + answer_grace + slack);
    if (queue_.now() <= latest)
        return queue_.at(latest + slack, [this, number] { check_due(number); });
    breaks(Rule::in_time, {number}, "no answer yet");
}

void Oracle::closing(Socket& s) {
    if (s.local == 0 && static_cast<uint32_t>(s.remote >> 16) >= discovery_ip) return asks(s.here->number, false);
    const auto on = s.other && s.local != 0 ? on_client_.find(s.other->number) : on_client_.end();
    if (on != on_client_.end()) {
        auto& call = *this->call(on->second);
        if (call.client == s.other->number && call.taken && !call.over) {
            over(call);
            if (proxies_[call.proxy].dying) {
                ++summary.lost_to_kills;
                call.excused = true;
            } else if (!call.left) {
                breaks(Rule::one_answer, {call.number}, "its connection was closed with no answer");
            }
        }
    }
    const auto it = conns_.find(s.number);
    if (it == conns_.end()) return;
    auto& c = *it->second;
    if (c.busy) --proxies_[c.proxy].busy;
    if (c.asks && c.shot >= 0) {
        auto& call = *this->call(c.call);
        auto& shot = call.shots[static_cast<size_t>(c.shot)];
        const bool answer_there = !s.in.empty() || s.bytes_under_way > 0;
        if (answer_there && shot.whole && !call.over && queue_.now() >= shot.give_up - Span{0.0005})
            summary.met(Hard::time_out_before_answer);
        else if (answer_there && shot.whole && s.taken == 0) summary.met(Hard::cancel_crosses_answer);
        if (!shot.whole) summary.met(Hard::broken_before_last_byte);
        shot.out = false;
        note(Event::shot_closed, c.call, c.server);
    }
    conns_.erase(it);
}

}  // namespace myrtleroute::lab
