#include "run/loop.hpp"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cmath>
#include <cstring>

namespace myrtleroute::run {

using memory::Connection;

Time read_clock() {
    return {std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count()};
}

Loop::Loop(Log& log) : log_(log), now_(read_clock()) {}

void Loop::take_in(std::unique_ptr<Connection> c) {
    c->number = next_number_++;
    c->slot = polled_.size();
    polled_.push_back({c->fd, 0, 0});
    connections_.push_back(std::move(c));
    look_again(*connections_.back());
}

void Loop::look_again(Connection& c) {
    short events = 0;
    if (!c.connecting && !c.ended && !c.deaf && !c.in.full()) events |= POLLIN;
    if (c.connecting || !c.out.empty()) events |= POLLOUT;
    polled_[c.slot].events = events;
}

void Loop::listen_to(Connection& c, bool on) { polled_[c.slot].events = on ? POLLIN : 0; }

void Loop::end(Connection& c, memory::Why why) {
    if (!c.open()) return;
    log_.info() << "connection " << c.number << ' ' << c.name() << " ended: " << memory::code(why);
    ::close(c.fd);
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

void Loop::end_all(memory::Why why) {
    while (!connections_.empty()) end(*connections_.back(), why);
}

void Loop::flush(Connection& c) {
    while (c.open() && !c.connecting && !c.out.empty()) {
        auto parts = c.out.held_parts();
        msghdr message{};
        message.msg_iov = parts.data();
        message.msg_iovlen = parts[1].iov_len ? 2 : 1;
        const auto n = ::sendmsg(c.fd, &message, MSG_NOSIGNAL);
        if (n > 0) c.out.drop(static_cast<size_t>(n));
        else if (errno == EINTR) continue;
        else break;   // it is full; or it broke, and then reading says so
    }
    if (c.open()) look_again(c);
}

void Loop::read(Connection& c) {
    int error = 0;
    while (!c.in.full() && !c.ended && !error) {
        auto parts = c.in.free_parts();
        const auto n = ::readv(c.fd, parts.data(), parts[1].iov_len ? 2 : 1);
        if (n > 0) {
            c.in.wrote(static_cast<size_t>(n));
        } else {
            c.in.wrote(0);
            if (n == 0) c.ended = true;
            else if (errno == EAGAIN || errno == EWOULDBLOCK) break;
            else if (errno != EINTR) error = errno;
        }
    }
    if (error && c.in.empty()) return c.owner->broke(c, error);
    if (error) c.ended = true;
    look_again(c);
    c.owner->came(c);
    if (c.open()) look_again(c);
}

void Loop::ready(Connection& c, short what) {
    if (c.connecting && (what & (POLLOUT | POLLERR | POLLHUP))) {
        int error = 0;
        socklen_t size = sizeof error;
        ::getsockopt(c.fd, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error) return c.owner->broke(c, error);
        if (!(what & POLLOUT)) return;
        c.connecting = false;
    }
    if ((what & POLLOUT) && !c.out.empty()) {
        flush(c);
        if (c.out.empty()) c.owner->went(c);
    }
    if (!c.open()) return;
    if (c.listens) return c.owner->came(c);
    if (what & POLLIN) return read(c);
    if (what & (POLLERR | POLLHUP | POLLNVAL)) c.owner->broke(c, ECONNRESET);
    else look_again(c);
}

int Loop::pause() const {
    double until = 60;
    const Time now = read_clock();
    if (!timers_.empty()) until = std::min(until, (timers_.first().at() - now).s);
    if (!wakes_.empty()) until = std::min(until, (wakes_.top().at - now).s);
    return until <= 0 ? 0 : static_cast<int>(std::ceil(until * 1000));
}

void Loop::round(const std::function<void(uint64_t)>& woken, const std::function<void()>& settle) {
    settle();
    log_.flush();
    const int n = ::poll(polled_.data(), polled_.size(), pause());
    now_ = read_clock();
    ready_.clear();
    if (n > 0)
        for (size_t i = 0; i < polled_.size(); ++i)
            if (polled_[i].revents) ready_.emplace_back(connections_[i].get(), polled_[i].revents);
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

namespace {

int socket_of_ours() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (fd >= 0) ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

}  // namespace

int listen_at(const sockaddr_in& at) {
    const int fd = socket_of_ours(), on = 1;
    if (fd < 0) return fd;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto* address = reinterpret_cast<const sockaddr*>(&at);
    if (::bind(fd, address, sizeof at) == 0 && ::listen(fd, 1024) == 0) return fd;
    const int error = errno;
    ::close(fd);
    errno = error;
    return -1;
}

int connect_to(const sockaddr_in& at, bool& at_once) {
    const int fd = socket_of_ours();
    if (fd < 0) return fd;
    int done;
    do done = ::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at);
    while (done < 0 && errno == EINTR);
    at_once = done == 0;
    if (done == 0 || errno == EINPROGRESS || errno == EALREADY) return fd;
    const int error = errno;
    ::close(fd);
    errno = error;
    return -1;
}

bool still_quiet(int fd) {
    char byte;
    const auto n = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
}

}  // namespace myrtleroute::run
