// A proxy's home in the lab: descriptors over the virtual network, the virtual clock, signals and files as the
// world gives them. It never blocks: a wait with nothing to tell notes until when the proxy would sleep, and
// the world takes its next round then, or when something is heard.
#pragma once
#include <map>

#include "lab/net.hpp"
#include "run/system.hpp"

namespace myrtleroute::lab {

class VirtualSystem : public run::System, public SocketObserver {
public:
    VirtualSystem(Queue& queue, Net& net, Machine& machine, std::function<void()> wakened)
        : queue_(queue), net_(net), machine_(machine), wakened_(std::move(wakened)) {}

    // For the world.
    std::map<std::string, std::string> variables, files;
    static constexpr size_t rlimit = 256;
    size_t descriptors = rlimit;                // that the process may hold now: less if others are open
    bool is_waiting() const { return is_waiting_; }     // after a round: nothing to do before `until`
    Time waits_until() const { return until_; }
    void signal(int number);
    void end_process();                         // as the system does when it is gone
    size_t open() const { return open_; }       // descriptors that are held
    size_t to_servers() const;                  // of them
    size_t connecting_to_servers() const;
    size_t accepted() const;
    bool connecting_to(uint32_t ip) const;

    // For the proxy.
    Time now() override { return queue_.now(); }
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
    int watch_signals() override;
    int next_signal(int fd) override;
    size_t max_descriptors() override { return rlimit; }
    const char* environment_variable(const char* name) override;
    std::optional<std::string> read_file(const std::string& path) override;

    void socket_changed(Socket&) override { wakened_(); }

private:
    int take(Handle socket);
    Socket& at(int fd) { return *table_[static_cast<size_t>(fd)]; }
    short state_of(const Socket& s) const;

    Queue& queue_;
    Net& net_;
    Machine& machine_;
    std::function<void()> wakened_;
    std::vector<Handle> table_;                 // by descriptor
    std::deque<int> signals_;
    int signal_fd_ = -1;
    size_t open_ = 0;
    bool is_waiting_ = false;
    Time until_;
};

}  // namespace myrtleroute::lab
