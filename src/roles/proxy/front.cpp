#include "roles/proxy/front.hpp"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <cstring>
#include <utility>

#include "base/bounds.hpp"

namespace myrtleroute::proxy {
namespace {

using memory::CloseReason;
using memory::Connection;

constexpr size_t max_in = 64 * 1024, max_out = 2 << 20;
constexpr size_t backlog_limit = 256 * 1024;   // output bytes pending for a client before its host is throttled
constexpr int max_accepts_per_round = 64;
constexpr Span accept_retry_delay{0.02};
constexpr Span retry_elsewhere_after{0.02};   // Retry-After of late requests: another proxy may take them at once
constexpr Span body_timeout{30}, write_timeout{20}, linger{1}, probe_idle_timeout{30};
// An idle connection is closed this much later than the announced idle timeout, since a request or the close may be
// delayed that long on a congested link.
constexpr Span congestion_delay{3};

const char* reason(int status) {
    switch (status) {
        case 200: return "OK";
        case 400: return "Bad Request";
        case 401: return "Unauthorized";
        case 404: return "Not Found";
        case 408: return "Request Timeout";
        case 413: return "Content Too Large";
        case 429: return "Too Many Requests";
        case 431: return "Request Header Fields Too Large";
        case 502: return "Bad Gateway";
        case 503: return "Service Unavailable";
        case 504: return "Gateway Timeout";
        default: return "Status";
    }
}

std::string head(int status, const std::vector<Field>& fields) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason(status) + "\r\n";
    for (const auto& [name, value] : fields) text.append(name).append(": ").append(value).append("\r\n");
    return text;
}

std::string hexadecimal(size_t n) {
    char digits[20];
    return {digits, std::to_chars(digits, digits + sizeof digits, n, 16).ptr};
}

}   // namespace

int RequestReader::start(std::string_view verb, std::string_view path, std::string_view version) {
    method = verb;
    target = path;
    is_http_1_0 = version == "HTTP/1.0";
    return 0;
}

int RequestReader::field(std::string_view name, std::string_view value) {
    if (!wire::is_hop_by_hop(name)) fields.emplace_back(name, value);
    return 0;
}

struct Frontend::Listener : Connection {
    Listener(memory::ConnectionHandler& by, int fd, bool for_probes) : Connection(by, fd, 1, 1), probes(for_probes) {
        listens = true;
    }
    std::string name() const override { return "listener"; }
    const bool probes;
};

Frontend::Frontend(Context& context, Events events)
    : context_(context),
      events_(std::move(events)),
      report_(context.metrics, [](const std::string& line) { log_info() << line; }),
      output_limit_reached_(bound_reached_counter(context.metrics, "client_output")),
      read_requests_are_answered_(context.invariants.named("read_requests_are_answered")) {}

bool Frontend::open(std::string& error) {
    const auto listen = [&](const char* key, const std::optional<Endpoint>& at, bool probes) -> Listener* {
        const auto address = at ? wire::parse_endpoint(at->text()) : std::nullopt;
        const int fd = address ? context_.system.listen(*address) : -1;
        if (fd >= 0) return &context_.loop.add(std::make_unique<Listener>(*this, fd, probes));
        error = std::string(key) + ": " +
                (at ? "can't listen at " + at->text() + ": " + std::strerror(errno) : "is missing");
        return nullptr;
    };
    client_listener_ = listen("listen.front", context_.settings.front, false);
    if (client_listener_) probe_listener_ = listen("listen.ready", context_.settings.ready, true);
    return client_listener_ && probe_listener_;
}

bool Frontend::is_listener(const Connection& connection) const {
    return &connection == client_listener_ || &connection == probe_listener_;
}

void Frontend::accept(Listener& listener) {
    for (int n = 0; n < max_accepts_per_round || listeners_closed_; ++n) {
        const bool room = context_.loop.connections() < context_.max_connections();
        const int fd = room ? context_.system.accept(listener.fd) : -1;
        if (fd < 0) {
            if (room && (errno == EINTR || errno == ECONNABORTED)) continue;
            const bool later = !room || (errno != EAGAIN && errno != EWOULDBLOCK);
            if (later && !listeners_closed_) {
                context_.loop.poll_for_input(listener, false);
                context_.loop.set_timer(listener, context_.now() + accept_retry_delay);
            }
            return;
        }
        auto& client = context_.loop.add(std::make_unique<Client>(*this, fd, max_in, max_out, listener.probes));
        clients_.insert(&client);
        ++open_connections_;
        end_response(client);
    }
}

void Frontend::on_readable(Connection& connection) {
    if (is_listener(connection)) return accept(static_cast<Listener&>(connection));
    auto& client = static_cast<Client&>(connection);
    // Resets the connection because of the unread bytes.
    if (client.lingers && client.listens) return end(client, CloseReason::told_to_close);
    if (client.ended || client.error)
        return end(client, client.ended ? CloseReason::peer_closed : CloseReason::peer_reset);
    if (client.lingers) return client.in.drop(client.in.size());
    read(client);
}

