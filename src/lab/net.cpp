#include "lab/net.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace myrtleroute::lab {

using Kind = Socket::Segment::Kind;
using State = Socket::State;

Span Net::latency(const Machine& a, const Machine& b) {
    double s = 0.0002 + random_.exponential(0.0001) + a.delay + b.delay;
    // A lost packet: it arrives after its retransmission.
    if (disturbed_share > 0 && random_.bernoulli(disturbed_share * 0.05)) s += random_.between(0.005, 0.04);
    return {s};
}

void Net::notify(Socket& s) {
    if (s.observer && !s.closed) s.observer->socket_changed(s);
}

Net::~Net() {
    std::vector<Handle> ends;
    for (auto* s : paired_) ends.push_back(s->shared_from_this());
    for (auto& s : ends) s->peer = nullptr;
}

Handle Net::listen(Machine& here, SocketObserver& observer, uint64_t at) {
    if (listeners_.count(at)) return {};
    auto s = std::make_shared<Socket>();
    s->number = next_++;
    s->state = State::listening;
    s->machine = &here;
    s->observer = &observer;
    s->local = at;
    return listeners_[at] = s;
}

Machine* Net::machine_at(uint64_t address) const {
    const auto it = listeners_.find(address);
    return it == listeners_.end() ? nullptr : it->second->machine;
}

Handle Net::connect(Machine& here, SocketObserver& observer, uint64_t to) {
    auto s = std::make_shared<Socket>();
    s->number = next_++;
    s->machine = &here;
    s->observer = &observer;
    s->remote = to;
    if (here.proxy && tap_) tap_->connect_started(*s);
    queue_.in(latency(here, here), [this, s] { try_connect(s); });
    return s;
}

void Net::try_connect(const Handle& from) {
    if (from->closed || from->state != State::connecting) return;
    const auto it = listeners_.find(from->remote);
    Time blocked_until = from->machine->unreachable_until;
    if (it != listeners_.end()) blocked_until = std::max(blocked_until, it->second->machine->unreachable_until);
    if (blocked_until > queue_.now()) return queue_.at(blocked_until + Span{0.01}, [this, from] { try_connect(from); });
    if (it == listeners_.end()) return enqueue(*from, {Kind::reset, {}});
    auto& listener = *it->second;
    if (listener.backlog.size() >= listener.max_backlog)   // as on Linux: the SYN is dropped and resent after 1 s
        return queue_.in({1}, [this, from] { try_connect(from); });
    auto s = std::make_shared<Socket>();
    s->number = next_++;
    s->state = State::established;
    s->machine = listener.machine;
    s->local = listener.local;
    s->peer = from;
    from->peer = s;
    paired_.insert({from.get(), s.get()});
    enqueue(*from, {Kind::up, {}});
    listener.backlog.push_back(s);
    notify(listener);
}

Handle Net::accept(Socket& listener) {
    if (listener.backlog.empty()) return {};
    auto s = listener.backlog.front();
    listener.backlog.pop_front();
    s->accepted_at = queue_.now();
    return s;
}

void Net::enqueue(Socket& to, Socket::Segment segment, Time arrives) {
    const Machine& far = to.peer ? *to.peer->machine : *to.machine;
    to.last_arrival = std::max({to.last_arrival, queue_.now() + latency(*to.machine, far), arrives});
    to.bytes_in_flight += segment.bytes.size();
    to.in_flight.push_back(std::move(segment));
    queue_.at(to.last_arrival, [this, handle = to.shared_from_this()] { arrive(handle); });
}

// Delivers the first segment in flight; later ones can't overtake it.
void Net::arrive(const Handle& to) {
    auto& s = *to;
    if (s.in_flight.empty()) return;
    Time blocked_until = s.machine->unreachable_until;
    if (s.peer) blocked_until = std::max(blocked_until, s.peer->machine->unreachable_until);
    if (blocked_until > queue_.now()) return queue_.at(blocked_until + Span{0.002}, [this, to] { arrive(to); });
    const auto segment = std::move(s.in_flight.front());
    s.in_flight.pop_front();
    s.bytes_in_flight -= segment.bytes.size();
    if (s.closed) {
        // As in TCP, data for a closed socket makes its peer get a reset.
        if (segment.kind == Kind::data && s.peer && !s.peer->closed) enqueue(*s.peer, {Kind::reset, {}});
        return unpair(s);
    }
    if (s.state == State::reset) return;
    switch (segment.kind) {
        case Kind::up: s.state = State::established; break;
        case Kind::fin: s.fin_in = true; break;
        case Kind::reset:
            s.error = s.state == State::connecting ? ECONNREFUSED : ECONNRESET;
            s.state = State::reset;
            ++resets_;
            break;
        case Kind::data:
            s.in += segment.bytes;
            s.bytes_received += segment.bytes.size();
            if (s.machine->proxy && tap_) tap_->bytes_arrived(s);
            break;
    }
    notify(s);
}

