// Checks whether a tenant was granted more than its quota in any window, from the requests that were sent and run.
//
// Times are seconds since the start of the run; costs are in units of the quota, such as tokens.
#pragma once
#include <vector>

namespace myrtleroute::soak {

// A request that a host has run.
struct QuotaUse {
    double sent = 0, ran = 0;   // when the client sent it; when a host started to run it
    double cost = 0;
};

// A limit that may be in force: from the sending of its configuration until every proxy must apply a later one.
struct QuotaLimit {
    double rate = 0, burst = 0;
    double from = 0, until = 0;
};

struct QuotaBounds {
    double window = 8;
    double tolerance = 0;   // tolerated excess as a share of the quota
    double slack = 0;       // tolerated excess in units, in addition
};

// The window with the highest ratio of granted to allowed units.
struct QuotaPeak {
    double from = 0;   // start of the window
    double granted = 0, allowed = 0;
    double share() const { return allowed > 0 ? granted / allowed : 0; }
    bool is_exceeded() const { return granted > allowed; }
};

// Units allowed in the window that starts at `from`, by the highest limit that may be in force in it; 0 if there is
// none.
double allowed_in_window(const std::vector<QuotaLimit>& limits, const QuotaBounds& bounds, double from);

// Returns the peak over windows with every possible start. A request counts in a window if it was both sent and run in
// it.
QuotaPeak peak_usage(const std::vector<QuotaUse>& uses, const std::vector<QuotaLimit>& limits,
                     const QuotaBounds& bounds);

}   // namespace myrtleroute::soak
