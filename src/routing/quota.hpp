// A proxy's part of the tenants' quotas.
//
// Every proxy tells what its clients ask for and what it grants, and is told the same of the whole fleet a moment
// later. From that each keeps the tenant's one bucket as it must stand by now: while something is in it, requests are
// granted wherever they arrive. What may be granted before the fleet's figures show it is bounded by a bucket of the
// proxy's own. Out of touch with the fleet, a proxy grants an even part of the quota.
#pragma once
#include <cstddef>
#include <map>
#include <string>

#include "routing/refusal_cause.hpp"
#include "time.hpp"

namespace myrtleroute::routing {

struct QuotaOptions {
    double slack = 0;   // units that all proxies together may grant beyond the quota
    double over = 0;    // tolerated share beyond it
    Span window{8};     // in which the quota is counted
};

// Units a second, of one tenant.
struct QuotaRates {
    double asked = 0, granted = 0;
};

class Quotas {
public:
    explicit Quotas(QuotaOptions options) : options_(options) {}

    struct Grant {
        bool granted = true;
        Span retry_after;                                      // where it is not: when there may be something again
        RefusalCause cause = RefusalCause::fleet_over_limit;   // where it is not
    };
    // A request of the tenant that costs so many units. A rate of 0 is no limit.
    Grant take(const std::string& tenant, double rate, double burst, double cost, Time now);

    std::map<std::string, QuotaRates> own(Time now);   // to be told to the fleet
    void fleet(std::map<std::string, QuotaRates> total, size_t proxies, Time now);

private:
    // A rate averaged over the last second or two.
    struct Average {
        double rate = 0;
        Time counted = long_ago;
        void add(double amount, Time now);
    };
    struct Tenant {
        Average asked, granted;
        QuotaRates told;     // to the fleet
        double shared = 0;   // level of the tenant's bucket, as estimated here
        double own = 0;      // level of the proxy's own bucket
        Time refilled = long_ago;
    };
    struct Sizes {
        double shared_depth, own_depth, own_fill;
    };
    bool in_touch(Time now) const;
    Sizes sizes(const Tenant& tenant, const QuotaRates& total, double rate, double burst, Time now) const;
    QuotaRates total(const std::string& name, const Tenant& tenant) const;
    void refill(Tenant& tenant, const QuotaRates& total, const Sizes& sizes, double rate, Time now);

    QuotaOptions options_;
    std::map<std::string, Tenant> tenants_;
    std::map<std::string, QuotaRates> total_;
    double proxies_ = 1;
    Time told_ = long_ago;
};

}   // namespace myrtleroute::routing
