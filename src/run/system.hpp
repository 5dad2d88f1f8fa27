// The seam under the loop: all that the proxy wants of the system it runs on. The program's home is poll(2) and
// the system's clocks (posix_home.hpp); the lab has a virtual one. Nothing under src/run but a home calls a
// socket, a clock or a file by itself.
//
// What fails comes back below 0 with errno set, as the system calls of the same names do (POSIX.1-2017), so
// that errors read alike in both homes.
#pragma once
#include <netinet/in.h>
#include <poll.h>
#include <sys/types.h>
#include <sys/uio.h>

#include <cstddef>
#include <optional>
#include <string>

#include "time.hpp"

namespace myrtleroute::run {

class System {
public:
    virtual ~System() = default;

    virtual Time now() = 0;            // seconds of a clock that never goes back; it has no epoch
    virtual double unix_time() = 0;    // seconds since 1970

    // As poll(2): waits for up to `ms` milliseconds, less where a signal comes. May return 0 early.
    virtual int poll(pollfd* polled, size_t n, int ms) = 0;

    // Descriptors don't block and are closed on exec.
    virtual int listen(const sockaddr_in& at) = 0;
    virtual int connect(const sockaddr_in& at, bool& at_once) = 0;   // else POLLOUT tells of its end
    virtual int accept(int fd) = 0;
    virtual int connect_error(int fd) = 0;   // how a connect ended: 0, or an errno
    virtual ssize_t read(int fd, const iovec* parts, int n) = 0;        // 0: the other end sends no more
    virtual ssize_t write(int fd, const iovec* parts, int n) = 0;       // never raises SIGPIPE
    virtual bool is_idle(int fd) = 0;                               // no bytes and no end have come
    virtual bool has_unread(int fd) = 0;                                // bytes have come that were not read
    virtual void shutdown_write(int fd) = 0;
    virtual void close(int fd) = 0;

    // A descriptor that is readable once one of SIGTERM, SIGINT, SIGUSR1 and SIGHUP has come; then which, in
    // the order in which they came, 0 = no more.
    virtual int watch_signals() = 0;
    virtual int next_signal(int fd) = 0;

    virtual size_t max_descriptors() = 0;               // that the system allows
    virtual const char* environment_variable(const char* name) = 0;  // of the environment; null: not set
    virtual std::optional<std::string> read_file(const std::string& path) = 0;   // all of it; none: can't be read
};

}  // namespace myrtleroute::run
