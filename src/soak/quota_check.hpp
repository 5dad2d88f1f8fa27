// Whether a tenant has been granted more than its quota in some window, from what was sent and what hosts have run.
//
// Times are seconds of the run; costs are units of the quota, such as tokens.
#pragma once
#include <vector>

namespace myrtleroute::soak {

// A request that a host has run.
struct QuotaUse {
    double sent = 0, ran = 0;   // by the client; begun by the host
    double cost = 0;
};

// A limit that may be in force from when its configuration was sent until every proxy must have a later one.
struct QuotaLimit {
    double rate = 0, burst = 0;
    double from = 0, until = 0;
};

struct QuotaBounds {
    double window = 8;
    double tolerance = 0;   // tolerated share beyond the limit
    double slack = 0;       // units beyond it
};

// The window in which the most was granted, compared with what was allowed.
struct QuotaPeak {
    double from = 0;   // start of the window
    double granted = 0, allowed = 0;
    double share() const { return allowed > 0 ? granted / allowed : 0; }
    bool is_exceeded() const { return granted > allowed; }
};

// What the highest of the limits that may be in force in the window from `from` on allows; 0 where none is.
double allowed_in_window(const std::vector<QuotaLimit>& limits, const QuotaBounds& bounds, double from);

// Counts requests that were both sent and run within a window; windows of every start are looked at.
QuotaPeak peak_usage(const std::vector<QuotaUse>& uses, const std::vector<QuotaLimit>& limits,
                     const QuotaBounds& bounds);

}   // namespace myrtleroute::soak
