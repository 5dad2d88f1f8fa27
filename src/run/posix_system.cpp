#include "run/posix_system.hpp"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iterator>

namespace myrtleroute::run {

namespace {

int signal_pipe = -1;   // global, since a signal handler gets no other context

void on_signal(int number) {
    const int error = errno;
    const char byte = static_cast<char>(number);
    [[maybe_unused]] const auto n = ::write(signal_pipe, &byte, 1);
    errno = error;
}

template <class Clock>
double seconds() {
    return std::chrono::duration<double>(Clock::now().time_since_epoch()).count();
}

// Guards against the system holding back the end of a response, which would be lost if a reset follows.
void disable_nagle(int fd) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

int create_socket() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd >= 0) disable_nagle(fd);
    return fd;
}

int close_keeping_errno(int fd) {   // closes after a failure and keeps its errno
    const int error = errno;
    ::close(fd);
    errno = error;
    return -1;
}

}  // namespace

Time PosixSystem::now() { return {seconds<std::chrono::steady_clock>()}; }
double PosixSystem::unix_time() { return seconds<std::chrono::system_clock>(); }

int PosixSystem::poll(pollfd* polled, size_t n, int ms) { return ::poll(polled, n, ms); }

int PosixSystem::listen(const sockaddr_in& at) {
    const int fd = create_socket(), on = 1;
    if (fd < 0) return fd;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto* address = reinterpret_cast<const sockaddr*>(&at);
    return ::bind(fd, address, sizeof at) == 0 && ::listen(fd, 1024) == 0 ? fd : close_keeping_errno(fd);
}

int PosixSystem::connect(const sockaddr_in& at, bool& at_once) {
    const int fd = create_socket();
    if (fd < 0) return fd;
    int done;
    do done = ::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at);
    while (done < 0 && errno == EINTR);
    at_once = done == 0;
    return done == 0 || errno == EINPROGRESS || errno == EALREADY ? fd : close_keeping_errno(fd);
}

int PosixSystem::accept(int fd) {
    const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted >= 0) disable_nagle(accepted);   // inherited from the listener on Linux, not specified by POSIX
    return accepted;
}

int PosixSystem::connect_error(int fd) {
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
}

ssize_t PosixSystem::read(int fd, const iovec* parts, int n) { return ::readv(fd, parts, n); }

ssize_t PosixSystem::write(int fd, const iovec* parts, int n) {
    msghdr message{};
    message.msg_iov = const_cast<iovec*>(parts);
    message.msg_iovlen = static_cast<size_t>(n);
    return ::sendmsg(fd, &message, MSG_NOSIGNAL);
}

bool PosixSystem::is_idle(int fd) {
    char byte;
    const auto n = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
}

bool PosixSystem::has_unread(int fd) {
    char byte;
    return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void PosixSystem::shutdown_write(int fd) { ::shutdown(fd, SHUT_WR); }
void PosixSystem::close(int fd) { ::close(fd); }

void PosixSystem::reset(int fd) {
    const linger at_once{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    ::close(fd);
}

int PosixSystem::watch_signals() {
    int ends[2];
    if (::pipe2(ends, O_NONBLOCK | O_CLOEXEC) != 0) return -1;
    signal_pipe = ends[1];
    struct sigaction action{};
    action.sa_handler = on_signal;
    for (const int number : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) ::sigaction(number, &action, nullptr);
    action.sa_handler = SIG_IGN;
    return ::sigaction(SIGPIPE, &action, nullptr) == 0 ? ends[0] : -1;
}

int PosixSystem::next_signal(int fd) {
    char number = 0;
    return ::read(fd, &number, 1) == 1 ? number : 0;
}

size_t PosixSystem::max_descriptors() {
    rlimit system{};
    return ::getrlimit(RLIMIT_NOFILE, &system) == 0 ? system.rlim_cur : static_cast<size_t>(-1);
}

const char* PosixSystem::environment_variable(const char* name) { return std::getenv(name); }

std::optional<std::string> PosixSystem::read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::string text(std::istreambuf_iterator<char>(file), {});
    if (!file) return {};
    return text;
}

}  // namespace myrtleroute::run
