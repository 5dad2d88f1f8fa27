#include "soak/quota_check.hpp"

#include <algorithm>
#include <utility>

namespace myrtleroute::soak {
namespace {

// Costs by a moment, for sums of all that come before one.
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

    double until(double moment) const {   // and at it
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

// A request that ran more than a window after it was sent lies in no window. Without those, what was sent before a window
// has run by its end, so that what lies in it is all that ran by its end less all that was sent before its start.
//
// The sum is greatest where a window begins with a sending; what is allowed drops with a window's start and rises with its
// end, so windows that end with a run are looked at as well.
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
