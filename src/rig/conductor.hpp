// The conductor of one run: starts servers, discovery, relays, load and the proxies, plays the faults over time, ends
// all that it started, by id, whatever happens, and leaves the run's folder.
#pragma once
#include <functional>
#include <map>
#include <set>

#include "rig/day.hpp"
#include "rig/process.hpp"
#include "rig/rig_system.hpp"
#include "run/loop.hpp"

namespace myrtleroute::rig {

struct How {
    std::string program;       // of the proxies, where the arm names none; empty: `run` of the deploy file
    std::string deploy = "deploy/balancer.toml";
    std::string self;          // this program's path
    std::string file;          // the experiment's
    std::string variables;     // MYRTLEROUTE_LOG level for the proxies
    bool terminal = false;     // progress with time left
    size_t most_descriptors = 0;   // that a process may have, of the system
};

struct CantStart : std::runtime_error {
    using runtime_error::runtime_error;
};

// How many processes of each kind an experiment takes, so that none runs out of descriptors.
struct Shape {
    int servers = 1, relays = 0, loads = 1;
};
Shape shape(const Experiment& e, size_t most_descriptors);   // throws CantStart where it can't be

class Conductor : public memory::ConnectionHandler {
public:
    Conductor(const Experiment& e, size_t arm, int repeat, std::string directory, How how);
    ~Conductor() override;
    Day run();
    bool interrupted() const { return interrupted_; }

private:
    struct Line;
    struct Part {
        std::string name;
        pid_t pid = 0;
        Line* line = nullptr;
        bool ready = false, done = false;
    };
    struct Proxy {
        pid_t pid = 0;
        bool wanted = true;             // its end now is a loss
        bool again = false;             // start it once it has ended
        bool no_start = false;
        int starts = 0;
        std::string program;            // another than the arm's
        nlohmann::json settings;
        size_t life = 0;                // of the day's
    };

    void on_readable(memory::Connection& c) override;
    void on_error(memory::Connection& c, int error) override;
    void on_timer(memory::Connection&) override {}

    Part& start_part(const std::string& kind, int number, int of);
    void start_proxy(int number);
    void configure(int number);
    std::vector<std::string> words_of(const Proxy& proxy) const;
    void heard(Part& part, const std::string& line);
    void tell(Part& part, const std::string& line);
    void tell_all(const std::string& kind, const std::string& line);
    void pump();
    void reap();
    // False: not so within the time; throws where something that was needed has ended, or somebody interrupts.
    bool wait_for(const std::function<bool()>& so, Span most);
    void start_all();
    void play();
    void at(Time when, std::function<void()> what);
    void begin(int fault);
    void process_fault(int fault, int member);
    void server_fault(int fault, int member);
    void stop_in_turns(int member, double share, Time until, bool now);
    void restart(int member);
    size_t befalls(int fault, std::vector<int> who, double lasts);
    void end_all();
    void progress();

    const Experiment& e_;
    const Arm& arm_;
    How how_;
    Shape shape_;
    RigSystem system_;
    run::Log log_;
    run::Loop loop_;
    Day day_;
    std::vector<std::unique_ptr<Part>> parts_;
    std::vector<Proxy> proxies_;
    std::vector<int> server_lives_;
    std::map<pid_t, int> ids_;                            // of proxies
    std::map<std::pair<int, int>, uint16_t> ports_;       // of servers and discovery
    std::map<std::tuple<int, int, int>, uint16_t> relay_ports_;   // by relay, kind, party
    std::map<uint64_t, std::function<void()>> plans_;
    uint64_t next_plan_ = 0;
    uint16_t door_port_ = 0;
    int door_fd_ = -1;
    bool interrupted_ = false, ending_ = false;
    size_t up_ = 0, asked_ = 0, done_ = 0;
    Time start_ = long_ago, shown_ = long_ago;
};

}  // namespace myrtleroute::rig
