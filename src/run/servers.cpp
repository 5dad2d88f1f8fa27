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
    detect_peer_close = true;   // no call may be sent on a connection that the server has closed
}

}  // namespace myrtleroute::memory

namespace myrtleroute::run {

using memory::Connection;
using memory::Count;
using memory::ServerConnection;
using memory::CloseReason;

namespace {

constexpr double idle_ratio = 0.75;    // of the time after which servers close idle connections
constexpr double probe_ratio = 2;      // of the connect timeout
constexpr double response_ratio = 1;   // of the connect timeout: for a response to be complete, once begun
constexpr double reuse_ratio = 0.02;     // of the connect timeout: before an answered connection is used again

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

// The most recently used idle connection that the server has not closed, or else a new one.
ServerConnection* Servers::connection_to(ServerId id, Outcome& failure) {
    auto* server = s_.servers.find(id);
    if (!server) return nullptr;
    // Guards against a second response, or other bytes, right behind a response: bytes that arrive while no request
    // is outstanding close the connection, but after the next call they would be taken for that call's response.
    const Time reusable_before = s_.loop.now() - s_.settings().connect_timeout * reuse_ratio;
    for (auto it = server->idle.begin(); it != server->idle.end();) {
        auto& connection = **it++;
        if (connection.answered > reusable_before) continue;
        remove_from_pool(connection);
        if (s_.system.is_idle(connection.fd)) return &connection;
        s_.loop.close(connection, CloseReason::peer_closed);
    }
    if (s_.loop.connections() >= s_.max_connections() && !make_room()) return nullptr;
    bool at_once = false;
    int fd = s_.system.connect(server->at, at_once);
    if (fd < 0 && errno == EMFILE && make_room()) fd = s_.system.connect(server->at, at_once);
    if (fd < 0) {
        // Running out of descriptors is not a failure of the server.
        if (errno != EMFILE && errno != ENFILE) failure = Outcome::connect_failed;
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

// Guards against changes while the connection was being established: the server may drain by now, a time window may
// have ended, and less time is left than when the attempt was started.
void Servers::on_connected(Connection& base) {
    auto& connection = static_cast<ServerConnection&>(base);
    if (s_.loop.now() >= connection.until)
        return timed_out(connection, Outcome::connect_failed, CloseReason::connect_timed_out);
    if (connection.call && !s_.balancer->may_start(s_.loop.now(), connection.call->id, connection.attempt))
        return fail(connection, Outcome::never_sent, CloseReason::server_left);
    s_.loop.set_timer(connection, connection.until);
    write(connection);
}

void Servers::write(ServerConnection& connection) {
    if (connection.call) write(connection, connection.call->request.head, connection.call->request.body);
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
    // Nothing has been sent while the connection is being established, so the call can't have been executed.
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
    connection->is_probe = true;
    dispatch(*connection, s_.settings().connect_timeout * probe_ratio);
}

void Servers::on_readable(Connection& base) {
    auto& connection = static_cast<ServerConnection&>(base);
    if (!connection.busy()) {
        remove_from_pool(connection);
        return s_.loop.close(connection, connection.in.empty() ? CloseReason::peer_closed : CloseReason::bad_answer);
    }
    while (!connection.in.empty() && !connection.http.done() && !connection.http.fault())
        connection.in.drop(connection.http.feed(connection.in.front()));
    if (connection.ended && !connection.http.done()) connection.http.connection_closed();
    if (connection.http.done() && connection.out.empty()) return response_complete(connection);
    // If the connection failed before the last byte of the call was written, the call can't have been executed.
    const auto outcome = connection.out.empty() ? Outcome::reset : Outcome::connect_failed;
    if (connection.http.done() && connection.reader.outcome() == Outcome::full)
        fail(connection, Outcome::full, CloseReason::told_to_close);
    else if (connection.http.done() || connection.http.fault())
        fail(connection, outcome, connection.ended ? CloseReason::peer_closed : CloseReason::bad_answer);
    else if (connection.ended) fail(connection, outcome, CloseReason::peer_closed);
    else if (connection.http.started() && !std::exchange(connection.begun, true))
        s_.loop.set_timer(connection,
                          std::min(connection.until, s_.loop.now() + s_.settings().connect_timeout * response_ratio));
}

// The response is complete.
void Servers::response_complete(ServerConnection& connection) {
    const auto outcome = connection.reader.outcome();
    const bool reusable = connection.http.keeps_alive() && connection.in.empty() && !connection.ended;
    auto reply = std::move(connection.reader);
    auto* call = std::exchange(connection.call, nullptr);
    const int attempt = connection.attempt;
    const bool probe = std::exchange(connection.is_probe, false);
    const auto server = connection.server->id;
    connection.http.reset();
    connection.reader = {};
    connection.server->last_response = connection.answered = s_.loop.now();
    if (!reply.load.empty()) {
        std::string values;
        const bool valid = wire::read_load(reply.load, [&](std::string_view name, double value) {
            values.append(" ").append(name).append("=").append(std::to_string(value));
        });
        s_.counters.add(valid ? Count::load_reports : Count::load_reports_bad);
        if (valid) s_.log.debug() << "load of " << connection.server->uid << ':' << values;
    }
    if (reusable) {
        connection.position = idle_.insert(idle_.begin(), &connection);
        connection.server_position = connection.server->idle.insert(connection.server->idle.begin(), &connection);
        connection.idle = true;
        s_.loop.set_timer(connection, s_.loop.now() + s_.settings().idle_close * idle_ratio);
    } else {
        s_.loop.close(connection, CloseReason::told_to_close);
    }
    if (probe) return report_probe(server, outcome == Outcome::fulfilled);
    call->attempts[attempt] = nullptr;
    if (outcome == Outcome::fulfilled && call->client) {
        s_.counters.add(Count::calls_fulfilled);
        clients_.respond(*call, 200, reply.text,
                      reply.content_type.empty() ? "" : "Content-Type: " + reply.content_type + "\r\n");
    }
    report_attempt(call->id, attempt, outcome);
}

void Servers::fail(ServerConnection& connection, Outcome outcome, CloseReason why) {
    auto* call = std::exchange(connection.call, nullptr);
    const int attempt = connection.attempt;
    const auto server = connection.server->id;
    const bool probe = connection.is_probe;
    s_.loop.close(connection, why);
    if (probe) return report_probe(server, false);
    call->attempts[attempt] = nullptr;
    report_attempt(call->id, attempt, outcome);
}

void Servers::report_attempt(CallId id, int attempt, Outcome outcome) {
    auto* call = s_.calls.find(id);
    if (!call) return;
    s_.counters.add(counter(outcome));
    --call->open_attempts;
    s_.balancer->attempt_ended(s_.loop.now(), id, attempt, outcome, !call->client);
    s_.calls.erase_if_finished(*call);
}

void Servers::report_probe(ServerId server, bool answered) {
    if (answered) s_.counters.add(Count::probes_answered);
    s_.balancer->probe_ended(s_.loop.now(), server, answered);
}

void Servers::report_ended() {
    while (!ended_.empty()) {
        const auto ended = ended_.front();
        ended_.pop_front();
        if (ended.probed_server) report_probe(ended.probed_server, false);
        else report_attempt(ended.call, ended.attempt, ended.outcome);
    }
}

void Servers::on_error(Connection& base, int error) {
    auto& connection = static_cast<ServerConnection&>(base);
    if (!connection.busy()) {
        remove_from_pool(connection);
        return s_.loop.close(connection, CloseReason::peer_reset);
    }
    const bool connected = !connection.connecting;
    fail(connection, connected && connection.out.empty() ? Outcome::reset : Outcome::connect_failed,
         error == ECONNREFUSED ? CloseReason::nobody_listens : CloseReason::peer_reset);
}

void Servers::on_timer(Connection& base) {
    auto& connection = static_cast<ServerConnection&>(base);
    if (connection.idle) {
        remove_from_pool(connection);
        s_.loop.close(connection, CloseReason::idle);
    } else if (connection.connecting) {
        timed_out(connection, Outcome::connect_failed, CloseReason::connect_timed_out);
    } else if (connection.begun) {
        fail(connection, Outcome::reset, CloseReason::bad_answer);   // incomplete, or its head never ends
    } else {
        const auto outcome = connection.out.empty() ? Outcome::timed_out : Outcome::connect_failed;
        timed_out(connection, outcome, CloseReason::answer_timed_out);
    }
}

// Guards against calls lost on dead connections: a machine that is cut off sends nothing, and its idle connections
// would be reset one after another when it is back, each with a call on it.
void Servers::timed_out(ServerConnection& connection, Outcome outcome, CloseReason why) {
    if (connection.server->last_response < connection.sent) close_idle(*connection.server, CloseReason::silent);
    fail(connection, outcome, why);
}

void Servers::remove_from_pool(ServerConnection& connection) {
    if (!std::exchange(connection.idle, false)) return;
    idle_.erase(connection.position);
    connection.server->idle.erase(connection.server_position);
    s_.loop.clear_timer(connection);
}

void Servers::close_idle(memory::Server& server, CloseReason why) {
    while (!server.idle.empty()) {
        auto& connection = *server.idle.front();
        remove_from_pool(connection);
        s_.loop.close(connection, why);
    }
}

bool Servers::make_room() { return shed() || clients_.shed(); }

bool Servers::shed() {
    if (idle_.empty()) return false;
    auto& connection = *idle_.back();
    remove_from_pool(connection);
    s_.counters.add(Count::connections_shed);
    s_.loop.close(connection, CloseReason::shed);
    return true;
}

}  // namespace myrtleroute::run
