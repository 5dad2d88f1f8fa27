// One day in the lab: whole proxies, the very code of the program, on the virtual clock and network, among
// stand-ins for clients, servers and discovery, under the scenario's faults, with the rules checked after
// every step. The same scenario gives the same day, step by step.
#pragma once
#include <iostream>
#include <memory>
#include <sstream>
#include <vector>

#include "lab/application.hpp"
#include "lab/server.hpp"
#include "lab/virtual_system.hpp"
#include "run/proxy.hpp"

namespace myrtleroute::lab {

class World {
public:
    explicit World(const Scenario& scenario);
    ~World();
    Trace& trace() { return trace_; }
    bool step();                       // false: the day is over, or a rule is broken
    uint64_t steps() const { return queue_.steps(); }
    const std::optional<Broken>& broken() const { return oracle_.broken(); }
    const Summary& summary();          // of the day so far

private:
    struct Instance;
    void begins(const Fault& fault);
    void ends(const Fault& fault);
    void start(Instance& i, Time known_at);
    void turn(Instance& i);
    void plan(Instance& i, Time at);
    void check(Instance& i);
    void configure(Instance& i);       // writes its file anew
    void tell_to_stop(Instance& i);
    void check_stop(Instance& i, uint64_t starts, Time by);
    void gone(Instance& i);            // its process
    void quiet();                      // long after the load
    std::string known(Time at, std::vector<Oracle::Told>& told) const;
    void list_changed();

    const Scenario scenario_;
    Trace trace_;
    Queue queue_;
    Net net_;
    Oracle oracle_;
    Site site_;
    RandomStream chance_;
    Registry registry_;
    std::vector<std::unique_ptr<Discovery>> discoveries_;
    size_t discovery_ = 0;             // that takes calls
    std::vector<std::unique_ptr<Server>> servers_;
    std::vector<std::unique_ptr<Application>> applications_;
    std::vector<std::unique_ptr<Instance>> instances_;
    bool stopping_ = false;
    Time over_at_;
};

}  // namespace myrtleroute::lab
