// A run as it is left in its folder: the experiment, what the conductor did and saw (run.json), and the records of all
// processes. The judge and the figures read nothing else, so both can be had again later.
#pragma once
#include <string>
#include <vector>

#include "rig/experiment.hpp"
#include "rig/records.hpp"

namespace myrtleroute::rig {

struct Befell {              // a fault as it was truly on
    int fault = 0;           // of the experiment's
    double from = 0, to = 0; // of the machine's clock
    std::vector<int> who;
};
struct Life { int proxy; double from, to; std::string how; };   // of a process; to 0: to the end; how it ended
struct Worked { std::string part; double busiest, cpu, memory_mb; };   // share of a core in its busiest second; seconds

struct Day {
    Experiment e;
    std::string directory, arm, program;
    int repeat = 0;
    bool whole = false;                  // nobody interrupted it
    double start = 0, end = 0;           // of the load
    double started_in = 0, ended_in = 0; // seconds that took
    std::vector<Befell> befell;
    std::vector<Life> lives;
    std::vector<Worked> parts;
    std::vector<std::string> lost;       // processes that ended and no fault had ended
    std::vector<std::string> left;       // that could not be ended
    double cpu = 0, memory_mb = 0, most_memory_mb = 0;   // of the proxies: the sum; the mean and highest peak
    struct { double connections = 0, most_at_once = 0, bytes = 0; } relayed;

    std::vector<CallRecord> calls;       // by number
    std::vector<ShotRecord> shots;       // by call, then time
    std::vector<ConnectionRecord> connections;
    std::vector<TipRecord> tips;
    std::vector<ToldRecord> told;
    std::vector<ListRecord> list;
    std::vector<StarvedRecord> starved;  // in order
};

void write_day(const Day& day);          // run.json
Day read_day(const std::string& directory);

}  // namespace myrtleroute::rig
