// Reports responses that the proxy aborts after they have started: a counter and a rate-limited log line for each
// cause. Has no influence on decisions.
#pragma once
#include <array>
#include <functional>
#include <string>
#include <string_view>

#include "base/log_rate_limiter.hpp"
#include "base/metrics.hpp"
#include "time.hpp"

namespace myrtleroute::proxy {

// Why a response was aborted.
enum class CutCause {
    host_failed,    // the host failed, and no other host could resume the response
    out_of_time,    // the request's deadline or its route's timeout was reached
    process_ends,   // the grace period after SIGTERM had ended
};
constexpr std::array cut_causes{CutCause::host_failed, CutCause::out_of_time, CutCause::process_ends};

// The name used in metric labels and log lines.
std::string_view to_string(CutCause cause);

class CutReport {
public:
    using Log = std::function<void(const std::string& line)>;

    // `log` receives at most one line a second for each cause.
    CutReport(metrics::Registry& registry, Log log);

    // Records that the response to the request with this X-Request-Id was aborted; `after`: time since the request
    // arrived.
    void record(CutCause cause, std::string_view request_id, Span after, Time now);

private:
    Log log_;
    // Indexed by cause.
    std::array<metrics::Counter, cut_causes.size()> answers_;
    std::array<LogRateLimiter, cut_causes.size()> lines_;
};

}   // namespace myrtleroute::proxy
