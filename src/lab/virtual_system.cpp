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

double VirtualSystem::unix_time() { return epoch + queue_.now().s; }

void VirtualSystem::signal(int number) {
    signals_.push_back(number);
    wakened_();
}

void VirtualSystem::end_process() {
    for (size_t fd = 0; fd < table_.size(); ++fd)
        if (table_[fd]) close(static_cast<int>(fd));
    if (signal_fd_ >= 0) close(signal_fd_);
    signals_.clear();
}

size_t VirtualSystem::to_servers() const {
    size_t n = 0;
    for (const auto& s : table_) n += s && s->remote >> 16 >= server_ip && s->remote >> 16 < discovery_ip;
    return n;
}

size_t VirtualSystem::connecting_to_servers() const {
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

// As poll(2) tells of stream sockets on Linux.
short VirtualSystem::state_of(const Socket& s) const {
    if (s.state == State::listening) return s.waiting.empty() ? 0 : POLLIN;
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
    int found = 0;
    for (size_t i = 0; i < n; ++i) {
        const int fd = polled[i].fd;
        const short is = fd == signal_fd_ ? (signals_.empty() ? 0 : POLLIN) : state_of(at(fd));
        polled[i].revents = static_cast<short>(is & (polled[i].events | POLLERR | POLLHUP));
        found += polled[i].revents != 0;
    }
    is_waiting_ = found == 0 && ms > 0;
    until_ = queue_.now() + Span{ms / 1000.0};
    return found;
}

int VirtualSystem::take(Handle socket) {
    size_t fd = 3;   // the first three are the process's own
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
    const NotHeld ours;
    auto socket = net_.listen(machine_, *this, address(where));
    if (!socket) errno = EADDRINUSE;
    return socket ? take(std::move(socket)) : -1;
}

int VirtualSystem::connect(const sockaddr_in& where, bool& at_once) {
    const NotHeld ours;
    at_once = false;
    const int fd = take(nullptr);
    if (fd >= 0) table_[static_cast<size_t>(fd)] = net_.connect(machine_, *this, address(where));
    return fd;
}

int VirtualSystem::accept(int fd) {
    const NotHeld ours;
    if (at(fd).waiting.empty()) {
        errno = EAGAIN;
        return -1;
    }
    const int fresh = take(nullptr);
    if (fresh < 0) return fresh;
    auto socket = net_.accept(at(fd));
    socket->observer = this;
    table_[static_cast<size_t>(fresh)] = std::move(socket);
    return fresh;
}

int VirtualSystem::connect_error(int fd) { return std::exchange(at(fd).error, 0); }

ssize_t VirtualSystem::read(int fd, const iovec* parts, int n) {
    const NotHeld ours;
    ssize_t all = 0;
    for (int i = 0; i < n; ++i) {
        if (!parts[i].iov_len) continue;
        const auto got = net_.read(at(fd), static_cast<char*>(parts[i].iov_base), parts[i].iov_len);
        if (got < 0) return all ? all : got;
        all += got;
        if (static_cast<size_t>(got) < parts[i].iov_len) break;
    }
    return all;
}

ssize_t VirtualSystem::write(int fd, const iovec* parts, int n) {
    const NotHeld ours;
    std::string all;
    for (int i = 0; i < n; ++i) all.append(static_cast<const char*>(parts[i].iov_base), parts[i].iov_len);
    return net_.write(at(fd), all);
}

bool VirtualSystem::is_idle(int fd) {
    const auto& s = at(fd);
    return s.in.empty() && !s.fin_in && !s.error && s.state != State::reset;
}

bool VirtualSystem::has_unread(int fd) { return !at(fd).in.empty(); }

void VirtualSystem::shutdown_write(int fd) {
    const NotHeld ours;
    net_.shutdown_write(at(fd));
}

void VirtualSystem::close(int fd) {
    const NotHeld ours;
    --open_;
    if (fd == signal_fd_) {
        signal_fd_ = -1;
        return;
    }
    if (auto socket = std::exchange(table_[static_cast<size_t>(fd)], nullptr)) net_.close(*socket);
}

int VirtualSystem::watch_signals() {
    const NotHeld ours;
    const int fd = take(nullptr);
    return signal_fd_ = fd;
}

int VirtualSystem::next_signal(int) {
    const NotHeld ours;
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
