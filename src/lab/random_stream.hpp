// Random numbers of the lab. Each component has its own stream derived from the seed, so that leaving out a fault or
// a call changes as little as possible of the rest of a run.
#pragma once
#include <cmath>
#include <cstdint>

#include "random.hpp"

namespace myrtleroute::lab {

// SplitMix64 (Steele, Lea, Flood 2014): makes neighbouring seeds and stream numbers give unrelated streams.
constexpr uint64_t mix(uint64_t x) {
    x += 0x9e3779b97f4a7c15ULL;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

// `stream` selects one of the independent sequences of a seed.
class RandomStream {
public:
    RandomStream(uint64_t seed, uint64_t stream) : pcg_(mix(seed ^ mix(stream))) {}
    double uniform() { return pcg_.uniform(); }
    bool bernoulli(double probability) { return uniform() < probability; }
    int below(int n) { return static_cast<int>(uniform() * n); }
    double between(double a, double b) { return a + (b - a) * uniform(); }
    double exponential(double mean) { return -mean * std::log(1 - uniform()); }
    uint64_t number() { return static_cast<uint64_t>(pcg_.next()) << 32 | pcg_.next(); }

private:
    Pcg pcg_;
};

}  // namespace myrtleroute::lab