configuration::Limits Frontend::limits() const {
    return context_.table ? context_.table->configuration().limits : configuration::Limits{};
}

// A connection may predate the configuration: each request is read with the limits in force when it starts.
void Frontend::begin_reading(Client& client) {
    const auto limits = this->limits();
    client.http = wire::HttpParser(wire::HttpParser::Side::request, client.reader,
                                   {limits.header_bytes, limits.header_bytes, limits.body_bytes});
    context_.loop.set_timer(client, context_.now() + limits.header_timeout);
}

void Frontend::read(Client& client) {
    while (client.open() && !client.busy && !client.close_after_response && !client.in.empty()) {
        const bool fresh = !client.http.started(), in_head = !client.reader.head_done;
        if (fresh) begin_reading(client);
        client.in.drop(client.http.feed(client.in.front()));
        if (in_head && client.reader.head_done) context_.loop.set_timer(client, context_.now() + body_timeout);
        if (client.http.fault()) {
            client.close_after_response = client.discards_body = true;
            begin_request(client);
            refuse(client, client.http.fault());
        } else if (client.http.done()) {
            dispatch(client);
        } else if (client.http.expects_continue() && client.in.empty()) {
            client.http.continue_sent();
            client.out.push("HTTP/1.1 100 Continue\r\n\r\n");
            context_.loop.flush(client);
        }
    }
}

void Frontend::begin_request(Client& client) {
    client.busy = true;
    if (!client.is_probe) report_.request_read();
}

void Frontend::dispatch(Client& client) {
    context_.loop.clear_timer(client);
    begin_request(client);
    client.close_after_response = client.close_after_response || stopping_ || !client.http.keeps_alive();
    if (client.is_probe) return refuse(client, events_.ready() ? 200 : 503);
    if (stopping_ && context_.now() > requests_end_) return refuse(client, 503, retry_elsewhere_after);
    events_.request(client, client.reader);
}

// Announces whether and for how long the connection may be reused (RFC 9112, section 9.6; Keep-Alive: RFC 2068,
// section 19.7.1.1, in whole seconds).
std::string Frontend::connection_fields(Client& client) const {
    if (client.close_after_response) return "Connection: close\r\n";
    client.announced_idle = Span{std::ceil(idle_limit().s)};
    const auto seconds = std::to_string(static_cast<long>(client.announced_idle.s));
    return "Connection: keep-alive\r\nKeep-Alive: timeout=" + seconds + "\r\n";
}

Span Frontend::idle_limit() const { return limits().idle_timeout; }

void Frontend::respond(Client& client, int status, const std::vector<Field>& fields, std::string_view body) {
    client.close_after_response = client.close_after_response || stopping_;
    auto text = head(status, fields);
    text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    text.append(connection_fields(client)).append("\r\n");
    if (!client.out.push(text) || !client.out.push(body)) return cut_oversized_response(client);
    end_response(client);
}

void Frontend::refuse(Client& client, int status, Span retry_after) {
    std::vector<Field> fields;
    if (retry_after > Span{}) {
        char text[32];
        const auto end = std::to_chars(text, text + sizeof text, retry_after.s, std::chars_format::fixed, 3).ptr;
        fields.emplace_back("Retry-After", std::string(text, end));
    }
    respond(client, status, fields, "");
}

void Frontend::begin_response(Client& client, int status, const std::vector<Field>& fields) {
    client.close_after_response = client.close_after_response || stopping_ || client.reader.is_http_1_0;
    client.chunked = !client.reader.is_http_1_0;   // for HTTP/1.0 the end of the connection ends the response
    auto text = head(status, fields);
    if (client.chunked) text.append("Transfer-Encoding: chunked\r\n");
    text.append(connection_fields(client)).append("\r\n");
    client.out.push(text);
}

void Frontend::send_chunk(Client& client, std::string_view bytes) {
    if (bytes.empty()) return;
    const bool fits = client.chunked ? client.out.push(hexadecimal(bytes.size()) + "\r\n") && client.out.push(bytes) &&
                                           client.out.push("\r\n")
                                     : client.out.push(bytes);
    if (!fits) return cut_oversized_response(client);
    context_.loop.flush(client);
}

void Frontend::cut_oversized_response(Client& client) {
    output_limit_reached_.add();
    const bool is_in_progress = client.request && client.request->client;
    if (!is_in_progress) client.request = nullptr;
    end(client, CloseReason::bad_answer);
}

void Frontend::finish_response(Client& client) {
    if (client.chunked) client.out.push("0\r\n\r\n");
    end_response(client);
}

// A chunked response lacks its last chunk; its connection isn't reset, which might take events back that were sent. Any
// other response can only be told from a complete one by a reset.
void Frontend::abort_response(Client& client) {
    client.request = nullptr;
    end(client, CloseReason::bad_answer);
}

bool Frontend::is_backlogged(const Client& client) const { return client.out.size() > backlog_limit; }

