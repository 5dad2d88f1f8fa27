#include "lab/server.hpp"

#include <algorithm>

#include "wire/ask.hpp"
#include "wire/text.hpp"

namespace myrtleroute::lab {

namespace {

constexpr size_t max_queued_jobs = 60;
constexpr Span idle_close{10};

}  // namespace

struct Server::Connection : wire::HttpHandler {
    explicit Connection(Handle s) : socket(std::move(s)), machine(wire::HttpParser::Side::request, *this) {}
    Handle socket;
    wire::HttpParser machine;
    std::string path;
    uint64_t call = 0;
    bool has_call = false, busy = false, malformed_sent = false;
    Time last_used;
    int start(std::string_view, std::string_view where, std::string_view) override {
        path = where;
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
      random_(site.scenario.seed, 0x53455256u + static_cast<uint64_t>(slot)), uid_("s" + std::to_string(slot) + "-0") {}

Server::~Server() = default;

double Server::capacity_share() const {
    if (launched_.s <= 0) return 1;
    return std::min(1.0, start_capacity + (1 - start_capacity) * ((site_.queue.now() - launched_) / warm_after));
}

void Server::list(Entry::State state) {
    listed_ = state != Entry::State::deleted;
    registry_.put(site_.queue.now(), {slot_, uid_, state, launched_});
    site_.record(Event::list_changes, static_cast<uint64_t>(slot_), static_cast<uint64_t>(state));
    list_changed_();
}

void Server::start(bool cold) {
    up_ = true;
    ++incarnation_;
    launched_ = cold ? site_.queue.now() : Time{};
    cold_work_.clear();
    listener_ = site_.net.listen(machine_, *this, address_of(server_ip + 1 + static_cast<uint32_t>(slot_), port));
    if (is_active(FaultKind::no_connections)) listener_->max_backlog = 2;
    list(Entry::State::serving);
}

void Server::fault_begins(const Fault& fault) {
    const auto kind = static_cast<size_t>(fault.kind);
    ++active_[kind];
    strength_[kind] = fault.strength;
    const Time over = site_.queue.now() + fault.duration;
    switch (fault.kind) {
        case FaultKind::no_connections:
            if (listener_) listener_->max_backlog = 2;
            break;
        case FaultKind::dies: case FaultKind::replaced:
            if (up_) {
                crash();
                restart_after(std::min(fault.duration, Span{4}), fault.kind == FaultKind::replaced);
            }
            break;
        case FaultKind::cut: machine_.unreachable_until = std::max(machine_.unreachable_until, over); break;
        case FaultKind::vanishes:
            machine_.unreachable_until = std::max(machine_.unreachable_until, over);
            if (up_) {
                crash(true);
                restart_after(fault.duration, false);
            }
            break;
        case FaultKind::far: machine_.delay = fault.strength * 0.08; break;
        case FaultKind::drains:
            if (up_ && listed_) {
                list(Entry::State::draining);
                const int incarnation = incarnation_;
                site_.queue.in({std::min(fault.duration.s, drain_grace.s + fault.strength * 2)}, [this, incarnation] {
                    if (incarnation != incarnation_ || !up_) return;
                    crash();
                    list(Entry::State::deleted);
                    restart_after({random_.between(0.5, 3)}, random_.bernoulli(0.5));
                });
            }
            break;
        default: break;
    }
}

void Server::fault_ends(const Fault& fault) {
    --active_[static_cast<size_t>(fault.kind)];
    if (fault.kind == FaultKind::far && !is_active(FaultKind::far)) machine_.delay = 0;
    if (fault.kind == FaultKind::no_connections && listener_ && !is_active(fault.kind)) {
        listener_->max_backlog = 128;
        socket_changed(*listener_);
    }
    start_jobs();   // jobs that hung continue
}

// The process ends: the system closes its sockets or, with connections_lost, the machine has lost all their state.
void Server::crash(bool connections_lost) {
    up_ = false;
    ++incarnation_;
    for (auto& job : std::exchange(running_jobs_, {})) drop(job);
    for (auto& job : std::exchange(queued_jobs_, {})) drop(job);
    running_count_ = 0;
    if (listener_) {
        if (connections_lost) site_.net.vanish(*listener_);
        else site_.net.close(*listener_);
        listener_ = nullptr;
    }
    for (auto& [number, connection] : std::exchange(connections_, {})) {
        if (connections_lost) site_.net.vanish(*connection->socket);
        else site_.net.close(*connection->socket);
    }
    site_.record(Event::killed, 100 + static_cast<uint64_t>(slot_));
}

void Server::drop(Job& job) {
    auto* call = site_.oracle.call(job.call);
    if (call->kind().repeat == Idempotency::non_idempotent) site_.oracle.summary.met(Hard::dies_after_last_byte);
    site_.oracle.set_execution(job.call, attempt(job), Execution::unknown);
}

void Server::restart_after(Span after, bool new_uid) {
    const int incarnation = incarnation_;
    site_.queue.in(after, [this, incarnation, new_uid] {
        if (incarnation != incarnation_ || up_) return;
        if (new_uid) {
            if (listed_) list(Entry::State::deleted);
            uid_ = "s" + std::to_string(slot_) + "-" + std::to_string(incarnation_);
        }
        start(true);
    });
}

void Server::socket_changed(Socket& socket) {
    if (socket.state == Socket::State::listening) {
        while (!is_active(FaultKind::no_connections)) {
            auto fresh = site_.net.accept(socket);
            if (!fresh) break;
            fresh->observer = this;
            connections_[fresh->number] = std::make_unique<Connection>(fresh);
            socket_changed(*fresh);
        }
        return;
    }
    const auto it = connections_.find(socket.number);
    if (it == connections_.end()) return;
    auto& connection = *it->second;
    const auto bytes = site_.net.read_all(socket);
    std::string_view left = bytes;
    if (connection.busy || connection.malformed_sent) left = {};
    if (!left.empty() && is_active(FaultKind::resets) && random_.bernoulli(strength(FaultKind::resets) * 0.1))
        return close_connection(socket.number, true);
    while (!left.empty() && !connection.machine.done() && !connection.machine.fault())
        left.remove_prefix(connection.machine.feed(left));
    if (connection.machine.done()) {
        connection.machine.next();
        request_received(connection);
        if (!connections_.count(socket.number)) return;
    }
    if (socket.fin_in || socket.error || connection.machine.fault()) close_connection(socket.number);
}

void Server::request_received(Connection& connection) {
    connection.last_used = site_.queue.now();
    if (!connection.has_call) {
        if (!is_active(FaultKind::hung)) reply(connection, 200, "");
        return;
    }
    const auto number = connection.call;
    auto* call = site_.oracle.call(number);
    auto* s = site_.oracle.attempt(number, *connection.socket);
    if (!call || !s)
        return site_.oracle.report_violation(Rule::sound, {number},
                                             "a server got a request that belongs to no attempt");
    connection.busy = true;
    RandomStream random(site_.scenario.seed, number * 8 + call->attempts.size());
    const Span work{call->kind().work * (0.3 + random.exponential(0.7)) * cost_factor_};
    add_cold_work(number, work);
    if (!up_) return;
    const Job job{number, static_cast<size_t>(s - call->attempts.data()), connection.socket->number, work, s->deadline};
    const bool full =
        queued_jobs_.size() >= max_queued_jobs || is_active(FaultKind::full) || site_.queue.now() < overloaded_until_;
    if (full || (is_active(FaultKind::drains) && random.bernoulli(0.3))) {
        site_.oracle.set_execution(number, *s, Execution::not_executed);
        return reply(connection, 503, "", "X-Not-Processed: 1\r\n");
    }
    if (is_active(FaultKind::failing)) {
        bool ran = random.bernoulli(0.5);
        if (ran) ran = site_.oracle.executed(number, slot_);
        site_.oracle.set_execution(number, *s, ran ? Execution::executed : Execution::unknown);
        // A 503 without X-Not-Processed: the call may have run.
        return reply(connection, random.bernoulli(0.3) ? 503 : 500, "");
    }
    site_.oracle.set_execution(number, *s, Execution::queued);
    queued_jobs_.push_back(job);
    this->start_jobs();
}

// A cold server is overloaded if it gets more work within the window than tip_multiple times its capacity in that time,
// plus a few calls of slack. The rule is broken if proxies that know of its start sent two thirds of that work.
void Server::add_cold_work(uint64_t number, Span work) {
    if (capacity_share() >= 1) return;
    const auto* call = site_.oracle.call(number);
    const Time now = site_.queue.now();
    cold_work_.push_back({now, work.s, site_.oracle.knows_start(call->proxy, slot_, launched_)});
    while (cold_work_.front().at < now - cold_window) cold_work_.pop_front();
    double all = 0, known = 0;
    for (const auto& w : cold_work_) {
        all += w.work;
        known += w.known ? w.work : 0;
    }
    if (all <= tip_multiple * cores() * capacity_share() * cold_window.s + 4 * products[1].work * cost_factor_) return;
    site_.record(Event::tipped, static_cast<uint64_t>(slot_));
    overloaded_until_ = now + Span{3};
    cold_work_.clear();
    if (known >= all * 2 / 3)
        site_.oracle.report_violation(
            Rule::cold_servers, {number},
            "server " + std::to_string(slot_) + " has " + std::to_string(all) + " s of work within the cold window");
}

void Server::start_jobs() {
    while (up_ && !is_active(FaultKind::hung) && running_count_ < cores() && !queued_jobs_.empty()) {
        Job job = queued_jobs_.front();
        queued_jobs_.pop_front();
        // Jobs whose connection is closed are mostly dropped; some run nevertheless.
        if (!connected(job) && random_.bernoulli(0.7)) {
            site_.oracle.set_execution(job.call, attempt(job), Execution::unknown);
            continue;
        }
        if (connected(job) && site_.queue.now() > job.deadline) {
            site_.oracle.set_execution(job.call, attempt(job), Execution::not_executed);
            reply(*connections_[job.socket], 504, "", "X-Not-Processed: 1\r\n");
            continue;
        }
        site_.oracle.set_execution(job.call, attempt(job), Execution::running);
        ++running_count_;
        running_jobs_.push_back(job);
        const double slow = is_active(FaultKind::slow) ? 1 + 11 * strength(FaultKind::slow) : 1;
        if (is_active(FaultKind::resets) && random_.bernoulli(strength(FaultKind::resets) * 0.15)) {
            const auto socket = job.socket;
            site_.queue.in(job.work * 0.5, [this, socket] { close_connection(socket, true); });
        }
        site_.queue.in(job.work * (slow / capacity_share()), [this, job, incarnation = incarnation_] {
            if (incarnation == incarnation_) finish(job);
        });
    }
}

void Server::finish(Job job) {
    --running_count_;
    std::erase_if(running_jobs_, [&](auto& j) { return j.call == job.call && j.socket == job.socket; });
    const bool fresh = site_.oracle.executed(job.call, slot_);
    site_.oracle.set_execution(job.call, attempt(job), Execution::executed);
    if (is_active(FaultKind::dies_after_effect) && random_.bernoulli(0.2)) {
        if (site_.oracle.call(job.call)->kind().repeat == Idempotency::non_idempotent)
            site_.oracle.summary.met(Hard::dies_after_last_byte);
        crash();
        return restart_after({random_.between(0.2, 3)}, false);
    }
    if (connected(job)) send_result(job, !fresh);
    start_jobs();
}

void Server::send_result(const Job& job, bool duplicate) {
    auto& connection = *connections_[job.socket];
    auto& s = attempt(job);
    RandomStream random(site_.scenario.seed, job.call * 8 + 7);
    std::string body = "done " + std::to_string(job.call) + " by " + uid_ + (duplicate ? " before" : "");
    if (random.bernoulli(0.02)) body.append(static_cast<size_t>(random.between(1000, 60000)), '.');
    std::string fields;
    if (is_active(FaultKind::reports) && random.bernoulli(strength(FaultKind::reports)))
        fields = "X-Server-Load: TEXT inflight=, queue=x\r\n";
    else
        fields = "X-Server-Load: TEXT inflight=" + std::to_string(running_count_) +
                 ", queue=" + std::to_string(queued_jobs_.size()) + "\r\n";
    auto text = wire::format_response(200, body, true, fields);
    if (is_active(FaultKind::spoilt) && random.bernoulli(strength(FaultKind::spoilt) * 0.5)) {
        connection.malformed_sent = true;
        switch (random.below(5)) {
            case 0: text = "\x01\x02 this is no answer\r\n\r\n"; break;
            case 1: text = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nContent-Length: 12\r\n\r\n" + body; break;
            case 2: text.resize(text.size() - 3); break;   // the end is never sent
            case 3: text = "HTTP/1.1 200 OK\r\n\r\n" + body; break;
            default: text = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + body; break;
        }
        send(connection, text);
        return;
    }
    if (is_active(FaultKind::resets) && random.bernoulli(strength(FaultKind::resets) * 0.2)) {
        // A truncated answer may have no length: only the reset shows that it is incomplete.
        if (random.bernoulli(0.3)) text = "HTTP/1.1 200 OK\r\n\r\n" + body;
        text.resize(random.bernoulli(0.5) ? 0 : text.size() - body.size() / 2);
        send(connection, text);
        return close_connection(job.socket, true);
    }
    if (is_active(FaultKind::talkative) && random.bernoulli(strength(FaultKind::talkative))) {
        const auto more = random.bernoulli(0.5) ? text : "noise\r\n";
        if (random.bernoulli(0.3)) {
            text = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + text;
        } else if (random.bernoulli(0.3) || site_.net.disturbed_share > 0 || machine_.delay > 0) {
            text += more;
        } else {   // shortly after, but before the connection may be reused
            site_.queue.in({random.between(0.0005, 0.003)},
                           [this, more, socket = job.socket, incarnation = incarnation_] {
                               const auto it = connections_.find(socket);
                               if (incarnation == incarnation_ && it != connections_.end())
                                   site_.net.send(*it->second->socket, more);
                           });
        }
    }
    Time arrives{};
    if (is_active(FaultKind::edge) && random.bernoulli(0.3 + strength(FaultKind::edge) * 0.7) &&
        s.deadline > site_.queue.now())
        arrives = s.deadline + Span{random.between(-0.0003, 0.0012)};
    site_.record(Event::shot_answered, job.call, static_cast<uint64_t>(slot_));
    connection.busy = false;
    site_.oracle.attempt_answered(s);
    send(connection, text, arrives);
    if (connection.socket->peer && on_response) on_response(job.call, connection.socket->peer->last_arrival);
}

void Server::reply(Connection& connection, int status, const std::string& body, const std::string& fields) {
    connection.busy = false;
    if (connection.has_call)
        if (auto* s = site_.oracle.attempt(connection.call, *connection.socket)) site_.oracle.attempt_answered(*s);
    send(connection, wire::format_response(status, body, true, fields));
}

void Server::send(Connection& connection, std::string text, Time arrives) {
    connection.last_used = site_.queue.now();
    site_.net.send(*connection.socket, text, arrives);
    site_.queue.in(idle_close, [this, number = connection.socket->number, incarnation = incarnation_] {
        const auto it = connections_.find(number);
        if (incarnation != incarnation_ || it == connections_.end() || it->second->busy || is_active(FaultKind::hung))
            return;
        if (site_.queue.now() - it->second->last_used >= idle_close * 0.999) close_connection(number);
    });
}

void Server::close_connection(uint64_t socket, bool reset) {
    const auto it = connections_.find(socket);
    if (it == connections_.end()) return;
    const auto connection = std::move(it->second);
    connections_.erase(it);
    if (reset) site_.net.reset(*connection->socket);
    else site_.net.close(*connection->socket);
}

}  // namespace myrtleroute::lab
