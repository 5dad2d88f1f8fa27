// Interface to the operating system: everything that the proxy needs from it. The program uses poll(2) and the
// system's clocks (posix_system.hpp); the lab has a virtual implementation. Nothing under src/run except an
// implementation of this interface uses sockets, clocks or files directly.
//
// Functions that fail return a value below 0 and set errno, as the system calls of the same names do (POSIX.1-2017),
// so that errors are reported alike by all implementations.
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

    virtual Time now() = 0;            // seconds of a monotonic clock without a defined epoch
    virtual double unix_time() = 0;    // seconds since 1970

    // As poll(2): waits for up to `ms` milliseconds, less if a signal arrives. May return 0 early.
    virtual int poll(pollfd* polled, size_t n, int ms) = 0;

    // Descriptors are non-blocking and are closed on exec.
    virtual int listen(const sockaddr_in& at) = 0;
    virtual int connect(const sockaddr_in& at, bool& at_once) = 0;   // else POLLOUT reports completion
    virtual int accept(int fd) = 0;
    virtual int connect_error(int fd) = 0;   // the result of a connect: 0 or an errno
    virtual ssize_t read(int fd, const iovec* parts, int n) = 0;        // 0: end of stream
    virtual ssize_t write(int fd, const iovec* parts, int n) = 0;       // never raises SIGPIPE
    virtual bool is_idle(int fd) = 0;                                   // neither bytes nor end of stream pending
    virtual bool has_unread(int fd) = 0;                                // bytes pending that have not been read
    virtual void shutdown_write(int fd) = 0;
    virtual void close(int fd) = 0;
    virtual void reset(int fd) = 0;   // closes; the peer gets a reset, and perhaps not all that has been written

    // A descriptor that becomes readable when SIGTERM, SIGINT, SIGUSR1 or SIGHUP arrives. next_signal returns the
    // signals in the order of arrival, 0 = none left.
    virtual int watch_signals() = 0;
    virtual int next_signal(int fd) = 0;

    virtual size_t max_descriptors() = 0;               // descriptors that the system allows the process
    virtual const char* environment_variable(const char* name) = 0;  // null: not set
    virtual std::optional<std::string> read_file(const std::string& path) = 0;   // content; empty: can't be read
};

}  // namespace myrtleroute::run
