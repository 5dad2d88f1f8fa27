#include "lab/net.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace myrtleroute::lab {

using Kind = Socket::Segment::Kind;
using State = Socket::State;

Span Net::latency(const Machine& a, const Machine& b) {
    double s = 0.0002 + chance_.exponential(0.0001) + a.delay + b.delay;
    if (rough > 0 && chance_.bernoulli(rough * 0.05)) s += chance_.between(0.005, 0.04);   // lost and sent again
    return {s};
}

void Net::hear(Socket& s) {
    if (s.observer && !s.closed) s.observer->socket_changed(s);
}

Net::~Net() {
    std::vector<Handle> ends;
    for (auto* s : paired_) ends.push_back(s->shared_from_this());
    for (auto& s : ends) s->other = nullptr;
}

Handle Net::listen(Machine& here, SocketObserver& observer, uint64_t at) {
    if (listeners_.count(at)) return {};
    auto s = std::make_shared<Socket>();
    s->number = next_++;
    s->state = State::listening;
    s->here = &here;
    s->observer = &observer;
    s->local = at;
    return listeners_[at] = s;
}

Machine* Net::machine_at(uint64_t address) const {
    const auto it = listeners_.find(address);
    return it == listeners_.end() ? nullptr : it->second->here;
}

Handle Net::connect(Machine& here, SocketObserver& observer, uint64_t to) {
    auto s = std::make_shared<Socket>();
    s->number = next_++;
    s->here = &here;
    s->observer = &observer;
    s->remote = to;
    if (here.proxy && tap_) tap_->opened(*s);
    queue_.in(latency(here, here), [this, s] { knock(s); });
    return s;
}

void Net::knock(const Handle& from) {
    if (from->closed || from->state != State::connecting) return;
    const auto it = listeners_.find(from->remote);
    Time blocked = from->here->unreachable_until;
    if (it != listeners_.end()) blocked = std::max(blocked, it->second->here->unreachable_until);
    if (blocked > queue_.now()) return queue_.at(blocked + Span{0.01}, [this, from] { knock(from); });
    if (it == listeners_.end()) return put(*from, {Kind::reset, {}});
    auto& listener = *it->second;
    if (listener.waiting.size() >= listener.most_waiting)   // as Linux: unheard, asked again in a second
        return queue_.in({1}, [this, from] { knock(from); });
    auto s = std::make_shared<Socket>();
    s->number = next_++;
    s->state = State::up;
    s->here = listener.here;
    s->local = listener.local;
    s->other = from;
    from->other = s;
    paired_.insert({from.get(), s.get()});
    put(*from, {Kind::up, {}});
    listener.waiting.push_back(s);
    hear(listener);
}

Handle Net::accept(Socket& listener) {
    if (listener.waiting.empty()) return {};
    auto s = listener.waiting.front();
    listener.waiting.pop_front();
    s->accepted = queue_.now();
    return s;
}

void Net::put(Socket& to, Socket::Segment segment, Time arrives) {
    const Machine& far = to.other ? *to.other->here : *to.here;
    to.last = std::max({to.last, queue_.now() + latency(*to.here, far), arrives});
    to.bytes_under_way += segment.bytes.size();
    to.under_way.push_back(std::move(segment));
    queue_.at(to.last, [this, handle = to.shared_from_this()] { arrive(handle); });
}

// The first under way comes in; later ones can't overtake it.
void Net::arrive(const Handle& to) {
    auto& s = *to;
    if (s.under_way.empty()) return;
    Time blocked = s.here->unreachable_until;
    if (s.other) blocked = std::max(blocked, s.other->here->unreachable_until);
    if (blocked > queue_.now()) return queue_.at(blocked + Span{0.002}, [this, to] { arrive(to); });
    const auto segment = std::move(s.under_way.front());
    s.under_way.pop_front();
    s.bytes_under_way -= segment.bytes.size();
    if (s.closed) {
        // Nobody is there for it: the other end hears so, as for bytes after a close.
        if (segment.kind == Kind::data && s.other && !s.other->closed) put(*s.other, {Kind::reset, {}});
        return let_go(s);
    }
    if (s.state == State::reset) return;
    switch (segment.kind) {
        case Kind::up: s.state = State::up; break;
        case Kind::fin: s.fin_in = true; break;
        case Kind::reset:
            s.error = s.state == State::connecting ? ECONNREFUSED : ECONNRESET;
            s.state = State::reset;
            ++resets_;
            break;
        case Kind::data:
            s.in += segment.bytes;
            s.got += segment.bytes.size();
            if (s.here->proxy && tap_) tap_->came(s);
            break;
    }
    hear(s);
}

