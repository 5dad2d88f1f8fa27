// The conductor of one run: starts servers, discovery, relays, load and the proxies, applies the faults at their times,
// ends each process that it started, by process id and on every exit path, and writes the run's folder.
#pragma once
#include <functional>
#include <map>
#include <set>

#include "rig/run_record.hpp"
#include "rig/process.hpp"
#include "rig/rig_system.hpp"
#include "run/loop.hpp"

namespace myrtleroute::rig {

struct RunOptions {
    std::string program;       // of the proxies, if the arm names none; empty: `run` of the deploy file
    std::string deploy = "deploy/balancer.toml";
    std::string self;          // path of this program
    std::string file;          // path of the experiment
    std::string log_level;     // MYRTLEROUTE_LOG of the proxies; empty: unset
    bool terminal = false;     // print progress and time left to stderr
    size_t max_descriptors = 0;   // RLIMIT_NOFILE of a process
};

struct StartFailure : std::runtime_error {
    using runtime_error::runtime_error;
};

// Number of processes of each kind that an experiment needs so that none runs out of descriptors.
struct ProcessCounts {
    int servers = 1, relays = 0, loads = 1;
};
ProcessCounts process_counts(const Experiment& e,
                             size_t max_descriptors);   // throws StartFailure if there are too few descriptors

class Conductor : public memory::ConnectionHandler {
public:
    Conductor(const Experiment& e, size_t arm, int repeat, std::string directory, RunOptions options);
    ~Conductor() override;
    RunRecord run();
    bool interrupted() const { return interrupted_; }

private:
    struct ControlConnection;
    struct Part {
        std::string name;
        pid_t pid = 0;
        ControlConnection* connection = nullptr;
        bool ready = false, done = false;
    };
    struct Proxy {
        pid_t pid = 0;
        bool expected_running = true;             // its exit is reported as a crash
        bool restart_on_exit = false;             // start it again after its exit
        bool no_start = false;
        int starts = 0;
        std::string program;            // instead of the arm's
        nlohmann::json settings;
        size_t incarnation = 0;                // index in the record
    };

    void on_readable(memory::Connection& c) override;
    void on_error(memory::Connection& c, int error) override;
    void on_timer(memory::Connection&) override {}

    Part& start_part(const std::string& kind, int number, int of);
    void start_proxy(int number);
    void write_configuration(int number);
    std::vector<std::string> command_of(const Proxy& proxy) const;
    void on_line(Part& part, const std::string& line);
    void send(Part& part, const std::string& line);
    void send_to_all(const std::string& kind, const std::string& line);
    void run_once();
    void reap();
    // Runs the loop until the condition holds; false: timeout. Throws if a needed process has exited, or on an interrupt.
    bool wait_for(const std::function<bool()>& condition, Span most);
    void start_all();
    void run_load();
    void schedule(Time when, std::function<void()> what);
    void start_fault(int fault);
    void process_fault(int fault, int member);
    void server_fault(int fault, int member);
    void throttle_process(int member, double share, Time until, bool now);
    void restart(int member);
    size_t record_fault(int fault, std::vector<int> who, double duration);
    void stop_all();
    void print_progress();

    const Experiment& e_;
    const Arm& arm_;
    RunOptions options_;
    ProcessCounts counts_;
    RigSystem system_;
    run::Log log_;
    run::Loop loop_;
    RunRecord record_;
    std::vector<std::unique_ptr<Part>> parts_;
    std::vector<Proxy> proxies_;
    std::vector<int> server_incarnations_;
    std::map<pid_t, int> proxy_by_pid_;                            // proxy by process id
    std::map<std::pair<int, int>, uint16_t> ports_;       // by kind and party: servers and discovery
    std::map<std::tuple<int, int, int>, uint16_t> relay_ports_;   // by relay, kind, party
    std::map<uint64_t, std::function<void()>> scheduled_;
    uint64_t next_scheduled_ = 0;
    uint16_t proxy_port_ = 0;
    int proxy_port_fd_ = -1;
    bool interrupted_ = false, ending_ = false;
    size_t loads_up_ = 0, asked_ = 0, loads_done_ = 0;
    Time start_ = long_ago, shown_ = long_ago;
};

}  // namespace myrtleroute::rig
