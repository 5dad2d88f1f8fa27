// A run as stored in its folder: the experiment, the actions and observations of the conductor (run.json), and the
// records of all processes. The judge and the figures read nothing else, so both can be computed again later.
#pragma once
#include <string>
#include <vector>

#include "rig/experiment.hpp"
#include "rig/records.hpp"

namespace myrtleroute::rig {

struct AppliedFault {              // a fault as it was actually applied
    int fault = 0;           // index in the experiment
    double from = 0, to = 0; // seconds of the machine's monotonic clock
    std::vector<int> who;
};
struct Incarnation {         // one run of a proxy process
    int proxy;
    double from, to;         // 0: until the end
    std::string exit;        // status or signal
};
struct PartUsage {
    std::string part;
    double busiest, cpu, memory_mb;   // share of a core in its busiest second; seconds; peak
};

struct RunRecord {
    Experiment e;
    std::string directory, arm, program;
    int repeat = 0;
    bool complete = false;                  // not interrupted
    double start = 0, end = 0;           // of the load
    double started_in = 0, ended_in = 0; // seconds
    std::vector<AppliedFault> applied_faults;
    std::vector<Incarnation> incarnations;
    std::vector<PartUsage> parts;
    std::vector<std::string> lost;       // processes that ended without a fault that ends them
    std::vector<std::string> left;       // processes that did not end on request
    double cpu = 0, memory_mb = 0, max_memory_mb = 0;   // of the proxies: sum in seconds; mean and maximum of the peaks
    struct { double connections = 0, max_at_once = 0, bytes = 0; } relayed;

    std::vector<CallRecord> calls;       // sorted by call
    std::vector<AttemptRecord> attempts;       // sorted by call, then time
    std::vector<ConnectionRecord> connections;
    std::vector<OverloadRecord> overloads;
    std::vector<DiscoveryRecord> discovery_records;
    std::vector<ListRecord> list;
    std::vector<StarvedRecord> starved;  // sorted by time
};

void write_record(const RunRecord& record);          // run.json
RunRecord read_record(const std::string& directory);

}  // namespace myrtleroute::rig
