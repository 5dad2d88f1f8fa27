#include "run/clients.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace myrtleroute::run {

using memory::Connection;
using memory::Count;
using memory::Why;

namespace {

constexpr size_t most_in = 16 * 1024, most_out = wire::most_body + 16 * 1024;   // with its head
constexpr Span accept_again{0.01};
constexpr Span read_within{10};   // a call whole, once begun; an answer, once written
constexpr Span linger{1};         // for the other end to close after our last answer
constexpr Span settles{0.5};      // idle for less, a connection may have a call on its way

}  // namespace

struct Clients::Listener : Connection {
    Listener(Owner& by, int fd) : Connection(by, fd, 1, 1) { listens = true; }
    std::string name() const override { return "listener"; }
};

struct Clients::Client : Connection {
    Client(Owner& by, int fd, const Settings& settings)
        : Connection(by, fd, most_in, most_out), reader(settings),
          http(wire::HttpMachine::Side::ask, reader) {}
    std::string name() const override { return "client"; }
    wire::AskReader reader;
    wire::HttpMachine http;
    memory::Held* call = nullptr;
    bool last = false;           // to be ended once all is written
    bool lingers = false;        // all is written and our side is closed
    bool waits = false;          // in waiting_
    Why why = Why::told_to_close;
    std::list<Client*>::iterator place;
    bool idle = false;           // in idle_, at its place
    Time idle_since;
};

bool Clients::open() {
    const int fd = listen_at(s_.config.listen);
    if (fd < 0) return false;
    listener_ = &s_.loop.adopt(std::make_unique<Listener>(*this, fd));
    return true;
}

// With no descriptor left, idle connections go first; without any, new ones wait in the system's queue.
void Clients::accept() {
    for (;;) {
        bool room = s_.loop.connections() < s_.most_connections();
        if (open_ >= s_.most_clients()) room = shed();
        else if (!room) room = make_room_();
        if (room) {
            const int fd = ::accept4(listener_->fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd >= 0) {
                s_.counters.add(Count::connections_from_clients);
                ++open_;
                rest(s_.loop.adopt(std::make_unique<Client>(*this, fd, s_.settings())));
                continue;
            }
            if (errno == EINTR || errno == ECONNABORTED) continue;
            room = errno == EAGAIN || errno == EWOULDBLOCK || (errno == EMFILE && make_room_());
        }
        if (!room) {
            s_.loop.listen_to(*listener_, false);
            s_.loop.set(*listener_, s_.loop.now() + accept_again);
        }
        return;
    }
}

void Clients::came(Connection& connection) {
    if (connection.listens) return accept();
    auto& c = static_cast<Client&>(connection);
    if (c.ended) return end(c, c.lingers ? c.why : Why::peer_closed);
    if (c.lingers) c.in.drop(c.in.size());
    else read(c);
}

void Clients::read(Client& c) {
    // One call at a time, and no answer is given before the last one is written.
    while (c.open() && !c.call && !c.last && c.out.empty() && !c.in.empty()) {
        if (std::exchange(c.idle, false)) idle_.erase(c.place);
        if (!c.http.begun()) s_.loop.set(c, s_.loop.now() + read_within);
        c.in.drop(c.http.feed(c.in.front()));
        if (c.http.fault()) {
            s_.counters.add(Count::calls_malformed);
            c.last = true;
            c.why = Why::bad_call;
            say(c, c.http.fault(), "");
        } else if (c.http.done()) {
            s_.loop.clear(c);
            take(c);
        } else if (c.http.wants_continue() && c.in.empty()) {
            c.http.continued();
            c.out.push("HTTP/1.1 100 Continue\r\n\r\n");
            s_.loop.flush(c);
        }
    }
}

void Clients::take(Client& c) {
    if (stopping_ || !c.http.keeps()) c.last = true;
    if (c.reader.asks_if_up()) return say(c, ready_ ? 200 : 503, "");
    // At the door, as the simulator does: nothing of it has run, so a retry is harmless.
    if (s_.calls.size() >= s_.most_calls()) {
        s_.counters.add(Count::calls_turned_away_full);
        return say(c, 503, "");
    }
    auto& call = s_.calls.take();
    call.ask = std::move(c.reader.ask());
    call.client = &c;
    c.call = &call;
    s_.counters.add(Count::calls_taken);
    // Our answer has to be with the client before it gives up, so a little of its patience is kept back.
    const Span patience = call.ask.patience;
    const Span ours = patience - std::min(s_.settings().grace_to_answer, patience * 0.1);
    const auto id = call.id;
    s_.balancer->call_arrived(s_.loop.now(), id, static_cast<uint32_t>(call.ask.product), 0, ours);
    s_.calls.forget_if_over(call);
}

