#include "rig/rig_system.hpp"

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>


namespace myrtleroute::rig {

namespace {

constexpr int backlog = 4096;
constexpr size_t max_datagram = 64 * 1024;

void enable_option(int fd, int level, int option) {
    const int on = 1;
    ::setsockopt(fd, level, option, &on, sizeof on);
}

int bound(int type, const sockaddr_in& at, bool shared) {
    const int fd = ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) return fd;
    enable_option(fd, SOL_SOCKET, SO_REUSEADDR);
    if (shared)
        enable_option(fd, SOL_SOCKET, SO_REUSEPORT);   // lets an unresponsive listener take over single addresses
    // Accepts traffic of this machine only; if the system refuses the option, link_of() still rejects other addresses.
    ::setsockopt(fd, SOL_SOCKET, SO_BINDTODEVICE, "lo", 3);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) return fd;
    const int error = errno;
    ::close(fd);
    errno = error;
    return -1;
}

uint16_t port_of(int fd) {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    return ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) == 0 ? ntohs(at.sin_port) : 0;
}

}  // namespace

RigSystem::RigSystem() : epoll_(::epoll_create1(EPOLL_CLOEXEC)), buffer_(max_datagram) {}
RigSystem::~RigSystem() { ::close(epoll_); }

// Same contract as poll(2), with one restriction: a polled descriptor must stay in the list until it is closed.
// Scanning the list costs little compared with a system call that polls each of thousands of descriptors.
int RigSystem::poll(pollfd* polled, size_t n, int ms) {
    for (size_t i = 0; i < n; ++i) {
        auto& p = polled[i];
        p.revents = 0;
        const auto fd = static_cast<size_t>(p.fd);
        if (fd >= known_.size()) known_.resize(fd + 64);
        auto& known = known_[fd];
        known.place = i;
        if (known.in && known.events == p.events) continue;
        epoll_event wanted{};
        wanted.events = static_cast<uint32_t>(p.events);
        wanted.data.fd = p.fd;
        ::epoll_ctl(epoll_, known.in ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, p.fd, &wanted);
        known.in = true;
        known.events = p.events;
    }
    std::array<epoll_event, 512> came;
    const int heard = ::epoll_wait(epoll_, came.data(), static_cast<int>(came.size()), ms);
    for (int i = 0; i < heard; ++i)
        polled[known_[static_cast<size_t>(came[i].data.fd)].place].revents = static_cast<short>(came[i].events);
    return heard;
}

void RigSystem::close(int fd) {
    if (static_cast<size_t>(fd) < known_.size()) known_[static_cast<size_t>(fd)] = {};
    if (static_cast<size_t>(fd) < fillers_.size() && fillers_[static_cast<size_t>(fd)] > 0)
        PosixSystem::close(std::exchange(fillers_[static_cast<size_t>(fd)], 0));
    PosixSystem::close(fd);
}

int RigSystem::listen_on_loopback(uint16_t& port) {
    const int fd = bound(SOCK_STREAM, address(INADDR_ANY, port), true);
    if (fd < 0) return fd;
    enable_option(fd, IPPROTO_TCP, TCP_NODELAY);   // inherited by accepted connections
    port = port_of(fd);
    if (::listen(fd, backlog) == 0) return fd;
    PosixSystem::close(fd);
    return -1;
}

// The listen queue holds one connection and is full, so that the system drops further SYN packets, as a cut network does.
int RigSystem::listen_unresponsive(const sockaddr_in& at) {
    const int fd = bound(SOCK_STREAM, at, true);
    if (fd < 0) return fd;
    if (::listen(fd, 0) != 0) {
        PosixSystem::close(fd);
        return -1;
    }
    bool at_once;
    const int filler = connect(at, at_once);
    if (fillers_.size() <= static_cast<size_t>(fd)) fillers_.resize(static_cast<size_t>(fd) + 64);
    fillers_[static_cast<size_t>(fd)] = filler;
    return fd;
}

std::optional<Link> RigSystem::link_of(int fd) {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    if (::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0) return {};
    return link_at(ntohl(at.sin_addr.s_addr));
}

void RigSystem::reset_on_close(int fd) {
    const linger at_once{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

int RigSystem::reserve_port(uint16_t& port) {
    const int fd = bound(SOCK_STREAM, address(INADDR_LOOPBACK, 0), false);
    if (fd >= 0) port = port_of(fd);
    return fd;
}

int RigSystem::datagrams_on_loopback(uint16_t& port) {
    const int fd = bound(SOCK_DGRAM, address(INADDR_ANY, port), false);
    if (fd < 0) return fd;
    enable_option(fd, IPPROTO_IP, IP_PKTINFO);
    port = port_of(fd);
    return fd;
}

std::optional<RigSystem::Datagram> RigSystem::receive(int fd) {
    Datagram d{};
    iovec part{buffer_.data(), buffer_.size()};
    alignas(cmsghdr) char control[CMSG_SPACE(sizeof(in_pktinfo))];
    msghdr message{};
    message.msg_name = &d.from;
    message.msg_namelen = sizeof d.from;
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    const auto n = ::recvmsg(fd, &message, MSG_DONTWAIT);
    if (n < 0) return {};
    for (auto* c = CMSG_FIRSTHDR(&message); c; c = CMSG_NXTHDR(&message, c))
        if (c->cmsg_level == IPPROTO_IP && c->cmsg_type == IP_PKTINFO) {
            in_pktinfo info;
            std::memcpy(&info, CMSG_DATA(c), sizeof info);
            d.to = address(ntohl(info.ipi_addr.s_addr), port_of(fd));
        }
    d.bytes = {buffer_.data(), static_cast<size_t>(n)};
    return d;
}

bool RigSystem::send(int fd, const Datagram& d) {
    iovec part{const_cast<char*>(d.bytes.data()), d.bytes.size()};
    sockaddr_in to = d.to;
    alignas(cmsghdr) char control[CMSG_SPACE(sizeof(in_pktinfo))] = {};
    msghdr message{};
    message.msg_name = &to;
    message.msg_namelen = sizeof to;
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    auto* c = CMSG_FIRSTHDR(&message);
    c->cmsg_level = IPPROTO_IP;
    c->cmsg_type = IP_PKTINFO;
    c->cmsg_len = CMSG_LEN(sizeof(in_pktinfo));
    in_pktinfo info{};
    info.ipi_spec_dst = d.from.sin_addr;   // becomes the source address
    std::memcpy(CMSG_DATA(c), &info, sizeof info);
    return ::sendmsg(fd, &message, MSG_DONTWAIT | MSG_NOSIGNAL) >= 0;
}

}  // namespace myrtleroute::rig
