#include "roles/proxy/front.hpp"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <cstring>
#include <utility>

namespace myrtleroute::proxy {
namespace {

using memory::Connection;
using memory::Why;

constexpr size_t most_in = 64 * 1024, most_out = 2 << 20;
constexpr size_t crowded_at = 256 * 1024;   // output bytes pending for a client before its host is throttled
constexpr int accepts_a_round = 64;
constexpr Span accept_again{0.02};
constexpr Span come_back{0.02};   // Retry-After of late requests: another proxy may take them at once
constexpr Span body_within{30}, unread_within{20}, linger{1}, probe_idle{30};
// An idle connection is closed this much later than the announced idle timeout, since a request or the close may be
// delayed that long on a congested link.
constexpr Span held_up{3};

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
    old = version == "HTTP/1.0";
    return 0;
}

int RequestReader::field(std::string_view name, std::string_view value) {
    if (!wire::of_one_connection(name)) fields.emplace_back(name, value);
    return 0;
}

struct Front::Listener : Connection {
    Listener(memory::Owner& by, int fd, bool for_probes) : Connection(by, fd, 1, 1), probes(for_probes) {
        listens = true;
    }
    std::string name() const override { return "listener"; }
    const bool probes;
};

Front::Front(Context& context, Events events)
    : context_(context),
      events_(std::move(events)),
      report_(context.metrics, [](const std::string& line) { log_info() << line; }),
      read_requests_are_answered_(context.invariants.named("read_requests_are_answered")) {}

bool Front::open(std::string& fault) {
    const auto listen_at = [&](const char* key, const std::optional<Endpoint>& at, bool probes) -> Listener* {
        const auto address = at ? wire::read_endpoint(at->text()) : std::nullopt;
        const int fd = address ? context_.home.listen_at(*address) : -1;
        if (fd >= 0) return &context_.loop.adopt(std::make_unique<Listener>(*this, fd, probes));
        fault = std::string(key) + ": " +
                (at ? "can't listen at " + at->text() + ": " + std::strerror(errno) : "is missing");
        return nullptr;
    };
    front_ = listen_at("listen.front", context_.settings.front, false);
    if (front_) ready_ = listen_at("listen.ready", context_.settings.ready, true);
    return front_ && ready_;
}

bool Front::is_listener(const Connection& connection) const { return &connection == front_ || &connection == ready_; }

void Front::accept(Listener& listener) {
    for (int n = 0; n < accepts_a_round || closed_; ++n) {
        const bool room = context_.loop.connections() < context_.most_connections();
        const int fd = room ? context_.home.accept(listener.fd) : -1;
        if (fd < 0) {
            if (room && (errno == EINTR || errno == ECONNABORTED)) continue;
            const bool later = !room || (errno != EAGAIN && errno != EWOULDBLOCK);
            if (later && !closed_) {
                context_.loop.listen_to(listener, false);
                context_.loop.set(listener, context_.now() + accept_again);
            }
            return;
        }
        auto& client = context_.loop.adopt(std::make_unique<Client>(*this, fd, most_in, most_out, listener.probes));
        clients_.insert(&client);
        ++open_;
        rest(client);
    }
}

void Front::came(Connection& connection) {
    if (is_listener(connection)) return accept(static_cast<Listener&>(connection));
    auto& client = static_cast<Client&>(connection);
    // Resets the connection because of the unread bytes.
    if (client.lingers && client.listens) return end(client, Why::told_to_close);
    if (client.ended || client.error) return end(client, client.ended ? Why::peer_closed : Why::peer_reset);
    if (client.lingers) return client.in.drop(client.in.size());
    read(client);
}

configuration::Limits Front::limits() const {
    return context_.table ? context_.table->configuration().limits : configuration::Limits{};
}

// A connection may predate the configuration: each request is read with the limits in force when it starts.
void Front::begin_reading(Client& client) {
    const auto limits = this->limits();
    client.http = wire::HttpMachine(wire::HttpMachine::Side::ask, client.reader,
                                    {limits.header_bytes, limits.header_bytes, limits.body_bytes});
    context_.loop.set(client, context_.now() + limits.header_timeout);
}

void Front::read(Client& client) {
    while (client.open() && !client.busy && !client.last && !client.in.empty()) {
        const bool fresh = !client.http.begun(), in_head = !client.reader.head_done;
        if (fresh) begin_reading(client);
        client.in.drop(client.http.feed(client.in.front()));
        if (in_head && client.reader.head_done) context_.loop.set(client, context_.now() + body_within);
        if (client.http.fault()) {
            client.last = client.drains = true;
            begin_request(client);
            refuse(client, client.http.fault());
        } else if (client.http.done()) {
            take(client);
        } else if (client.http.wants_continue() && client.in.empty()) {
            client.http.continued();
            client.out.push("HTTP/1.1 100 Continue\r\n\r\n");
            context_.loop.flush(client);
        }
    }
}

void Front::begin_request(Client& client) {
    client.busy = true;
    if (!client.is_probe) report_.request_read();
}

void Front::take(Client& client) {
    context_.loop.clear(client);
    begin_request(client);
    client.last = client.last || stopping_ || !client.http.keeps();
    if (client.is_probe) return refuse(client, events_.ready() ? 200 : 503);
    if (stopping_ && context_.now() > take_until_) return refuse(client, 503, come_back);
    events_.request(client, client.reader);
}

// Announces whether and for how long the connection may be reused (RFC 9112, section 9.6; Keep-Alive: RFC 2068,
// section 19.7.1.1, in whole seconds).
std::string Front::connection_fields(Client& client) const {
    if (client.last) return "Connection: close\r\n";
    client.told_rest = Span{std::ceil(idle_limit().s)};
    const auto seconds = std::to_string(static_cast<long>(client.told_rest.s));
    return "Connection: keep-alive\r\nKeep-Alive: timeout=" + seconds + "\r\n";
}

Span Front::idle_limit() const { return limits().idle_timeout; }

void Front::answer(Client& client, int status, const std::vector<Field>& fields, std::string_view body) {
    client.last = client.last || stopping_;
    auto text = head(status, fields);
    text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    text.append(connection_fields(client)).append("\r\n");
    client.out.push(text);
    client.out.push(body);
    rest(client);
}

void Front::refuse(Client& client, int status, Span retry_after) {
    std::vector<Field> fields;
    if (retry_after > Span{}) {
        char text[32];
        const auto end = std::to_chars(text, text + sizeof text, retry_after.s, std::chars_format::fixed, 3).ptr;
        fields.emplace_back("Retry-After", std::string(text, end));
    }
    answer(client, status, fields, "");
}

void Front::begin(Client& client, int status, const std::vector<Field>& fields) {
    client.last = client.last || stopping_ || client.reader.old;
    client.chunked = !client.reader.old;   // for HTTP/1.0 the end of the connection ends the response
    auto text = head(status, fields);
    if (client.chunked) text.append("Transfer-Encoding: chunked\r\n");
    text.append(connection_fields(client)).append("\r\n");
    client.out.push(text);
}

void Front::piece(Client& client, std::string_view bytes) {
    if (bytes.empty()) return;
    if (client.chunked) client.out.push(hexadecimal(bytes.size()) + "\r\n");
    client.out.push(bytes);
    if (client.chunked) client.out.push("\r\n");
    context_.loop.flush(client);
}

void Front::finish(Client& client) {
    if (client.chunked) client.out.push("0\r\n\r\n");
    rest(client);
}

// Resets the connection, also for a chunked response, so that a truncated response can't be taken for a complete
// one.
void Front::abort(Client& client) {
    client.request = nullptr;
    end(client, Why::bad_answer);
}

bool Front::crowded(const Client& client) const { return client.out.size() > crowded_at; }

// The response is complete; the rest of it is written, then the next request may be read.
void Front::rest(Client& client) {
    client.request = nullptr;
    if (std::exchange(client.busy, false) && !client.is_probe) report_.request_ended(RequestEnd::answered);
    client.rests_since = context_.now();
    client.http.next();
    client.reader.next();
    context_.loop.set(client, context_.now() + unread_within);
    context_.loop.flush(client);
    if (client.open() && client.out.empty()) went(client);
}

void Front::went(Connection& connection) {
    auto& client = static_cast<Client&>(connection);
    if (client.busy) {
        if (client.request) events_.drained(*client.request);
        return;
    }
    if (client.lingers) return;
    // A response whose head was sent before the shutdown did not announce a close. Once the listeners are closed
    // the connection takes no more requests, except one that has already arrived.
    const bool surplus = closed_ && !client.http.begun() && client.in.empty() && context_.home.still_quiet(client.fd);
    if (client.last) return part(client, ConnectionEnd::last_answer);
    if (surplus) return part(client, ConnectionEnd::stopping);
    const Span may_rest = client.told_rest > Span{} ? client.told_rest : idle_limit();
    context_.loop.set(client, context_.now() + (client.is_probe ? probe_idle : may_rest + held_up));
    if (!client.in.empty()) read(client);
}

// Lingering close: half-closes, then closes once the client has had time to read the last response. Closing with
// unread bytes resets the connection. A request that crosses the half-close stays unread, so that the reset shows
// its client that it was not executed. On an idle connection such a request proves that the last response has been
// read, so the reset is sent immediately. The rest of a request that was refused early is read and discarded, since
// a client may write all of it before it reads the response.
void Front::part(Client& client, ConnectionEnd cause) {
    client.parted_as = cause;
    client.parted_at = context_.now();
    client.lingers = client.last = true;
    client.listens = cause != ConnectionEnd::last_answer;
    client.deaf = !client.drains && !client.listens;
    client.in.drop(client.in.size());
    context_.home.end_sending(client.fd);
    context_.loop.set(client, context_.now() + linger);
    context_.loop.flush(client);
}

void Front::broke(Connection& connection, int) {
    if (!is_listener(connection)) end(static_cast<Client&>(connection), Why::peer_reset);
}

void Front::due(Connection& connection) {
    if (is_listener(connection)) return context_.loop.listen_to(connection, true);
    auto& client = static_cast<Client&>(connection);
    if (client.lingers) return end(client, Why::told_to_close);
    if (!client.out.empty()) return end(client, Why::unread);
    if (client.http.begun()) {
        client.last = client.drains = true;
        begin_request(client);
        return refuse(client, 408);
    }
    if (!context_.home.still_quiet(client.fd)) return context_.loop.set(client, context_.now() + linger);
    part(client, ConnectionEnd::idle);
}

void Front::end(Client& client, Why why) {
    if (!client.open()) return;
    note_end(client, why);
    auto* request = std::exchange(client.request, nullptr);
    clients_.erase(&client);
    --open_;
    context_.loop.end(client, why);
    if (request) events_.client_left(*request);
}

// Called before the connection is closed.
void Front::note_end(Client& client, Why why) {
    if (client.is_probe) return;
    const bool by_client = why == Why::peer_closed || why == Why::peer_reset;
    const auto cause = client.lingers           ? client.parted_as
                       : by_client              ? ConnectionEnd::client_left
                       : why == Why::bad_answer ? ConnectionEnd::answer_cut
                                                : ConnectionEnd::answer_unread;
    report_.connection_ended(cause);
    if (client.lingers && context_.home.has_unread(client.fd))
        report_.closed_over_unread(cause, context_.now() - client.parted_at, client.parted_at - client.rests_since,
                                   context_.now());
    if (!client.busy) return;
    read_requests_are_answered_.check(by_client || why == Why::bad_answer, [&] {
        return "a client connection ended during its request: " + std::string(memory::code(why));
    });
    report_.request_ended(by_client ? RequestEnd::client_left : RequestEnd::cut);
}

void Front::stop(Time take_until) {
    stopping_ = true;
    take_until_ = take_until;
}

void Front::close_listeners() {
    closed_ = true;
    if (front_) {
        accept(*front_);
        context_.loop.end(*std::exchange(front_, nullptr), Why::stopping);
    }
    const auto clients = clients_;
    for (auto* client : clients)
        if (!client->busy && !client->http.begun() && !client->lingers && client->out.empty() &&
            context_.home.still_quiet(client->fd))
            part(*client, ConnectionEnd::stopping);
}

}   // namespace myrtleroute::proxy
