#include "run/loop.hpp"

#include <algorithm>
#include <cerrno>
#include <cmath>

namespace myrtleroute::run {

using memory::Connection;

Loop::Loop(Log& log, Home& home) : log_(log), home_(home), now_(home.now()) {}

void Loop::take_in(std::unique_ptr<Connection> c) {
    c->number = next_number_++;
    c->slot = polled_.size();
    polled_.push_back({c->fd, 0, 0});
    connections_.push_back(std::move(c));
    look_again(*connections_.back());
}

void Loop::look_again(Connection& c) {
    short events = c.hears_leaving && !c.connecting && !c.ended ? POLLRDHUP : 0;
    if (!c.connecting && !c.ended && !c.deaf && !c.in.full()) events |= POLLIN;
    if (c.connecting || !c.out.empty()) events |= POLLOUT;
    polled_[c.slot].events = events;
}

void Loop::listen_to(Connection& c, bool on) { polled_[c.slot].events = on ? POLLIN : 0; }

void Loop::end(Connection& c, memory::Why why) {
    if (!c.open()) return;
    log_.info() << "connection " << c.number << ' ' << c.name() << " ended: " << memory::code(why);
    home_.close(c.fd);
    c.fd = -1;
    timers_.clear(c);
    const size_t last = polled_.size() - 1;
    ended_.push_back(std::move(connections_[c.slot]));
    if (c.slot != last) {
        polled_[c.slot] = polled_[last];
        connections_[c.slot] = std::move(connections_[last]);
        connections_[c.slot]->slot = c.slot;
    }
    polled_.pop_back();
    connections_.pop_back();
}

size_t Loop::unwritten() const {
    size_t n = 0;
    for (const auto& c : connections_) n += !c->out.empty();
    return n;
}

void Loop::end_all(memory::Why why) {
    while (!connections_.empty()) end(*connections_.back(), why);
}

void Loop::flush(Connection& c) {
    while (c.open() && !c.connecting && !c.out.empty()) {
        auto parts = c.out.held_parts();
        const auto n = home_.write(c.fd, parts.data(), parts[1].iov_len ? 2 : 1);
        if (n > 0) c.out.drop(static_cast<size_t>(n));
        else if (errno == EINTR) continue;
        else break;   // it is full; or it broke, and then reading says so
    }
    if (c.open()) look_again(c);
}

void Loop::read(Connection& c) {
    while (!c.in.full() && !c.ended && !c.error) {
        auto parts = c.in.free_parts();
        const auto n = home_.read(c.fd, parts.data(), parts[1].iov_len ? 2 : 1);
        if (n > 0) {
            c.in.wrote(static_cast<size_t>(n));
        } else {
            c.in.wrote(0);
            if (n == 0) c.ended = true;
            else if (errno == EAGAIN || errno == EWOULDBLOCK) break;
            else if (errno != EINTR) c.error = errno;
        }
    }
    // Guards against a message cut off by a reset passing for one that its sender ended: a reset is no end.
    if (!c.error || !c.in.empty()) {
        look_again(c);
        c.owner->came(c);
    }
    if (c.open() && c.error) c.owner->broke(c, c.error);
    if (c.open()) look_again(c);
}

void Loop::ready(Connection& c, short what) {
    if (c.connecting && (what & (POLLOUT | POLLERR | POLLHUP))) {
        if (const int error = home_.error_of(c.fd)) return c.owner->broke(c, error);
        if (!(what & POLLOUT)) return;
        c.connecting = false;
        c.owner->up(c);
        if (!c.open()) return;
    }
    if ((what & POLLOUT) && !c.out.empty()) {
        flush(c);
        if (c.out.empty()) c.owner->went(c);
    }
    if (!c.open()) return;
    if (c.listens) return c.owner->came(c);
    if ((what & POLLIN) && !c.deaf) return read(c);
    if (what & (POLLERR | POLLHUP | POLLNVAL)) return c.owner->broke(c, ECONNRESET);
    if (what & POLLRDHUP) {   // behind bytes that have no room
        c.ended = true;
        c.owner->came(c);
    }
    if (c.open()) look_again(c);
}

int Loop::pause() const {
    double until = 60;
    const Time now = home_.now();
    if (!timers_.empty()) until = std::min(until, (timers_.first().at() - now).s);
    if (!wakes_.empty()) until = std::min(until, (wakes_.top().at - now).s);
    return until <= 0 ? 0 : static_cast<int>(std::ceil(until * 1000));
}

void Loop::round(const std::function<void(uint64_t)>& woken, const std::function<void()>& settle) {
    settle();
    log_.flush();
    const int n = home_.wait(polled_.data(), polled_.size(), pause());
    now_ = home_.now();
    ready_.clear();
    if (n > 0)
        for (size_t i = 0; i < polled_.size(); ++i)
            if (polled_[i].revents) ready_.emplace_back(connections_[i].get(), polled_[i].revents);
    // Guards against work for a client that has gone, or on a connection that has ended, in the same round.
    const auto gone = [](const auto& r) { return (r.second & (POLLRDHUP | POLLHUP | POLLERR)) != 0; };
    std::stable_partition(ready_.begin(), ready_.end(), gone);
    for (auto& [c, what] : ready_) {
        if (c->open()) ready(*c, what);
        settle();
    }
    while (!timers_.empty() && timers_.first().at() <= now_) {
        auto& c = static_cast<Connection&>(timers_.first());
        timers_.clear(c);
        c.owner->due(c);
        settle();
    }
    while (!wakes_.empty() && wakes_.top().at <= now_) {
        const auto cookie = wakes_.top().cookie;
        wakes_.pop();
        woken(cookie);
        settle();
    }
    ended_.clear();
}

}  // namespace myrtleroute::run
