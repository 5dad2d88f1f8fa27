// Base of the rig's own processes (servers, discovery, relay, load): an event loop with a control connection to the
// conductor, on which commands and reports are lines of words. It records when the machine schedules it too late.
#pragma once
#include <sstream>
#include <string>
#include <vector>

#include "rig/experiment.hpp"
#include "rig/records.hpp"
#include "rig/rig_system.hpp"
#include "run/loop.hpp"

namespace myrtleroute::rig {

constexpr int control_fd = 3;   // descriptor of the control connection in each part process

struct Listener : memory::Connection {
    Listener(memory::ConnectionHandler& by, int fd) : Connection(by, fd, 1, 1) { listens = true; }
    std::string name() const override { return "listener"; }
};

class Part : public memory::ConnectionHandler {
public:
    Part(Experiment e, std::string directory, std::string name);
    int run();   // until the conductor sends `end` or its connection closes

protected:
    virtual void on_command(const std::string& word, std::istringstream& more) = 0;
    virtual void timer_fired(uint64_t) {}
    virtual void write_results() {}                  // writes the record files
    void send_line(const std::string& line);
    std::string file(const std::string& what) const { return directory_ + "/" + name_ + "." + what; }
    double at(Time t) const { return t.s; }
    Time start() const { return start_; }     // of the load; long_ago until then

    const Experiment e_;
    RigSystem system_;
    run::Log log_;
    run::Loop loop_;

private:
    struct Control;
    void read_commands(memory::Connection& c);
    void check_delay();
    std::string directory_, name_;
    Control* control_ = nullptr;
    bool stopping_ = false;
    Time next_check_, second_at_;
    double cpu_ = 0, busiest_ = 0;
    std::vector<StarvedRecord> starved_;
    Time start_ = long_ago;
};

}  // namespace myrtleroute::rig
