#include "lab/application.hpp"

#include <algorithm>

#include "wire/text.hpp"

namespace myrtleroute::lab {

namespace {

constexpr size_t max_connections = 80;
constexpr Span first_response_timeout{3};
constexpr Span proxy_idle_timeout{2};   // the proxy closes connections that are idle for longer

}  // namespace

struct Application::Connection : wire::HttpHandler {
    explicit Connection(Handle s) : socket(std::move(s)), machine(wire::HttpParser::Side::response, *this) {}
    Handle socket;
    wire::HttpParser machine;
    int status = 0;
    std::string text;
    bool busy = false, sent = false, partial = false, stray = false, stray_answered = false;
    bool resent = false;   // the call was sent on another connection before
    uint64_t call = 0;
    int product = 0;
    std::string request;   // sent once the connection is established
    size_t written = 0;
    int start(std::string_view, std::string_view code, std::string_view) override {
        status = wire::parse_integer<int>(code).value_or(0);
        text.clear();
        return 0;
    }
    int field(std::string_view, std::string_view) override { return 0; }
    void body(std::string_view bytes) override { text.append(bytes); }
};

Application::Application(Site& site, int proxy)
    : site_(site), proxy_(proxy), machine_{300 + proxy},
      random_(site.scenario.seed, 0x4150504cu + static_cast<uint64_t>(proxy)),
      arrivals_(site.scenario.seed, 0x41525256u + static_cast<uint64_t>(proxy)) {
    if (site_.scenario.calls_per_second > 0) site_.queue.in({0.3}, [this] { next_call(); });
}

Application::~Application() = default;

void Application::fault_begins(const Fault& fault) {
    ++active_[static_cast<size_t>(fault.kind)];
    strength_[static_cast<size_t>(fault.kind)] = fault.strength;
    if (fault.kind == FaultKind::strangers) connect_stray();
}

void Application::fault_ends(const Fault& fault) { --active_[static_cast<size_t>(fault.kind)]; }

void Application::stop() {
    stopped_ = true;
    while (!idle_.empty()) disconnect(idle_.back());
}

bool Application::is_omitted(uint64_t number) const {
    const auto& ranges = site_.scenario.omitted_calls;
    return std::any_of(ranges.begin(), ranges.end(), [number](auto& r) { return r.first <= number && number <= r.second; });
}

void Application::next_call() {
    if (stopped_) return;
    call_on(idle_.empty() ? 0 : random_.bernoulli(0.2) ? idle_.front() : idle_.back());
    site_.queue.in({arrivals_.exponential(1 / (site_.scenario.calls_per_second * load_factor_))},
                   [this] { next_call(); });
}

// Makes the next call on this idle connection; 0 = on a new one.
void Application::call_on(uint64_t socket) {
    const auto number = static_cast<uint64_t>(proxy_) * call_numbers_per_proxy + ++calls_made_;
    if (!is_omitted(number)) make_call(number, socket);
}

void Application::make_call(uint64_t number, uint64_t idle) {
    RandomStream random(site_.scenario.seed, number);
    int product = 0;
    for (double at = random.uniform(); (at -= products[product].share) >= 0 && product + 1 < std::ssize(products);)
        ++product;
    const auto& kind = products[product];
    Connection* connection = nullptr;
    if (idle) {
        connection = connections_[idle].get();
        std::erase(idle_, idle);
    } else if (connections_.size() < max_connections) {
        connection = &connect();
    } else {
        return;   // all connections that it may hold are busy
    }
    connection->busy = true;
    connection->sent = connection->partial = connection->resent = false;
    connection->written = 0;
    connection->call = number;
    connection->product = product;
    const bool get = kind.repeat == Idempotency::idempotent;
    auto& text = connection->request;
    text = std::string(get ? "GET" : "POST") + " /api/" + kind.name + "?n=" + std::to_string(number) +
           " HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: " + std::to_string(number) + "\r\nX-Priority-Class: " +
           kind.name + "\r\nX-Timeout: " + std::to_string(static_cast<long long>(kind.timeout * 1e6)) + "u\r\n";
    if (!get) {
        const double size = random.bernoulli(0.03) ? random.between(10'000, 60'000) : random.between(0, 400);
        const std::string body(static_cast<size_t>(size), 'b');
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    } else {
        text += "\r\n";
    }
    if (is_active(FaultKind::halves) && random.bernoulli(strength(FaultKind::halves) * 0.3)) {
        connection->partial = true;
        text.resize(text.size() / 2 + 1);
        if (random.bernoulli(0.5))
            site_.queue.in({random.between(0, 0.5)}, [this, s = connection->socket->number] { disconnect(s); });
    }
    const auto socket = connection->socket->number;
    if (is_active(FaultKind::leavers) && random.bernoulli(strength(FaultKind::leavers) * 0.5)) {
        if (random.bernoulli(0.5)) disconnect_on_response_[number] = socket;
        else site_.queue.in({random.between(0, kind.timeout * 0.5)}, [this, socket, number] {
            const auto it = connections_.find(socket);
            if (it != connections_.end() && it->second->busy && it->second->call == number) disconnect(socket);
        });
    }
    // The client gives up on an unanswered call; the time limits that the rules check have passed by then.
    site_.queue.in({kind.timeout + 0.5}, [this, socket, number] {
        const auto it = connections_.find(socket);
        if (it != connections_.end() && it->second->busy && it->second->call == number) disconnect(socket);
    });
    send(*connection);
}

Application::Connection& Application::connect() {
    auto socket = site_.net.connect(machine_, *this, address_of(proxy_ip + 1 + static_cast<uint32_t>(proxy_), port));
    auto& connection = connections_[socket->number];
    connection = std::make_unique<Connection>(socket);
    return *connection;
}

void Application::send(Connection& connection) {
    if (connection.socket->state != Socket::State::established || connection.sent) return;
    // Written in as many parts as the window requires.
    const auto n = site_.net.write(*connection.socket, std::string_view(connection.request).substr(connection.written));
    if (n < 0) return;   // no room, or the connection failed; a socket event follows either way
    connection.written += static_cast<size_t>(n);
    if (connection.written < connection.request.size()) return;
    connection.sent = true;
    if (connection.stray) return;
    // Half a request is no call; the only rule for it is a response or close within first_response_timeout.
    if (connection.partial) site_.oracle.stray_connected(*connection.socket);
    else if (connection.resent) site_.oracle.call_resent(connection.call, *connection.socket);
    else site_.oracle.call_sent(connection.call, proxy_, connection.product, *connection.socket);
}

void Application::socket_changed(Socket& socket) {
    const auto it = connections_.find(socket.number);
    if (it == connections_.end()) return;
    auto& connection = *it->second;
    const auto bytes = site_.net.read_all(socket);
    std::string_view left = bytes;
    while (!left.empty() && !connection.machine.fault()) {
        left.remove_prefix(connection.machine.feed(left));
        if (!connection.machine.done()) continue;
        const bool keeps = connection.machine.keeps_alive();
        connection.machine.next();
        connection.stray_answered = true;
        if (connection.busy && connection.sent && !connection.partial && !connection.stray)
            site_.oracle.response_read(connection.call, connection.status, connection.text);
        if (!keeps || connection.stray || connection.partial) return disconnect(socket.number);
        call_finished(connection);
        if (!connections_.count(socket.number)) return;
    }
    if (socket.fin_in || socket.error || socket.state == Socket::State::reset) return connection_lost(socket.number);
    if (connection.busy) send(connection);
}

void Application::call_finished(Connection& connection) {
    connection.busy = false;
    disconnect_on_response_.erase(connection.call);
    const auto socket = connection.socket->number;
    idle_.push_back(socket);
    if (stopped_) return disconnect(socket);
    // Some clients send the next call just as the proxy closes the idle connection.
    if (random_.bernoulli(0.03))
        site_.queue.in({proxy_idle_timeout.s + random_.between(-0.0008, 0.0004)}, [this, socket] {
            if (std::find(idle_.begin(), idle_.end(), socket) != idle_.end()) call_on(socket);
        });
}

// The proxy closed the connection, or it failed. A call that crossed the close is sent once more on another connection.
void Application::connection_lost(uint64_t socket) {
    auto it = connections_.find(socket);
    const auto connection = std::move(it->second);
    connections_.erase(it);
    std::erase(idle_, socket);
    site_.net.close(*connection->socket);
    if (!connection->busy || !connection->sent || connection->partial || connection->stray || connection->resent)
        return;
    const auto* call = site_.oracle.call(connection->call);
    if (call->taken || call->finished) return;
    auto& fresh = connect();
    fresh.busy = fresh.resent = true;
    fresh.call = connection->call;
    fresh.product = connection->product;
    fresh.request = connection->request;
}

void Application::disconnect(uint64_t socket, Time arrives) {
    const auto it = connections_.find(socket);
    if (it == connections_.end()) return;
    const auto connection = std::move(it->second);
    connections_.erase(it);
    std::erase(idle_, socket);
    disconnect_on_response_.erase(connection->call);
    if (connection->busy && connection->sent && !connection->partial && !connection->stray)
        site_.oracle.client_left(connection->call);
    site_.net.close(*connection->socket, arrives);
}

void Application::response_expected(uint64_t call, Time when) {
    const auto it = disconnect_on_response_.find(call);
    if (it == disconnect_on_response_.end()) return;
    const auto socket = it->second;
    disconnect_on_response_.erase(it);
    const auto found = connections_.find(socket);
    if (found == connections_.end() || !found->second->busy || found->second->call != call) return;
    site_.oracle.summary.met(Hard::leaves_as_answered);
    disconnect(socket, when + Span{random_.between(-0.0004, 0.0004)});
}

// By `due` the connection must be refused, closed or answered, unless the proxy never accepted it. Where the proxy
// was short of descriptors, the time counts from when it accepted the connection.
void Application::check_first_response(uint64_t socket, Time due) {
    site_.queue.at(due, [this, socket, due] {
        const auto it = connections_.find(socket);
        if (it == connections_.end()) return;
        const auto& s = *it->second->socket;
        if (s.state == Socket::State::established && s.peer && s.peer->observer && !it->second->stray_answered) {
            const Time since = site_.oracle.descriptors_limited(proxy_)
                                   ? std::max(due - first_response_timeout, s.peer->accepted_at)
                                   : due - first_response_timeout;
            const Time later = site_.oracle.deadline(proxy_, since, first_response_timeout);
            if (later > site_.queue.now()) return check_first_response(socket, later);
            site_.oracle.report_violation(Rule::owed, {},
                                          "proxy " + std::to_string(proxy_) + ", socket " + std::to_string(socket));
        }
        disconnect(socket);
    });
}

// Opens a connection that sends nothing, garbage or half a request.
void Application::connect_stray() {
    if (stopped_ || !is_active(FaultKind::strangers)) return;
    auto& connection = connect();
    connection.stray = connection.busy = true;
    ++site_.oracle.summary.strangers;
    site_.oracle.stray_connected(*connection.socket);
    site_.record(Event::noise, static_cast<uint64_t>(proxy_), connection.socket->number);
    switch (random_.below(6)) {
        case 0: connection.sent = true; break;   // sends nothing
        case 1: connection.request = "\x16\x03\x01\x02\x01\x01\x7f"; break;
        case 2: connection.request = "POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n"; break;
        case 3: connection.request = "GET /api HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(40'000, 'x'); break;
        case 4:
            connection.request = "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-ID: 7\r\nX-Priority-Class: none\r\n\r\n";
            break;
        default: connection.request = "GET / HTTP/1.1\r\nHost: a\r\n";
    }
    check_first_response(connection.socket->number, site_.queue.now() + first_response_timeout + Span{0.1});
    site_.queue.in({0.02 + random_.exponential(0.4 - 0.35 * strength(FaultKind::strangers))},
                   [this] { connect_stray(); });
}

}  // namespace myrtleroute::lab
