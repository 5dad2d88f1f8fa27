#include "run/loop.hpp"

#include <algorithm>
#include <cerrno>
#include <cmath>

namespace myrtleroute::run {

using memory::Connection;

Loop::Loop(Log& log, System& system) : log_(log), system_(system), now_(system.now()) {}

void Loop::register_connection(std::unique_ptr<Connection> c) {
    c->number = next_number_++;
    c->slot = polled_.size();
    polled_.push_back({c->fd, 0, 0});
    connections_.push_back(std::move(c));
    update_poll_events(*connections_.back());
}

void Loop::update_poll_events(Connection& c) {
    short events = c.detect_peer_close && !c.connecting && !c.ended ? POLLRDHUP : 0;
    if (!c.connecting && !c.ended && !c.read_paused && !c.in.full()) events |= POLLIN;
    if (c.connecting || !c.out.empty()) events |= POLLOUT;
    polled_[c.slot].events = events;
}

void Loop::poll_for_input(Connection& c, bool on) { polled_[c.slot].events = on ? POLLIN : 0; }

void Loop::close(Connection& c, memory::CloseReason why) {
    if (!c.open()) return;
    system_.close(c.fd);
    remove(c, why);
}

void Loop::reset(Connection& c, memory::CloseReason why) {
    if (!c.open()) return;
    system_.reset(c.fd);
    remove(c, why);
}

void Loop::remove(Connection& c, memory::CloseReason why) {
    log_.info() << "connection " << c.number << ' ' << c.name() << " ended: " << memory::code(why);
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

size_t Loop::unwritten_connections() const {
    size_t n = 0;
    for (const auto& c : connections_) n += !c->out.empty();
    return n;
}

void Loop::close_all(memory::CloseReason why) {
    while (!connections_.empty()) close(*connections_.back(), why);
}

void Loop::flush(Connection& c) {
    while (c.open() && !c.connecting && !c.out.empty()) {
        auto parts = c.out.readable_parts();
        const auto n = system_.write(c.fd, parts.data(), parts[1].iov_len ? 2 : 1);
        if (n > 0) c.out.drop(static_cast<size_t>(n));
        else if (errno == EINTR) continue;
        else break;   // the socket buffer is full, or the connection failed: a read then reports the error
    }
    if (c.open()) update_poll_events(c);
}

void Loop::read(Connection& c) {
    while (!c.in.full() && !c.ended && !c.error) {
        auto parts = c.in.writable_parts();
        const auto n = system_.read(c.fd, parts.data(), parts[1].iov_len ? 2 : 1);
        if (n > 0) {
            c.in.commit(static_cast<size_t>(n));
        } else {
            c.in.commit(0);
            if (n == 0) c.ended = true;
            else if (errno == EAGAIN || errno == EWOULDBLOCK) break;
            else if (errno != EINTR) c.error = errno;
        }
    }
    // Guards against taking a message cut off by a reset for one that its sender has completed: a reset is not an end.
    if (!c.error || !c.in.empty()) {
        update_poll_events(c);
        c.handler->on_readable(c);
    }
    if (c.open() && c.error) c.handler->on_error(c, c.error);
    if (c.open()) update_poll_events(c);
}

void Loop::dispatch(Connection& c, short events) {
    if (c.connecting && (events & (POLLOUT | POLLERR | POLLHUP))) {
        if (const int error = system_.connect_error(c.fd)) return c.handler->on_error(c, error);
        if (!(events & POLLOUT)) return;
        c.connecting = false;
        c.handler->on_connected(c);
        if (!c.open()) return;
    }
    if ((events & POLLOUT) && !c.out.empty()) {
        flush(c);
        if (c.out.empty()) c.handler->on_written(c);
    }
    if (!c.open()) return;
    if (c.listens) return c.handler->on_readable(c);
    if ((events & POLLIN) && !c.read_paused) return read(c);
    if (events & (POLLERR | POLLHUP | POLLNVAL)) return c.handler->on_error(c, ECONNRESET);
    if (events & POLLRDHUP) {   // the end of stream is behind bytes that don't fit into the buffer
        c.ended = true;
        c.handler->on_readable(c);
    }
    if (c.open()) update_poll_events(c);
}

int Loop::poll_timeout() const {
    double until = 60;
    const Time now = system_.now();
    if (!timers_.empty()) until = std::min(until, (timers_.first().at() - now).s);
    if (!scheduled_.empty()) until = std::min(until, (scheduled_.top().at - now).s);
    return until <= 0 ? 0 : static_cast<int>(std::ceil(until * 1000));
}

void Loop::run_once(const std::function<void(uint64_t)>& timer_fired, const std::function<void()>& deferred) {
    deferred();
    log_.flush();
    const int n = system_.poll(polled_.data(), polled_.size(), poll_timeout());
    now_ = system_.now();
    ready_.clear();
    if (n > 0)
        for (size_t i = 0; i < polled_.size(); ++i)
            if (polled_[i].revents) ready_.emplace_back(connections_[i].get(), polled_[i].revents);
    // Guards against work for a client that has closed, or on a connection that has ended, in the same iteration.
    const auto peer_closed = [](const auto& r) { return (r.second & (POLLRDHUP | POLLHUP | POLLERR)) != 0; };
    std::stable_partition(ready_.begin(), ready_.end(), peer_closed);
    for (auto& [c, events] : ready_) {
        if (c->open()) dispatch(*c, events);
        deferred();
    }
    while (!timers_.empty() && timers_.first().at() <= now_) {
        auto& c = static_cast<Connection&>(timers_.first());
        timers_.clear(c);
        c.handler->on_timer(c);
        deferred();
    }
    while (!scheduled_.empty() && scheduled_.top().at <= now_) {
        const auto cookie = scheduled_.top().cookie;
        scheduled_.pop();
        timer_fired(cookie);
        deferred();
    }
    ended_.clear();
}

}  // namespace myrtleroute::run
