// A process of the rig's own (servers, discovery, relay, load): a loop with a line to the conductor, which tells it
// what to do and hears what it has to say, words by line. It watches how late the machine lets it run.
#pragma once
#include <sstream>
#include <string>
#include <vector>

#include "rig/experiment.hpp"
#include "rig/records.hpp"
#include "rig/rig_system.hpp"
#include "run/loop.hpp"

namespace myrtleroute::rig {

constexpr int control_fd = 3;   // in every process that the conductor starts as a part

struct Listener : memory::Connection {
    Listener(memory::ConnectionHandler& by, int fd) : Connection(by, fd, 1, 1) { listens = true; }
    std::string name() const override { return "listener"; }
};

class Part : public memory::ConnectionHandler {
public:
    Part(Experiment e, std::string directory, std::string name);
    int run();   // until the conductor says `end` or is gone

protected:
    virtual void told(const std::string& word, std::istringstream& more) = 0;
    virtual void woken(uint64_t) {}
    virtual void finish() {}                  // writes its records
    void tell(const std::string& line);
    std::string file(const std::string& what) const { return directory_ + "/" + name_ + "." + what; }
    double at(Time t) const { return t.s; }
    Time start() const { return start_; }     // of the load; long ago before it

    const Experiment e_;
    RigSystem system_;
    run::Log log_;
    run::Loop loop_;

private:
    struct Control;
    void control_came(memory::Connection& c);
    void beat();
    std::string directory_, name_;
    Control* control_ = nullptr;
    bool over_ = false;
    Time beat_at_, second_at_;
    double cpu_ = 0, busiest_ = 0;
    std::vector<StarvedRecord> starved_;
    Time start_ = long_ago;
};

}  // namespace myrtleroute::rig
