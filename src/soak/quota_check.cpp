#include "soak/quota_check.hpp"

#include <algorithm>
#include <utility>

namespace myrtleroute::soak {
namespace {

// Costs by time, with prefix sums for the total up to a given time.
class CumulativeCosts {
public:
    void add(double at, double cost) { costs_.emplace_back(at, cost); }

    void build() {
        std::sort(costs_.begin(), costs_.end());
        sums_.assign(1, 0);
        for (const auto& [at, cost] : costs_) sums_.push_back(sums_.back() + cost);
    }

    double before(double moment) const {
        const auto end =
            std::partition_point(costs_.begin(), costs_.end(), [&](const auto& c) { return c.first < moment; });
        return sums_[static_cast<size_t>(end - costs_.begin())];
    }

    double until(double moment) const {   // and including it
        const auto end =
            std::partition_point(costs_.begin(), costs_.end(), [&](const auto& c) { return c.first <= moment; });
        return sums_[static_cast<size_t>(end - costs_.begin())];
    }

private:
    std::vector<std::pair<double, double>> costs_;
    std::vector<double> sums_;
};

}   // namespace

double allowed_in_window(const std::vector<QuotaLimit>& limits, const QuotaBounds& bounds, double from) {
    double allowed = 0;
    for (const auto& limit : limits) {
        if (limit.from > from + bounds.window || limit.until <= from) continue;
        const double quota = limit.rate * bounds.window + limit.burst;
        allowed = std::max(allowed, quota * (1 + bounds.tolerance) + bounds.slack);
    }
    return allowed;
}

// A request that ran more than one window length after it was sent lies in no window. Without those, every request sent
// before a window starts has run by the window's end, so the cost within the window is the cost of all requests run by
// its end minus the cost of all requests sent before its start.
//
// The sum has its maximum in a window that starts when a request is sent. The allowed amount falls as a window's start
// moves past the end of a limit and rises as its end moves past the start of one, so windows that end when a request is
// run are checked as well.
QuotaPeak peak_usage(const std::vector<QuotaUse>& uses, const std::vector<QuotaLimit>& limits,
                     const QuotaBounds& bounds) {
    CumulativeCosts sent, ran;
    std::vector<double> starts;
    for (const auto& use : uses) {
        if (use.ran - use.sent > bounds.window) continue;
        sent.add(use.sent, use.cost);
        ran.add(use.ran, use.cost);
        starts.push_back(use.sent);
        starts.push_back(use.ran - bounds.window);
    }
    sent.build();
    ran.build();
    QuotaPeak peak;
    double max_share = -1;
    for (const double from : starts) {
        const QuotaPeak window{from, ran.until(from + bounds.window) - sent.before(from),
                               allowed_in_window(limits, bounds, from)};
        const double share = window.granted / std::max(window.allowed, 1.0);
        if (share <= max_share) continue;
        max_share = share;
        peak = window;
    }
    return peak;
}

}   // namespace myrtleroute::soak
