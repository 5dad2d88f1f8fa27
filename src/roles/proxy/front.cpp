#include "roles/proxy/front.hpp"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <cstring>
#include <utility>

namespace myrtleroute::proxy {
namespace {

using memory::CloseReason;
using memory::Connection;

constexpr size_t max_in = 64 * 1024, max_out = 2 << 20;
constexpr size_t crowded_at = 256 * 1024;   // bytes that wait for a client before its host is slowed
constexpr int accepts_a_round = 64;
constexpr Span accept_again{0.02};
constexpr Span come_back{0.02};   // a request that comes too late for this process may go to another one at once
constexpr Span body_within{30}, unread_within{20}, linger{1}, probe_idle{30};
// A resting connection ends so much later than its client may take it up: a request, or the end, may be held up on a full
// link for that long.
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
    if (!wire::is_hop_by_hop(name)) fields.emplace_back(name, value);
    return 0;
}

struct Front::Listener : Connection {
    Listener(memory::ConnectionHandler& by, int fd, bool for_probes) : Connection(by, fd, 1, 1), probes(for_probes) {
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
    const auto listen = [&](const char* key, const std::optional<Endpoint>& at, bool probes) -> Listener* {
        const auto address = at ? wire::parse_endpoint(at->text()) : std::nullopt;
        const int fd = address ? context_.system.listen(*address) : -1;
        if (fd >= 0) return &context_.loop.add(std::make_unique<Listener>(*this, fd, probes));
        fault = std::string(key) + ": " +
                (at ? "can't listen at " + at->text() + ": " + std::strerror(errno) : "is missing");
        return nullptr;
    };
    front_ = listen("listen.front", context_.settings.front, false);
    if (front_) ready_ = listen("listen.ready", context_.settings.ready, true);
    return front_ && ready_;
}

bool Front::is_listener(const Connection& connection) const { return &connection == front_ || &connection == ready_; }

void Front::accept(Listener& listener) {
    for (int n = 0; n < accepts_a_round || closed_; ++n) {
        const bool room = context_.loop.connections() < context_.most_connections();
        const int fd = room ? context_.system.accept(listener.fd) : -1;
        if (fd < 0) {
            if (room && (errno == EINTR || errno == ECONNABORTED)) continue;
            const bool later = !room || (errno != EAGAIN && errno != EWOULDBLOCK);
            if (later && !closed_) {
                context_.loop.poll_for_input(listener, false);
                context_.loop.set_timer(listener, context_.now() + accept_again);
            }
            return;
        }
        auto& client = context_.loop.add(std::make_unique<Client>(*this, fd, max_in, max_out, listener.probes));
        clients_.insert(&client);
        ++open_;
        rest(client);
    }
}

void Front::on_readable(Connection& connection) {
    if (is_listener(connection)) return accept(static_cast<Listener&>(connection));
    auto& client = static_cast<Client&>(connection);
    if (client.lingers && client.listens)
        return end(client, CloseReason::told_to_close);   // a reset over what has come
    if (client.ended || client.error)
        return end(client, client.ended ? CloseReason::peer_closed : CloseReason::peer_reset);
    if (client.lingers) return client.in.drop(client.in.size());
    read(client);
}

configuration::Limits Front::limits() const {
    return context_.table ? context_.table->configuration().limits : configuration::Limits{};
}

// A connection may be older than the configuration: each request is read within the limits in force as it begins.
void Front::begin_reading(Client& client) {
    const auto limits = this->limits();
    client.http = wire::HttpParser(wire::HttpParser::Side::request, client.reader,
                                   {limits.header_bytes, limits.header_bytes, limits.body_bytes});
    context_.loop.set_timer(client, context_.now() + limits.header_timeout);
}

void Front::read(Client& client) {
    while (client.open() && !client.busy && !client.last && !client.in.empty()) {
        const bool fresh = !client.http.started(), in_head = !client.reader.head_done;
        if (fresh) begin_reading(client);
        client.in.drop(client.http.feed(client.in.front()));
        if (in_head && client.reader.head_done) context_.loop.set_timer(client, context_.now() + body_within);
        if (client.http.fault()) {
            client.last = client.drains = true;
            begin_request(client);
            refuse(client, client.http.fault());
        } else if (client.http.done()) {
            take(client);
        } else if (client.http.expects_continue() && client.in.empty()) {
            client.http.continue_sent();
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
    context_.loop.clear_timer(client);
    begin_request(client);
    client.last = client.last || stopping_ || !client.http.keeps_alive();
    if (client.is_probe) return refuse(client, events_.ready() ? 200 : 503);
    if (stopping_ && context_.now() > take_until_) return refuse(client, 503, come_back);
    events_.request(client, client.reader);
}

// Tells the client whether, and for how long, it may take the connection up again (RFC 9112, section 9.6; the field
// Keep-Alive is of RFC 2068, section 19.7.1.1, in whole seconds).
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
    client.chunked = !client.reader.old;   // to an old client the answer ends with its connection
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

// A reset where the answer has a length of its own by chunks: what is missing can't be taken for an end.
void Front::abort(Client& client) {
    client.request = nullptr;
    end(client, CloseReason::bad_answer);
}

bool Front::crowded(const Client& client) const { return client.out.size() > crowded_at; }

// The answer is given; what is left of it is written, and then the next request may come.
void Front::rest(Client& client) {
    client.request = nullptr;
    if (std::exchange(client.busy, false) && !client.is_probe) report_.request_ended(RequestEnd::answered);
    client.rests_since = context_.now();
    client.http.reset();
    client.reader.next();
    context_.loop.set_timer(client, context_.now() + unread_within);
    context_.loop.flush(client);
    if (client.open() && client.out.empty()) on_written(client);
}

void Front::on_written(Connection& connection) {
    auto& client = static_cast<Client&>(connection);
    if (client.busy) {
        if (client.request) events_.drained(*client.request);
        return;
    }
    if (client.lingers) return;
    // An answer whose head went out before the stop did not say that its connection ends. Once the listeners are
    // closed nothing more is to come on it, unless it has come already.
    const bool surplus = closed_ && !client.http.started() && client.in.empty() && context_.system.is_idle(client.fd);
    if (client.last) return part(client, ConnectionEnd::last_answer);
    if (surplus) return part(client, ConnectionEnd::stopping);
    const Span may_rest = client.told_rest > Span{} ? client.told_rest : idle_limit();
    context_.loop.set_timer(client, context_.now() + (client.is_probe ? probe_idle : may_rest + held_up));
    if (!client.in.empty()) read(client);
}

// Our side ends first, and the connection is closed once the last answer has had time to be read: closing resets it where
// bytes are unread. A request that crosses the end stays unread, so that its client knows that nothing was done. On a
// connection that rested it shows that the last answer has been read, and the reset comes at once. What is left of a refused
// request is read, since a client may write all of it before it reads the answer.
void Front::part(Client& client, ConnectionEnd cause) {
    client.parted_as = cause;
    client.parted_at = context_.now();
    client.lingers = client.last = true;
    client.listens = cause != ConnectionEnd::last_answer;
    client.read_paused = !client.drains && !client.listens;
    client.in.drop(client.in.size());
    context_.system.shutdown_write(client.fd);
    context_.loop.set_timer(client, context_.now() + linger);
    context_.loop.flush(client);
}

void Front::on_error(Connection& connection, int) {
    if (!is_listener(connection)) end(static_cast<Client&>(connection), CloseReason::peer_reset);
}

void Front::on_timer(Connection& connection) {
    if (is_listener(connection)) return context_.loop.poll_for_input(connection, true);
    auto& client = static_cast<Client&>(connection);
    if (client.lingers) return end(client, CloseReason::told_to_close);
    if (!client.out.empty()) return end(client, CloseReason::unread);
    if (client.http.started()) {
        client.last = client.drains = true;
        begin_request(client);
        return refuse(client, 408);
    }
    if (!context_.system.is_idle(client.fd)) return context_.loop.set_timer(client, context_.now() + linger);
    part(client, ConnectionEnd::idle);
}

void Front::end(Client& client, CloseReason why) {
    if (!client.open()) return;
    note_end(client, why);
    auto* request = std::exchange(client.request, nullptr);
    clients_.erase(&client);
    --open_;
    context_.loop.close(client, why);
    if (request) events_.client_left(*request);
}

// Before the connection is closed.
void Front::note_end(Client& client, CloseReason why) {
    if (client.is_probe) return;
    const bool by_client = why == CloseReason::peer_closed || why == CloseReason::peer_reset;
    const auto cause = client.lingers                   ? client.parted_as
                       : by_client                      ? ConnectionEnd::client_left
                       : why == CloseReason::bad_answer ? ConnectionEnd::answer_cut
                                                        : ConnectionEnd::answer_unread;
    report_.connection_ended(cause);
    if (client.lingers && context_.system.has_unread(client.fd))
        report_.closed_over_unread(cause, context_.now() - client.parted_at, client.parted_at - client.rests_since,
                                   context_.now());
    if (!client.busy) return;
    read_requests_are_answered_.check(by_client || why == CloseReason::bad_answer, [&] {
        return "a connection ended during its request: " + std::string(memory::code(why));
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
        context_.loop.close(*std::exchange(front_, nullptr), CloseReason::stopping);
    }
    const auto clients = clients_;
    for (auto* client : clients)
        if (!client->busy && !client->http.started() && !client->lingers && client->out.empty() &&
            context_.system.is_idle(client->fd))
            part(*client, ConnectionEnd::stopping);
}

}   // namespace myrtleroute::proxy
