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
constexpr Span slack{0.02};            // rounding of waits, and the duration of a round
constexpr Span check_interval{0.25};   // between checks of each proxy
constexpr Span discovery_slack{1.5};   // a failed connect is reported late

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

// Reads the fields that the oracle needs from requests and responses.
struct Reader : wire::HttpHandler {
    uint64_t number = 0;
    bool has_number = false;
    int status = 0;
    Span timeout;
    std::string text;
    std::function<void()> head;
    int start(std::string_view first, std::string_view second, std::string_view) override {
        number = 0;
        has_number = false;
        timeout = {};
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
        if (wire::equals_ignore_case(name, "X-Timeout")) timeout = wire::parse_timeout(value);
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
std::optional<Rule> rule_from_name(std::string_view name) {
    for (size_t i = 0; i < std::size(rule_names); ++i)
        if (name == rule_names[i]) return static_cast<Rule>(i);
    return {};
}

struct Oracle::Connection {
    explicit Connection(bool to_server_side)
        : machine(to_server_side ? wire::HttpParser::Side::request : wire::HttpParser::Side::response, reader),
          to_server(to_server_side) {}
    Reader reader;
    wire::HttpParser machine;
    bool to_server;   // else to a client
    int proxy = 0, server = -1;
    Time begun;
    uint64_t call = 0;   // call whose attempt is being written or has no response
    int attempt = -1;    // index in the call's attempts; < 0: none
    // The response as far as the proxy has read it, and whether the proxy still waits for the rest.
    Reader response_reader;
    wire::HttpParser answer{wire::HttpParser::Side::response, response_reader};
    bool busy = false;
};

Oracle::Oracle(Queue& queue, Trace& trace, const Scenario& scenario)
    : queue_(queue), trace_(trace), scenario_(scenario), proxies_(static_cast<size_t>(scenario.proxies)) {
    for (int i = 0; i < scenario.proxies; ++i) {
        proxies_[i].unavailable_since.assign(static_cast<size_t>(scenario.servers), long_ago);
        queue_.in(check_interval, [this, i] { check_discovery_requests(i); });
    }
}
Oracle::~Oracle() = default;

void Oracle::report_violation(Rule rule, std::vector<uint64_t> calls, std::string what) {
    if (!violation_) violation_ = {rule, queue_.steps(), queue_.now(), std::move(calls), std::move(what)};
}

// ---- clients

void Oracle::call_sent(uint64_t number, int proxy, int product, const Socket& client) {
    auto& c = calls_[number];
    c = std::make_unique<LabCall>();
    c->number = number;
    c->proxy = proxy;
    c->product = product;
    c->client = client.number;
    c->client_end = client.bytes_sent;
    on_client_[client.number] = number;
    ++summary.calls;
    record(Event::call_sent, number, product, client.number);
}

void Oracle::call_resent(uint64_t number, const Socket& client) {
    auto& c = *calls_[number];
    c.client = client.number;
    c.client_end = client.bytes_sent;
    c.arrived = {-1};
    c.resent = true;
    on_client_[client.number] = number;
    summary.met(Hard::call_crosses_close);
    record(Event::call_again, number, client.number);
}

void Oracle::client_left(uint64_t number) {
    auto* c = call(number);
    if (!c || c->finished) return;
    c->left = true;
    ++summary.left;
    record(Event::call_left, number);
}

void Oracle::response_read(uint64_t number, int status, const std::string& body) {
    record(Event::answer_read, number, status);
    if (status == 200 && !body.starts_with("done " + std::to_string(number) + " "))
        report_violation(Rule::right_answer, {number}, "the client read: " + body.substr(0, 40));
}

LabCall* Oracle::call(uint64_t number) {
    const auto it = calls_.find(number);
    return it == calls_.end() ? nullptr : it->second.get();
}

// ---- servers

LabAttempt* Oracle::attempt(uint64_t number, const Socket& servers_end) {
    auto* c = call(number);
    if (!c || !servers_end.peer) return nullptr;
    for (auto it = c->attempts.rbegin(); it != c->attempts.rend(); ++it)
        if (it->socket == servers_end.peer->number) return &*it;
    return nullptr;
}

void Oracle::set_execution(uint64_t number, LabAttempt& attempt, Execution execution) {
    attempt.execution = execution;
    const auto what = execution == Execution::running        ? Event::shot_runs
                      : execution == Execution::not_executed ? Event::shot_refused
                      : execution == Execution::unknown      ? Event::shot_dropped
                                                             : Event::shot_arrived;
    if (execution != Execution::executed) record(what, number, attempt.server, attempt.socket);
}

bool Oracle::executed(uint64_t number, int server) {
    auto& c = *call(number);
    if (c.kind().repeat == Idempotency::deduplicated) {
        // A zone remembers keys for longer than the window, so an attempt sent within the window never has a second
        // effect.
        const auto [effect, first] = c.effects.try_emplace(server % zones, queue_.now());
        if (!first) return false;
    }
    ++c.executions;
    ++summary.executed;
    record(Event::shot_executed, number, server, static_cast<uint64_t>(c.executions));
    if (c.executions > 1 && c.kind().repeat != Idempotency::idempotent)
        report_violation(Rule::no_effect_twice, {number},
                         "it has had its effect " + std::to_string(c.executions) + " times");
    return true;
}

bool Oracle::may_have_run(const LabAttempt& s) const {
    if (s.execution == Execution::not_executed) return false;
    return s.fully_sent || s.open;   // an incomplete request can't run once its connection is closed
}

// ---- discovery

void Oracle::list_received(int proxy, bool whole, const std::vector<ListedServer>& entries) {
    auto& p = proxies_[proxy];
    record(Event::told, static_cast<uint64_t>(proxy), whole, entries.size());
    if (whole)
        for (auto& [uid, entry] : p.known_servers) entry.ready = false;
    for (const auto& e : entries) {
        auto& entry = p.known_servers[e.uid];
        const bool anew = e.ready && e.launched > entry.launched, was_available = entry.available;
        const bool drained = e.drained || (entry.drained && !anew);
        entry = e;
        entry.drained = drained;
        entry.available = (e.ready || was_available) && !drained;
        if (!e.ready && is_connecting && is_connecting(proxy, e.server)) summary.met(Hard::drain_before_connect);
    }
    update_unavailable_since(p);
}

void Oracle::update_unavailable_since(ProxyState& p) {
    std::vector<bool> ready(p.unavailable_since.size(), false);
    for (const auto& [uid, entry] : p.known_servers)
        if (scenario_.drain_binds_alone ? entry.available : entry.ready)
            ready[static_cast<size_t>(entry.server)] = true;
    for (size_t i = 0; i < ready.size(); ++i) {
        if (ready[i]) p.unavailable_since[i] = never;
        else if (p.unavailable_since[i] == never) p.unavailable_since[i] = queue_.now();
    }
}

void Oracle::discovery_request(int proxy, bool open) {
    auto& p = proxies_[proxy];
    p.discovery_request_open = open;
    p.last_discovery_request = queue_.now();
    if (open) record(Event::asked, static_cast<uint64_t>(proxy));
}

bool Oracle::knows_start(int proxy, int server, Time launched) const {
    for (const auto& [uid, entry] : proxies_[proxy].known_servers)
        if (entry.server == server && entry.launched >= launched - Span{0.002}) return true;
    return false;
}

// ---- proxies

void Oracle::proxy_started(int proxy, const std::vector<ListedServer>& known) {
    auto& p = proxies_[proxy];
    const bool descriptors_limited = p.descriptors_limited;
    auto pauses = std::move(p.pauses);
    p = {};
    p.descriptors_limited = descriptors_limited;
    p.pauses = std::move(pauses);
    p.up = true;
    p.last_discovery_request = queue_.now();
    p.unavailable_since.assign(static_cast<size_t>(scenario_.servers), queue_.now());
    list_received(proxy, true, known);
    record(Event::started, static_cast<uint64_t>(proxy));
}

void Oracle::proxy_ended(int proxy) {
    proxies_[proxy].up = false;
    record(Event::ended, static_cast<uint64_t>(proxy));
}

Time Oracle::deadline(int proxy, Time since, Span within) const {
    Time due = since + within;
    for (const auto& [from, to] : proxies_[proxy].pauses)
        if (to > since && from < due) due = due + (to - std::max(from, since)) + Span{0.05};
    return due;
}

void Oracle::check_discovery_requests(int proxy) {
    auto& p = proxies_[proxy];
    queue_.in(check_interval, [this, proxy] { check_discovery_requests(proxy); });
    if (p.up && !p.discovery_request_open &&
        queue_.now() > deadline(proxy, p.last_discovery_request, ask_within + discovery_slack))
        report_violation(Rule::listens, {}, "proxy " + std::to_string(proxy) + " last asked for the list " +
                                      std::to_string((queue_.now() - p.last_discovery_request).s) + " s ago");
}

Oracle::Connection& Oracle::connection(const Socket& s) {
    auto& c = connections_[s.number];
    if (!c) {
        c = std::make_unique<Connection>(s.local == 0);
        c->proxy = s.machine->number;
        const auto ip = static_cast<uint32_t>(s.remote >> 16);
        if (ip >= server_ip && ip < discovery_ip) c->server = static_cast<int>(ip - server_ip) - 1;
    }
    return *c;
}

void Oracle::was_written(Socket& s, std::string_view bytes) {
    const auto ip = static_cast<uint32_t>(s.remote >> 16);
    if (s.local == 0 && ip >= discovery_ip) return discovery_request(s.machine->number, true);
    if (s.local != 0 && s.peer && stray_connections_.count(s.peer->number)) return;
    auto& c = connection(s);
    while (!bytes.empty()) {
        if (!c.machine.started()) {
            c.begun = queue_.now();
            c.attempt = -1;
            if (c.to_server && !std::exchange(c.busy, true)) ++proxies_[c.proxy].busy_connections;
            c.reader.head = c.to_server ? std::function<void()>([this, &c, &s] { attempt_began(c, s); }) : nullptr;
        }
        bytes.remove_prefix(c.machine.feed(bytes));
        if (c.machine.fault())
            return report_violation(Rule::sound, {},
                                    "malformed message to " + std::string(c.to_server ? "a server" : "a client"));
        if (!c.machine.done()) continue;
        if (c.to_server) attempt_written(c);
        else response_written(c, s);
        c.machine.next();
    }
}

void Oracle::attempt_began(Connection& c, const Socket& s) {
    if (!c.reader.has_number) {
        ++summary.probes;
        return;
    }
    auto* found = call(c.reader.number);
    if (!found) return report_violation(Rule::sound, {}, "an attempt of a call that no client made");
    auto& call = *found;
    LabAttempt attempt;
    attempt.server = c.server;
    attempt.socket = s.number;
    attempt.begun = c.begun;
    attempt.deadline = c.begun + c.reader.timeout;
    ++summary.attempts;
    summary.further_attempts += !call.attempts.empty();
    record(Event::shot_begins, call.number, c.server, s.number);
    if (call.finished)
        return report_violation(Rule::no_shot_after, {call.number}, "to server " + std::to_string(c.server));
    if (!call.taken)
        return report_violation(Rule::sound, {call.number}, "an attempt of a call that was not read whole");
    const auto& kind = call.kind();
    for (const auto& earlier : call.attempts) {
        if (earlier.open)
            return report_violation(Rule::no_second_copy, {call.number},
                                    "an earlier one is open at server " + std::to_string(earlier.server));
        if (!may_have_run(earlier)) continue;
        if (earlier.execution == Execution::running || earlier.execution == Execution::queued)
            summary.met(Hard::resent_while_first_runs);
        const bool grouped = earlier.server % zones == c.server % zones && c.begun - earlier.begun < Span{kind.window};
        if (kind.repeat == Idempotency::non_idempotent || (kind.repeat == Idempotency::deduplicated && !grouped))
            return report_violation(Rule::no_effect_twice, {call.number}, "sent to server " + std::to_string(c.server) +
                          " though it may have run at server " + std::to_string(earlier.server));
    }
    const auto gone = proxies_[c.proxy].unavailable_since[static_cast<size_t>(c.server)];
    if (c.begun > deadline(c.proxy, gone, drain_grace + slack))
        return report_violation(Rule::drains, {call.number}, "to server " + std::to_string(c.server) + ", drained " +
                                                      std::to_string((c.begun - gone).s) + " s before");
    c.call = call.number;
    c.attempt = static_cast<int>(call.attempts.size());
    call.attempts.push_back(attempt);
}

void Oracle::attempt_written(Connection& c) {
    if (c.attempt < 0) return;
    call(c.call)->attempts[static_cast<size_t>(c.attempt)].fully_sent = true;
    record(Event::shot_written, c.call, c.server);
}

void Oracle::finish(LabCall& call) {
    call.finished = true;
    call.finished_at = queue_.now();
    if (call.taken) --proxies_[call.proxy].open_calls;
}

void Oracle::response_written(Connection& c, const Socket& s) {
    const int status = c.reader.status;
    const auto latest_call = s.peer ? on_client_.find(s.peer->number) : on_client_.end();
    auto* found = latest_call == on_client_.end() ? nullptr : call(latest_call->second);
    if (!found || found->finished || found->client != s.peer->number) {
        // Input that is no call may be rejected. Any other answer while no call is open is a second one to the
        // previous call.
        if (found && found->finished && (status == 200 || status == 502 || status == 429))
            report_violation(Rule::one_answer, {found->number}, "a second answer, " + std::to_string(status));
        return;
    }
    auto& call = *found;
    record(Event::answer_written, call.number, status);
    if (!call.taken) {   // only a part of it was read
        if (status < 400 || status == 429) report_violation(Rule::sound, {call.number}, "answered before it was read");
        ++summary.turned_away;
        call.exempt = true;
        return finish(call);
    }
    finish(call);
    if (status == 200) ++summary.fulfilled;
    else if (status == 429) ++summary.rate_limited;
    else if (status == 502) ++summary.errored;
    else ++summary.turned_away;
    const Time latest = deadline(call.proxy, call.arrived, Span{call.kind().timeout} + answer_margin + slack);
    if (queue_.now() > latest)
        return report_violation(Rule::in_time, {call.number}, std::to_string((queue_.now() - latest).s) + " s late");
    if (status == 200 && call.executions == 0 && call.kind().repeat != Idempotency::deduplicated)
        return report_violation(Rule::right_answer, {call.number}, "fulfilled, but it never ran");
    if ((status == 429 || status == 503) && call.kind().repeat != Idempotency::idempotent)
        for (const auto& attempt : call.attempts)
            if (may_have_run(attempt))
                return report_violation(Rule::no_false_promise, {call.number},
                                        "it may have run at server " + std::to_string(attempt.server));
}

void Oracle::connect_started(Socket& s) {
    if (static_cast<uint32_t>(s.remote >> 16) >= discovery_ip) discovery_request(s.machine->number, true);
    record(Event::connected, static_cast<uint64_t>(s.machine->number), s.remote >> 16, s.number);
}

void Oracle::was_read(Socket& s, std::string_view bytes) {
    if (s.local == 0) {
        const auto it = connections_.find(s.number);
        if (it == connections_.end() || !it->second->busy) return;
        auto& c = *it->second;
        c.answer.feed(bytes);
        if (c.answer.done()) {
            c.answer.next();
            c.busy = false;
            --proxies_[c.proxy].busy_connections;
        }
        if (c.attempt < 0) return;
        const auto& attempt = call(c.call)->attempts[static_cast<size_t>(c.attempt)];
        if (std::abs((queue_.now() - attempt.deadline).s) < 0.0015) summary.met(Hard::answer_before_time_out);
    }
    if (s.local == 0 || !s.peer) return;
    const auto latest_call = on_client_.find(s.peer->number);
    if (latest_call == on_client_.end()) return;
    auto& call = *this->call(latest_call->second);
    if (call.taken || call.finished || call.client != s.peer->number || s.bytes_read < call.client_end) return;
    call.taken = true;
    // Where the proxy was short of descriptors to accept with, the time of the call counts from when it was read.
    if (proxies_[call.proxy].descriptors_limited) call.arrived = queue_.now();
    ++summary.taken;
    ++proxies_[call.proxy].open_calls;
    record(Event::call_taken, call.number);
}

void Oracle::bytes_arrived(Socket& s) {
    const auto ip = static_cast<uint32_t>(s.remote >> 16);
    if (s.local == 0 && ip >= discovery_ip && on_discovery_bytes) return on_discovery_bytes(s.machine->number, s);
    if (s.local == 0 || !s.peer) return;
    const auto latest_call = on_client_.find(s.peer->number);
    if (latest_call == on_client_.end()) return;
    auto& call = *this->call(latest_call->second);
    if (call.arrived.s >= 0 || call.client != s.peer->number || s.bytes_received < call.client_end) return;
    call.arrived = queue_.now();
    const Time due = call.arrived + Span{call.kind().timeout} + answer_margin + slack * 2;
    queue_.at(due, [this, number = call.number] { check_deadline(number); });
}

// The deadline of the call has passed: if the proxy has read it, it must have an answer.
void Oracle::check_deadline(uint64_t number) {
    auto& call = *this->call(number);
    if (call.finished || call.left || call.exempt) return;
    if (!call.taken) return;   // never read: its connection still waits, or was closed with it
    const Time latest = deadline(call.proxy, call.arrived, Span{call.kind().timeout} + answer_margin + slack);
    if (queue_.now() <= latest)
        return queue_.at(latest + slack, [this, number] { check_deadline(number); });
    report_violation(Rule::in_time, {number}, "no answer yet");
}

void Oracle::closing(Socket& s) {
    if (s.local == 0 && static_cast<uint32_t>(s.remote >> 16) >= discovery_ip)
        return discovery_request(s.machine->number, false);
    const auto latest_call = s.peer && s.local != 0 ? on_client_.find(s.peer->number) : on_client_.end();
    if (latest_call != on_client_.end()) {
        auto& call = *this->call(latest_call->second);
        if (call.client == s.peer->number && call.taken && !call.finished) {
            finish(call);
            if (proxies_[call.proxy].ending) {
                ++summary.lost_to_kills;
                call.exempt = true;
            } else if (!call.left) {
                report_violation(Rule::one_answer, {call.number}, "its connection was closed without an answer");
            }
        }
    }
    const auto it = connections_.find(s.number);
    if (it == connections_.end()) return;
    auto& c = *it->second;
    if (c.busy) --proxies_[c.proxy].busy_connections;
    if (c.to_server && c.attempt >= 0) {
        auto& call = *this->call(c.call);
        auto& attempt = call.attempts[static_cast<size_t>(c.attempt)];
        const bool answer_there = !s.in.empty() || s.bytes_in_flight > 0;
        if (answer_there && attempt.fully_sent && !call.finished && queue_.now() >= attempt.deadline - Span{0.0005})
            summary.met(Hard::time_out_before_answer);
        else if (answer_there && attempt.fully_sent && s.bytes_read == 0) summary.met(Hard::cancel_crosses_answer);
        if (!attempt.fully_sent) summary.met(Hard::broken_before_last_byte);
        attempt.open = false;
        record(Event::shot_closed, c.call, c.server);
    }
    connections_.erase(it);
}

}  // namespace myrtleroute::lab
