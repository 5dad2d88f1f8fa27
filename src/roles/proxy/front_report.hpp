// What a proxy tells of its clients' connections: why they end, whether bytes lay unread on them then, and what became of
// every request that was read. Counters, and lines in the log. It decides nothing.
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
    idle,            // it had rested for as long as a connection may
    last_answer,     // its last answer had said that it ends
    stopping,        // the process was told to stop
    answer_unread,   // the client didn't take its answer
    answer_cut,      // the answer under way could not go on
};
constexpr std::array connection_ends{ConnectionEnd::client_left,   ConnectionEnd::idle,
                                     ConnectionEnd::last_answer,   ConnectionEnd::stopping,
                                     ConnectionEnd::answer_unread, ConnectionEnd::answer_cut};

// What became of a request that was read whole.
enum class RequestEnd { answered, client_left, cut };
constexpr std::array request_ends{RequestEnd::answered, RequestEnd::client_left, RequestEnd::cut};

// As in labels and log lines.
std::string_view to_string(ConnectionEnd cause);
std::string_view to_string(RequestEnd end);

class FrontReport {
public:
    using Log = std::function<void(const std::string& line)>;

    // `log` takes the lines, at most one a second for each cause.
    FrontReport(metrics::Registry& registry, Log log);

    void request_read();
    void request_ended(RequestEnd end);
    void connection_ended(ConnectionEnd cause);
    // A connection was closed over bytes that nobody had read, so long after the proxy had ended its side, and so long after
    // its last answer or its begin.
    void closed_over_unread(ConnectionEnd cause, Span ended_for, Span rested, Time now);

    // Requests read whose end has not been told.
    double under_way() const;

private:
    Log log_;
    metrics::Counter read_;
    std::array<metrics::Counter, request_ends.size()> ended_;
    // By cause.
    std::array<metrics::Counter, connection_ends.size()> connections_, unread_;
    std::array<LogRateLimiter, connection_ends.size()> lines_;
};

}   // namespace myrtleroute::proxy
