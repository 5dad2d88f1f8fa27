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
constexpr Span accept_again{0.01};
constexpr int accepts_a_round = 32;
// Whoever connects is owed an answer or a close within 3 s. From connecting or from the last answer on:
constexpr Span idle_after{2};     // with no call begun, it is closed
constexpr Span whole_within{2.8}; // a call begun is whole, however its bytes trickle; of later ones, from their begin on
constexpr Span read_within{5};    // an answer is read, once written
constexpr Span linger{1};         // for the other end to close after our last answer
constexpr size_t most_dropped = 4 * wire::max_body;   // of what it still sends; the rest is not even read
// Idle for less, a connection may have a call on its way: one used before, and one that was made for a call.
constexpr Span settles{0.5}, speaks_within{0.1};

}  // namespace

struct Clients::Listener : Connection {
    Listener(ConnectionHandler& by, int fd) : Connection(by, fd, 1, 1) { listens = true; }
    std::string name() const override { return "listener"; }
};

struct Clients::Client : Connection {
    Client(ConnectionHandler& by, int fd, const Settings& settings)
        : Connection(by, fd, max_in, max_out), reader(settings),
          http(wire::HttpParser::Side::request, reader) {
        detect_peer_close = true;   // its call is for nobody then
    }
    std::string name() const override { return "client"; }
    wire::RequestReader reader;
    wire::HttpParser http;
    memory::PendingCall* call = nullptr;
    bool last = false;           // to be ended once all is written
    bool lingers = false;        // all is written and our side is closed
    bool waits = false;          // in waiting_
    bool asked = false;          // a whole call has come on it
    size_t dropped = 0;
    CloseReason why = CloseReason::told_to_close;
    Time since;                  // it came, or had its last answer
    std::list<Client*>* among = nullptr;   // those that rest like it
    std::list<Client*>::iterator place;
};

bool Clients::open() {
    const int fd = s_.system.listen(s_.config.listen);
    if (fd < 0) return false;
    listener_ = &s_.loop.add(std::make_unique<Listener>(*this, fd));
    return true;
}

// With no descriptor left, idle connections go first; without any, new ones wait in the system's queue. Guards, when
// it stops, against closing the listener over connections that wait in that queue: their calls would be lost.
void Clients::accept() {
    for (int n = 0; n < accepts_a_round || stopping_; ++n) {
        bool room = s_.loop.connections() < s_.max_connections();
        if (open_ >= s_.max_clients()) room = shed();
        else if (!room) room = make_room_();
        if (room) {
            const int fd = s_.system.accept(listener_->fd);
            if (fd >= 0) {
                s_.counters.add(Count::connections_from_clients);
                ++open_;
                rest(s_.loop.add(std::make_unique<Client>(*this, fd, s_.settings())));
                continue;
            }
            if (errno == EINTR || errno == ECONNABORTED) continue;
            room = errno == EAGAIN || errno == EWOULDBLOCK || (errno == EMFILE && make_room_());
        }
        if (!room) {
            s_.loop.poll_for_input(*listener_, false);
            s_.loop.set_timer(*listener_, s_.loop.now() + accept_again);
        } else if (stopping_) {
            s_.loop.close(*std::exchange(listener_, nullptr), CloseReason::stopping);
        }
        return;
    }
}

void Clients::on_readable(Connection& connection) {
    if (connection.listens) return accept();
    auto& c = static_cast<Client&>(connection);
    // A client that has closed is gone, whatever it sent before.
    if (c.ended || c.error)
        return end(c, c.lingers ? c.why : c.ended ? CloseReason::peer_closed : CloseReason::peer_reset);
    if (!c.lingers) return read(c);
    c.dropped += c.in.size();
    c.in.drop(c.in.size());
    c.read_paused = c.dropped > most_dropped;
}

void Clients::read(Client& c) {
    // One call at a time, and no answer is given before the last one is written.
    while (c.open() && !c.call && !c.last && c.out.empty() && !c.in.empty()) {
        leave(c);
        // Guards against sound calls cut off that are written slowly on a connection that had rested before.
        if (!c.http.started()) s_.loop.set_timer(c, (c.asked ? s_.loop.now() : c.since) + whole_within);
        c.in.drop(c.http.feed(c.in.front()));
        if (c.http.fault()) {
            refuse(c, c.http.fault());
        } else if (c.http.done()) {
            s_.loop.clear_timer(c);
            take(c);
        } else if (c.http.expects_continue() && c.in.empty()) {
            c.http.continue_sent();
            c.out.push("HTTP/1.1 100 Continue\r\n\r\n");
            s_.loop.flush(c);
        }
    }
}

