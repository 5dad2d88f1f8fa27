// What a proxy tells of answers that it cuts after they have begun: counters by cause, and lines in the log. It decides
// nothing.
#pragma once
#include <array>
#include <functional>
#include <string>
#include <string_view>

#include "base/log_rate_limiter.hpp"
#include "base/metrics.hpp"
#include "time.hpp"

namespace myrtleroute::proxy {

// Why an answer was cut.
enum class CutCause {
    host_failed,    // its host broke off, and no other one could go on
    out_of_time,    // the request's deadline, or its route's time-out, was reached
    process_ends,   // the grace after SIGTERM was over
};
constexpr std::array cut_causes{CutCause::host_failed, CutCause::out_of_time, CutCause::process_ends};

// As in labels and log lines.
std::string_view to_string(CutCause cause);

class CutReport {
public:
    using Log = std::function<void(const std::string& line)>;

    // `log` takes the lines, at most one a second for each cause.
    CutReport(metrics::Registry& registry, Log log);

    // The answer to the request with this X-Request-Id was cut, so long after the request was taken.
    void note(CutCause cause, std::string_view request_id, Span after, Time now);

private:
    Log log_;
    // By cause.
    std::array<metrics::Counter, cut_causes.size()> answers_;
    std::array<LogRateLimiter, cut_causes.size()> lines_;
};

}   // namespace myrtleroute::proxy
