// What many proxies do together, as figures: how evenly servers are loaded beside random draws, herds beside chance,
// connections, service, latency, cost.
#pragma once
#include <nlohmann/json.hpp>
#include <ostream>

#include "rig/run_record.hpp"
#include "rig/histogram.hpp"

namespace myrtleroute::rig {

struct Spread {               // calls by server, each over its size
    double max = 0, min = 0, cv = 0;   // over the mean; standard deviation over the mean
    double idle = 0;        // servers with no call
};
Spread spread_of(const std::vector<double>& calls);

struct Window {
    double from;            // since the start
    uint64_t calls;
    int servers;            // in reach: listed as serving all along
    Spread actual, random;
    bool fault_free;              // no fault on, nor within the window before
};

// The fleet's load is even while cv is at most so many times that of random draws: one window's cv of 60 servers
// strays by a tenth of itself by chance alone.
constexpr double even_threshold = 1.25;

// Where unevenness comes from, as parts of cv squared that add up to the whole. A proxy's pool is taken to be the
// servers that it sent to within ten seconds of the window, so what few calls show of a pool counts as the pool.
struct Causes {
    double observed = 0;
    double pools = 0;        // which servers the pools hold, had all proxies the same traffic
    double traffic = 0;      // more, as their traffic differs
    double chance = 0;       // even draws of each proxy within its pool
    double persistent = 0;      // the choice within pools beyond chance: the same servers in all windows,
    double transient = 0;      // others in each
    double covariance = 0;     // twice the covariance of pools and choice
};

struct Figures {
    std::vector<Window> windows;
    Causes causes;          // mean over the windows
    Spread actual, random;      // means over the windows
    double worst_fault_free = 0;  // cv over that of random draws, the highest of the windows without a fault
    // Seconds from the end of the last fault until windows, a second apart, are even to the end; -1: none was.
    double even_after = 0;
    Spread whole_run, whole_run_random;   // the run as one window
    double herd = 0, herd_random = 0;   // most proxies that chose one server within 100 ms; the same of random draws
    uint64_t calls = 0, fulfilled = 0, late = 0, rate_limited = 0, errored = 0, not_connected = 0, lost = 0;
    double service = 0;     // value in time over value asked
    std::vector<double> service_by_second, calls_by_second;
    uint64_t attempts = 0, probes = 0, opened = 0, list_calls = 0;
    double max_connections = 0;   // a server, at its highest, in the mean
    std::vector<std::vector<double>> heat;   // by server and second: calls
    std::vector<Histogram> latency;          // by product, of fulfilled calls
    Histogram all_latency;
};

Figures figures(const RunRecord& record);
nlohmann::json to_json(const RunRecord& record, const Figures& f);
void print(std::ostream& out, const RunRecord& record, const Figures& f);

}  // namespace myrtleroute::rig