void Clients::take(Client& c) {
    if (stopping_ || !c.http.keeps_alive()) c.last = true;
    if (c.reader.is_health_check()) return say(c, ready_ ? 200 : 503, "");
    c.asked = true;
    // Guards against calls hidden behind others, and against one that takes another's place: a connection
    // carries one call at a time, and an id is one call's until that is over.
    if (!c.in.empty() || s_.calls.open(c.reader.ask().id)) return refuse(c, c.in.empty() ? 409 : 400);
    // At the door, as the simulator does: nothing of it has run, so a retry is harmless.
    if (s_.calls.size() >= s_.max_calls()) {
        s_.counters.add(Count::calls_turned_away_full);
        return say(c, 503, "",
                   wire::retry_after_field(s_.settings().retry_after ? s_.settings().max_retry_after : Span{}));
    }
    auto& call = s_.calls.take(std::move(c.reader.ask()));
    call.client = &c;
    c.call = &call;
    s_.counters.add(Count::calls_taken);
    // Our answer has to be with the client before it gives up, so a little of its patience is kept back.
    const Span patience = call.ask.patience;
    const Span theirs = patience - std::min(s_.settings().answer_margin, patience * 0.1);
    const Span ours = std::min(theirs, answer_by_ - s_.loop.now());
    const auto id = call.id;
    s_.balancer->call_arrived(s_.loop.now(), id, static_cast<uint32_t>(call.ask.product), call.ask.tenant, ours,
                              call.ask.work, call.ask.key, false);
    s_.calls.erase_if_finished(call);
}

void Clients::give(memory::PendingCall& call, int status, std::string_view body, std::string_view fields) {
    auto* c = static_cast<Client*>(call.client);
    if (!c) return;
    call.client = nullptr;
    c->call = nullptr;
    say(*c, status, body, fields);
}

// What is no sound call has its answer at once, and the connection ends with it.
void Clients::refuse(Client& c, int status) {
    s_.counters.add(Count::calls_malformed);
    c.last = true;
    c.why = CloseReason::bad_call;
    say(c, status, "");
}

void Clients::say(Client& c, int status, std::string_view body, std::string_view fields) {
    // Guards against clients that ask once and keep the connection for good: the application holds only so
    // many, and would have none left for its next calls until these are closed as idle.
    const bool crowded = idle_.size() >= s_.max_idle_clients();
    if (stopping_ || crowded || !c.in.empty()) c.last = true;   // the latter: more has come before this answer
    c.out.push(wire::format_response(status, body, !c.last, fields));
    c.http.next();
    c.reader.next();
    s_.loop.set_timer(c, s_.loop.now() + read_within);
    s_.loop.flush(c);
    if (c.out.empty()) rest(c);
}

// Between requests.
void Clients::rest(Client& c) {
    c.since = s_.loop.now();
    c.last = c.last || !c.in.empty();   // more came while the answer was still being written
    if (c.last) {
        // Closing with bytes unread would reset the connection, and the answer might be lost with it.
        s_.system.shutdown_write(c.fd);
        c.lingers = true;
        c.in.drop(c.in.size());
        s_.loop.flush(c);   // the rest of what is dropped has room now
        // One parted with while it rested owes nobody a read; clients that keep what they don't use hold it open.
        s_.loop.set_timer(c, c.since + (stopping_ || c.read_paused ? linger * 0.2 : linger));
    } else {
        s_.loop.set_timer(c, c.since + idle_after);
    }
    leave(c);
    c.among = c.last ? &lingering_ : c.asked ? &idle_ : &silent_;
    c.place = c.among->insert(c.among->end(), &c);
}

// Guards against a close over a call that has just come, which would reset the connection and might take our last
// answer with it: our side ends first. What comes from then on is not even read, so that the client may send it
// again on another connection.
void Clients::part(Client& c, CloseReason why) {
    leave(c);
    c.last = c.read_paused = true;
    c.why = why;
    rest(c);
}

void Clients::leave(Client& c) {
    if (c.among) std::exchange(c.among, nullptr)->erase(c.place);
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

void Clients::on_written(Connection& connection) {
    auto& c = static_cast<Client&>(connection);
    if (c.call || c.lingers) return;
    if (c.http.started() && !c.last) wait(c);
    else rest(c);
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
    if (c.lingers) return end(c, c.why);
    if (c.among && s_.system.is_idle(c.fd)) return part(c, stopping_ ? CloseReason::stopping : CloseReason::idle);
    if (c.among) return s_.loop.set_timer(c, s_.loop.now() + settles);   // what has come is read in a moment
    if (!c.out.empty()) return end(c, CloseReason::unread);
    refuse(c, 408);
    c.why = CloseReason::call_unfinished;
}

void Clients::end(Client& c, CloseReason why) {
    if (!c.open()) return;
    leave(c);
    if (c.waits) std::erase(waiting_, &c);
    c.waits = false;
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

// Those first that have had their last answer, then those that never said anything, then the longest idle.
bool Clients::shed() {
    // Guards against losing calls: one that has come and waits to be read, or is on its way, as on one
    // that was made for it just now.
    for (const auto& [among, least] :
         {std::pair{&lingering_, speaks_within}, {&silent_, speaks_within}, {&idle_, settles}})
        for (auto* c : *among) {
            if (s_.loop.now() - c->since < least) break;
            if (!c->lingers && !s_.system.is_idle(c->fd)) continue;
            s_.counters.add(Count::connections_shed);
            end(*c, CloseReason::shed);
            return true;
        }
    return false;
}

void Clients::last_ones() {
    stopping_ = true;
    accept();
    // One used lately may have a call on its way; that is still answered, and ends the connection.
    auto quiet = idle_;
    quiet.insert(quiet.end(), silent_.begin(), silent_.end());
    for (auto* c : quiet)
        if (s_.loop.now() - c->since < settles) s_.loop.set_timer(*c, c->since + settles);
        else on_timer(*c);
}

void Clients::part_with_all() {
    for (auto* among : {&idle_, &silent_})
        for (auto quiet = *among; auto* c : quiet) part(*c, CloseReason::stopping);
}

}  // namespace myrtleroute::run
