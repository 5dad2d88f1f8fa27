// Rate limit for the log lines of one cause: at most one line per second.
#pragma once
#include <optional>
#include <utility>

#include "time.hpp"

namespace myrtleroute {

class LogRateLimiter {
public:
    // If a line may be logged now, counts it as logged and returns how many were suppressed since the last one.
    // Otherwise counts it as suppressed and returns nullopt.
    std::optional<unsigned> try_log(Time now) {
        constexpr Span min_interval{1};
        if (now - last_logged_ < min_interval) {
            ++suppressed_;
            return {};
        }
        last_logged_ = now;
        return std::exchange(suppressed_, 0);
    }

private:
    Time last_logged_ = long_ago;
    unsigned suppressed_ = 0;
};

}   // namespace myrtleroute
