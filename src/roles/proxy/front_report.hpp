// Reports how client connections end, whether unread bytes were pending then, and how each request ended: counters
// and rate-limited log lines. Has no influence on decisions.
#pragma once
#include <array>
#include <functional>
#include <string>
#include <string_view>

#include "base/log_rate_limiter.hpp"
#include "base/metrics.hpp"
#include "time.hpp"

namespace myrtleroute::proxy {

// Why a client's connection ended.
enum class ConnectionEnd {
    client_left,     // the client closed or reset it
    idle,            // the idle timeout passed
    last_answer,     // the last response announced the close
    stopping,        // the process is shutting down
    answer_unread,   // the client did not read its response in time
    answer_cut,      // the response in progress was aborted
};
constexpr std::array connection_ends{ConnectionEnd::client_left,   ConnectionEnd::idle,
                                     ConnectionEnd::last_answer,   ConnectionEnd::stopping,
                                     ConnectionEnd::answer_unread, ConnectionEnd::answer_cut};

// How a completely read request ended.
enum class RequestEnd { answered, client_left, cut };
constexpr std::array request_ends{RequestEnd::answered, RequestEnd::client_left, RequestEnd::cut};

// The names used in metric labels and log lines.
std::string_view to_string(ConnectionEnd cause);
std::string_view to_string(RequestEnd end);

class FrontendReport {
public:
    using Log = std::function<void(const std::string& line)>;

    // `log` receives at most one line a second for each cause.
    FrontendReport(metrics::Registry& registry, Log log);

    void request_read();
    void request_ended(RequestEnd end);
    void connection_ended(ConnectionEnd cause);
    // A connection was closed with unread bytes pending. `since_half_close`: time since the proxy half-closed it;
    // `idle_for`: how long it had been idle before that.
    void closed_over_unread(ConnectionEnd cause, Span since_half_close, Span idle_for, Time now);

    // Requests read whose end has not been reported.
    double in_progress() const;

private:
    Log log_;
    metrics::Counter read_;
    std::array<metrics::Counter, request_ends.size()> ended_;
    // Indexed by cause.
    std::array<metrics::Counter, connection_ends.size()> connections_, unread_;
    std::array<LogRateLimiter, connection_ends.size()> lines_;
};

}   // namespace myrtleroute::proxy
