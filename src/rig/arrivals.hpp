// When the applications of a fleet call: open loop, so no answer slows them, and all from the seed, so the same
// experiment has the same arrivals in every arm. Knows no clock: times count from the start of the load.
#pragma once
#include <vector>

#include "lab/random_stream.hpp"
#include "rig/experiment.hpp"

namespace myrtleroute::rig {

// Calls a second of each proxy, their mean as the experiment says.
std::vector<double> rates(const Experiment& e);

struct Arrival {
    Time at;
    size_t product = 0;
    uint64_t number = 0;   // from 1, of this proxy's
};

class Arrivals {
public:
    Arrivals(const Experiment& e, const std::vector<double>& rates, int proxy);
    const Arrival& next() const { return next_; }   // its time is past the end of the load once all have come
    void advance();

private:
    double rate(Time at) const;
    Time steady_until(Time at) const;   // the rate does not change before

    const Experiment& e_;
    const std::vector<double>& rates_;
    int proxy_;
    std::vector<const Burst*> bursts_;
    double shares_ = 0;
    lab::RandomStream chance_;
    Arrival next_;
};

// A call's number says who calls; 0 is no call's.
constexpr uint64_t call_id(int proxy, uint64_t number) { return static_cast<uint64_t>(proxy + 1) << 40 | number; }
constexpr int proxy_of(uint64_t call) { return static_cast<int>(call >> 40) - 1; }

}  // namespace myrtleroute::rig
