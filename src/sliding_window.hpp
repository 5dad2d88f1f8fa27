// Sums over a sliding window of time: a ring of buckets of equal width, with running totals.
#pragma once
#include <array>
#include <cmath>
#include <cstdint>

#include "time.hpp"

namespace myrtleroute {

// `Sums`: how many sums are kept side by side.
template <int Sums, int Buckets = 8>
class SlidingWindow {
public:
    // The totals cover the current bucket and the full ones before it: `span`, and up to one bucket more.
    explicit SlidingWindow(Span span) : width_(span * (1.0 / (Buckets - 1))) {}

    void add(Time now, int sum, double amount = 1) {
        advance(now);
        bucket(head_)[sum] += amount;
        totals_[sum] += amount;
    }
    double total(Time now, int sum) {
        advance(now);
        return totals_[sum];
    }
    void clear() {
        buckets_ = {};
        totals_ = {};
    }

private:
    void advance(Time now) {
        const auto at = static_cast<int64_t>(std::floor(now.s / width_.s));
        if (at <= head_) return;
        if (at - head_ >= Buckets) {
            clear();
            head_ = at;
        }
        while (head_ < at) {
            auto& oldest = bucket(++head_);
            for (int i = 0; i < Sums; ++i) totals_[i] = std::fmax(0, totals_[i] - oldest[i]);
            oldest = {};
        }
    }
    std::array<double, Sums>& bucket(int64_t at) { return buckets_[static_cast<uint64_t>(at) % Buckets]; }

    static_assert((Buckets & (Buckets - 1)) == 0, "a power of two, so that bucket indexes wrap correctly below zero");
    Span width_;
    int64_t head_ = INT64_MIN / 4;
    std::array<std::array<double, Sums>, Buckets> buckets_{};
    std::array<double, Sums> totals_{};
};

}  // namespace myrtleroute
