#include "lab/virtual_system.hpp"

#include <arpa/inet.h>

#include <cerrno>

#include "lab/held_bytes.hpp"
#include "lab/site.hpp"

namespace myrtleroute::lab {

using State = Socket::State;

namespace {

uint64_t address(const sockaddr_in& at) { return address_of(ntohl(at.sin_addr.s_addr), ntohs(at.sin_port)); }

}  // namespace

double VirtualSystem::unix_time() { return unix_time_at_zero + queue_.now().s; }

void VirtualSystem::signal(int number) {
    signals_.push_back(number);
    on_event_();
}

void VirtualSystem::end_process() {
    for (size_t fd = 0; fd < table_.size(); ++fd)
        if (table_[fd]) close(static_cast<int>(fd));
    if (signal_fd_ >= 0) close(signal_fd_);
    signals_.clear();
}

size_t VirtualSystem::server_connections() const {
    size_t n = 0;
    for (const auto& s : table_) n += s && s->remote >> 16 >= server_ip && s->remote >> 16 < discovery_ip;
    return n;
}

size_t VirtualSystem::pending_server_connections() const {
    size_t n = 0;
    for (const auto& s : table_)
        n += s && s->remote >> 16 >= server_ip && s->remote >> 16 < discovery_ip && s->state == State::connecting;
    return n;
}

size_t VirtualSystem::accepted() const {
    size_t n = 0;
    for (const auto& s : table_) n += s && s->local != 0 && s->state != State::listening;
    return n;
}

bool VirtualSystem::connecting_to(uint32_t ip) const {
    for (const auto& s : table_)
        if (s && s->remote >> 16 == ip && s->state == State::connecting) return true;
    return false;
}

// Returns the events that poll(2) reports for a stream socket in this state on Linux.
short VirtualSystem::poll_events(const Socket& s) const {
    if (s.state == State::listening) return s.backlog.empty() ? 0 : POLLIN;
    if (s.state == State::connecting) return 0;
    if (s.state == State::reset) return POLLIN | POLLOUT | POLLRDHUP | POLLHUP | (s.error ? POLLERR : 0);
    short events = 0;
    if (!s.in.empty() || s.fin_in) events |= POLLIN;
    if (net_.room(s) > 0) events |= POLLOUT;
    if (s.fin_in) events |= POLLRDHUP;
    if (s.fin_in && s.fin_out) events |= POLLHUP;
    return events;
}

int VirtualSystem::poll(pollfd* polled, size_t n, int ms) {
    int ready_count = 0;
    for (size_t i = 0; i < n; ++i) {
        const int fd = polled[i].fd;
        const short ready = fd == signal_fd_ ? (signals_.empty() ? 0 : POLLIN) : poll_events(at(fd));
        polled[i].revents = static_cast<short>(ready & (polled[i].events | POLLERR | POLLHUP));
        ready_count += polled[i].revents != 0;
    }
    is_waiting_ = ready_count == 0 && ms > 0;
    until_ = queue_.now() + Span{ms / 1000.0};
    return ready_count;
}

int VirtualSystem::allocate_descriptor(Handle socket) {
    size_t fd = 3;   // 0 to 2 are the standard streams
    while (fd < table_.size() && (table_[fd] || static_cast<int>(fd) == signal_fd_)) ++fd;
    if (open_ + 3 >= descriptors) {
        errno = EMFILE;
        return -1;
    }
    if (fd >= table_.size()) table_.resize(fd + 1);
    ++open_;
    table_[fd] = std::move(socket);
    return static_cast<int>(fd);
}

int VirtualSystem::listen(const sockaddr_in& where) {
    const HeapCounterPause pause;
    auto socket = net_.listen(machine_, *this, address(where));
    if (!socket) errno = EADDRINUSE;
    return socket ? allocate_descriptor(std::move(socket)) : -1;
}

int VirtualSystem::connect(const sockaddr_in& where, bool& at_once) {
    const HeapCounterPause pause;
    at_once = false;
    const int fd = allocate_descriptor(nullptr);
    if (fd >= 0) table_[static_cast<size_t>(fd)] = net_.connect(machine_, *this, address(where));
    return fd;
}

int VirtualSystem::accept(int fd) {
    const HeapCounterPause pause;
    if (at(fd).backlog.empty()) {
        errno = EAGAIN;
        return -1;
    }
    const int fresh = allocate_descriptor(nullptr);
    if (fresh < 0) return fresh;
    auto socket = net_.accept(at(fd));
    socket->observer = this;
    table_[static_cast<size_t>(fresh)] = std::move(socket);
    return fresh;
}

int VirtualSystem::connect_error(int fd) { return std::exchange(at(fd).error, 0); }

ssize_t VirtualSystem::read(int fd, const iovec* parts, int n) {
    const HeapCounterPause pause;
    ssize_t total = 0;
    for (int i = 0; i < n; ++i) {
        if (!parts[i].iov_len) continue;
        const auto got = net_.read(at(fd), static_cast<char*>(parts[i].iov_base), parts[i].iov_len);
        if (got < 0) return total ? total : got;
        total += got;
        if (static_cast<size_t>(got) < parts[i].iov_len) break;
    }
    return total;
}

ssize_t VirtualSystem::write(int fd, const iovec* parts, int n) {
    const HeapCounterPause pause;
    std::string total;
    for (int i = 0; i < n; ++i) total.append(static_cast<const char*>(parts[i].iov_base), parts[i].iov_len);
    return net_.write(at(fd), total);
}

bool VirtualSystem::is_idle(int fd) {
    const auto& s = at(fd);
    return s.in.empty() && !s.fin_in && !s.error && s.state != State::reset;
}

bool VirtualSystem::has_unread(int fd) { return !at(fd).in.empty(); }

void VirtualSystem::shutdown_write(int fd) {
    const HeapCounterPause pause;
    net_.shutdown_write(at(fd));
}

void VirtualSystem::close(int fd) {
    const HeapCounterPause pause;
    --open_;
    if (fd == signal_fd_) {
        signal_fd_ = -1;
        return;
    }
    if (auto socket = std::exchange(table_[static_cast<size_t>(fd)], nullptr)) net_.close(*socket);
}

void VirtualSystem::reset(int fd) {
    const HeapCounterPause pause;
    --open_;
    if (auto socket = std::exchange(table_[static_cast<size_t>(fd)], nullptr)) net_.reset(*socket);
}

int VirtualSystem::watch_signals() {
    const HeapCounterPause pause;
    const int fd = allocate_descriptor(nullptr);
    return signal_fd_ = fd;
}

int VirtualSystem::next_signal(int) {
    const HeapCounterPause pause;
    if (signals_.empty()) return 0;
    const int number = signals_.front();
    signals_.pop_front();
    return number;
}

const char* VirtualSystem::environment_variable(const char* name) {
    const auto it = variables.find(name);
    return it == variables.end() ? nullptr : it->second.c_str();
}

std::optional<std::string> VirtualSystem::read_file(const std::string& path) {
    const auto it = files.find(path);
    if (it == files.end()) return {};
    return it->second;
}

}  // namespace myrtleroute::lab
