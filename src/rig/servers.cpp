#include "rig/servers.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "rig/arrivals.hpp"
#include "rig/lists.hpp"
#include "wire/ask.hpp"
#include "wire/text.hpp"

namespace myrtleroute::rig {

using memory::Connection;
using memory::CloseReason;

namespace {

constexpr Span idle_close{60}, window{2};   // of connections; over which the load of a cold server is summed

}  // namespace

struct Servers::ProxyConnection : Connection, wire::HttpHandler {
    ProxyConnection(Servers& by, int fd, Server& of, int from)
        : Connection(by, fd, 16 * 1024, 256 * 1024), server(&of), proxy(from), http(wire::HttpParser::Side::request, *this) {}
    std::string name() const override { return "proxy"; }
    int start(std::string_view, std::string_view where, std::string_view) override {
        target = where;
        call = 0;
        product.clear();
        return 0;
    }
    int field(std::string_view name, std::string_view value) override {
        if (wire::equals_ignore_case(name, "X-Request-ID")) call = std::stoull("0" + std::string(value), nullptr, 16);
        if (wire::equals_ignore_case(name, "X-Priority-Class")) product = value;
        return 0;
    }
    void body(std::string_view) override {}
    Server* server;
    int proxy;
    wire::HttpParser http;
    std::string target, product;
    uint64_t call = 0;
    double began = 0;
    size_t record = 0;       // index in connection_records_
    size_t attempt = none;      // index of the open attempt
    static constexpr size_t none = static_cast<size_t>(-1);
};

Servers::Servers(Experiment e, std::string directory, std::string name, int number, int of)
    : Part(std::move(e), std::move(directory), std::move(name)), number_(number), of_(of),
      chance_(e_.seed, 0x53455256u + static_cast<uint64_t>(number)), servers_(static_cast<size_t>(e_.servers)) {
    for (int i = 0; i < e_.servers; ++i) {
        auto& s = servers_[static_cast<size_t>(i)];
        s.number = i;
        s.size = e_.sizes[static_cast<size_t>(i) % e_.sizes.size()];
        if (!is_local(i)) continue;
        open(s, false);
        send_line("port " + std::to_string(static_cast<int>(Kind::server)) + " " + std::to_string(i) + " " +
                  std::to_string(s.port));
    }
    send_line("ready");
}

void Servers::on_command(const std::string& word, std::istringstream& more) {
    if (word != "fault" && word != "over" && word != "die" && word != "back") return;
    int number = 0;
    std::string who;
    if (word == "fault") {
        int kind;
        double how;
        more >> number >> kind >> how >> who;
        const auto in = read_list(who, servers_.size());
        for (auto& s : servers_)
            if (in[static_cast<size_t>(s.number)]) s.faults[number] = {static_cast<FaultKind>(kind), how};
        return;
    }
    more >> who;
    if (word == "over") {
        number = std::stoi(who);
        for (auto& s : servers_)
            if (s.faults.erase(number) && is_local(s.number)) start_jobs(s);
        return;
    }
    const auto in = read_list(who, servers_.size());
    for (auto& s : servers_) {
        if (!is_local(s.number) || !in[static_cast<size_t>(s.number)]) continue;
        if (word == "die") close(s);
        else if (!s.listener) open(s, true);
    }
}

void Servers::open(Server& s, bool cold) {
    const int fd = system_.listen_on_loopback(s.port);
    if (fd < 0) throw std::runtime_error("server " + std::to_string(s.number) + " can't listen: " + std::strerror(errno));
    s.listener = &loop_.add(std::make_unique<Listener>(*this, fd));
    s.started_at = cold ? loop_.now() : long_ago;
    s.recent_work.clear();
    s.overloaded_until = long_ago;
}

void Servers::close(Server& s) {
    if (!s.listener) return;
    loop_.close(*std::exchange(s.listener, nullptr), CloseReason::stopping);
    for (auto& job : s.waiting) attempts_[job.attempt].outcome = AttemptOutcome::dropped;
    for (auto& job : s.running) attempts_[job.attempt].outcome = AttemptOutcome::dropped;
    s.waiting.clear();
    s.running.clear();
    while (!s.connections.empty()) end(*s.connections.front(), CloseReason::stopping, true);
}

void Servers::on_readable(Connection& c) {
    if (c.listens) {
        auto* s = &servers_[0];
        for (auto& each : servers_)
            if (each.listener == &c) s = &each;
        for (int fd; (fd = system_.accept(c.fd)) >= 0;) {
            const auto link = system_.link_of(fd);
            if (!link || link->kind != Kind::server || link->to != s->number) {
                system_.close(fd);
                continue;
            }
            connection_records_.push_back({at(loop_.now()), 0, link->to, link->from});
            auto& connection = loop_.add(std::make_unique<ProxyConnection>(*this, fd, *s, link->from));
            connection.record = connection_records_.size() - 1;
            s->connections.push_back(&connection);
            loop_.set_timer(connection, loop_.now() + idle_close);
        }
        return;
    }
    auto& connection = static_cast<ProxyConnection&>(c);
    if (!connection.in.empty() && !connection.http.started()) connection.began = at(loop_.now());
    while (!connection.in.empty() && !connection.http.done() && !connection.http.fault())
        connection.in.drop(connection.http.feed(connection.in.front()));
    if (connection.http.done() && connection.attempt == ProxyConnection::none) handle_request(connection);
    else if (connection.http.fault()) return end(connection, CloseReason::bad_call);
    if (c.open() && c.ended) end(connection, CloseReason::peer_closed);
}

void Servers::on_error(Connection& c, int) {
    if (!c.listens) end(static_cast<ProxyConnection&>(c), CloseReason::peer_reset);
}

void Servers::on_timer(Connection& c) { end(static_cast<ProxyConnection&>(c), CloseReason::idle); }

// Closes the connection: a running job completes and takes effect, a queued job is dropped.
void Servers::end(ProxyConnection& connection, CloseReason why, bool reset) {
    auto& s = *connection.server;
    for (auto it = s.waiting.begin(); it != s.waiting.end();) {
        if (it->connection != &connection) {
            ++it;
            continue;
        }
        attempts_[it->attempt].outcome = AttemptOutcome::refused;
        it = s.waiting.erase(it);
    }
    for (auto& job : s.running)
        if (job.connection == &connection) job.connection = nullptr;
    if (connection.attempt != ProxyConnection::none) attempts_[connection.attempt].ended = at(loop_.now());
    connection_records_[connection.record].ended = at(loop_.now());
    s.connections.remove(&connection);
    if (reset) system_.reset_on_close(connection.fd);
    loop_.close(connection, why);
}

const Servers::ActiveFault* Servers::active_fault(const Server& s, FaultKind kind) const {
    for (const auto& [number, t] : s.faults)
        if (t.kind == kind) return &t;
    return nullptr;
}

double Servers::warmth(const Server& s) const {
    return std::min(1.0, e_.start_capacity + (1 - e_.start_capacity) * ((loop_.now() - s.started_at) / e_.warm_after));
}

// Depends on seed and call only: the same at every server and in every run.
double Servers::work_of(uint64_t call, const Product& p) const {
    lab::RandomStream chance(e_.seed, call);
    return e_.work_varies ? p.work * (0.5 + chance.exponential(0.5)) : p.work;
}

// The work that a cold server receives within the window must stay below a multiple of its capacity in that time;
// a tolerance of four calls avoids overload from single calls.
bool Servers::accept_load(Server& s, double work) {
    const Time now = loop_.now();
    if (now < s.overloaded_until) return false;
    if (warmth(s) >= 1) return true;
    s.recent_work.push_back({at(now), work});
    double all = 0, most = 0;
    while (s.recent_work.front().at < at(now) - window.s) s.recent_work.pop_front();
    for (const auto& a : s.recent_work) {
        all += a.work;
        most = std::max(most, a.work);
    }
    if (all <= e_.tip_multiple * e_.cores * s.size * warmth(s) * window.s + 4 * most) return true;
    overloads_.push_back({s.recent_work.front().at, at(now), static_cast<uint16_t>(s.number)});
    s.overloaded_until = now + e_.fall;
    s.recent_work.clear();
    return false;
}

void Servers::handle_request(ProxyConnection& connection) {
    auto& s = *connection.server;
    const Time now = loop_.now();
    loop_.set_timer(connection, now + idle_close);
    const bool probe = connection.target.starts_with("/alive");
    connection.attempt = attempts_.size();
    attempts_.push_back({probe ? 0 : connection.call, connection.began, at(now), 0, 0, 0,
                         static_cast<uint16_t>(s.number), static_cast<uint16_t>(connection.proxy),
                         AttemptOutcome::queued, false});
    auto& attempt = attempts_.back();
    if (probe) {
        if (!active_fault(s, FaultKind::hang)) respond(connection, 200, "");
        return;
    }
    const auto product =
        std::find_if(e_.products.begin(), e_.products.end(), [&](auto& p) { return p.name == connection.product; });
    if (product == e_.products.end() || connection.call == 0) {
        attempt.outcome = AttemptOutcome::refused;
        return respond(connection, connection.call ? 400 : 404, "");
    }
    const double work = work_of(connection.call, *product);
    attempt.work = static_cast<float>(work);
    const auto* full = active_fault(s, FaultKind::full);
    const bool turned_away = s.connections.size() > static_cast<size_t>(e_.connections) ||
                             s.waiting.size() >= static_cast<size_t>(e_.queue) || (full && chance_.bernoulli(full->how));
    if (!accept_load(s, work) || turned_away) {
        attempt.outcome = AttemptOutcome::refused;
        return respond(connection, 503, "", "X-Not-Processed: 1\r\n");
    }
    const auto* fails = active_fault(s, FaultKind::fail);
    const auto* breaks = active_fault(s, FaultKind::break_off);
    const bool failed = fails && chance_.bernoulli(fails->how);
    if (failed || (breaks && chance_.bernoulli(breaks->how))) {
        const bool ran = chance_.bernoulli(0.5);
        attempt.outcome = ran ? AttemptOutcome::failed_after_execution : AttemptOutcome::failed_before_execution;
        attempt.executed = ran ? at(now) : 0;
        if (failed) return respond(connection, 500, "");
        return end(connection, CloseReason::stopping, true);
    }
    s.waiting.push_back({connection.attempt, &connection, work, 0});
    start_jobs(s);
}

void Servers::start_jobs(Server& s) {
    if (active_fault(s, FaultKind::hang)) return;
    for (auto* connection :
         std::vector<ProxyConnection*>(s.connections.begin(), s.connections.end()))   // probes received while it hung
        if (connection->attempt != ProxyConnection::none && attempts_[connection->attempt].call == 0 &&
            !attempts_[connection->attempt].answered)
            respond(*connection, 200, "");
    const auto* slow = active_fault(s, FaultKind::slow);
    while (!s.waiting.empty() && s.running.size() < static_cast<size_t>(std::max(1.0, e_.cores * s.size))) {
        Job job = s.waiting.front();
        s.waiting.pop_front();
        attempts_[job.attempt].outcome = AttemptOutcome::running;
        job.number = next_job_++;
        job_servers_[job.number] = s.number;
        loop_.schedule(loop_.now() + Span{job.work * (slow ? slow->how : 1) / warmth(s)}, job.number);
        s.running.push_back(job);
    }
}

void Servers::timer_fired(uint64_t cookie) {
    const auto it = job_servers_.find(cookie);
    if (it == job_servers_.end()) return;
    auto& s = servers_[static_cast<size_t>(it->second)];
    job_servers_.erase(it);
    const auto job = std::find_if(s.running.begin(), s.running.end(), [&](auto& j) { return j.number == cookie; });
    if (job == s.running.end()) return;   // the server was stopped meanwhile
    // A job that was running when the server hung completes after the hang.
    if (active_fault(s, FaultKind::hang)) {
        job_servers_[cookie] = s.number;
        return loop_.schedule(loop_.now() + Span{0.05}, cookie);
    }
    const Job finished = *job;
    s.running.erase(job);
    finish_job(s, finished);
    start_jobs(s);
}

void Servers::finish_job(Server& s, Job job) {
    auto& attempt = attempts_[job.attempt];
    attempt.outcome = AttemptOutcome::executed;
    attempt.executed = at(loop_.now());
    if (!job.connection) return;
    char body[64];
    std::snprintf(body, sizeof body, "%llx from %d", static_cast<unsigned long long>(attempt.call), s.number);
    respond(*job.connection, 200, body);
}

void Servers::respond(ProxyConnection& connection, int status, std::string_view body, std::string_view fields) {
    auto& attempt = attempts_[connection.attempt];
    attempt.answered = true;
    attempt.ended = at(loop_.now());
    connection.attempt = ProxyConnection::none;
    connection.out.push(wire::format_response(status, body, true, fields));
    connection.http.reset();
    loop_.set_timer(connection, loop_.now() + idle_close);
    loop_.flush(connection);
    if (!connection.in.empty()) on_readable(connection);
}

void Servers::write_results() {
    write_records(file("shots"), attempts_);
    write_records(file("connections"), connection_records_);
    write_records(file("tips"), overloads_);
}

}  // namespace myrtleroute::rig
