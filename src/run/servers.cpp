#include "run/servers.hpp"

#include <algorithm>
#include <cerrno>
#include <utility>

#include "wire/load_report.hpp"

namespace myrtleroute::memory {

constexpr size_t max_in = 16 * 1024, max_out = wire::max_body + 40 * 1024;

ServerConnection::ServerConnection(ConnectionHandler& by, int fd, Server& to)
    : Connection(by, fd, max_in, max_out), server(&to), http(wire::HttpParser::Side::response, reader) {
    ++to.connections;
    detect_peer_close = true;   // no call goes out on it then
}

}  // namespace myrtleroute::memory

namespace myrtleroute::run {

using memory::Connection;
using memory::Count;
using memory::ServerConnection;
using memory::CloseReason;

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

void Servers::send(memory::PendingCall& call, ServerId id, Span timeout) {
    const int attempt = static_cast<int>(call.attempts.size());
    auto outcome = Outcome::never_sent;
    ServerConnection* connection = timeout > Span{} ? connection_to(id, outcome) : nullptr;
    call.attempts.push_back(connection);
    ++call.open_attempts;
    s_.counters.add(Count::shots_sent);
    if (!connection) {
        ended_.push_back({call.id, attempt, outcome, 0});
        return;
    }
    connection->call = &call;
    connection->attempt = attempt;
    dispatch(*connection, timeout);
}

// The latest used of the idle connections that has not been closed at the other end, or else a new one.
ServerConnection* Servers::connection_to(ServerId id, Outcome& otherwise) {
    auto* server = s_.servers.find(id);
    if (!server) return nullptr;
    // Guards against a second answer, or noise, right behind the one that was asked for: what comes while
    // nothing is out closes the connection, but after the next call it would pass for that call's answer.
    const Time rested = s_.loop.now() - s_.settings().connect_timeout * rest_share;
    for (auto it = server->idle.begin(); it != server->idle.end();) {
        auto& connection = **it++;
        if (connection.answered > rested) continue;
        unused(connection);
        if (s_.system.is_idle(connection.fd)) return &connection;
        s_.loop.close(connection, CloseReason::peer_closed);
    }
    if (s_.loop.connections() >= s_.max_connections() && !make_room()) return nullptr;
    bool at_once = false;
    int fd = s_.system.connect(server->at, at_once);
    if (fd < 0 && errno == EMFILE && make_room()) fd = s_.system.connect(server->at, at_once);
    if (fd < 0) {
        // That we have no descriptor left is no server's fault.
        if (errno != EMFILE && errno != ENFILE) otherwise = Outcome::connect_failed;
        return nullptr;
    }
    s_.counters.add(Count::connections_to_servers);
    auto connection = std::make_unique<ServerConnection>(*this, fd, *server);
    connection->connecting = !at_once;
    return &s_.loop.add(std::move(connection));
}

void Servers::dispatch(ServerConnection& connection, Span timeout) {
    connection.sent = s_.loop.now();
    connection.begun = false;
    connection.until = connection.sent + timeout;
    const auto up_by = connection.sent + s_.settings().connect_timeout;
    s_.loop.set_timer(connection, connection.connecting ? std::min(connection.until, up_by) : connection.until);
    if (!connection.connecting) write(connection);
}

// Guards against what changed while the connection was coming up: the server may drain by now, a window may be over,
// and less time is left than when the call was handed over.
void Servers::on_connected(Connection& base) {
    auto& connection = static_cast<ServerConnection&>(base);
    if (s_.loop.now() >= connection.until)
        return timed_out(connection, Outcome::connect_failed, CloseReason::connect_timed_out);
    if (connection.call && !s_.balancer->may_start(s_.loop.now(), connection.call->id, connection.attempt))
        return ends(connection, Outcome::never_sent, CloseReason::server_left);
    s_.loop.set_timer(connection, connection.until);
    write(connection);
}

void Servers::write(ServerConnection& connection) {
    if (connection.call) write(connection, connection.call->ask.head, connection.call->ask.body);
    else write(connection, "GET /alive HTTP/1.1\r\nHost: " + connection.server->endpoint + "\r\n", "");
    s_.loop.flush(connection);
}

void Servers::write(ServerConnection& connection, const std::string& head, const std::string& body) {
    const auto left = static_cast<long long>((connection.until - s_.loop.now()).s * 1e6);
    connection.out.push(head);
    connection.out.push("X-Timeout: " + std::to_string(left) + "u\r\n");
    if (!body.empty() || head.front() == 'P')
        connection.out.push("Content-Length: " + std::to_string(body.size()) + "\r\n");
    connection.out.push("\r\n");
    connection.out.push(body);
}

void Servers::cancel(memory::PendingCall& call, int attempt) {
    if (attempt < 0 || attempt >= static_cast<int>(call.attempts.size()) || !call.attempts[attempt]) return;
    auto& connection = static_cast<ServerConnection&>(*call.attempts[attempt]);
    // What no byte of has gone out provably never ran.
    const auto outcome = connection.connecting ? Outcome::never_sent : Outcome::cancelled;
    call.attempts[attempt] = nullptr;
    connection.call = nullptr;
    s_.loop.close(connection, CloseReason::cancelled);
    ended_.push_back({call.id, attempt, outcome, 0});
}

void Servers::probe(ServerId id) {
    auto outcome = Outcome::never_sent;
    ServerConnection* connection = connection_to(id, outcome);
    s_.counters.add(Count::probes_sent);
    if (!connection) {
        ended_.push_back({0, 0, outcome, id});
        return;
    }
    connection->probes = true;
    dispatch(*connection, s_.settings().connect_timeout * probe_share);
}

void Servers::on_readable(Connection& base) {
    auto& connection = static_cast<ServerConnection&>(base);
    if (!connection.busy()) {
        unused(connection);
        return s_.loop.close(connection, connection.in.empty() ? CloseReason::peer_closed : CloseReason::bad_answer);
    }
    while (!connection.in.empty() && !connection.http.done() && !connection.http.fault())
        connection.in.drop(connection.http.feed(connection.in.front()));
    if (connection.ended && !connection.http.done()) connection.http.connection_closed();
    if (connection.http.done() && connection.out.empty()) return done(connection);
    // Broken before the last byte of the call was written, it can't have run.
    const auto outcome = connection.out.empty() ? Outcome::reset : Outcome::connect_failed;
    if (connection.http.done() && connection.reader.outcome() == Outcome::full)
        ends(connection, Outcome::full, CloseReason::told_to_close);
    else if (connection.http.done() || connection.http.fault())
        ends(connection, outcome, connection.ended ? CloseReason::peer_closed : CloseReason::bad_answer);
    else if (connection.ended) ends(connection, outcome, CloseReason::peer_closed);
    else if (connection.http.started() && !std::exchange(connection.begun, true))
        s_.loop.set_timer(connection,
                          std::min(connection.until, s_.loop.now() + s_.settings().connect_timeout * whole_share));
}

// A whole answer.
void Servers::done(ServerConnection& connection) {
    const auto outcome = connection.reader.outcome();
    const bool keeps = connection.http.keeps_alive() && connection.in.empty() && !connection.ended;
    auto reply = std::move(connection.reader);
    auto* call = std::exchange(connection.call, nullptr);
    const int attempt = connection.attempt;
    const bool probe = std::exchange(connection.probes, false);
    const auto server = connection.server->id;
    connection.http.next();
    connection.reader = {};
    connection.server->last_response = connection.answered = s_.loop.now();
    if (!reply.load.empty()) {
        std::string figures;
        const bool sound = wire::read_load(reply.load, [&](std::string_view name, double value) {
            figures.append(" ").append(name).append("=").append(std::to_string(value));
        });
        s_.counters.add(sound ? Count::load_reports : Count::load_reports_bad);
        if (sound) s_.log.debug() << "load of " << connection.server->uid << ':' << figures;
    }
    if (keeps) {
        connection.place = idle_.insert(idle_.begin(), &connection);
        connection.server_place = connection.server->idle.insert(connection.server->idle.begin(), &connection);
        connection.idle = true;
        s_.loop.set_timer(connection, s_.loop.now() + s_.settings().idle_close * idle_share);
    } else {
        s_.loop.close(connection, CloseReason::told_to_close);
    }
    if (probe) return probed(server, outcome == Outcome::fulfilled);
    call->attempts[attempt] = nullptr;
    if (outcome == Outcome::fulfilled && call->client) {
        s_.counters.add(Count::calls_fulfilled);
        clients_.give(*call, 200, reply.text,
                      reply.content_type.empty() ? "" : "Content-Type: " + reply.content_type + "\r\n");
    }
    told(call->id, attempt, outcome);
}

void Servers::ends(ServerConnection& connection, Outcome outcome, CloseReason why) {
    auto* call = std::exchange(connection.call, nullptr);
    const int attempt = connection.attempt;
    const auto server = connection.server->id;
    const bool probe = connection.probes;
    s_.loop.close(connection, why);
    if (probe) return probed(server, false);
    call->attempts[attempt] = nullptr;
    told(call->id, attempt, outcome);
}

void Servers::told(CallId id, int attempt, Outcome outcome) {
    auto* call = s_.calls.find(id);
    if (!call) return;
    s_.counters.add(counter(outcome));
    --call->open_attempts;
    s_.balancer->attempt_ended(s_.loop.now(), id, attempt, outcome, !call->client);
    s_.calls.erase_if_finished(*call);
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
        else told(ended.call, ended.attempt, ended.outcome);
    }
}

