#include "lab/server.hpp"

#include <algorithm>

#include "wire/ask.hpp"
#include "wire/text.hpp"

namespace myrtleroute::lab {

namespace {

constexpr size_t most_waiting = 60;
constexpr Span idle_close{10};

}  // namespace

struct Server::Conn : wire::HttpHandler {
    explicit Conn(Handle s) : socket(std::move(s)), machine(wire::HttpParser::Side::request, *this) {}
    Handle socket;
    wire::HttpParser machine;
    std::string target;
    uint64_t call = 0;
    bool has_call = false, busy = false, spoilt = false;
    Time used;
    int start(std::string_view, std::string_view where, std::string_view) override {
        target = where;
        has_call = false;
        return 0;
    }
    int field(std::string_view name, std::string_view value) override {
        if (wire::equals_ignore_case(name, "X-Request-ID"))
            if (const auto n = wire::parse_integer<uint64_t>(value)) {
                call = *n;
                has_call = true;
            }
        return 0;
    }
    void body(std::string_view) override {}
};

Server::Server(Site& site, Registry& registry, int slot, std::function<void()> list_changed)
    : site_(site), registry_(registry), slot_(slot), list_changed_(std::move(list_changed)), machine_{100 + slot},
      chance_(site.scenario.seed, 0x53455256u + static_cast<uint64_t>(slot)), uid_("s" + std::to_string(slot) + "-0") {}

Server::~Server() = default;

double Server::warmth() const {
    if (launched_.s <= 0) return 1;
    return std::min(1.0, start_capacity + (1 - start_capacity) * ((site_.queue.now() - launched_) / warm_after));
}

void Server::list(Entry::State state) {
    listed_ = state != Entry::State::deleted;
    registry_.put(site_.queue.now(), {slot_, uid_, state, launched_});
    site_.note(Event::list_changes, static_cast<uint64_t>(slot_), static_cast<uint64_t>(state));
    list_changed_();
}

void Server::starts(bool cold) {
    up_ = true;
    ++lives_;
    launched_ = cold ? site_.queue.now() : Time{};
    cold_.clear();
    listener_ = site_.net.listen(machine_, *this, address_of(server_ip + 1 + static_cast<uint32_t>(slot_), port));
    if (on(FaultKind::no_connections)) listener_->most_waiting = 2;
    list(Entry::State::serving);
}

void Server::begins(const Fault& fault) {
    const auto kind = static_cast<size_t>(fault.kind);
    ++on_[kind];
    how_[kind] = fault.how;
    const Time over = site_.queue.now() + fault.lasts;
    switch (fault.kind) {
        case FaultKind::no_connections:
            if (listener_) listener_->most_waiting = 2;
            break;
        case FaultKind::dies: case FaultKind::replaced:
            if (up_) {
                dies();
                comes_back(std::min(fault.lasts, Span{4}), fault.kind == FaultKind::replaced);
            }
            break;
        case FaultKind::cut: machine_.unreachable_until = std::max(machine_.unreachable_until, over); break;
        case FaultKind::vanishes:
            machine_.unreachable_until = std::max(machine_.unreachable_until, over);
            if (up_) {
                dies(true);
                comes_back(fault.lasts, false);
            }
            break;
        case FaultKind::far: machine_.delay = fault.how * 0.08; break;
        case FaultKind::drains:
            if (up_ && listed_) {
                list(Entry::State::draining);
                const int life = lives_;
                site_.queue.in({std::min(fault.lasts.s, drain_grace.s + fault.how * 2)}, [this, life] {
                    if (life != lives_ || !up_) return;
                    dies();
                    list(Entry::State::deleted);
                    comes_back({chance_.between(0.5, 3)}, chance_.bernoulli(0.5));
                });
            }
            break;
        default: break;
    }
}

void Server::ends(const Fault& fault) {
    --on_[static_cast<size_t>(fault.kind)];
    if (fault.kind == FaultKind::far && !on(FaultKind::far)) machine_.delay = 0;
    if (fault.kind == FaultKind::no_connections && listener_ && !on(fault.kind)) {
        listener_->most_waiting = 128;
        socket_changed(*listener_);
    }
    work();   // what hung goes on
}

// The process is gone: the system closes for it, or the machine has forgotten all about it.
void Server::dies(bool vanished) {
    up_ = false;
    ++lives_;
    for (auto& job : std::exchange(on_cores_, {})) drops(job);
    for (auto& job : std::exchange(waiting_, {})) drops(job);
    running_ = 0;
    if (listener_) {
        if (vanished) site_.net.vanish(*listener_);
        else site_.net.close(*listener_);
        listener_ = nullptr;
    }
    for (auto& [number, conn] : std::exchange(conns_, {})) {
        if (vanished) site_.net.vanish(*conn->socket);
        else site_.net.close(*conn->socket);
    }
    site_.note(Event::killed, 100 + static_cast<uint64_t>(slot_));
}

void Server::drops(Job& job) {
    auto* call = site_.oracle.call(job.call);
    if (call->kind().repeat == Idempotency::non_idempotent) site_.oracle.summary.met(Hard::dies_after_last_byte);
    site_.oracle.fate(job.call, shot(job), Fate::unproved);
}

void Server::comes_back(Span after, bool fresh_uid) {
    const int life = lives_;
    site_.queue.in(after, [this, life, fresh_uid] {
        if (life != lives_ || up_) return;
        if (fresh_uid) {
            if (listed_) list(Entry::State::deleted);
            uid_ = "s" + std::to_string(slot_) + "-" + std::to_string(lives_);
        }
        starts(true);
    });
}

void Server::socket_changed(Socket& socket) {
    if (socket.state == Socket::State::listening) {
        while (!on(FaultKind::no_connections)) {
            auto fresh = site_.net.accept(socket);
            if (!fresh) break;
            fresh->observer = this;
            conns_[fresh->number] = std::make_unique<Conn>(fresh);
            socket_changed(*fresh);
        }
        return;
    }
    const auto it = conns_.find(socket.number);
    if (it == conns_.end()) return;
    auto& conn = *it->second;
    const auto bytes = site_.net.read_all(socket);
    std::string_view left = bytes;
    if (conn.busy || conn.spoilt) left = {};
    if (!left.empty() && on(FaultKind::resets) && chance_.bernoulli(how(FaultKind::resets) * 0.1)) return end(socket.number, true);
    while (!left.empty() && !conn.machine.done() && !conn.machine.fault()) left.remove_prefix(conn.machine.feed(left));
    if (conn.machine.done()) {
        conn.machine.next();
        asked(conn);
        if (!conns_.count(socket.number)) return;
    }
    if (socket.fin_in || socket.error || conn.machine.fault()) end(socket.number);
}

void Server::asked(Conn& conn) {
    conn.used = site_.queue.now();
    if (!conn.has_call) {
        if (!on(FaultKind::hung)) reply(conn, 200, "");
        return;
    }
    const auto number = conn.call;
    auto* call = site_.oracle.call(number);
    auto* s = site_.oracle.shot(number, *conn.socket);
    if (!call || !s) return site_.oracle.breaks(Rule::sound, {number}, "a server is asked for what nobody shot");
    conn.busy = true;
    RandomStream draw(site_.scenario.seed, number * 8 + call->shots.size());
    const Span work{call->kind().work * (0.3 + draw.exponential(0.7)) * costly_};
    weigh(number, work);
    if (!up_) return;
    const Job job{number, static_cast<size_t>(s - call->shots.data()), conn.socket->number, work, s->give_up};
    const bool full = waiting_.size() >= most_waiting || on(FaultKind::full) || site_.queue.now() < tipped_until_;
    if (full || (on(FaultKind::drains) && draw.bernoulli(0.3))) {
        site_.oracle.fate(number, *s, Fate::never);
        return reply(conn, 503, "", "X-Not-Processed: 1\r\n");
    }
    if (on(FaultKind::failing)) {
        bool ran = draw.bernoulli(0.5);
        if (ran) ran = site_.oracle.executed(number, slot_);
        site_.oracle.fate(number, *s, ran ? Fate::executed : Fate::unproved);
        return reply(conn, draw.bernoulli(0.3) ? 503 : 500, "");   // a 503 that does not say it has not run
    }
    site_.oracle.fate(number, *s, Fate::waits);
    waiting_.push_back(job);
    this->work();
}

// A cold server is pushed over by more work than a multiple of what it can do in the window, from its start
// on; that breaks the rule if proxies that know of its start sent two thirds of it. Slack: a few calls.
void Server::weigh(uint64_t number, Span work) {
    if (warmth() >= 1) return;
    const auto* call = site_.oracle.call(number);
    const Time now = site_.queue.now();
    cold_.push_back({now, work.s, site_.oracle.knows_start(call->proxy, slot_, launched_)});
    while (cold_.front().at < now - cold_window) cold_.pop_front();
    double all = 0, known = 0;
    for (const auto& w : cold_) {
        all += w.work;
        known += w.known ? w.work : 0;
    }
    if (all <= tip_multiple * cores() * warmth() * cold_window.s + 4 * products[1].work * costly_) return;
    site_.note(Event::tipped, static_cast<uint64_t>(slot_));
    tipped_until_ = now + Span{3};
    cold_.clear();
    if (known >= all * 2 / 3)
        site_.oracle.breaks(Rule::cold_servers, {number}, "server " + std::to_string(slot_) + " has " + std::to_string(all) +
                                                              " s of work within its window");
}

void Server::work() {
    while (up_ && !on(FaultKind::hung) && running_ < cores() && !waiting_.empty()) {
        Job job = waiting_.front();
        waiting_.pop_front();
        // Where nobody waits any more, some run all the same.
        if (!connected(job) && chance_.bernoulli(0.7)) {
            site_.oracle.fate(job.call, shot(job), Fate::unproved);
            continue;
        }
        if (connected(job) && site_.queue.now() > job.give_up) {
            site_.oracle.fate(job.call, shot(job), Fate::never);
            reply(*conns_[job.socket], 504, "", "X-Not-Processed: 1\r\n");
            continue;
        }
        site_.oracle.fate(job.call, shot(job), Fate::runs);
        ++running_;
        on_cores_.push_back(job);
        const double slow = on(FaultKind::slow) ? 1 + 11 * how(FaultKind::slow) : 1;
        if (on(FaultKind::resets) && chance_.bernoulli(how(FaultKind::resets) * 0.15)) {
            const auto socket = job.socket;
            site_.queue.in(job.work * 0.5, [this, socket] { end(socket, true); });
        }
        site_.queue.in(job.work * (slow / warmth()), [this, job, life = lives_] {
            if (life == lives_) finish(job);
        });
    }
}

void Server::finish(Job job) {
    --running_;
    std::erase_if(on_cores_, [&](auto& j) { return j.call == job.call && j.socket == job.socket; });
    const bool fresh = site_.oracle.executed(job.call, slot_);
    site_.oracle.fate(job.call, shot(job), Fate::executed);
    if (on(FaultKind::dies_after_effect) && chance_.bernoulli(0.2)) {
        if (site_.oracle.call(job.call)->kind().repeat == Idempotency::non_idempotent)
            site_.oracle.summary.met(Hard::dies_after_last_byte);
        dies();
        return comes_back({chance_.between(0.2, 3)}, false);
    }
    if (connected(job)) answer(job, !fresh);
    work();
}

void Server::answer(const Job& job, bool duplicate) {
    auto& conn = *conns_[job.socket];
    auto& s = shot(job);
    RandomStream draw(site_.scenario.seed, job.call * 8 + 7);
    std::string body = "done " + std::to_string(job.call) + " by " + uid_ + (duplicate ? " before" : "");
    if (draw.bernoulli(0.02)) body.append(static_cast<size_t>(draw.between(1000, 60000)), '.');
    std::string fields;
    if (on(FaultKind::reports) && draw.bernoulli(how(FaultKind::reports))) fields = "X-Server-Load: TEXT inflight=, queue=x\r\n";
    else fields = "X-Server-Load: TEXT inflight=" + std::to_string(running_) + ", queue=" + std::to_string(waiting_.size()) + "\r\n";
    auto text = wire::format_response(200, body, true, fields);
    if (on(FaultKind::spoilt) && draw.bernoulli(how(FaultKind::spoilt) * 0.5)) {
        conn.spoilt = true;
        switch (draw.below(5)) {
            case 0: text = "\x01\x02 this is no answer\r\n\r\n"; break;
            case 1: text = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nContent-Length: 12\r\n\r\n" + body; break;
            case 2: text.resize(text.size() - 3); break;    // and nothing more
            case 3: text = "HTTP/1.1 200 OK\r\n\r\n" + body; break;
            default: text = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + body; break;
        }
        say(conn, text);
        return;
    }
    if (on(FaultKind::resets) && draw.bernoulli(how(FaultKind::resets) * 0.2)) {
        // Half an answer may have no length: where its connection is reset, nothing tells that it is not whole.
        if (draw.bernoulli(0.3)) text = "HTTP/1.1 200 OK\r\n\r\n" + body;
        text.resize(draw.bernoulli(0.5) ? 0 : text.size() - body.size() / 2);
        say(conn, text);
        return end(job.socket, true);
    }
    if (on(FaultKind::talkative) && draw.bernoulli(how(FaultKind::talkative))) {
        const auto more = draw.bernoulli(0.5) ? text : "noise\r\n";
        if (draw.bernoulli(0.3)) {
            text = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + text;
        } else if (draw.bernoulli(0.3) || site_.net.rough > 0 || machine_.delay > 0) {
            text += more;
        } else {   // a moment later, but sooner than a connection may be used again
            site_.queue.in({draw.between(0.0005, 0.003)}, [this, more, socket = job.socket, life = lives_] {
                const auto it = conns_.find(socket);
                if (life == lives_ && it != conns_.end()) site_.net.send(*it->second->socket, more);
            });
        }
    }
    Time comes{};
    if (on(FaultKind::edge) && draw.bernoulli(0.3 + how(FaultKind::edge) * 0.7) && s.give_up > site_.queue.now())
        comes = s.give_up + Span{draw.between(-0.0003, 0.0012)};
    site_.note(Event::shot_answered, job.call, static_cast<uint64_t>(slot_));
    conn.busy = false;
    site_.oracle.done(s);
    say(conn, text, comes);
    if (conn.socket->other && on_answer) on_answer(job.call, conn.socket->other->last);
}

void Server::reply(Conn& conn, int status, const std::string& body, const std::string& fields) {
    conn.busy = false;
    if (conn.has_call)
        if (auto* s = site_.oracle.shot(conn.call, *conn.socket)) site_.oracle.done(*s);
    say(conn, wire::format_response(status, body, true, fields));
}

void Server::say(Conn& conn, std::string text, Time comes) {
    conn.used = site_.queue.now();
    site_.net.send(*conn.socket, text, comes);
    site_.queue.in(idle_close, [this, number = conn.socket->number, life = lives_] {
        const auto it = conns_.find(number);
        if (life != lives_ || it == conns_.end() || it->second->busy || on(FaultKind::hung)) return;
        if (site_.queue.now() - it->second->used >= idle_close * 0.999) end(number);
    });
}

void Server::end(uint64_t socket, bool reset) {
    const auto it = conns_.find(socket);
    if (it == conns_.end()) return;
    const auto conn = std::move(it->second);
    conns_.erase(it);
    if (reset) site_.net.reset(*conn->socket);
    else site_.net.close(*conn->socket);
}

}  // namespace myrtleroute::lab
