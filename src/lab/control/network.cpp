#include "lab/control/network.hpp"

#include <algorithm>

namespace myrtleroute::lab::control {
namespace {

constexpr Span user_timeout{
    1.5};   // TCP user timeout of both roles: data unacknowledged for this long closes the connection
constexpr Span keepalive_timeout{4};   // keep-alive probes have failed by then
constexpr Span connect_timeout{1};

}   // namespace

void Network::process_started(ProcessId process) {
    auto& entry = processes_[process];
    ++entry.incarnation;
    entry.is_running = true;
    entry.silent = false;
    for (auto& [id, connection] : connections_)   // connections of its previous incarnation are reset now
        for (int i = 0; i < 2; ++i)
            if (connection.sides[i].process == process && connection.sides[1 - i].open)
                close_side(id, 1 - i, queue_.now() + latency());
}

void Network::process_ended(ProcessId process, bool silently) {
    auto& entry = processes_[process];
    entry.is_running = false;
    entry.silent = silently;
    for (auto it = connections_.begin(); it != connections_.end();) {
        auto& [id, connection] = *it++;
        for (int i = 0; i < 2; ++i) {
            if (connection.sides[i].process != process || !connection.sides[i].open) continue;
            connection.sides[i].open = false;
            const Span after = silently ? Span{random_.between(user_timeout.s, keepalive_timeout.s)} : latency();
            if (connection.sides[1 - i].open) close_side(id, 1 - i, queue_.now() + after);
        }
    }
}

bool Network::is_running(ProcessId process) const {
    const auto it = processes_.find(process);
    return it != processes_.end() && it->second.is_running;
}

void Network::cut(ProcessId from, ProcessId to, Time until) {
    auto& entry = cuts_[{from, to}];
    entry = std::max(entry, until);
}

bool Network::connected(ProcessId a, ProcessId b) const {
    return std::max(blocked_until(a, b), blocked_until(b, a)) <= queue_.now();
}

void Network::heal() { cuts_.clear(); }

Time Network::blocked_until(ProcessId from, ProcessId to) const {
    const auto it = cuts_.find({from, to});
    return it == cuts_.end() ? long_ago : it->second;
}

bool Network::is_current(const Side& side) const {
    const auto it = processes_.find(side.process);
    return it != processes_.end() && it->second.is_running && it->second.incarnation == side.incarnation;
}

ConnectionId Network::dial(ProcessId from, ProcessId to) {
    const auto id = next_id_++;
    auto& connection = connections_[id];
    connection.sides[0] = {from, processes_[from].incarnation, true, queue_.now()};
    connection.sides[1] = {to, processes_[to].incarnation, false, queue_.now()};
    const bool cut = std::max(blocked_until(from, to), blocked_until(to, from)) > queue_.now();
    if (cut || (!is_running(to) && processes_[to].silent)) {
        close_side(id, 0, queue_.now() + connect_timeout);
    } else if (!is_running(to)) {
        close_side(id, 0, queue_.now() + latency() + latency());
    } else {
        queue_.in(latency() + latency(), [this, id] { accept(id); });
    }
    return id;
}

void Network::accept(ConnectionId id) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    auto& connection = it->second;
    auto& dialler = connection.sides[0];
    if (!dialler.open) return;
    if (!is_current(connection.sides[1])) return close_side(id, 0, queue_.now());
    connection.sides[1].open = true;
    if (is_current(dialler)) events_.opened(dialler.process, id);
}

int Network::side_of(const Connection& connection, ProcessId process) const {
    return connection.sides[0].process == process ? 0 : 1;
}

void Network::send(ConnectionId id, ProcessId process, messages::Message message) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    auto& connection = it->second;
    const int local = side_of(connection, process), remote = 1 - local;
    auto& from = connection.sides[local];
    auto& to = connection.sides[remote];
    if (!from.open) return;
    const Time blocked_forward = blocked_until(process, to.process),
               blocked_backward = blocked_until(to.process, process);
    if (std::max(blocked_forward, blocked_backward) > queue_.now() + user_timeout) {
        close_side(id, local, queue_.now() + user_timeout);
        close_side(id, remote, queue_.now() + keepalive_timeout);
    }
    if (blocked_forward > queue_.now() + user_timeout) return;   // it is lost with the connection
    to.last_arrival = std::max({to.last_arrival, queue_.now() + latency(),
                                blocked_forward > queue_.now() ? blocked_forward + latency() : long_ago});
    queue_.at(to.last_arrival, [this, id, remote, message = std::move(message)] { deliver(id, remote, message); });
}

void Network::deliver(ConnectionId id, int side, const messages::Message& message) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    const auto& at = it->second.sides[side];
    if (at.open && is_current(at)) events_.received(at.process, id, message);
}

void Network::close_side(ConnectionId id, int side, Time at) {
    queue_.at(at, [this, id, side] {
        const auto it = connections_.find(id);
        if (it == connections_.end()) return;
        auto& closing = it->second.sides[side];
        const bool was_open = std::exchange(closing.open, false);
        const auto process = closing.process;
        const bool alive = is_current(closing);
        if (!it->second.sides[1 - side].open) connections_.erase(it);
        if (was_open && alive) events_.closed(process, id);
    });
}

void Network::close(ConnectionId id, ProcessId process) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    const int local = side_of(it->second, process);
    it->second.sides[local].open = false;
    if (it->second.sides[1 - local].open)
        close_side(id, 1 - local,
                   std::max(queue_.now() + latency(), blocked_until(process, it->second.sides[1 - local].process)));
    else
        connections_.erase(it);
}

}   // namespace myrtleroute::lab::control
