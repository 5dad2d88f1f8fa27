// Metrics of a run over all proxies: evenness of the servers' load and herding, each compared with random draws;
// connections, service, latency and cost.
#pragma once
#include <nlohmann/json.hpp>
#include <ostream>

#include "rig/run_record.hpp"
#include "rig/histogram.hpp"

namespace myrtleroute::rig {

struct Spread {               // distribution of calls over servers, each divided by the server's size
    double max = 0, min = 0, cv = 0;   // max and min over the mean; coefficient of variation
    double idle = 0;        // number of servers without a call
};
Spread spread_of(const std::vector<double>& calls);

struct Window {
    double from;            // seconds since the start of the load
    uint64_t calls;
    int servers;            // listed as serving throughout the window
    Spread actual, random;
    bool fault_free;              // no fault in it or in the window before
};

// The load counts as even while its cv is at most this multiple of that of random draws: the cv of one window of 60
// servers varies by a tenth by chance alone.
constexpr double even_threshold = 1.25;

// Decomposition of the squared cv into causes, which sum to the observed value. A proxy's pool is estimated as the
// servers that it called within ten seconds of the window, so that with few calls the pool is underestimated.
struct Causes {
    double observed = 0;
    double pools = 0;        // composition of the pools, assuming equal traffic of all proxies
    double traffic = 0;      // added by unequal traffic
    double chance = 0;       // uniform random choice of each proxy within its pool
    double persistent = 0;      // non-random choice within pools: the same servers in all windows,
    double transient = 0;      // different servers in each window
    double covariance = 0;     // twice the covariance of pools and choice
};

struct Figures {
    std::vector<Window> windows;
    Causes causes;          // mean over the windows
    Spread actual, random;      // means over the windows
    double worst_fault_free = 0;  // highest ratio of cv to that of random draws in windows without a fault
    // Seconds from the end of the last fault until all later windows, one second apart, are even; -1: never.
    double even_after = 0;
    Spread whole_run, whole_run_random;   // with the whole run as one window
    double herd = 0, herd_random = 0;   // most proxies that chose the same server within 100 ms; with random draws
    uint64_t calls = 0, fulfilled = 0, late = 0, rate_limited = 0, errored = 0, not_connected = 0, lost = 0;
    double service = 0;     // value answered in time over value requested
    std::vector<double> service_by_second, calls_by_second;
    uint64_t attempts = 0, probes = 0, opened = 0, list_calls = 0;
    double max_connections = 0;   // peak of each server, mean over servers
    std::vector<std::vector<double>> heat;   // calls by server and second
    std::vector<Histogram> latency;          // by product, of calls answered 200
    Histogram all_latency;
};

Figures figures(const RunRecord& record);
nlohmann::json to_json(const RunRecord& record, const Figures& f);
void print(std::ostream& out, const RunRecord& record, const Figures& f);

}  // namespace myrtleroute::rig
