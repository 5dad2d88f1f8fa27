// One run of the lab: whole proxies (the code of the real program) on a virtual clock and network, with simulated
// clients, servers and discovery, under the faults of a scenario. The rules are checked after every step. The same
// scenario always gives the same run, step by step.
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
    bool step();   // false: the run is over, or a rule is broken
    uint64_t steps() const { return queue_.steps(); }
    const std::optional<Violation>& violation() const { return oracle_.violation(); }
    const Summary& summary();   // of the run so far

private:
    struct Instance;
    void fault_begins(const Fault& fault);
    void fault_ends(const Fault& fault);
    void start(Instance& i, Time list_known_at);
    void run_round(Instance& i);
    void schedule_round(Instance& i, Time at);
    void check(Instance& i);   // after a round: counts, rounds and memory
    void configure(Instance& i);   // writes its configuration file
    void request_stop(Instance& i);
    void check_stop(Instance& i, uint64_t starts, Time by);
    void process_ended(Instance& i);   // closes its sockets and deletes its proxy
    void check_nothing_left();   // after the load and all idle timeouts
    std::string server_list(Time at, std::vector<Oracle::ListedServer>& servers) const;
    void list_changed();

    const Scenario scenario_;
    Trace trace_;
    Queue queue_;
    Net net_;
    Oracle oracle_;
    Site site_;
    RandomStream random_;
    Registry registry_;
    std::vector<std::unique_ptr<Discovery>> discoveries_;
    size_t current_discovery_ = 0;   // index of the one that accepts requests
    std::vector<std::unique_ptr<Server>> servers_;
    std::vector<std::unique_ptr<Application>> applications_;
    std::vector<std::unique_ptr<Instance>> instances_;
    bool stopping_ = false;
    Time load_ends_at_;
};

}  // namespace myrtleroute::lab
