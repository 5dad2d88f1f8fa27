#include "run/clients.hpp"

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
constexpr int accepts_a_round = 32;
// Whoever connects is owed an answer or a close within 3 s. From connecting or from the last answer on:
constexpr Span idle_after{2};     // with no call begun, it is closed
constexpr Span whole_within{2.8}; // a call begun is whole, however its bytes trickle; of later ones, from their begin on
constexpr Span read_within{5};    // an answer is read, once written
constexpr Span linger{1};         // for the other end to close after our last answer
constexpr size_t most_dropped = 4 * wire::most_body;   // of what it still sends; the rest is not even read
// Idle for less, a connection may have a call on its way: one used before, and one that was made for a call.
constexpr Span settles{0.5}, speaks_within{0.1};

}  // namespace

struct Clients::Listener : Connection {
    Listener(Owner& by, int fd) : Connection(by, fd, 1, 1) { listens = true; }
    std::string name() const override { return "listener"; }
};

struct Clients::Client : Connection {
    Client(Owner& by, int fd, const Settings& settings)
        : Connection(by, fd, most_in, most_out), reader(settings),
          http(wire::HttpMachine::Side::ask, reader) {
        hears_leaving = true;   // its call is for nobody then
    }
    std::string name() const override { return "client"; }
    wire::AskReader reader;
    wire::HttpMachine http;
    memory::Held* call = nullptr;
    bool last = false;           // to be ended once all is written
    bool lingers = false;        // all is written and our side is closed
    bool waits = false;          // in waiting_
    bool asked = false;          // a whole call has come on it
    size_t dropped = 0;
    Why why = Why::told_to_close;
    Time since;                  // it came, or had its last answer
    std::list<Client*>* among = nullptr;   // those that rest like it
    std::list<Client*>::iterator place;
};

bool Clients::open() {
    const int fd = s_.home.listen_at(s_.config.listen);
    if (fd < 0) return false;
    listener_ = &s_.loop.adopt(std::make_unique<Listener>(*this, fd));
    return true;
}

// With no descriptor left, idle connections go first; without any, new ones wait in the system's queue. Guards, when
// it stops, against closing the listener over connections that wait in that queue: their calls would be lost.
void Clients::accept() {
    for (int n = 0; n < accepts_a_round || stopping_; ++n) {
        bool room = s_.loop.connections() < s_.most_connections();
        if (open_ >= s_.most_clients()) room = shed();
        else if (!room) room = make_room_();
        if (room) {
            const int fd = s_.home.accept(listener_->fd);
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
        } else if (stopping_) {
            s_.loop.end(*std::exchange(listener_, nullptr), Why::stopping);
        }
        return;
    }
}

void Clients::came(Connection& connection) {
    if (connection.listens) return accept();
    auto& c = static_cast<Client&>(connection);
    // A client that has closed is gone, whatever it sent before.
    if (c.ended || c.error) return end(c, c.lingers ? c.why : c.ended ? Why::peer_closed : Why::peer_reset);
    if (!c.lingers) return read(c);
    c.dropped += c.in.size();
    c.in.drop(c.in.size());
    c.deaf = c.dropped > most_dropped;
}

