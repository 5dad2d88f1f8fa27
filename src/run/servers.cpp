#include "run/servers.hpp"

#include <algorithm>
#include <cerrno>
#include <utility>

#include "wire/load_report.hpp"

namespace myrtleroute::memory {

constexpr size_t most_in = 16 * 1024, most_out = wire::most_body + 40 * 1024;

Line::Line(Owner& by, int fd, Server& to)
    : Connection(by, fd, most_in, most_out), server(&to), http(wire::HttpMachine::Side::answer, reader) {
    ++to.lines;
    hears_leaving = true;   // no call goes out on it then
}

}  // namespace myrtleroute::memory

namespace myrtleroute::run {

using memory::Connection;
using memory::Count;
using memory::Line;
using memory::Why;

namespace {

constexpr double idle_share = 0.75;   // of the time after which servers close idle connections
constexpr double probe_share = 2;     // of the time a connection may take to come up
constexpr double whole_share = 1;     // of that time: for an answer to be whole, once it has begun
constexpr double rest_share = 0.02;   // of that time: before a connection that has answered is used again

Count counter(Outcome outcome) {
    switch (outcome) {
        case Outcome::fulfilled: return Count::shots_fulfilled;
        case Outcome::errored: return Count::shots_errored;
        case Outcome::full: return Count::shots_full;
        case Outcome::timed_out: return Count::shots_timed_out;
        case Outcome::connect_failed: return Count::shots_connect_failed;
        case Outcome::reset: return Count::shots_reset;
        case Outcome::cancelled: return Count::shots_cancelled;
        case Outcome::never_sent: break;
    }
    return Count::shots_never_sent;
}

}  // namespace

void Servers::send(memory::Held& call, ServerId id, Span try_for) {
    const int shot = static_cast<int>(call.shots.size());
    auto outcome = Outcome::never_sent;
    Line* line = try_for > Span{} ? line_to(id, outcome) : nullptr;
    call.shots.push_back(line);
    ++call.out;
    s_.counters.add(Count::shots_sent);
    if (!line) {
        ended_.push_back({call.id, shot, outcome, 0});
        return;
    }
    line->call = &call;
    line->shot = shot;
    dispatch(*line, try_for);
}

// The latest used of the idle connections that has not been closed at the other end, or else a new one.
Line* Servers::line_to(ServerId id, Outcome& otherwise) {
    auto* server = s_.servers.find(id);
    if (!server) return nullptr;
    // Guards against a second answer, or noise, right behind the one that was asked for: what comes while
    // nothing is out closes the connection, but after the next call it would pass for that call's answer.
    const Time rested = s_.loop.now() - s_.settings().connect_timeout * rest_share;
    for (auto it = server->idle.begin(); it != server->idle.end();) {
        auto& line = **it++;
        if (line.answered > rested) continue;
        unused(line);
        if (s_.home.still_quiet(line.fd)) return &line;
        s_.loop.end(line, Why::peer_closed);
    }
    if (s_.loop.connections() >= s_.most_connections() && !make_room()) return nullptr;
    bool at_once = false;
    int fd = s_.home.connect_to(server->at, at_once);
    if (fd < 0 && errno == EMFILE && make_room()) fd = s_.home.connect_to(server->at, at_once);
    if (fd < 0) {
        // That we have no descriptor left is no server's fault.
        if (errno != EMFILE && errno != ENFILE) otherwise = Outcome::connect_failed;
        return nullptr;
    }
    s_.counters.add(Count::connections_to_servers);
    auto line = std::make_unique<Line>(*this, fd, *server);
    line->connecting = !at_once;
    return &s_.loop.adopt(std::move(line));
}

void Servers::dispatch(Line& line, Span try_for) {
    line.sent = s_.loop.now();
    line.begun = false;
    line.until = line.sent + try_for;
    const auto up_by = line.sent + s_.settings().connect_timeout;
    s_.loop.set(line, line.connecting ? std::min(line.until, up_by) : line.until);
    if (!line.connecting) write(line);
}

// Guards against what changed while the connection was coming up: the server may drain by now, a window may be over,
// and less time is left than when the call was handed over.
void Servers::up(Connection& connection) {
    auto& line = static_cast<Line&>(connection);
    if (s_.loop.now() >= line.until) return timed_out(line, Outcome::connect_failed, Why::connect_timed_out);
    if (line.call && !s_.balancer->may_start(s_.loop.now(), line.call->id, line.shot))
        return ends(line, Outcome::never_sent, Why::server_left);
    s_.loop.set(line, line.until);
    write(line);
}

void Servers::write(Line& line) {
    if (line.call) write(line, line.call->ask.head, line.call->ask.body);
    else write(line, "GET /alive HTTP/1.1\r\nHost: " + line.server->endpoint + "\r\n", "");
    s_.loop.flush(line);
}

void Servers::write(Line& line, const std::string& head, const std::string& body) {
    const auto left = static_cast<long long>((line.until - s_.loop.now()).s * 1e6);
    line.out.push(head);
    line.out.push("X-Timeout: " + std::to_string(left) + "u\r\n");
    if (!body.empty() || head.front() == 'P')
        line.out.push("Content-Length: " + std::to_string(body.size()) + "\r\n");
    line.out.push("\r\n");
    line.out.push(body);
}

void Servers::cancel(memory::Held& call, int shot) {
    if (shot < 0 || shot >= static_cast<int>(call.shots.size()) || !call.shots[shot]) return;
    auto& line = static_cast<Line&>(*call.shots[shot]);
    // What no byte of has gone out provably never ran.
    const auto outcome = line.connecting ? Outcome::never_sent : Outcome::cancelled;
    call.shots[shot] = nullptr;
    line.call = nullptr;
    s_.loop.end(line, Why::cancelled);
    ended_.push_back({call.id, shot, outcome, 0});
}

void Servers::probe(ServerId id) {
    auto outcome = Outcome::never_sent;
    Line* line = line_to(id, outcome);
    s_.counters.add(Count::probes_sent);
    if (!line) {
        ended_.push_back({0, 0, outcome, id});
        return;
    }
    line->probes = true;
    dispatch(*line, s_.settings().connect_timeout * probe_share);
}

void Servers::came(Connection& connection) {
    auto& line = static_cast<Line&>(connection);
    if (!line.busy()) {
        unused(line);
        return s_.loop.end(line, line.in.empty() ? Why::peer_closed : Why::bad_answer);
    }
    while (!line.in.empty() && !line.http.done() && !line.http.fault())
        line.in.drop(line.http.feed(line.in.front()));
    if (line.ended && !line.http.done()) line.http.closed();
    if (line.http.done() && line.out.empty()) return done(line);
    // Broken before the last byte of the call was written, it can't have run.
    const auto outcome = line.out.empty() ? Outcome::reset : Outcome::connect_failed;
    if (line.http.done() && line.reader.outcome() == Outcome::full)
        ends(line, Outcome::full, Why::told_to_close);
    else if (line.http.done() || line.http.fault())
        ends(line, outcome, line.ended ? Why::peer_closed : Why::bad_answer);
    else if (line.ended) ends(line, outcome, Why::peer_closed);
    else if (line.http.begun() && !std::exchange(line.begun, true))
        s_.loop.set(line, std::min(line.until, s_.loop.now() + s_.settings().connect_timeout * whole_share));
}

// A whole answer.
void Servers::done(Line& line) {
    const auto outcome = line.reader.outcome();
    const bool keeps = line.http.keeps() && line.in.empty() && !line.ended;
    auto reply = std::move(line.reader);
    auto* call = std::exchange(line.call, nullptr);
    const int shot = line.shot;
    const bool probe = std::exchange(line.probes, false);
    const auto server = line.server->id;
    line.http.next();
    line.reader = {};
    line.server->heard = line.answered = s_.loop.now();
    if (!reply.load.empty()) {
        std::string figures;
        const bool sound = wire::read_load(reply.load, [&](std::string_view name, double value) {
            figures.append(" ").append(name).append("=").append(std::to_string(value));
        });
        s_.counters.add(sound ? Count::load_reports : Count::load_reports_bad);
        if (sound) s_.log.debug() << "load of " << line.server->uid << ':' << figures;
    }
    if (keeps) {
        line.place = idle_.insert(idle_.begin(), &line);
        line.server_place = line.server->idle.insert(line.server->idle.begin(), &line);
        line.idle = true;
        s_.loop.set(line, s_.loop.now() + s_.settings().idle_close * idle_share);
    } else {
        s_.loop.end(line, Why::told_to_close);
    }
    if (probe) return probed(server, outcome == Outcome::fulfilled);
    call->shots[shot] = nullptr;
    if (outcome == Outcome::fulfilled && call->client) {
        s_.counters.add(Count::calls_fulfilled);
        clients_.give(*call, 200, reply.text,
                      reply.content_type.empty() ? "" : "Content-Type: " + reply.content_type + "\r\n");
    }
    told(call->id, shot, outcome);
}

void Servers::ends(Line& line, Outcome outcome, Why why) {
    auto* call = std::exchange(line.call, nullptr);
    const int shot = line.shot;
    const auto server = line.server->id;
    const bool probe = line.probes;
    s_.loop.end(line, why);
    if (probe) return probed(server, false);
    call->shots[shot] = nullptr;
    told(call->id, shot, outcome);
}

void Servers::told(CallId id, int shot, Outcome outcome) {
    auto* call = s_.calls.find(id);
    if (!call) return;
    s_.counters.add(counter(outcome));
    --call->out;
    s_.balancer->attempt_ended(s_.loop.now(), id, shot, outcome, !call->client);
    s_.calls.forget_if_over(*call);
}

void Servers::probed(ServerId server, bool answered) {
    if (answered) s_.counters.add(Count::probes_answered);
    s_.balancer->probe_ended(s_.loop.now(), server, answered);
}

void Servers::settle() {
    while (!ended_.empty()) {
        const auto ended = ended_.front();
        ended_.pop_front();
        if (ended.probed) probed(ended.probed, false);
        else told(ended.call, ended.shot, ended.outcome);
    }
}

void Servers::broke(Connection& connection, int error) {
    auto& line = static_cast<Line&>(connection);
    if (!line.busy()) {
        unused(line);
        return s_.loop.end(line, Why::peer_reset);
    }
    const bool up = !line.connecting;
    ends(line, up && line.out.empty() ? Outcome::reset : Outcome::connect_failed,
         error == ECONNREFUSED ? Why::nobody_listens : Why::peer_reset);
}

void Servers::due(Connection& connection) {
    auto& line = static_cast<Line&>(connection);
    if (line.idle) {
        unused(line);
        s_.loop.end(line, Why::idle);
    } else if (line.connecting) {
        timed_out(line, Outcome::connect_failed, Why::connect_timed_out);
    } else if (line.begun) {
        ends(line, Outcome::reset, Why::bad_answer);   // it stopped short, or its head has no end
    } else {
        const auto outcome = line.out.empty() ? Outcome::timed_out : Outcome::connect_failed;
        timed_out(line, outcome, Why::answer_timed_out);
    }
}

// Guards against calls lost on dead connections: a machine that was cut off says nothing, and what stands
// idle to it is reset when it is back, one after another, with a call on each.
void Servers::timed_out(Line& line, Outcome outcome, Why why) {
    if (line.server->heard < line.sent) close_idle(*line.server, Why::silent);
    ends(line, outcome, why);
}

void Servers::unused(Line& line) {
    if (!std::exchange(line.idle, false)) return;
    idle_.erase(line.place);
    line.server->idle.erase(line.server_place);
    s_.loop.clear(line);
}

void Servers::close_idle(memory::Server& server, Why why) {
    while (!server.idle.empty()) {
        auto& line = *server.idle.front();
        unused(line);
        s_.loop.end(line, why);
    }
}

bool Servers::make_room() { return shed() || clients_.shed(); }

bool Servers::shed() {
    if (idle_.empty()) return false;
    auto& line = *idle_.back();
    unused(line);
    s_.counters.add(Count::connections_shed);
    s_.loop.end(line, Why::shed);
    return true;
}

}  // namespace myrtleroute::run
