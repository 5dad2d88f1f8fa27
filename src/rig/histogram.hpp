// Times by count in buckets that grow by a fixed ratio: from 10 us to 100 s in some 700 places, each figure true to
// within 1.2%, whatever the number of samples.
#pragma once
#include <array>
#include <cmath>
#include <cstdint>

namespace myrtleroute::rig {

class Histogram {
public:
    void add(double seconds) {
        const double place = std::log(std::max(seconds, least) / least) / std::log(ratio);
        ++counts_[std::min(counts_.size() - 1, static_cast<size_t>(place))];
        ++total_;
    }
    void add(const Histogram& o) {
        for (size_t i = 0; i < counts_.size(); ++i) counts_[i] += o.counts_[i];
        total_ += o.total_;
    }
    uint64_t total() const { return total_; }
    double quantile(double share) const {   // 0 where there is none
        uint64_t wanted = static_cast<uint64_t>(std::ceil(share * static_cast<double>(total_)));
        for (size_t i = 0; i < counts_.size(); ++i) {
            if (counts_[i] >= wanted && total_) return least * std::pow(ratio, static_cast<double>(i) + 0.5);
            wanted -= counts_[i];
        }
        return 0;
    }

private:
    static constexpr double least = 1e-5, ratio = 1.024;
    std::array<uint64_t, 700> counts_{};
    uint64_t total_ = 0;
};

}  // namespace myrtleroute::rig
