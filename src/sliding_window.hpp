// What is measured over time: fixed buckets of time, used again in a ring, with their totals kept up.
#pragma once
#include <array>
#include <cmath>
#include <cstdint>

#include "time.hpp"

namespace myrtleroute {

template <int Lanes, int Buckets = 8>
class SlidingWindow {
public:
    // The totals cover the present bucket and the full ones before it: all of `span` and up to a bucket more.
    explicit SlidingWindow(Span span) : width_(span * (1.0 / (Buckets - 1))) {}

    void add(Time now, int lane, double amount = 1) {
        turn(now);
        bucket(head_)[lane] += amount;
        totals_[lane] += amount;
    }
    double total(Time now, int lane) {
        turn(now);
        return totals_[lane];
    }
    void clear() {
        buckets_ = {};
        totals_ = {};
    }

private:
    void turn(Time now) {
        const auto at = static_cast<int64_t>(std::floor(now.s / width_.s));
        if (at <= head_) return;
        if (at - head_ >= Buckets) {
            clear();
            head_ = at;
        }
        while (head_ < at) {
            auto& oldest = bucket(++head_);
            for (int i = 0; i < Lanes; ++i) totals_[i] = std::fmax(0, totals_[i] - oldest[i]);
            oldest = {};
        }
    }
    std::array<double, Lanes>& bucket(int64_t at) { return buckets_[static_cast<uint64_t>(at) % Buckets]; }

    static_assert((Buckets & (Buckets - 1)) == 0, "a power of two, so that the ring also closes below zero");
    Span width_;
    int64_t head_ = INT64_MIN / 4;
    std::array<std::array<double, Lanes>, Buckets> buckets_{};
    std::array<double, Lanes> totals_{};
};

}  // namespace myrtleroute
