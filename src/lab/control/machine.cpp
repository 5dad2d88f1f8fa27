#include "lab/control/machine.hpp"

#include <algorithm>

namespace myrtleroute::lab::control {

using myrtleroute::control::HttpRequest;
using myrtleroute::control::HttpResponse;
using myrtleroute::control::SendToConnection;
using myrtleroute::control::SendToPeer;
using myrtleroute::control::Write;

namespace {

constexpr Span tick_every{0.1}, redial_after{0.1}, leave_after{0.4}, leave_within{2.5};
constexpr Span write_takes{0.004}, write_again{0.1};

}   // namespace

Machine::Machine(Queue& queue, Network& network, ProcessId process, configuration::NodeSettings settings, uint64_t seed,
                 Surroundings surroundings)
    : queue_(queue),
      network_(network),
      process_(process),
      settings_(std::move(settings)),
      chance_(seed, 0x4d414348u + process),
      surroundings_(std::move(surroundings)) {}

void Machine::start() {
    if (gone || node_) return;
    if (life_++ > 0) settings_.bootstrap = false;
    stopping_ = writing_ = false;
    writes_ = {};
    ring_ = disk_.open();
    const auto found = ring_->recover();
    node_ = std::make_unique<myrtleroute::control::Node>(
        myrtleroute::control::node_options(settings_, chance_.number()),
        myrtleroute::control::stored_state(found, settings_, chance_.number() >> 1 | 1), queue_.now());
    back_at = queue_.now();
    network_.started(process_);
    tick(life_);
}

void Machine::end(End how) {
    if (!node_) return;
    stopping_ = false;
    node_.reset();
    ring_.reset();
    held_back_.clear();
    dialled_.clear();
    frozen_until_ = long_ago;
    if (how == End::without_power)
        disk_.lose_power(chance_);
    else
        disk_.interrupt(chance_);
    for (const auto& [number, caller] : std::exchange(callers_, {}))
        queue_.in(network_.latency(), [reply = caller.reply] { reply({}); });
    network_.ended(process_, how == End::without_power);
}

myrtleroute::control::StoredState Machine::safe_state() const {
    return myrtleroute::control::stored_state(disk_.safe(), settings_, 1);
}

// Standing still.

void Machine::do_or_wait(std::function<void()> what) {
    if (stands_still()) return held_back_.push_back(std::move(what));
    what();
}

void Machine::freeze(Time until) {
    if (!node_) return;
    frozen_until_ = std::max(frozen_until_, until);
    queue_.at(frozen_until_, [this, life = life_] { thaw(life); });
}

void Machine::thaw(uint64_t life) {
    if (life != life_ || !node_ || stands_still()) return;
    back_at = queue_.now();
    // What has come meanwhile lies in the sockets and is read first.
    for (auto held = std::exchange(held_back_, {}); !held.empty() && node_ && life == life_; held.pop_front())
        held.front()();
}

void Machine::tick(uint64_t life) {
    if (life != life_ || !node_) return;
    if (stands_still()) return held_back_.push_back([this, life] { tick(life); });
    node_->tick(queue_.now());
    carry_out();
    keep_connected();
    queue_.in(tick_every, [this, life] { tick(life); });
}

void Machine::stop(std::function<void()> ended) {
    if (!node_ || stopping_) return;
    stopping_ = true;
    stopped_ = std::move(ended);
    leave(life_, queue_.now() + leave_within);
}

void Machine::leave(uint64_t life, Time until) {
    if (life != life_ || !node_) return;
    if (stands_still()) return held_back_.push_back([this, life, until] { leave(life, until); });
    node_->start_shutdown(queue_.now());
    carry_out();
    queue_.in(leave_after, [this, life, until] {
        if (life != life_ || !node_) return;
        if (!node_->may_shut_down() && queue_.now() < until) return leave(life, until);
        end(End::killed);
        stopped_();
    });
}

// Connections.

void Machine::keep_connected() {
    for (const auto& peer : node_->peers()) {
        auto& dialled = dialled_[peer];
        const auto process = surroundings_.process_at(peer);
        if (dialled.connection || queue_.now() < dialled.next_try || !process) continue;
        dialled.next_try = queue_.now() + redial_after;
        dialled.connection = network_.dial(process_, *process);
    }
}

void Machine::opened(ConnectionId connection) {
    do_or_wait([this, connection] {
        for (auto& [peer, dialled] : dialled_) {
            if (dialled.connection != connection) continue;
            dialled.up = true;
            node_->connected(peer, queue_.now());
            return carry_out();
        }
    });
}

void Machine::came(ConnectionId connection, const messages::Message& message) {
    do_or_wait([this, connection, message] {
        node_->received(connection, message, queue_.now());
        carry_out();
    });
}

void Machine::closed(ConnectionId connection) {
    do_or_wait([this, connection] {
        for (auto& [peer, dialled] : dialled_)
            if (dialled.connection == connection) {
                dialled.connection = 0;
                dialled.up = false;
                return;
            }
        node_->connection_closed(connection, queue_.now());
        carry_out();
    });
}

void Machine::request(HttpRequest request, Reply given, Reply reply) {
    do_or_wait([this, request = std::move(request), caller = Caller{std::move(given), std::move(reply)}]() mutable {
        request.number = next_request_++;
        callers_[request.number] = std::move(caller);
        node_->request(request, queue_.now());
        carry_out();
    });
}

// What the node asks for.

void Machine::carry_out() {
    if (!node_) return;
    for (auto& output : node_->take_outputs()) {
        if (auto* peer = std::get_if<SendToPeer>(&output)) {
            const auto dialled = dialled_.find(peer->peer);
            if (dialled != dialled_.end() && dialled->second.up)
                network_.send(dialled->second.connection, process_, std::move(peer->message));
        } else if (auto* connection = std::get_if<SendToConnection>(&output)) {
            network_.send(connection->connection, process_, std::move(connection->message));
        } else if (const auto* told = std::get_if<HttpResponse>(&output)) {
            answer(*told);
        } else {
            write(std::get<Write>(std::move(output)));
        }
    }
    surroundings_.acted(*this);
}

void Machine::answer(const HttpResponse& answer) {
    auto caller = callers_.extract(answer.request);
    if (caller.empty()) return;
    caller.mapped().given(answer);
    queue_.in(network_.latency(), [reply = std::move(caller.mapped().reply), answer] { reply(answer); });
}

void Machine::disk_busy_until(Time until, double factor) {
    disk_busy_until_ = std::max(disk_busy_until_, until);
    disk_factor_ = factor;
}

void Machine::disk_is_well() { disk_busy_until_ = long_ago; }

void Machine::thaw_now() {
    if (!node_ || !stands_still()) return;
    frozen_until_ = queue_.now();
    thaw(life_);
}

void Machine::write(Write write) {
    writes_.add(std::move(write));
    if (!writing_) write_next();
}

void Machine::write_next() {
    if (writes_.empty()) return;
    writing_ = true;
    auto next = writes_.take();
    const bool made = myrtleroute::control::write_to(*ring_, next);
    Time done = queue_.now() + write_takes * (1 + chance_.uniform());
    // A factor of 0 is a disk that ends nothing until then.
    if (queue_.now() < disk_busy_until_)
        done = disk_factor_ > 0 ? queue_.now() + write_takes * disk_factor_ : disk_busy_until_;
    queue_.at(done, [this, life = life_, made, write = std::move(next.write)]() mutable {
        if (life != life_ || !node_) return;
        disk_.complete();
        if (!made) {
            writes_.retry(std::move(write));
            return queue_.in(write_again, [this, life] {
                if (life == life_ && node_) write_next();
            });
        }
        writing_ = false;
        do_or_wait([this, number = write.number] {
            node_->persisted(number, queue_.now());
            carry_out();
        });
        if (!writing_) write_next();
    });
}

}   // namespace myrtleroute::lab::control