void Servers::on_error(Connection& base, int error) {
    auto& connection = static_cast<ServerConnection&>(base);
    if (!connection.busy()) {
        unused(connection);
        return s_.loop.close(connection, CloseReason::peer_reset);
    }
    const bool up = !connection.connecting;
    ends(connection, up && connection.out.empty() ? Outcome::reset : Outcome::connect_failed,
         error == ECONNREFUSED ? CloseReason::nobody_listens : CloseReason::peer_reset);
}

void Servers::on_timer(Connection& base) {
    auto& connection = static_cast<ServerConnection&>(base);
    if (connection.idle) {
        unused(connection);
        s_.loop.close(connection, CloseReason::idle);
    } else if (connection.connecting) {
        timed_out(connection, Outcome::connect_failed, CloseReason::connect_timed_out);
    } else if (connection.begun) {
        ends(connection, Outcome::reset, CloseReason::bad_answer);   // it stopped short, or its head has no end
    } else {
        const auto outcome = connection.out.empty() ? Outcome::timed_out : Outcome::connect_failed;
        timed_out(connection, outcome, CloseReason::answer_timed_out);
    }
}

// Guards against calls lost on dead connections: a machine that was cut off says nothing, and what stands
// idle to it is reset when it is back, one after another, with a call on each.
void Servers::timed_out(ServerConnection& connection, Outcome outcome, CloseReason why) {
    if (connection.server->last_response < connection.sent) close_idle(*connection.server, CloseReason::silent);
    ends(connection, outcome, why);
}

void Servers::unused(ServerConnection& connection) {
    if (!std::exchange(connection.idle, false)) return;
    idle_.erase(connection.place);
    connection.server->idle.erase(connection.server_place);
    s_.loop.clear_timer(connection);
}

void Servers::close_idle(memory::Server& server, CloseReason why) {
    while (!server.idle.empty()) {
        auto& connection = *server.idle.front();
        unused(connection);
        s_.loop.close(connection, why);
    }
}

bool Servers::make_room() { return shed() || clients_.shed(); }

bool Servers::shed() {
    if (idle_.empty()) return false;
    auto& connection = *idle_.back();
    unused(connection);
    s_.counters.add(Count::connections_shed);
    s_.loop.close(connection, CloseReason::shed);
    return true;
}

}  // namespace myrtleroute::run