// The response is complete; the rest of it is written, then the next request may be read.
void Frontend::end_response(Client& client) {
    client.request = nullptr;
    if (std::exchange(client.busy, false) && !client.is_probe) report_.request_ended(RequestEnd::answered);
    client.idle_since = context_.now();
    client.http.reset();
    client.reader.next();
    context_.loop.set_timer(client, context_.now() + write_timeout);
    context_.loop.flush(client);
    if (client.open() && client.out.empty()) on_written(client);
}

void Frontend::on_written(Connection& connection) {
    auto& client = static_cast<Client&>(connection);
    if (client.busy) {
        if (client.request) events_.drained(*client.request);
        return;
    }
    if (client.lingers) return;
    // A response whose head was sent before the shutdown did not announce a close. Once the listeners are closed
    // the connection takes no more requests, except one that has already arrived.
    const bool surplus =
        listeners_closed_ && !client.http.started() && client.in.empty() && context_.system.is_idle(client.fd);
    if (client.close_after_response) return half_close(client, ConnectionEnd::last_answer);
    if (surplus) return half_close(client, ConnectionEnd::stopping);
    const Span idle_time = client.announced_idle > Span{} ? client.announced_idle : idle_limit();
    context_.loop.set_timer(client,
                            context_.now() + (client.is_probe ? probe_idle_timeout : idle_time + congestion_delay));
    if (!client.in.empty()) read(client);
}

// Lingering close: half-closes, then closes once the client has had time to read the last response. Closing with
// unread bytes resets the connection. A request that crosses the half-close stays unread, so that the reset shows
// its client that it was not executed. On an idle connection such a request proves that the last response has been
// read, so the reset is sent immediately. The rest of a request that was refused early is read and discarded, since
// a client may write all of it before it reads the response.
void Frontend::half_close(Client& client, ConnectionEnd cause) {
    client.half_close_cause = cause;
    client.half_closed_at = context_.now();
    client.lingers = client.close_after_response = true;
    client.listens = cause != ConnectionEnd::last_answer;
    client.read_paused = !client.discards_body && !client.listens;
    client.in.drop(client.in.size());
    context_.system.shutdown_write(client.fd);
    context_.loop.set_timer(client, context_.now() + linger);
    context_.loop.flush(client);
}

void Frontend::on_error(Connection& connection, int) {
    if (!is_listener(connection)) end(static_cast<Client&>(connection), CloseReason::peer_reset);
}

void Frontend::on_timer(Connection& connection) {
    if (is_listener(connection)) return context_.loop.poll_for_input(connection, true);
    auto& client = static_cast<Client&>(connection);
    if (client.lingers) return end(client, CloseReason::told_to_close);
    if (!client.out.empty()) return end(client, CloseReason::unread);
    if (client.http.started()) {
        client.close_after_response = client.discards_body = true;
        begin_request(client);
        return refuse(client, 408);
    }
    if (!context_.system.is_idle(client.fd)) return context_.loop.set_timer(client, context_.now() + linger);
    half_close(client, ConnectionEnd::idle);
}

void Frontend::end(Client& client, CloseReason why) {
    if (!client.open()) return;
    report_end(client, why);
    auto* request = std::exchange(client.request, nullptr);
    clients_.erase(&client);
    --open_connections_;
    if (why == CloseReason::bad_answer && !client.chunked)
        context_.loop.reset(client, why);
    else
        context_.loop.close(client, why);
    if (request) events_.client_left(*request);
}

// Called before the connection is closed.
void Frontend::report_end(Client& client, CloseReason why) {
    if (client.is_probe) return;
    const bool by_client = why == CloseReason::peer_closed || why == CloseReason::peer_reset;
    const auto cause = client.lingers                   ? client.half_close_cause
                       : by_client                      ? ConnectionEnd::client_left
                       : why == CloseReason::bad_answer ? ConnectionEnd::answer_cut
                                                        : ConnectionEnd::answer_unread;
    report_.connection_ended(cause);
    if (client.lingers && context_.system.has_unread(client.fd))
        report_.closed_over_unread(cause, context_.now() - client.half_closed_at,
                                   client.half_closed_at - client.idle_since, context_.now());
    if (!client.busy) return;
    read_requests_are_answered_.check(by_client || why == CloseReason::bad_answer, [&] {
        return "a client connection ended during its request: " + std::string(memory::code(why));
    });
    report_.request_ended(by_client ? RequestEnd::client_left : RequestEnd::cut);
}

void Frontend::stop(Time requests_end) {
    stopping_ = true;
    requests_end_ = requests_end;
}

void Frontend::close_listeners() {
    listeners_closed_ = true;
    if (client_listener_) {
        accept(*client_listener_);
        context_.loop.close(*std::exchange(client_listener_, nullptr), CloseReason::stopping);
    }
    const auto clients = clients_;
    for (auto* client : clients)
        if (!client->busy && !client->http.started() && !client->lingers && client->out.empty() &&
            context_.system.is_idle(client->fd))
            half_close(*client, ConnectionEnd::stopping);
}

}   // namespace myrtleroute::proxy
