// The system calls of a simulated process: descriptors on the virtual network, the virtual clock, and signals and files
// that the world provides. It never blocks: a wait without events records until when the process would sleep; the
// world runs its next round at that time, or when on_event is called.
#pragma once
#include <map>

#include "lab/net.hpp"
#include "run/system.hpp"

namespace myrtleroute::lab {

class VirtualSystem : public run::System, public SocketObserver {
public:
    VirtualSystem(Queue& queue, Net& net, Machine& machine, std::function<void()> on_event)
        : queue_(queue), net_(net), machine_(machine), on_event_(std::move(on_event)) {}

    // Used by the world.
    std::map<std::string, std::string> variables, files;
    static constexpr size_t rlimit = 256;
    size_t descriptors = rlimit;   // limit that holds now; lower if others are assumed open
    bool is_waiting() const { return is_waiting_; }   // after a round: nothing to do before waits_until()
    Time waits_until() const { return until_; }
    void signal(int number);
    void end_process();                     // closes all descriptors, as the system does when a process ends
    size_t open() const { return open_; }   // number of open descriptors
    size_t server_connections() const;      // open descriptors of this kind
    size_t pending_server_connections() const;
    size_t accepted() const;
    bool connecting_to(uint32_t ip) const;   // whether a connect to that address is in progress

    // Used by the process.
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
    void reset(int fd) override;
    int watch_signals() override;
    int next_signal(int fd) override;
    size_t max_descriptors() override { return rlimit; }
    const char* environment_variable(const char* name) override;
    std::optional<std::string> read_file(const std::string& path) override;

    void socket_changed(Socket&) override { on_event_(); }

private:
    int allocate_descriptor(Handle socket);
    Socket& at(int fd) { return *table_[static_cast<size_t>(fd)]; }
    short poll_events(const Socket& s) const;

    Queue& queue_;
    Net& net_;
    Machine& machine_;
    std::function<void()> on_event_;
    std::vector<Handle> table_;                 // by descriptor
    std::deque<int> signals_;
    int signal_fd_ = -1;
    size_t open_ = 0;
    bool is_waiting_ = false;
    Time until_;
};

}  // namespace myrtleroute::lab