ssize_t Net::read(Socket& s, char* into, size_t n) {
    if (!s.in.empty()) {
        size_t count = std::min(n, s.in.size());
        if (disturbed_share > 0 && count > 1 && random_.bernoulli(disturbed_share * 0.2))
            count = 1 + random_.below(static_cast<int>(count - 1));
        std::memcpy(into, s.in.data(), count);
        s.in.erase(0, count);
        s.bytes_read += count;
        if (s.peer && s.peer->write_blocked) {
            s.peer->write_blocked = false;
            queue_.in(latency(*s.machine, *s.peer->machine), [this, peer = s.peer] {
                send_rest(*peer, room(*peer));
                notify(*peer);
            });
        }
        if (s.machine->proxy && tap_) tap_->was_read(s, {into, count});
        return static_cast<ssize_t>(count);
    }
    if (s.error) {
        errno = std::exchange(s.error, 0);
        return -1;
    }
    if (s.fin_in || s.state == State::reset) return 0;
    errno = EAGAIN;
    return -1;
}

std::string Net::read_all(Socket& s) {
    std::string all;
    char bytes[4096];
    while (!s.in.empty()) {
        const auto n = read(s, bytes, sizeof bytes);
        if (n > 0) all.append(bytes, static_cast<size_t>(n));
    }
    return all;
}

size_t Net::room(const Socket& s) const {
    if (!s.peer) return 0;
    const size_t buffered = s.peer->bytes_in_flight + s.peer->in.size();
    return buffered >= window ? 0 : window - buffered;
}

ssize_t Net::write(Socket& s, std::string_view bytes, Time arrives) {
    if (s.state == State::reset || s.fin_out) {
        errno = s.error ? s.error : EPIPE;
        return -1;
    }
    if (s.state != State::established) {
        errno = EAGAIN;
        return -1;
    }
    size_t n = std::min(bytes.size(), room(s));
    if (n > 1 && disturbed_share > 0 && s.machine->proxy && random_.bernoulli(disturbed_share * 0.2))
        n = 1 + random_.below(static_cast<int>(n - 1));
    if (n == 0) {
        s.write_blocked = true;
        errno = EAGAIN;
        return -1;
    }
    if (n < bytes.size()) {   // a short write although there is room: the rest can be written after 0.1 ms
        s.write_blocked = true;
        if (room(s) > n)
            queue_.in({0.0001}, [this, handle = s.shared_from_this()] { notify(*handle); });
    }
    s.bytes_sent += n;
    auto left = bytes.substr(0, n);
    if (s.machine->proxy && tap_) tap_->was_written(s, left);
    while (!left.empty()) {
        size_t part = left.size();
        if (part > 1 && disturbed_share > 0 && random_.bernoulli(disturbed_share * 0.3))
            part = 1 + random_.below(static_cast<int>(part - 1));
        enqueue(*s.peer, {Kind::data, std::string(left.substr(0, part))}, arrives);
        left.remove_prefix(part);
    }
    return static_cast<ssize_t>(n);
}

void Net::send(Socket& s, std::string_view bytes, Time arrives) {
    s.unsent.append(bytes);
    send_rest(s, room(s), arrives);
}

void Net::send_rest(Socket& s, size_t max, Time arrives) {
    if (s.closed || s.fin_out || s.state != State::established || s.unsent.empty()) return;
    const auto n = std::min(max, s.unsent.size());
    if (n > 0) enqueue(*s.peer, {Kind::data, s.unsent.substr(0, n)}, arrives);
    s.bytes_sent += n;
    s.unsent.erase(0, n);
    s.write_blocked = !s.unsent.empty();
}

void Net::shutdown_write(Socket& s, Time arrives) {
    if (s.fin_out || s.state != State::established) return;
    send_rest(s, s.unsent.size());   // the operating system keeps sending after a close
    s.fin_out = true;
    enqueue(*s.peer, {Kind::fin, {}}, arrives);
}

void Net::close(Socket& s, Time arrives) {
    if (s.closed) return;
    if (s.machine->proxy && tap_) tap_->closing(s);
    if (s.state == State::listening) {
        listeners_.erase(s.local);
        for (const auto& pending : std::exchange(s.backlog, {})) reset(*pending);
    } else if (s.state == State::established) {
        if (!s.in.empty()) enqueue(*s.peer, {Kind::reset, {}}, arrives);
        else shutdown_write(s, arrives);
    }
    s.closed = true;
    s.in.clear();
    unpair(s);
}

void Net::reset(Socket& s) {
    if (s.closed) return;
    if (s.machine->proxy && tap_) tap_->closing(s);
    if (s.state == State::established) enqueue(*s.peer, {Kind::reset, {}});
    s.closed = true;
    unpair(s);
}

void Net::vanish(Socket& s) {
    if (s.state == State::listening) listeners_.erase(s.local);
    s.closed = true;
    s.observer = nullptr;
}

// The two ends of a stream hold each other; the cycle is broken once both are closed and nothing is in flight.
void Net::unpair(Socket& s) {
    s.observer = nullptr;
    if (!s.peer || !s.peer->closed || !s.in_flight.empty() || !s.peer->in_flight.empty()) return;
    const auto peer = std::exchange(s.peer, nullptr);
    paired_.erase(&s);
    paired_.erase(peer.get());
    peer->peer = nullptr;
}

}  // namespace myrtleroute::lab
