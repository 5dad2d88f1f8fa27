// Bounds lines in the log about one cause: at most one a second.
#pragma once
#include <optional>
#include <utility>

#include "time.hpp"

namespace myrtleroute {

class LogRateLimiter {
public:
    // How many lines were left out since the last one, where a line may be written now; it counts as written. Nothing: this
    // one is left out as well.
    std::optional<unsigned> try_log(Time now) {
        constexpr Span line_every{1};
        if (now - written_ < line_every) {
            ++left_out_;
            return {};
        }
        written_ = now;
        return std::exchange(left_out_, 0);
    }

private:
    Time written_ = long_ago;
    unsigned left_out_ = 0;
};

}   // namespace myrtleroute
