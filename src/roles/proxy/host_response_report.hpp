// Reports how hosts end their responses, and which responses go on at another host: counters and rate-limited log
// lines. Has no influence on decisions.
#pragma once
#include <array>
#include <functional>
#include <string>
#include <string_view>

#include "base/log_rate_limiter.hpp"
#include "base/metrics.hpp"
#include "time.hpp"

namespace myrtleroute::proxy {

// How a host ended a response whose head has arrived.
enum class HostResponseEnd {
    framed,              // at its announced length or its last chunk
    connection_closed,   // in order, with the connection, as no length was announced
    broken_off,          // before its end, or by a reset
    unconfirmed,         // with the connection, and nothing shows that the host still ran
};
constexpr std::array host_response_ends{HostResponseEnd::framed, HostResponseEnd::connection_closed,
                                        HostResponseEnd::broken_off, HostResponseEnd::unconfirmed};

// The name used in metric labels and log lines.
std::string_view to_string(HostResponseEnd end);

// The response that a report is about.
struct HostResponse {
    std::string_view request_id;   // X-Request-Id of the client's request
    std::string_view host;         // id of the host
    std::string_view last_event;   // id of the last event forwarded; empty if there is none
};

class HostResponseReport {
public:
    using Log = std::function<void(const std::string& line)>;

    // `log` receives at most one line a second of each kind.
    HostResponseReport(metrics::Registry& registry, Log log);

    void ended(HostResponseEnd end, const HostResponse& response, Time now);
    // A response that another host had begun goes on with this host's.
    void resumed(const HostResponse& response, Time now);

private:
    void log(LogRateLimiter& limiter, const std::string& what, const HostResponse& response, Time now);

    Log log_;
    // Indexed by how the response ended.
    std::array<metrics::Counter, host_response_ends.size()> ended_;
    std::array<LogRateLimiter, host_response_ends.size()> ended_lines_;
    metrics::Counter resumed_;
    LogRateLimiter resumed_lines_;
};

}   // namespace myrtleroute::proxy
