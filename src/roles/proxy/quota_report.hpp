// Reports tenants' quotas in metrics and log lines: units granted and refused, and the fleet state known at the
// time. Has no influence on decisions.
//
// Metrics exist for tenants of the configuration that have had activity, and are removed with them. Units are
// tokens or requests, as the tenant's limit counts.
#pragma once
#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/log_rate_limiter.hpp"
#include "base/metrics.hpp"
#include "configuration/configuration.hpp"
#include "leases/holder.hpp"
#include "messages/messages.hpp"
#include "time.hpp"

namespace myrtleroute::proxy {

class QuotaReport {
public:
    using Log = std::function<void(const std::string& line)>;

    // `log` receives the lines about refusals.
    QuotaReport(metrics::Registry& registry, Log log);

    // Sets the tenants of the configuration; metrics of all others are removed.
    void configured(const std::vector<configuration::Tenant>& tenants);

    // Records a fleet report of the control role.
    void update_fleet(const messages::FleetStatus& update, Time now);

    // Records a granted request and its units. Tenants that the configuration does not name are ignored.
    void record_granted(std::string_view tenant, double units);
    // `leases`: the lease state that led to the refusal.
    void record_refused(std::string_view tenant, double units, leases::RefusalCause cause, const leases::Holder& leases,
                        Time now);

    // Updates the metrics that change with time. Called before rendering.
    void refresh(const leases::Holder& leases, Time now);

private:
    struct TenantMetrics {
        metrics::Counter granted_units, refused_units;
        std::array<metrics::Counter, leases::refusal_causes.size()> refused_requests;   // indexed by cause
        metrics::Gauge held;                                                            // units leased and not consumed
        metrics::Gauge overload;                       // demand on all proxies as a multiple of the limit
        double granted_since = 0, refused_since = 0;   // units since the tenant's last log line
    };
    TenantMetrics make_metrics(const std::string& tenant);
    TenantMetrics* metrics_of(std::string_view tenant);   // null if the configuration does not name the tenant
    void remove(const std::string& tenant);
    void log_refusal(std::string_view tenant, TenantMetrics& entry, leases::RefusalCause cause,
                     const leases::Holder& leases, Time now);
    static void update_gauges(TenantMetrics& entry, const std::string& tenant, const leases::Holder& leases);

    metrics::Registry& registry_;
    Log log_;
    std::set<std::string, std::less<>> tenants_;
    std::map<std::string, TenantMetrics, std::less<>> tenant_metrics_;
    metrics::Gauge proxies_, current_, fleet_age_, reply_age_;
    Time fleet_updated_at_ = long_ago;
    std::array<LogRateLimiter, leases::refusal_causes.size()> lines_;   // indexed by cause
};

}   // namespace myrtleroute::proxy
