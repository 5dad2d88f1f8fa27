#include "lab/control/network.hpp"

#include <algorithm>

namespace myrtleroute::lab::control {
namespace {

constexpr Span unacknowledged{1.5};   // then the sender gives the connection up, as both roles set it
constexpr Span dead_after{4};         // keep-alive probes have failed by then
constexpr Span dial_within{1};

}   // namespace

void Network::started(ProcessId process) {
    auto& known = processes_[process];
    ++known.life;
    known.runs = true;
    known.silent = false;
    for (auto& [id, connection] : connections_)   // what is left of its life before is reset now
        for (int i = 0; i < 2; ++i)
            if (connection.ends[i].process == process && connection.ends[1 - i].open)
                close_end(id, 1 - i, queue_.now() + latency());
}

void Network::ended(ProcessId process, bool silently) {
    auto& known = processes_[process];
    known.runs = false;
    known.silent = silently;
    for (auto it = connections_.begin(); it != connections_.end();) {
        auto& [id, connection] = *it++;
        for (int i = 0; i < 2; ++i) {
            if (connection.ends[i].process != process || !connection.ends[i].open) continue;
            connection.ends[i].open = false;
            const Span after = silently ? Span{chance_.between(unacknowledged.s, dead_after.s)} : latency();
            if (connection.ends[1 - i].open) close_end(id, 1 - i, queue_.now() + after);
        }
    }
}

bool Network::runs(ProcessId process) const {
    const auto it = processes_.find(process);
    return it != processes_.end() && it->second.runs;
}

void Network::cut(ProcessId from, ProcessId to, Time until) {
    auto& known = cuts_[{from, to}];
    known = std::max(known, until);
}

bool Network::connected(ProcessId a, ProcessId b) const {
    return std::max(blocked_until(a, b), blocked_until(b, a)) <= queue_.now();
}

void Network::heal() { cuts_.clear(); }

Time Network::blocked_until(ProcessId from, ProcessId to) const {
    const auto it = cuts_.find({from, to});
    return it == cuts_.end() ? long_ago : it->second;
}

bool Network::lives(const End& end) const {
    const auto it = processes_.find(end.process);
    return it != processes_.end() && it->second.runs && it->second.life == end.life;
}

ConnectionId Network::dial(ProcessId from, ProcessId to) {
    const auto id = next_++;
    auto& connection = connections_[id];
    connection.ends[0] = {from, processes_[from].life, true, queue_.now()};
    connection.ends[1] = {to, processes_[to].life, false, queue_.now()};
    const bool cut = std::max(blocked_until(from, to), blocked_until(to, from)) > queue_.now();
    if (cut || (!runs(to) && processes_[to].silent)) {
        close_end(id, 0, queue_.now() + dial_within);
    } else if (!runs(to)) {
        close_end(id, 0, queue_.now() + latency() + latency());
    } else {
        queue_.in(latency() + latency(), [this, id] { arrive(id); });
    }
    return id;
}

void Network::arrive(ConnectionId id) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    auto& connection = it->second;
    auto& dialler = connection.ends[0];
    if (!dialler.open) return;
    if (!lives(connection.ends[1])) return close_end(id, 0, queue_.now());
    connection.ends[1].open = true;
    if (lives(dialler)) events_.opened(dialler.process, id);
}

int Network::end_of(const Connection& connection, ProcessId process) const {
    return connection.ends[0].process == process ? 0 : 1;
}

void Network::send(ConnectionId id, ProcessId by, messages::Message message) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    auto& connection = it->second;
    const int here = end_of(connection, by), there = 1 - here;
    auto& from = connection.ends[here];
    auto& to = connection.ends[there];
    if (!from.open) return;
    const Time forth = blocked_until(by, to.process), back = blocked_until(to.process, by);
    if (std::max(forth, back) > queue_.now() + unacknowledged) {
        close_end(id, here, queue_.now() + unacknowledged);
        close_end(id, there, queue_.now() + dead_after);
    }
    if (forth > queue_.now() + unacknowledged) return;   // it is lost with the connection
    to.last = std::max({to.last, queue_.now() + latency(), forth > queue_.now() ? forth + latency() : long_ago});
    queue_.at(to.last, [this, id, there, message = std::move(message)] { deliver(id, there, message); });
}

void Network::deliver(ConnectionId id, int end, const messages::Message& message) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    const auto& at = it->second.ends[end];
    if (at.open && lives(at)) events_.came(at.process, id, message);
}

void Network::close_end(ConnectionId id, int end, Time at) {
    queue_.at(at, [this, id, end] {
        const auto it = connections_.find(id);
        if (it == connections_.end()) return;
        auto& closing = it->second.ends[end];
        const bool was_open = std::exchange(closing.open, false);
        const auto process = closing.process;
        const bool alive = lives(closing);
        if (!it->second.ends[1 - end].open) connections_.erase(it);
        if (was_open && alive) events_.closed(process, id);
    });
}

void Network::close(ConnectionId id, ProcessId by) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    const int here = end_of(it->second, by);
    it->second.ends[here].open = false;
    if (it->second.ends[1 - here].open)
        close_end(id, 1 - here,
                  std::max(queue_.now() + latency(), blocked_until(by, it->second.ends[1 - here].process)));
    else
        connections_.erase(it);
}

}   // namespace myrtleroute::lab::control
