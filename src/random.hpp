// Pseudo-random numbers: a permuted congruential generator (PCG-XSH-RR 64/32). The same seed gives the same sequence.
#pragma once
#include <cstdint>

namespace myrtleroute {

class Pcg {
public:
    explicit Pcg(uint64_t seed) : state_(seed + step_) { next(); }
    uint32_t next() {
        const uint64_t old = state_;
        state_ = old * 6364136223846793005ULL + step_;
        const auto mixed = static_cast<uint32_t>(((old >> 18) ^ old) >> 27);
        const auto rotation = static_cast<uint32_t>(old >> 59);
        return (mixed >> rotation) | (mixed << (-rotation & 31));
    }
    double uniform() { return next() / 4294967296.0; }   // over [0, 1)

private:
    static constexpr uint64_t step_ = 1442695040888963407ULL;
    uint64_t state_;
};

}  // namespace myrtleroute
