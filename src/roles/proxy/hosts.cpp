#include "roles/proxy/hosts.hpp"

#include <algorithm>
#include <cerrno>
#include <utility>

#include "base/bounds.hpp"
#include "base/fnv.hpp"
#include "roles/log.hpp"

namespace myrtleroute::proxy {
namespace {

using memory::CloseReason;
using memory::Connection;

constexpr size_t max_in = 64 * 1024, max_out = 6 << 20;
constexpr size_t max_response = 64 << 20;              // of a stream; memory is bounded by the client's output buffer
constexpr size_t max_buffered_response = 256 * 1024;   // a larger response is forwarded before it is complete
constexpr Span connect_timeout{1}, probe_timeout{2}, confirmation_timeout{1};
constexpr double keep_alive_share = 0.7;   // idle connections close after this fraction of the host's keep-alive
constexpr Span default_keep_alive{4};
constexpr Span keep_gone_for{60};
constexpr double running_weight = 0.3;   // of a running request in a host's reported load; a waiting one weighs 1
constexpr size_t max_idle = 24;          // idle connections kept for each host

bool is_success(int status) { return status >= 200 && status < 300; }

HostResponse described(const Request& request, const HostRecord& host) {
    return {field_value(request.fields, "X-Request-Id"), host.host.id, request.events.last_id()};
}

}   // namespace

HostConnections::HostConnections(Context& context, Events events)
    : context_(context),
      events_(std::move(events)),
      report_(context.metrics, [](const std::string& line) { log_info() << line; }),
      idle_limit_reached_(bound_reached_counter(context.metrics, "idle_connections_of_a_host")),
      connection_limit_reached_(bound_reached_counter(context.metrics, "connections")) {}

HostRecord& HostConnections::record(const registry::Host& host) {
    const ServerId id = fnv1a(host.id) | 1;   // never 0, which means no host
    auto& slot = hosts_[id];
    if (!slot) {
        slot = std::make_unique<HostRecord>();
        slot->id = id;
    }
    if (const auto address = wire::parse_endpoint(host.address)) slot->address = *address;
    const bool leaves = host.state == registry::HostState::gone && slot->host.state != host.state;
    slot->host = host;
    if (leaves) slot->gone_since = context_.now();
    return *slot;
}

HostRecord* HostConnections::find(ServerId id) {
    const auto it = hosts_.find(id);
    return it == hosts_.end() ? nullptr : it->second.get();
}

void HostConnections::remove_gone() {
    std::erase_if(hosts_, [this](const auto& known) {
        const auto& host = *known.second;
        return host.host.state == registry::HostState::gone && *host.connections == 0 &&
               context_.now() - host.gone_since > keep_gone_for;
    });
}

void HostConnections::send(Request& request, ServerId id, Span timeout) {
    const int number = static_cast<int>(request.attempts.size());
    auto outcome = Outcome::never_sent;
    auto* host = find(id);
    HostConnection* connection = host && timeout > Span{} ? connection_to(*host, outcome) : nullptr;
    request.attempts.push_back(connection);
    ++request.open_attempts;
    if (!connection) return queue_attempt_end(request.id, number, outcome);
    connection->request = &request;
    connection->number = number;
    dispatch(*connection, timeout);
}

// Takes the most recently used idle connection that the host has not closed, or opens a new one. Null on failure,
// with the reason in `failure`.
HostConnection* HostConnections::connection_to(HostRecord& host, Outcome& failure) {
    auto* idle = idle_connection(host);
    return idle ? idle : open_connection(host, failure);
}

HostConnection* HostConnections::open_connection(HostRecord& host, Outcome& failure) {
    if (context_.loop.connections() >= context_.max_connections() && !close_oldest_idle()) return nullptr;
    bool immediate = false;
    const int fd = context_.system.connect(host.address, immediate);
    if (fd < 0) {
        if (errno != EMFILE && errno != ENFILE) failure = Outcome::connect_failed;
        return nullptr;
    }
    wire::HttpLimits limits;
    limits.body = max_response;
    auto connection = std::make_unique<HostConnection>(*this, fd, host, max_in, max_out, limits);
    connection->connecting = !immediate;
    return &context_.loop.add(std::move(connection));
}

HostConnection* HostConnections::idle_connection(HostRecord& host) {
    while (!host.idle.empty()) {
        auto& connection = *host.idle.front();
        remove_from_idle(connection);
        if (context_.system.is_idle(connection.fd)) return &connection;
        context_.loop.close(connection, CloseReason::peer_closed);
    }
    return nullptr;
}

void HostConnections::dispatch(HostConnection& connection, Span timeout) {
    connection.sent = context_.now();
    connection.deadline = connection.sent + timeout;
    connection.stale = connection.streamed = false;
    const Time up_by = connection.sent + connect_timeout;
    context_.loop.set_timer(connection,
                            connection.connecting ? std::min(connection.deadline, up_by) : connection.deadline);
    if (!connection.connecting) write(connection);
}

void HostConnections::on_connected(Connection& base) {
    auto& connection = static_cast<HostConnection&>(base);
    const bool starts_request = connection.request && !connection.unconfirmed;
    if (starts_request && !events_.may_start(*connection.request, connection.number))
        return end_attempt(connection, Outcome::never_sent, CloseReason::server_left);
    context_.loop.set_timer(connection, connection.deadline);
    write(connection);
}

void HostConnections::write(HostConnection& connection) {
    std::string text;
    if (connection.checks_health()) {
        text = "GET " + connection.host->probe_path + " HTTP/1.1\r\nHost: " + connection.host->host.address + "\r\n";
        if (connection.unconfirmed)
            text.append("X-Expected-Instance: ").append(connection.host->host.id).append("\r\n");
        text.append("\r\n");
    } else {
        const auto& request = *connection.request;
        const auto left = std::max(1LL, static_cast<long long>((connection.deadline - context_.now()).s * 1e3));
        text = request.method + " " + request.target + " HTTP/1.1\r\n";
        for (const auto& [name, value] : request.fields) text.append(name).append(": ").append(value).append("\r\n");
        text.append("X-Deadline-Ms: ").append(std::to_string(left)).append("\r\n");
        text.append("X-Expected-Instance: ").append(connection.host->host.id).append("\r\n");
        if (request.tenant) text.append("X-Tenant-Id: ").append(request.tenant->name).append("\r\n");
        if (!request.events.last_id().empty())
            text.append("Last-Event-Id: ").append(request.events.last_id()).append("\r\n");
        if (!request.body.empty() || request.method != "GET")
            text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
        text.append("\r\n");
    }
    connection.out.push(text);
    if (!connection.checks_health()) connection.out.push(connection.request->body);
    context_.loop.flush(connection);
}

void HostConnections::on_readable(Connection& base) {
    auto& connection = static_cast<HostConnection&>(base);
    if (!connection.busy()) {
        remove_from_idle(connection);
        return context_.loop.close(connection, CloseReason::peer_closed);
    }
    while (connection.open() && connection.busy() && !connection.in.empty() && !connection.http.done() &&
           !connection.http.fault()) {
        const bool in_head = !connection.reader.head_done;
        connection.in.drop(connection.http.feed(connection.in.front()));
        if (in_head && connection.reader.head_done) head_received(connection);
        if (connection.http.done() && connection.stale) {   // a surplus response; the expected one may follow
            connection.http.reset();
            connection.reader = {};
            connection.stale = false;
        }
    }
    if (connection.ended && !connection.http.done()) connection.http.connection_closed();
    if (!connection.http.fault() && connection.reader.head_done && !connection.stale) take_body(connection);
    if (!connection.open() || !connection.busy()) return;
    if (connection.http.done() && !connection.stale) return response_complete(connection);
    const bool wrote_all = connection.out.empty();
    if (connection.http.fault())
        end_attempt(connection, wrote_all ? Outcome::reset : Outcome::connect_failed, CloseReason::bad_answer);
    else if (connection.ended)
        end_attempt(connection, wrote_all ? Outcome::reset : Outcome::connect_failed, CloseReason::peer_closed);
}

void HostConnections::head_received(HostConnection& connection) {
    const auto& reader = connection.reader;
    if (!connection.checks_health()) {
        const auto own = field_value(connection.request->fields, "X-Request-Id");
        connection.stale = reader.request_id.empty() ? reader.status < 300 && !own.empty() : reader.request_id != own;
    }
    if (connection.stale) return;
    auto& host = *connection.host;
    events_.host_active(host.service, host.id);
    auto load = std::string_view(reader.load);
    const auto running = wire::parse_decimal(wire::next_item(load)),
               waiting = wire::parse_decimal(wire::next_item(load));
    // A request counts as running from its first token. Before that it costs the host most, so waiting requests
    // weigh more.
    if (running && waiting) events_.load_reported(host.service, host.id, running_weight * *running + *waiting);
}

// Forwards the received part of a successful response, unless it is held back until complete.
void HostConnections::take_body(HostConnection& connection) {
    if (connection.checks_health() || connection.reader.content.empty()) return;
    auto& request = *connection.request;
    auto& reader = connection.reader;
    if (!is_success(reader.status) || reader.not_executed) return;
    const bool passes = request.streams() || connection.streamed || reader.content.size() > max_buffered_response;
    if (!passes) return;
    auto bytes = std::exchange(reader.content, {});
    if (request.streams()) bytes = request.events.feed(bytes);
    events_.host_active(connection.host->service, connection.host->id);
    if (bytes.empty()) return;
    if (!std::exchange(connection.streamed, true)) {
        if (request.answering) report_.resumed(described(request, *connection.host), context_.now());
        events_.response_began(request, connection);
    }
    events_.response_chunk(request, &connection, bytes);
}

void HostConnections::report_end(const HostConnection& connection, HostResponseEnd end) {
    if (!connection.checks_health())
        report_.ended(end, described(*connection.request, *connection.host), context_.now());
}

void HostConnections::response_complete(HostConnection& connection) {
    report_end(connection,
               connection.http.ends_with_connection() ? HostResponseEnd::connection_closed : HostResponseEnd::framed);
    if (connection.unconfirmed) return health_check_answered(connection);
    auto* request = connection.request;
    const auto call = request ? request->id : 0;
    const int number = connection.number;
    const bool proves_end = !connection.http.ends_with_connection();
    const Time deadline = connection.deadline;
    auto& host = *connection.host;
    auto reader = std::move(connection.reader);
    const bool streamed = connection.streamed, probe = connection.is_probe;
    host.last_response = context_.now();
    if (request) request->attempts[static_cast<size_t>(number)] = nullptr;
    release(connection);
    if (probe) {
        const bool well = is_success(reader.status);
        pending_ends_.push_back({0, 0, Outcome::fulfilled, host.id, host.service, well});
        return;
    }
    if (reader.status == 421) events_.misdirected(host);
    if (reader.not_executed || reader.status == 421) return queue_attempt_end(call, number, Outcome::full);
    Reply reply{reader.status, std::move(reader.fields), std::move(reader.content)};
    if (reader.status >= 500) {
        events_.host_failed(*request, std::move(reply));
        return queue_attempt_end(call, number, Outcome::errored);
    }
    // A response that has begun can only be continued by a success.
    if (request->answering && !is_success(reply.status)) return queue_attempt_end(call, number, Outcome::errored);
    UnconfirmedResponse response{std::move(reply), streamed};
    if (proves_end) return deliver(*request, number, response);
    confirm(host, *request, number, std::move(response), deadline);
}

void HostConnections::deliver(Request& request, int number, const UnconfirmedResponse& response) {
    events_.answered(request, response.reply, response.streamed);
    queue_attempt_end(request.id, number, Outcome::fulfilled);
}

void HostConnections::confirm(HostRecord& host, Request& request, int number, UnconfirmedResponse response,
                              Time deadline) {
    const bool ends_inside_event = request.streams() && !request.events.partial_event().empty();
    const Span timeout = std::min(confirmation_timeout, deadline - context_.now());
    auto ignored = Outcome::never_sent;
    auto* connection = ends_inside_event || timeout <= Span{} ? nullptr : open_connection(host, ignored);
    if (!connection) return reject_unconfirmed(host, request, number);
    connection->request = &request;
    connection->number = number;
    connection->unconfirmed = std::move(response);
    request.attempts[static_cast<size_t>(number)] = connection;
    dispatch(*connection, timeout);
}

// Any answer of the same process confirms the end, a refusal also. Reports of engines don't name their instance.
void HostConnections::health_check_answered(HostConnection& connection) {
    const std::string instance(field_value(connection.reader.fields, "X-Instance-Id"));
    const bool is_other = !instance.empty() && instance != connection.host->host.id;
    if (is_other || connection.reader.status == 421)
        return end_attempt(connection, Outcome::reset, CloseReason::bad_answer);
    end_confirmed(connection);
}

void HostConnections::end_confirmed(HostConnection& connection) {
    auto& request = *connection.request;
    const int number = connection.number;
    const auto response = std::move(*connection.unconfirmed);
    request.attempts[static_cast<size_t>(number)] = nullptr;
    if (connection.http.done())
        release(connection);
    else
        context_.loop.close(connection, CloseReason::silent);
    deliver(request, number, response);
}

void HostConnections::reject_unconfirmed(const HostRecord& host, Request& request, int number) {
    report_.ended(HostResponseEnd::unconfirmed, described(request, host), context_.now());
    request.events.discard_partial_event();
    queue_attempt_end(request.id, number, Outcome::reset);
}

// Returns the connection to the idle pool, or closes it if it can't be reused.
void HostConnections::release(HostConnection& connection) {
    auto& host = *connection.host;
    const bool keeps = connection.http.keeps_alive() && connection.in.empty() && !connection.ended &&
                       !connection.error && connection.out.empty() && host.host.state != registry::HostState::gone;
    const bool has_room = host.idle.size() < max_idle;
    if (keeps && !has_room) idle_limit_reached_.add();
    if (connection.reader.keep_alive > 0) connection.keep_alive = connection.reader.keep_alive;
    connection.request = nullptr;
    connection.unconfirmed.reset();
    connection.is_probe = connection.read_paused = false;
    if (!keeps || !has_room) return context_.loop.close(connection, CloseReason::told_to_close);
    connection.http.reset();
    connection.reader = {};
    connection.idle = true;
    connection.idle_position = idle_.insert(idle_.begin(), &connection);
    connection.host_idle_position = host.idle.insert(host.idle.begin(), &connection);
    const Span kept = connection.keep_alive > 0 ? Span{connection.keep_alive * keep_alive_share} : default_keep_alive;
    context_.loop.set_timer(connection, context_.now() + kept);
    context_.loop.flush(connection);   // resumes reading
}

void HostConnections::queue_attempt_end(CallId call, int number, Outcome outcome) {
    pending_ends_.push_back({call, number, outcome, 0, 0, false});
}

void HostConnections::end_attempt(HostConnection& connection, Outcome outcome, CloseReason why) {
    const bool by_host = outcome == Outcome::reset || outcome == Outcome::connect_failed;
    if (by_host && connection.reader.head_done && !connection.stale)
        report_end(connection, HostResponseEnd::broken_off);
    auto* request = std::exchange(connection.request, nullptr);
    const int number = connection.number;
    auto& host = *connection.host;
    const bool probe = connection.is_probe;
    context_.loop.close(connection, why);
    if (probe) {
        pending_ends_.push_back({0, 0, outcome, host.id, host.service, false});
        return;
    }
    if (!request) return;
    request->attempts[static_cast<size_t>(number)] = nullptr;
    if (connection.unconfirmed && outcome != Outcome::cancelled) return reject_unconfirmed(host, *request, number);
    request->events.discard_partial_event();
    queue_attempt_end(request->id, number, outcome);
}

void HostConnections::settle() {
    while (!pending_ends_.empty()) {
        const auto ended = pending_ends_.front();
        pending_ends_.pop_front();
        if (ended.probed)
            events_.probe_ended(ended.service, ended.probed, ended.answered);
        else
            events_.attempt_ended(ended.call, ended.number, ended.outcome);
    }
}

void HostConnections::cancel(Request& request, int number) {
    if (number < 0 || number >= static_cast<int>(request.attempts.size())) return;
    auto* connection = request.attempts[static_cast<size_t>(number)];
    if (!connection) return;
    const bool never_sent = connection->connecting && !connection->unconfirmed;
    end_attempt(*connection, never_sent ? Outcome::never_sent : Outcome::cancelled, CloseReason::cancelled);
}

void HostConnections::abandon(Request& request) {
    for (size_t number = 0; number < request.attempts.size(); ++number) cancel(request, static_cast<int>(number));
}

void HostConnections::probe(ServerId id) {
    auto* host = find(id);
    auto outcome = Outcome::never_sent;
    HostConnection* connection = host ? connection_to(*host, outcome) : nullptr;
    if (!connection) {
        pending_ends_.push_back({0, 0, outcome, id, host ? host->service : 0, false});
        return;
    }
    connection->is_probe = true;
    dispatch(*connection, probe_timeout);
}

void HostConnections::resume_reading(Request& request) {
    for (auto* connection : request.attempts)
        if (connection && std::exchange(connection->read_paused, false)) context_.loop.flush(*connection);
}

void HostConnections::on_error(Connection& base, int error) {
    auto& connection = static_cast<HostConnection&>(base);
    if (!connection.busy()) {
        remove_from_idle(connection);
        return context_.loop.close(connection, CloseReason::peer_reset);
    }
    const bool may_have_run = !connection.connecting && connection.out.empty();
    end_attempt(connection, may_have_run ? Outcome::reset : Outcome::connect_failed,
                error == ECONNREFUSED ? CloseReason::nobody_listens : CloseReason::peer_reset);
}

void HostConnections::on_timer(Connection& base) {
    auto& connection = static_cast<HostConnection&>(base);
    if (connection.idle) {
        remove_from_idle(connection);
        return context_.loop.close(connection, CloseReason::idle);
    }
    // The check waits at a busy host. Connections to a process that was killed would have been reset by now.
    if (connection.unconfirmed && !connection.connecting) return end_confirmed(connection);
    // A host that has been cut off from the network sends nothing, and its idle connections are reset once it is
    // back.
    if (connection.host->last_response < connection.sent) close_idle(*connection.host);
    const bool may_have_run = !connection.connecting && connection.out.empty();
    end_attempt(connection, may_have_run ? Outcome::timed_out : Outcome::connect_failed,
                connection.connecting ? CloseReason::connect_timed_out : CloseReason::answer_timed_out);
}

void HostConnections::remove_from_idle(HostConnection& connection) {
    if (!std::exchange(connection.idle, false)) return;
    idle_.erase(connection.idle_position);
    connection.host->idle.erase(connection.host_idle_position);
    context_.loop.clear_timer(connection);
}

void HostConnections::close_idle(HostRecord& host) {
    while (!host.idle.empty()) {
        auto& connection = *host.idle.front();
        remove_from_idle(connection);
        context_.loop.close(connection, CloseReason::server_left);
    }
}

bool HostConnections::close_oldest_idle() {
    connection_limit_reached_.add();
    if (idle_.empty()) return false;
    auto& connection = *idle_.back();
    remove_from_idle(connection);
    context_.loop.close(connection, CloseReason::shed);
    return true;
}

}   // namespace myrtleroute::proxy
