// Arrival process of the applications' calls: open loop, so that slow answers don't reduce the load, and derived from
// the seed, so that each arm of an experiment gets the same arrivals. Times count from the start of the load.
#pragma once
#include <vector>

#include "lab/random_stream.hpp"
#include "rig/experiment.hpp"

namespace myrtleroute::rig {

// Calls per second of each proxy; their mean is the experiment's rate.
std::vector<double> rates(const Experiment& e);

struct Arrival {
    Time at;
    size_t product = 0;
    uint64_t number = 0;   // counts this proxy's calls, from 1
};

class Arrivals {
public:
    Arrivals(const Experiment& e, const std::vector<double>& rates, int proxy);
    const Arrival& next() const { return next_; }   // its time is past the end of the load after the last arrival
    void advance();

private:
    double rate(Time at) const;
    Time constant_until(Time at) const;   // end of the interval of constant rate

    const Experiment& e_;
    const std::vector<double>& rates_;
    int proxy_;
    std::vector<const Burst*> bursts_;
    double shares_ = 0;
    lab::RandomStream chance_;
    Arrival next_;
};

// A call's id contains its proxy; 0 is no valid id.
constexpr uint64_t call_id(int proxy, uint64_t number) { return static_cast<uint64_t>(proxy + 1) << 40 | number; }
constexpr int proxy_of(uint64_t call) { return static_cast<int>(call >> 40) - 1; }

}  // namespace myrtleroute::rig