void Clients::read(Client& c) {
    // One call at a time, and no answer is given before the last one is written.
    while (c.open() && !c.call && !c.last && c.out.empty() && !c.in.empty()) {
        leave(c);
        // Guards against sound calls cut off that are written slowly on a connection that had rested before.
        if (!c.http.begun()) s_.loop.set(c, (c.asked ? s_.loop.now() : c.since) + whole_within);
        c.in.drop(c.http.feed(c.in.front()));
        if (c.http.fault()) {
            refuse(c, c.http.fault());
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
    c.asked = true;
    // Guards against calls hidden behind others, and against one that takes another's place: a connection
    // carries one call at a time, and an id is one call's until that is over.
    if (!c.in.empty() || s_.calls.open(c.reader.ask().id)) return refuse(c, c.in.empty() ? 409 : 400);
    // At the door, as the simulator does: nothing of it has run, so a retry is harmless.
    if (s_.calls.size() >= s_.most_calls()) {
        s_.counters.add(Count::calls_turned_away_full);
        return say(c, 503, "", wire::come_back(s_.settings().retry_after ? s_.settings().max_retry_after : Span{}));
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
    s_.calls.forget_if_over(call);
}

void Clients::give(memory::Held& call, int status, std::string_view body, std::string_view fields) {
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
    c.why = Why::bad_call;
    say(c, status, "");
}

void Clients::say(Client& c, int status, std::string_view body, std::string_view fields) {
    // Guards against clients that ask once and keep the connection for good: the application holds only so
    // many, and would have none left for its next calls until these are closed as idle.
    const bool crowded = idle_.size() >= s_.most_idle_clients();
    if (stopping_ || crowded || !c.in.empty()) c.last = true;   // the latter: more has come before this answer
    c.out.push(wire::answer(status, body, !c.last, fields));
    c.http.next();
    c.reader.next();
    s_.loop.set(c, s_.loop.now() + read_within);
    s_.loop.flush(c);
    if (c.out.empty()) rest(c);
}

// Between requests.
void Clients::rest(Client& c) {
    c.since = s_.loop.now();
    c.last = c.last || !c.in.empty();   // more came while the answer was still being written
    if (c.last) {
        // Closing with bytes unread would reset the connection, and the answer might be lost with it.
        s_.home.end_sending(c.fd);
        c.lingers = true;
        c.in.drop(c.in.size());
        s_.loop.flush(c);   // the rest of what is dropped has room now
        // One parted with while it rested owes nobody a read; clients that keep what they don't use hold it open.
        s_.loop.set(c, c.since + (stopping_ || c.deaf ? linger * 0.2 : linger));
    } else {
        s_.loop.set(c, c.since + idle_after);
    }
    leave(c);
    c.among = c.last ? &lingering_ : c.asked ? &idle_ : &silent_;
    c.place = c.among->insert(c.among->end(), &c);
}

// Guards against a close over a call that has just come, which would reset the connection and might take our last
// answer with it: our side ends first. What comes from then on is not even read, so that the client may send it
// again on another connection.
void Clients::part(Client& c, Why why) {
    leave(c);
    c.last = c.deaf = true;
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
    if (c.lingers) return end(c, c.why);
    if (c.among && s_.home.still_quiet(c.fd)) return part(c, stopping_ ? Why::stopping : Why::idle);
    if (c.among) return s_.loop.set(c, s_.loop.now() + settles);   // what has come is read in a moment
    if (!c.out.empty()) return end(c, Why::unread);
    refuse(c, 408);
    c.why = Why::call_unfinished;
}

void Clients::end(Client& c, Why why) {
    if (!c.open()) return;
    leave(c);
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

// Those first that have had their last answer, then those that never said anything, then the longest idle.
bool Clients::shed() {
    // Guards against losing calls: one that has come and waits to be read, or is on its way, as on one
    // that was made for it just now.
    for (const auto& [among, least] :
         {std::pair{&lingering_, speaks_within}, {&silent_, speaks_within}, {&idle_, settles}})
        for (auto* c : *among) {
            if (s_.loop.now() - c->since < least) break;
            if (!c->lingers && !s_.home.still_quiet(c->fd)) continue;
            s_.counters.add(Count::connections_shed);
            end(*c, Why::shed);
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
        if (s_.loop.now() - c->since < settles) s_.loop.set(*c, c->since + settles);
        else due(*c);
}

void Clients::part_with_all() {
    for (auto* among : {&idle_, &silent_})
        for (auto quiet = *among; auto* c : quiet) part(*c, Why::stopping);
}

}  // namespace myrtleroute::run
