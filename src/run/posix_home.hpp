// The home of the program: poll(2), sockets, the system's clocks, signals, environment and files.
#pragma once
#include "run/home.hpp"

namespace myrtleroute::run {

class PosixHome : public Home {   // one in a process, since signals are a process's
public:
    Time now() override;
    double unix_time() override;
    int wait(pollfd* polled, size_t n, int ms) override;
    int listen_at(const sockaddr_in& at) override;
    int connect_to(const sockaddr_in& at, bool& at_once) override;
    int accept(int fd) override;
    int error_of(int fd) override;
    ssize_t read(int fd, const iovec* parts, int n) override;
    ssize_t write(int fd, const iovec* parts, int n) override;
    bool still_quiet(int fd) override;
    bool has_unread(int fd) override;
    void end_sending(int fd) override;
    void close(int fd) override;
    int hear_signals() override;
    int next_signal(int fd) override;
    size_t most_descriptors() override;
    const char* variable(const char* name) override;
    std::optional<std::string> file(const std::string& path) override;
};

}  // namespace myrtleroute::run
