#include "lab/control/machine.hpp"

#include <algorithm>

namespace myrtleroute::lab::control {

using myrtleroute::control::HttpRequest;
using myrtleroute::control::HttpResponse;
using myrtleroute::control::SendToConnection;
using myrtleroute::control::SendToPeer;
using myrtleroute::control::Write;

namespace {

constexpr Span tick_interval{0.1}, redial_interval{0.1}, shutdown_poll_interval{0.4}, shutdown_timeout{2.5};
constexpr Span write_duration{0.004}, write_retry_delay{0.1};

}   // namespace

Machine::Machine(Queue& queue, Network& network, ProcessId process, configuration::NodeSettings settings, uint64_t seed,
                 Environment environment)
    : queue_(queue),
      network_(network),
      process_(process),
      settings_(std::move(settings)),
      random_(seed, 0x4d414348u + process),
      environment_(std::move(environment)) {}

void Machine::start() {
    if (removed || node_) return;
    if (incarnation_++ > 0) settings_.bootstrap = false;
    stopping_ = writing_ = false;
    writes_ = {};
    ring_ = disk_.open();
    const auto found = ring_->recover();
    node_ = std::make_unique<myrtleroute::control::Node>(
        myrtleroute::control::node_options(settings_, random_.number()),
        myrtleroute::control::stored_state(found, settings_, random_.number() >> 1 | 1), queue_.now());
    resumed_at = queue_.now();
    network_.process_started(process_);
    tick(incarnation_);
}

void Machine::terminate(Termination how) {
    if (!node_) return;
    stopping_ = false;
    node_.reset();
    ring_.reset();
    deferred_.clear();
    outgoing_.clear();
    frozen_until_ = long_ago;
    if (how == Termination::power_lost)
        disk_.lose_power(random_);
    else
        disk_.interrupt(random_);
    for (const auto& [number, pending] : std::exchange(pending_requests_, {}))
        queue_.in(network_.latency(), [reply = pending.reply] { reply({}); });
    network_.process_ended(process_, how == Termination::power_lost);
}

myrtleroute::control::StoredState Machine::durable_state() const {
    return myrtleroute::control::stored_state(disk_.recover_durable(), settings_, 1);
}

// Freezing: while frozen, the process runs nothing and everything that arrives is deferred.

void Machine::run_or_defer(std::function<void()> action) {
    if (is_frozen()) return deferred_.push_back(std::move(action));
    action();
}

void Machine::freeze(Time until) {
    if (!node_) return;
    frozen_until_ = std::max(frozen_until_, until);
    queue_.at(frozen_until_, [this, incarnation = incarnation_] { thaw(incarnation); });
}

void Machine::thaw(uint64_t incarnation) {
    if (incarnation != incarnation_ || !node_ || is_frozen()) return;
    resumed_at = queue_.now();
    // What arrived meanwhile is in the socket buffers and is read first.
    for (auto deferred = std::exchange(deferred_, {}); !deferred.empty() && node_ && incarnation == incarnation_;
         deferred.pop_front())
        deferred.front()();
}

void Machine::tick(uint64_t incarnation) {
    if (incarnation != incarnation_ || !node_) return;
    if (is_frozen()) return deferred_.push_back([this, incarnation] { tick(incarnation); });
    node_->tick(queue_.now());
    execute_outputs();
    dial_peers();
    queue_.in(tick_interval, [this, incarnation] { tick(incarnation); });
}

void Machine::stop(std::function<void()> on_stopped) {
    if (!node_ || stopping_) return;
    stopping_ = true;
    on_stopped_ = std::move(on_stopped);
    shut_down(incarnation_, queue_.now() + shutdown_timeout);
}

void Machine::shut_down(uint64_t incarnation, Time until) {
    if (incarnation != incarnation_ || !node_) return;
    if (is_frozen()) return deferred_.push_back([this, incarnation, until] { shut_down(incarnation, until); });
    node_->start_shutdown(queue_.now());
    execute_outputs();
    queue_.in(shutdown_poll_interval, [this, incarnation, until] {
        if (incarnation != incarnation_ || !node_) return;
        if (!node_->may_shut_down() && queue_.now() < until) return shut_down(incarnation, until);
        terminate(Termination::killed);
        on_stopped_();
    });
}

// Connections.

void Machine::dial_peers() {
    for (const auto& peer : node_->peers()) {
        auto& outgoing = outgoing_[peer];
        const auto process = environment_.process_at(peer);
        if (outgoing.connection || queue_.now() < outgoing.next_attempt || !process) continue;
        outgoing.next_attempt = queue_.now() + redial_interval;
        outgoing.connection = network_.dial(process_, *process);
    }
}

void Machine::opened(ConnectionId connection) {
    run_or_defer([this, connection] {
        for (auto& [peer, outgoing] : outgoing_) {
            if (outgoing.connection != connection) continue;
            outgoing.established = true;
            node_->connected(peer, queue_.now());
            return execute_outputs();
        }
    });
}

void Machine::received(ConnectionId connection, const messages::Message& message) {
    run_or_defer([this, connection, message] {
        node_->received(connection, message, queue_.now());
        execute_outputs();
    });
}

void Machine::closed(ConnectionId connection) {
    run_or_defer([this, connection] {
        for (auto& [peer, outgoing] : outgoing_)
            if (outgoing.connection == connection) {
                outgoing.connection = 0;
                outgoing.established = false;
                return;
            }
        node_->connection_closed(connection, queue_.now());
        execute_outputs();
    });
}

void Machine::request(HttpRequest request, Reply on_answered, Reply reply) {
    run_or_defer([this, request = std::move(request),
                  pending = PendingRequest{std::move(on_answered), std::move(reply)}]() mutable {
        request.number = next_request_++;
        pending_requests_[request.number] = std::move(pending);
        node_->request(request, queue_.now());
        execute_outputs();
    });
}

// The node's outputs.

void Machine::execute_outputs() {
    if (!node_) return;
    for (auto& output : node_->take_outputs()) {
        if (auto* peer = std::get_if<SendToPeer>(&output)) {
            const auto outgoing = outgoing_.find(peer->peer);
            if (outgoing != outgoing_.end() && outgoing->second.established)
                network_.send(outgoing->second.connection, process_, std::move(peer->message));
        } else if (auto* connection = std::get_if<SendToConnection>(&output)) {
            network_.send(connection->connection, process_, std::move(connection->message));
        } else if (const auto* response = std::get_if<HttpResponse>(&output)) {
            answer(*response);
        } else {
            write(std::get<Write>(std::move(output)));
        }
    }
    environment_.after_step(*this);
}

void Machine::answer(const HttpResponse& answer) {
    auto pending = pending_requests_.extract(answer.request);
    if (pending.empty()) return;
    pending.mapped().on_answered(answer);
    queue_.in(network_.latency(), [reply = std::move(pending.mapped().reply), answer] { reply(answer); });
}

void Machine::delay_disk_until(Time until, double factor) {
    disk_delayed_until_ = std::max(disk_delayed_until_, until);
    write_time_factor_ = factor;
}

void Machine::end_disk_delay() { disk_delayed_until_ = long_ago; }

void Machine::thaw_now() {
    if (!node_ || !is_frozen()) return;
    frozen_until_ = queue_.now();
    thaw(incarnation_);
}

void Machine::write(Write write) {
    writes_.add(std::move(write));
    if (!writing_) write_next();
}

void Machine::write_next() {
    if (writes_.empty()) return;
    writing_ = true;
    auto next = writes_.take();
    const bool written = myrtleroute::control::write_to(*ring_, next);
    Time done = queue_.now() + write_duration * (1 + random_.uniform());
    // A factor of 0: no write completes before that time.
    if (queue_.now() < disk_delayed_until_)
        done = write_time_factor_ > 0 ? queue_.now() + write_duration * write_time_factor_ : disk_delayed_until_;
    queue_.at(done, [this, incarnation = incarnation_, written, write = std::move(next.write)]() mutable {
        if (incarnation != incarnation_ || !node_) return;
        disk_.complete();
        if (!written) {
            writes_.retry(std::move(write));
            return queue_.in(write_retry_delay, [this, incarnation] {
                if (incarnation == incarnation_ && node_) write_next();
            });
        }
        writing_ = false;
        run_or_defer([this, number = write.number] {
            node_->persisted(number, queue_.now());
            execute_outputs();
        });
        if (!writing_) write_next();
    });
}

}   // namespace myrtleroute::lab::control
