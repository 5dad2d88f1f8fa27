// The processes of the fleet under test: their settings files, starts, pauses and ends. Each process is ended by its id,
// and with the soak itself, however that ends.
#pragma once
#include <asio.hpp>
#include <sys/types.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.hpp"
#include "soak/plan.hpp"

namespace myrtleroute::soak {

enum class Role { control, proxy };

// A block of loopback addresses that no other run has; held as long as this lives.
class AddressBlock {
public:
    // Throws std::runtime_error where none is free.
    explicit AddressBlock(asio::io_context& context);
    int number() const { return number_; }

private:
    asio::ip::tcp::acceptor lock_;
    int number_ = 0;
};

// Addresses of a run: everything under 127.BLOCK is its own, so that several runs fit on one machine.
class Addresses {
public:
    // `relayed`: control nodes are reached by way of relays, else where they listen.
    Addresses(int block, size_t controls, bool relayed = true)
        : block_(block), controls_(controls), relayed_(relayed) {}
    std::string machine(size_t number) const;      // where its processes listen
    std::string advertised(size_t number) const;   // where its relays listen
    std::string host(size_t number) const;         // of a stand-in host
    Endpoint control(size_t machine) const;        // as hosts and the operator know it
    Endpoint metrics(Role role, size_t machine) const;
    size_t controls() const { return controls_; }

    static constexpr uint16_t internal_port = 7500, front_port = 8360, ready_port = 8365, control_port = 8367;

private:
    std::string at(size_t group, size_t number) const;
    int block_;
    size_t controls_;
    bool relayed_;
};

struct FleetOptions {
    std::string program;     // myrtlerouted
    std::string directory;   // for settings, logs and disks
    FleetSize size;
    double quota_over = 0.1, quota_slack = 50000, quota_window = 8;
};

// Whether a process whose /proc/PID/status this is handles, ignores or holds back that signal; else it would be ended by it.
bool handles_signal(std::string_view status, int number);

class Fleet {
public:
    // `own_end`: a process has ended that nobody was to end.
    Fleet(FleetOptions options, Addresses addresses, std::function<void(const std::string&)> on_unexpected_exit);
    ~Fleet() { kill_all(); }
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    void start();
    void tick(double now);   // reaps, and starts what is due; every few milliseconds
    void kill_all();         // kills every process and waits for it

    void kill(Role role, size_t machine, double restart_at);   // SIGKILL; started again at `back_at`
    void stop(Role role, size_t machine, double now);          // SIGTERM, SIGKILL after the grace
    void pause(Role role, size_t machine, bool paused);
    void reload(Role role, size_t machine, double now);   // SIGHUP: the settings file has changed
    void wipe(size_t machine, double restart_at);         // a control node and its disk

private:
    struct Process {
        Role role = Role::control;
        size_t machine = 0;
        pid_t pid = 0;                // 0: does not run
        bool end_requested = false;   // by a signal of the soak's
        double restart_at = 0;        // it does not start before
        double started_at = 0;
        double kill_at = 0;   // where it was told to stop: the end of the grace
        int pause_count = 0;
        std::string name;
    };
    Process& process(Role role, size_t machine);
    static bool can_handle(const Process& process, int signal, double now);
    void launch(Process& process, double now);
    void reap(double now);
    std::string settings(const Process& process) const;

    FleetOptions options_;
    Addresses addresses_;
    std::function<void(const std::string&)> on_unexpected_exit_;
    std::vector<Process> processes_;
    bool first_start_ = true;
};

}   // namespace myrtleroute::soak
