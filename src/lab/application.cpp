#include "lab/application.hpp"

#include <algorithm>

#include "wire/text.hpp"

namespace myrtleroute::lab {

namespace {

constexpr size_t most_connections = 80;
constexpr Span owed{3};
constexpr Span idle_at_proxy{2};   // it closes what is idle for longer

}  // namespace

struct Application::Conn : wire::HttpHandler {
    explicit Conn(Handle s) : socket(std::move(s)), machine(wire::HttpParser::Side::response, *this) {}
    Handle socket;
    wire::HttpParser machine;
    int status = 0;
    std::string text;
    bool busy = false, sent = false, half = false, strange = false, strange_answered = false;
    bool again = false;          // the call was sent before on another connection
    uint64_t call = 0;
    int product = 0;
    std::string bytes;           // to be sent once it is up
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
      chance_(site.scenario.seed, 0x4150504cu + static_cast<uint64_t>(proxy)),
      arrivals_(site.scenario.seed, 0x41525256u + static_cast<uint64_t>(proxy)) {
    if (site_.scenario.calls_a_second > 0) site_.queue.in({0.3}, [this] { next_call(); });
}

Application::~Application() = default;

void Application::begins(const Fault& fault) {
    ++on_[static_cast<size_t>(fault.kind)];
    how_[static_cast<size_t>(fault.kind)] = fault.how;
    if (fault.kind == FaultKind::strangers) stranger();
}

void Application::ends(const Fault& fault) { --on_[static_cast<size_t>(fault.kind)]; }

void Application::stops() {
    stopped_ = true;
    while (!idle_.empty()) leave(idle_.back());
}

bool Application::left_out(uint64_t number) const {
    const auto& ranges = site_.scenario.left_out;
    return std::any_of(ranges.begin(), ranges.end(), [number](auto& r) { return r.first <= number && number <= r.second; });
}

void Application::next_call() {
    if (stopped_) return;
    call_on(idle_.empty() ? 0 : chance_.bernoulli(0.2) ? idle_.front() : idle_.back());
    site_.queue.in({arrivals_.exponential(1 / (site_.scenario.calls_a_second * burst_))}, [this] { next_call(); });
}

// On that connection, or on a new one.
void Application::call_on(uint64_t socket) {
    const auto number = static_cast<uint64_t>(proxy_) * calls_a_proxy + ++made_;
    if (!left_out(number)) make(number, socket);
}

void Application::make(uint64_t number, uint64_t idle) {
    RandomStream draw(site_.scenario.seed, number);
    int product = 0;
    for (double at = draw.uniform(); (at -= products[product].share) >= 0 && product + 1 < std::ssize(products);) ++product;
    const auto& kind = products[product];
    Conn* conn = nullptr;
    if (idle) {
        conn = conns_[idle].get();
        std::erase(idle_, idle);
    } else if (conns_.size() < most_connections) {
        conn = &connect();
    } else {
        return;   // as many as it may hold are busy
    }
    conn->busy = true;
    conn->sent = conn->half = conn->again = false;
    conn->written = 0;
    conn->call = number;
    conn->product = product;
    const bool get = kind.repeat == Idempotency::idempotent;
    auto& text = conn->bytes;
    text = std::string(get ? "GET" : "POST") + " /api/" + kind.name + "?n=" + std::to_string(number) +
           " HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: " + std::to_string(number) + "\r\nX-Priority-Class: " +
           kind.name + "\r\nX-Timeout: " + std::to_string(static_cast<long long>(kind.timeout * 1e6)) + "u\r\n";
    if (!get) {
        const double size = draw.bernoulli(0.03) ? draw.between(10'000, 60'000) : draw.between(0, 400);
        const std::string body(static_cast<size_t>(size), 'b');
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    } else {
        text += "\r\n";
    }
    if (on(FaultKind::halves) && draw.bernoulli(how(FaultKind::halves) * 0.3)) {
        conn->half = true;
        text.resize(text.size() / 2 + 1);
        if (draw.bernoulli(0.5))
            site_.queue.in({draw.between(0, 0.5)}, [this, s = conn->socket->number] { leave(s); });
    }
    const auto socket = conn->socket->number;
    if (on(FaultKind::leavers) && draw.bernoulli(how(FaultKind::leavers) * 0.5)) {
        if (draw.bernoulli(0.5)) leaves_as_answered_[number] = socket;
        else site_.queue.in({draw.between(0, kind.timeout * 0.5)}, [this, socket, number] {
            const auto it = conns_.find(socket);
            if (it != conns_.end() && it->second->busy && it->second->call == number) leave(socket);
        });
    }
    // Nobody waits for ever; the rules are over by then.
    site_.queue.in({kind.timeout + 0.5}, [this, socket, number] {
        const auto it = conns_.find(socket);
        if (it != conns_.end() && it->second->busy && it->second->call == number) leave(socket);
    });
    send(*conn);
}

Application::Conn& Application::connect() {
    auto socket = site_.net.connect(machine_, *this, address_of(proxy_ip + 1 + static_cast<uint32_t>(proxy_), port));
    auto& conn = conns_[socket->number];
    conn = std::make_unique<Conn>(socket);
    return *conn;
}

void Application::send(Conn& conn) {
    if (conn.socket->state != Socket::State::up || conn.sent) return;
    // In as many parts as the window wants.
    const auto n = site_.net.write(*conn.socket, std::string_view(conn.bytes).substr(conn.written));
    if (n < 0) return;   // it is full, or has broken; either is heard of
    conn.written += static_cast<size_t>(n);
    if (conn.written < conn.bytes.size()) return;
    conn.sent = true;
    if (conn.strange) return;
    if (conn.half) site_.oracle.stranger(*conn.socket);   // no call, and no answer is owed but within 3 s
    else if (conn.again) site_.oracle.sent_again(conn.call, *conn.socket);
    else site_.oracle.sent(conn.call, proxy_, conn.product, *conn.socket);
}

void Application::socket_changed(Socket& socket) {
    const auto it = conns_.find(socket.number);
    if (it == conns_.end()) return;
    auto& conn = *it->second;
    const auto bytes = site_.net.read_all(socket);
    std::string_view left = bytes;
    while (!left.empty() && !conn.machine.fault()) {
        left.remove_prefix(conn.machine.feed(left));
        if (!conn.machine.done()) continue;
        const bool keeps = conn.machine.keeps_alive();
        conn.machine.next();
        conn.strange_answered = true;
        if (conn.busy && conn.sent && !conn.half && !conn.strange) site_.oracle.answered(conn.call, conn.status, conn.text);
        if (!keeps || conn.strange || conn.half) return leave(socket.number);
        over(conn);
        if (!conns_.count(socket.number)) return;
    }
    if (socket.fin_in || socket.error || socket.state == Socket::State::reset) return lost(socket.number);
    if (conn.busy) send(conn);
}

void Application::over(Conn& conn) {
    conn.busy = false;
    leaves_as_answered_.erase(conn.call);
    const auto socket = conn.socket->number;
    idle_.push_back(socket);
    if (stopped_) return leave(socket);
    // Some call again just as the proxy closes what has stood idle.
    if (chance_.bernoulli(0.03))
        site_.queue.in({idle_at_proxy.s + chance_.between(-0.0008, 0.0004)}, [this, socket] {
            if (std::find(idle_.begin(), idle_.end(), socket) != idle_.end()) call_on(socket);
        });
}

// Its end has come, or it broke: a call that crossed that is sent once more, elsewhere.
void Application::lost(uint64_t socket) {
    auto it = conns_.find(socket);
    const auto conn = std::move(it->second);
    conns_.erase(it);
    std::erase(idle_, socket);
    site_.net.close(*conn->socket);
    if (!conn->busy || !conn->sent || conn->half || conn->strange || conn->again) return;
    const auto* call = site_.oracle.call(conn->call);
    if (call->taken || call->over) return;
    auto& fresh = connect();
    fresh.busy = fresh.again = true;
    fresh.call = conn->call;
    fresh.product = conn->product;
    fresh.bytes = conn->bytes;
}

void Application::leave(uint64_t socket, Time arrives) {
    const auto it = conns_.find(socket);
    if (it == conns_.end()) return;
    const auto conn = std::move(it->second);
    conns_.erase(it);
    std::erase(idle_, socket);
    leaves_as_answered_.erase(conn->call);
    if (conn->busy && conn->sent && !conn->half && !conn->strange) site_.oracle.left(conn->call);
    site_.net.close(*conn->socket, arrives);
}

void Application::answer_comes(uint64_t call, Time when) {
    const auto it = leaves_as_answered_.find(call);
    if (it == leaves_as_answered_.end()) return;
    const auto socket = it->second;
    leaves_as_answered_.erase(it);
    const auto found = conns_.find(socket);
    if (found == conns_.end() || !found->second->busy || found->second->call != call) return;
    site_.oracle.summary.met(Hard::leaves_as_answered);
    leave(socket, when + Span{chance_.between(-0.0004, 0.0004)});
}

// Refused, closed or answered by then, or it was never accepted. Where the proxy had no descriptor left to accept
// it with, its time counts from when it could.
void Application::check_owed(uint64_t socket, Time due) {
    site_.queue.at(due, [this, socket, due] {
        const auto it = conns_.find(socket);
        if (it == conns_.end()) return;
        const auto& s = *it->second->socket;
        if (s.state == Socket::State::up && s.other && s.other->observer && !it->second->strange_answered) {
            const Time since = site_.oracle.was_short(proxy_) ? std::max(due - owed, s.other->accepted) : due - owed;
            const Time later = site_.oracle.due(proxy_, since, owed);
            if (later > site_.queue.now()) return check_owed(socket, later);
            site_.oracle.breaks(Rule::owed, {}, "proxy " + std::to_string(proxy_) + ", socket " + std::to_string(socket));
        }
        leave(socket);
    });
}

// Connects and says nothing, nonsense or half a call.
void Application::stranger() {
    if (stopped_ || !on(FaultKind::strangers)) return;
    auto& conn = connect();
    conn.strange = conn.busy = true;
    ++site_.oracle.summary.strangers;
    site_.oracle.stranger(*conn.socket);
    site_.note(Event::noise, static_cast<uint64_t>(proxy_), conn.socket->number);
    switch (chance_.below(6)) {
        case 0: conn.sent = true; break;   // nothing
        case 1: conn.bytes = "\x16\x03\x01\x02\x01\x01\x7f"; break;
        case 2: conn.bytes = "POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n"; break;
        case 3: conn.bytes = "GET /api HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(40'000, 'x'); break;
        case 4: conn.bytes = "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-ID: 7\r\nX-Priority-Class: none\r\n\r\n"; break;
        default: conn.bytes = "GET / HTTP/1.1\r\nHost: a\r\n";
    }
    check_owed(conn.socket->number, site_.queue.now() + owed + Span{0.1});
    site_.queue.in({0.02 + chance_.exponential(0.4 - 0.35 * how(FaultKind::strangers))}, [this] { stranger(); });
}

}  // namespace myrtleroute::lab
