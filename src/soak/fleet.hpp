// The processes of the fleet under test: writes their settings files, starts, pauses, stops and kills them. Each
// process is signalled by its process id, and is killed when the soak process ends, for whatever reason.
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

// A block of loopback addresses that no other run uses; reserved for the lifetime of the object.
class AddressBlock {
public:
    // Throws std::runtime_error if no block is free.
    explicit AddressBlock(asio::io_context& context);
    int number() const { return number_; }

private:
    asio::ip::tcp::acceptor lock_;
    int number_ = 0;
};

// Addresses of a run: it uses 127.BLOCK.*.* alone, so that several runs can share a machine.
class Addresses {
public:
    // `relayed`: other processes reach control nodes through relays, otherwise directly at their listening addresses.
    Addresses(int block, size_t controls, bool relayed = true)
        : block_(block), controls_(controls), relayed_(relayed) {}
    std::string machine(size_t number) const;      // where the machine's processes listen
    std::string advertised(size_t number) const;   // where the machine's relays listen
    std::string host(size_t number) const;         // of a simulated host
    Endpoint control(size_t machine) const;        // that hosts and the operator connect to
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
    std::string directory;   // for settings files, logs and data directories
    FleetSize size;
    double quota_over = 0.1, quota_slack = 50000, quota_window = 8;
};

// Whether the process with this text of /proc/PID/status handles, ignores or blocks the signal; otherwise the signal
// would terminate it.
bool handles_signal(std::string_view status, int number);

class Fleet {
public:
    // `on_unexpected_exit` is called with a description when a process ends without being told to, or with an
    // unexpected status.
    Fleet(FleetOptions options, Addresses addresses, std::function<void(const std::string&)> on_unexpected_exit);
    ~Fleet() { kill_all(); }
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    void start();
    void tick(double now);   // reaps processes and starts those that are due; call it every few milliseconds
    void kill_all();         // kills all processes and waits for them

    void kill(Role role, size_t machine, double restart_at);   // SIGKILL; restarted at `restart_at`
    void stop(Role role, size_t machine, double now);          // SIGTERM, then SIGKILL after the grace period
    void pause(Role role, size_t machine, bool paused);
    void reload(Role role, size_t machine, double now);   // SIGHUP: reload the settings file
    void wipe(size_t machine, double restart_at);         // kills a control node and erases its data directory

private:
    struct Process {
        Role role = Role::control;
        size_t machine = 0;
        pid_t pid = 0;                // 0: not running
        bool end_requested = false;   // the soak has sent SIGTERM or SIGKILL
        double restart_at = 0;        // earliest time of the next start
        double started_at = 0;
        double kill_at = 0;   // end of the grace period after SIGTERM; 0: none
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
