#include "run/clients.hpp"

#include <algorithm>
#include <cerrno>
#include <utility>

namespace myrtleroute::run {

using memory::Connection;
using memory::Count;
using memory::CloseReason;

namespace {

constexpr size_t max_in = 16 * 1024, max_out = wire::max_body + 16 * 1024;   // with its head
constexpr Span accept_retry_delay{0.01};
constexpr int accepts_per_round = 32;
// Each client must get a response or a close within 3 s, counted from its connect or from its last response.
constexpr Span idle_timeout{2};            // without a call begun, the connection is closed
constexpr Span request_timeout{2.8};       // for a call to be complete; for later calls counted from their first byte
constexpr Span response_read_timeout{5};   // for the client to read a response, from its writing on
constexpr Span linger{1};                  // for the client to close after the last response
constexpr size_t max_discarded = 4 * wire::max_body;   // bytes dropped after the last response; then no more is read
// A connection that has been idle for less may have a call in flight: one used before, and one opened for a call.
constexpr Span min_idle{0.5}, min_silence{0.1};

}  // namespace

struct Clients::Listener : Connection {
    Listener(ConnectionHandler& by, int fd) : Connection(by, fd, 1, 1) { listens = true; }
    std::string name() const override { return "listener"; }
};

struct Clients::Client : Connection {
    Client(ConnectionHandler& by, int fd, const Settings& settings)
        : Connection(by, fd, max_in, max_out), reader(settings),
          http(wire::HttpParser::Side::request, reader) {
        detect_peer_close = true;   // the call of a client that has gone is abandoned
    }
    std::string name() const override { return "client"; }
    wire::RequestReader reader;
    wire::HttpParser http;
    memory::PendingCall* call = nullptr;
    bool closing = false;         // to be closed once the response has been written
    bool lingering = false;       // the response has been written and our direction is closed
    bool waiting = false;         // in waiting_
    bool had_call = false;        // has sent a complete call
    size_t discarded = 0;
    CloseReason why = CloseReason::told_to_close;
    Time since;                   // when it connected or its last response was written
    std::list<Client*>* list = nullptr;   // the list of idle connections that it is in
    std::list<Client*>::iterator position;
};

bool Clients::open() {
    const int fd = s_.system.listen(s_.config.listen);
    if (fd < 0) return false;
    listener_ = &s_.loop.add(std::make_unique<Listener>(*this, fd));
    return true;
}

// Without a free descriptor, idle connections are closed first; if there are none, new ones wait in the listen queue.
// Guards, at shutdown, against closing the listener while connections wait in that queue: their calls would be lost.
void Clients::accept() {
    for (int n = 0; n < accepts_per_round || stopping_; ++n) {
        bool room = s_.loop.connections() < s_.max_connections();
        if (open_ >= s_.max_clients()) room = shed();
        else if (!room) room = make_room_();
        if (room) {
            const int fd = s_.system.accept(listener_->fd);
            if (fd >= 0) {
                s_.counters.add(Count::connections_from_clients);
                ++open_;
                become_idle(s_.loop.add(std::make_unique<Client>(*this, fd, s_.settings())));
                continue;
            }
            if (errno == EINTR || errno == ECONNABORTED) continue;
            room = errno == EAGAIN || errno == EWOULDBLOCK || (errno == EMFILE && make_room_());
        }
        if (!room) {
            s_.loop.poll_for_input(*listener_, false);
            s_.loop.set_timer(*listener_, s_.loop.now() + accept_retry_delay);
        } else if (stopping_) {
            s_.loop.close(*std::exchange(listener_, nullptr), CloseReason::stopping);
        }
        return;
    }
}

void Clients::on_readable(Connection& connection) {
    if (connection.listens) return accept();
    auto& c = static_cast<Client&>(connection);
    // A client that has closed its side counts as gone, whatever it sent before.
    if (c.ended || c.error)
        return end(c, c.lingering ? c.why : c.ended ? CloseReason::peer_closed : CloseReason::peer_reset);
    if (!c.lingering) return read(c);
    c.discarded += c.in.size();
    c.in.drop(c.in.size());
    c.read_paused = c.discarded > max_discarded;
}

void Clients::read(Client& c) {
    // One call at a time; the next call is read after the response to the previous one has been written.
    while (c.open() && !c.call && !c.closing && c.out.empty() && !c.in.empty()) {
        remove_from_list(c);
        // Guards against cutting off valid calls that are written slowly on a connection that was idle before.
        if (!c.http.started()) s_.loop.set_timer(c, (c.had_call ? s_.loop.now() : c.since) + request_timeout);
        c.in.drop(c.http.feed(c.in.front()));
        if (c.http.fault()) {
            reject(c, c.http.fault());
        } else if (c.http.done()) {
            s_.loop.clear_timer(c);
            handle_request(c);
        } else if (c.http.expects_continue() && c.in.empty()) {
            c.http.continue_sent();
            c.out.push("HTTP/1.1 100 Continue\r\n\r\n");
            s_.loop.flush(c);
        }
    }
}

void Clients::handle_request(Client& c) {
    if (stopping_ || !c.http.keeps_alive()) c.closing = true;
    if (c.reader.is_health_check()) return send_response(c, ready_ ? 200 : 503, "");
    c.had_call = true;
    // Guards against request smuggling behind another call, and against a call that replaces another one: a connection
    // carries one call at a time, and an id can't be reused while its call is in progress.
    if (!c.in.empty() || s_.calls.open(c.reader.request().id)) return reject(c, c.in.empty() ? 409 : 400);
    // Rejected on arrival, as in the simulator: nothing of the call has been executed, so a retry is harmless.
    if (s_.calls.size() >= s_.max_calls()) {
        s_.counters.add(Count::calls_turned_away_full);
        return send_response(c, 503, "",
                   wire::retry_after_field(s_.settings().retry_after ? s_.settings().max_retry_after : Span{}));
    }
    auto& call = s_.calls.add(std::move(c.reader.request()));
    call.client = &c;
    c.call = &call;
    s_.counters.add(Count::calls_taken);
    // The response must arrive before the client's timeout, so a margin is subtracted from it.
    const Span timeout = call.request.timeout;
    const Span client_time = timeout - std::min(s_.settings().answer_margin, timeout * 0.1);
    const Span budget = std::min(client_time, final_deadline_ - s_.loop.now());
    const auto id = call.id;
    s_.balancer->call_arrived(s_.loop.now(), id, static_cast<uint32_t>(call.request.product), call.request.tenant,
                              budget, call.request.work, call.request.key, false);
    s_.calls.erase_if_finished(call);
}

void Clients::respond(memory::PendingCall& call, int status, std::string_view body, std::string_view fields) {
    auto* c = static_cast<Client*>(call.client);
    if (!c) return;
    call.client = nullptr;
    c->call = nullptr;
    send_response(*c, status, body, fields);
}

// A malformed call is answered at once, and the connection is closed after the response.
void Clients::reject(Client& c, int status) {
    s_.counters.add(Count::calls_malformed);
    c.closing = true;
    c.why = CloseReason::bad_call;
    send_response(c, status, "");
}

void Clients::send_response(Client& c, int status, std::string_view body, std::string_view fields) {
    // Guards against clients that make one call and keep the connection: the application has a limited number of
    // connections, and would have none left for its next calls until these are closed as idle.
    const bool too_many_idle = idle_.size() >= s_.max_idle_clients();
    if (stopping_ || too_many_idle || !c.in.empty()) c.closing = true;   // last: more has arrived before the response
    c.out.push(wire::format_response(status, body, !c.closing, fields));
    c.http.reset();
    c.reader.reset();
    s_.loop.set_timer(c, s_.loop.now() + response_read_timeout);
    s_.loop.flush(c);
    if (c.out.empty()) become_idle(c);
}

// Between requests.
void Clients::become_idle(Client& c) {
    c.since = s_.loop.now();
    c.closing = c.closing || !c.in.empty();   // more arrived while the response was being written
    if (c.closing) {
        // Closing with unread bytes would reset the connection, and the response might be lost with it.
        s_.system.shutdown_write(c.fd);
        c.lingering = true;
        c.in.drop(c.in.size());
        s_.loop.flush(c);   // polls for input again, since the buffer has room now
        // A connection closed while idle has no response to be read, and clients that don't use it may never close it.
        s_.loop.set_timer(c, c.since + (stopping_ || c.read_paused ? linger * 0.2 : linger));
    } else {
        s_.loop.set_timer(c, c.since + idle_timeout);
    }
    remove_from_list(c);
    c.list = c.closing ? &lingering_ : c.had_call ? &idle_ : &silent_;
    c.position = c.list->insert(c.list->end(), &c);
}

// Guards against a close that crosses a call just sent, which would reset the connection and might lose the last
// response: our side sends its end of stream first. Bytes that arrive later are not read, so that the client can send
// the call again on another connection.
void Clients::start_close(Client& c, CloseReason why) {
    remove_from_list(c);
    c.closing = c.read_paused = true;
    c.why = why;
    become_idle(c);
}

void Clients::remove_from_list(Client& c) {
    if (c.list) std::exchange(c.list, nullptr)->erase(c.position);
}

void Clients::enqueue(Client& c) {
    if (!c.waiting) waiting_.push_back(&c);
    c.waiting = true;
}

void Clients::process_waiting() {
    while (!waiting_.empty()) {
        auto& c = *waiting_.front();
        waiting_.pop_front();
        c.waiting = false;
        read(c);
    }
}

void Clients::on_written(Connection& connection) {
    auto& c = static_cast<Client&>(connection);
    if (c.call || c.lingering) return;
    if (c.http.started() && !c.closing) enqueue(c);
    else become_idle(c);
}

void Clients::on_error(Connection& connection, int) {
    if (!connection.listens) end(static_cast<Client&>(connection), CloseReason::peer_reset);
}

void Clients::on_timer(Connection& connection) {
    if (connection.listens) {
        s_.loop.poll_for_input(connection, true);
        return;
    }
    auto& c = static_cast<Client&>(connection);
    if (c.lingering) return end(c, c.why);
    if (c.list && s_.system.is_idle(c.fd)) return start_close(c, stopping_ ? CloseReason::stopping : CloseReason::idle);
    if (c.list) return s_.loop.set_timer(c, s_.loop.now() + min_idle);   // bytes have arrived and are about to be read
    if (!c.out.empty()) return end(c, CloseReason::unread);
    reject(c, 408);
    c.why = CloseReason::call_unfinished;
}

void Clients::end(Client& c, CloseReason why) {
    if (!c.open()) return;
    remove_from_list(c);
    if (c.waiting) std::erase(waiting_, &c);
    c.waiting = false;
    auto* call = std::exchange(c.call, nullptr);
    --open_;
    s_.loop.close(c, why);
    if (!call) return;
    call->client = nullptr;
    s_.counters.add(Count::calls_left_by_client);
    const auto id = call->id;
    s_.balancer->client_left(s_.loop.now(), id);
    if (auto* held = s_.calls.find(id)) s_.calls.erase_if_finished(*held);
}

// Closes first connections that have had their last response, then those that never sent a call, then the longest idle.
bool Clients::shed() {
    // Guards against losing calls: one that has arrived and waits to be read, or one in flight, as on a connection
    // that was opened for it just now.
    for (const auto& [list, min_age] :
         {std::pair{&lingering_, min_silence}, {&silent_, min_silence}, {&idle_, min_idle}})
        for (auto* c : *list) {
            if (s_.loop.now() - c->since < min_age) break;
            if (!c->lingering && !s_.system.is_idle(c->fd)) continue;
            s_.counters.add(Count::connections_shed);
            end(*c, CloseReason::shed);
            return true;
        }
    return false;
}

void Clients::stop_accepting() {
    stopping_ = true;
    accept();
    // One used recently may have a call in flight; that is still answered, and the connection is closed after it.
    auto idle = idle_;
    idle.insert(idle.end(), silent_.begin(), silent_.end());
    for (auto* c : idle)
        if (s_.loop.now() - c->since < min_idle) s_.loop.set_timer(*c, c->since + min_idle);
        else on_timer(*c);
}

void Clients::close_idle() {
    for (auto* list : {&idle_, &silent_})
        for (auto idle = *list; auto* c : idle) start_close(*c, CloseReason::stopping);
}

}  // namespace myrtleroute::run