void Clients::give(memory::Held& call, int status, std::string_view body, std::string_view fields) {
    auto* c = static_cast<Client*>(call.client);
    if (!c) return;
    call.client = nullptr;
    c->call = nullptr;
    say(*c, status, body, fields);
}

void Clients::say(Client& c, int status, std::string_view body, std::string_view fields) {
    if (stopping_) c.last = true;
    c.out.push(wire::answer(status, body, !c.last, fields));
    c.http.next();
    c.reader.next();
    s_.loop.set(c, s_.loop.now() + read_within);
    s_.loop.flush(c);
    if (c.out.empty()) rest(c);
}

// Between requests.
void Clients::rest(Client& c) {
    s_.loop.clear(c);
    if (c.last) {
        // Closing with bytes unread would reset the connection, and the answer might be lost with it.
        ::shutdown(c.fd, SHUT_WR);
        c.lingers = true;
        c.in.drop(c.in.size());
        s_.loop.set(c, s_.loop.now() + (stopping_ ? linger * 0.2 : linger));
    } else if (!c.in.empty()) {
        wait(c);
    } else if (!c.idle) {
        c.idle_since = s_.loop.now();
        c.place = idle_.insert(idle_.end(), &c);
        c.idle = true;
    }
}

void Clients::wait(Client& c) {
    if (!c.waits) waiting_.push_back(&c);
    c.waits = true;
}

void Clients::settle() {
    while (!waiting_.empty()) {
        auto& c = *waiting_.front();
        waiting_.pop_front();
        c.waits = false;
        read(c);
    }
}

void Clients::went(Connection& connection) {
    auto& c = static_cast<Client&>(connection);
    if (c.call || c.lingers) return;
    if (c.http.begun() && !c.last) wait(c);
    else rest(c);
}

void Clients::broke(Connection& connection, int) {
    if (!connection.listens) end(static_cast<Client&>(connection), Why::peer_reset);
}

void Clients::due(Connection& connection) {
    if (connection.listens) {
        s_.loop.listen_to(connection, true);
        return;
    }
    auto& c = static_cast<Client&>(connection);
    if (c.idle) {
        if (still_quiet(c.fd)) end(c, Why::stopping);
        return;
    }
    if (c.lingers) return end(c, c.why);
    if (!c.out.empty()) return end(c, Why::unread);
    s_.counters.add(Count::calls_malformed);
    c.last = true;
    c.why = Why::call_unfinished;
    say(c, 408, "");
}

void Clients::end(Client& c, Why why) {
    if (!c.open()) return;
    if (std::exchange(c.idle, false)) idle_.erase(c.place);
    if (c.waits) std::erase(waiting_, &c);
    c.waits = false;
    auto* call = std::exchange(c.call, nullptr);
    --open_;
    s_.loop.end(c, why);
    if (!call) return;
    call->client = nullptr;
    s_.counters.add(Count::calls_left_by_client);
    const auto id = call->id;
    s_.balancer->client_left(s_.loop.now(), id);
    if (auto* held = s_.calls.find(id)) s_.calls.forget_if_over(*held);
}

bool Clients::shed() {
    // Guards against losing calls: one that has come and waits to be read, or is on its way, as on one
    // that was made for it just now.
    for (auto* c : idle_) {
        if (s_.loop.now() - c->idle_since < settles) return false;
        if (!still_quiet(c->fd)) continue;
        s_.counters.add(Count::connections_shed);
        end(*c, Why::shed);
        return true;
    }
    return false;
}

void Clients::last_ones() {
    stopping_ = true;
    accept();
    s_.loop.end(*listener_, Why::stopping);
    listener_ = nullptr;
    // One used lately may have a call on its way; that is still answered, and ends the connection.
    const auto idle = idle_;
    for (auto* c : idle)
        if (s_.loop.now() - c->idle_since < settles) s_.loop.set(*c, c->idle_since + settles);
        else due(*c);
}

}  // namespace myrtleroute::run