ssize_t Net::read(Socket& s, char* into, size_t n) {
    if (!s.in.empty()) {
        size_t count = std::min(n, s.in.size());
        if (rough > 0 && count > 1 && chance_.bernoulli(rough * 0.2)) count = 1 + chance_.below(static_cast<int>(count - 1));
        std::memcpy(into, s.in.data(), count);
        s.in.erase(0, count);
        s.taken += count;
        if (s.other && s.other->starved) {
            s.other->starved = false;
            queue_.in(latency(*s.here, *s.other->here), [this, other = s.other] {
                send_rest(*other, room(*other));
                hear(*other);
            });
        }
        if (s.here->proxy && tap_) tap_->took(s, {into, count});
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
    if (!s.other) return 0;
    const size_t held = s.other->bytes_under_way + s.other->in.size();
    return held >= window ? 0 : window - held;
}

ssize_t Net::write(Socket& s, std::string_view bytes, Time arrives) {
    if (s.state == State::reset || s.fin_out) {
        errno = s.error ? s.error : EPIPE;
        return -1;
    }
    if (s.state != State::up) {
        errno = EAGAIN;
        return -1;
    }
    size_t n = std::min(bytes.size(), room(s));
    if (n > 1 && rough > 0 && s.here->proxy && chance_.bernoulli(rough * 0.2))
        n = 1 + chance_.below(static_cast<int>(n - 1));
    if (n == 0) {
        s.starved = true;
        errno = EAGAIN;
        return -1;
    }
    if (n < bytes.size()) {   // there is room again in a moment
        s.starved = true;
        if (room(s) > n)
            queue_.in({0.0001}, [this, handle = s.shared_from_this()] { hear(*handle); });
    }
    s.sent += n;
    auto left = bytes.substr(0, n);
    if (s.here->proxy && tap_) tap_->wrote(s, left);
    while (!left.empty()) {
        size_t part = left.size();
        if (part > 1 && rough > 0 && chance_.bernoulli(rough * 0.3)) part = 1 + chance_.below(static_cast<int>(part - 1));
        put(*s.other, {Kind::data, std::string(left.substr(0, part))}, arrives);
        left.remove_prefix(part);
    }
    return static_cast<ssize_t>(n);
}

void Net::send(Socket& s, std::string_view bytes, Time arrives) {
    s.unsent.append(bytes);
    send_rest(s, room(s), arrives);
}

void Net::send_rest(Socket& s, size_t most, Time arrives) {
    if (s.closed || s.fin_out || s.state != State::up || s.unsent.empty()) return;
    const auto n = std::min(most, s.unsent.size());
    if (n > 0) put(*s.other, {Kind::data, s.unsent.substr(0, n)}, arrives);
    s.sent += n;
    s.unsent.erase(0, n);
    s.starved = !s.unsent.empty();
}

void Net::shutdown_write(Socket& s, Time arrives) {
    if (s.fin_out || s.state != State::up) return;
    send_rest(s, s.unsent.size());   // the system goes on with it after a close
    s.fin_out = true;
    put(*s.other, {Kind::fin, {}}, arrives);
}

void Net::close(Socket& s, Time arrives) {
    if (s.closed) return;
    if (s.here->proxy && tap_) tap_->closing(s);
    if (s.state == State::listening) {
        listeners_.erase(s.local);
        for (const auto& waits : std::exchange(s.waiting, {})) reset(*waits);
    } else if (s.state == State::up) {
        if (!s.in.empty()) put(*s.other, {Kind::reset, {}}, arrives);
        else shutdown_write(s, arrives);
    }
    s.closed = true;
    s.in.clear();
    let_go(s);
}

void Net::reset(Socket& s) {
    if (s.closed) return;
    if (s.here->proxy && tap_) tap_->closing(s);
    if (s.state == State::up) put(*s.other, {Kind::reset, {}});
    s.closed = true;
    let_go(s);
}

void Net::vanish(Socket& s) {
    if (s.state == State::listening) listeners_.erase(s.local);
    s.closed = true;
    s.observer = nullptr;
}

// The two ends name each other; once both are closed they no longer do.
void Net::let_go(Socket& s) {
    s.observer = nullptr;
    if (!s.other || !s.other->closed || !s.under_way.empty() || !s.other->under_way.empty()) return;
    const auto other = std::exchange(s.other, nullptr);
    paired_.erase(&s);
    paired_.erase(other.get());
    other->other = nullptr;
}

}  // namespace myrtleroute::lab
