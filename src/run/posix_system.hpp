// The implementation of System on POSIX: poll(2), sockets, clocks, signals, environment and files.
#pragma once
#include "run/system.hpp"

namespace myrtleroute::run {

class PosixSystem : public System {   // at most one per process, since signal handlers are per process
public:
    Time now() override;
    double unix_time() override;
    int poll(pollfd* polled, size_t n, int ms) override;
    int listen(const sockaddr_in& at) override;
    int connect(const sockaddr_in& at, bool& at_once) override;
    int accept(int fd) override;
    int connect_error(int fd) override;
    ssize_t read(int fd, const iovec* parts, int n) override;
    ssize_t write(int fd, const iovec* parts, int n) override;
    bool is_idle(int fd) override;
    bool has_unread(int fd) override;
    void shutdown_write(int fd) override;
    void close(int fd) override;
    void reset(int fd) override;
    int watch_signals() override;
    int next_signal(int fd) override;
    size_t max_descriptors() override;
    const char* environment_variable(const char* name) override;
    std::optional<std::string> read_file(const std::string& path) override;
};

}  // namespace myrtleroute::run
