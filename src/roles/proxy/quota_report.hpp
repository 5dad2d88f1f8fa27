// What a proxy tells of tenants' quotas, in figures and in its log: what it granted and refused, and what it had been
// told of the fleet when it did. It decides nothing.
//
// Figures exist for tenants of the configuration that something is known of, and are forgotten with them. They are in
// the tenant's unit: tokens or requests.
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

    // `log` takes the lines about refusals.
    QuotaReport(metrics::Registry& registry, Log log);

    // The tenants that the configuration names; figures of others are forgotten.
    void configured(const std::vector<configuration::Tenant>& tenants);

    // What the control role told of the fleet.
    void fleet_told(const messages::FleetStatus& told, Time now);

    // A request of the tenant that cost so many units. Tenants that the configuration does not name are passed over.
    void note_granted(std::string_view tenant, double units);
    // `leases`: by which it was refused.
    void note_refused(std::string_view tenant, double units, leases::RefusalCause cause, const leases::Holder& leases,
                      Time now);

    // Brings the figures up to date that change by themselves. Before they are rendered.
    void refresh(const leases::Holder& leases, Time now);

private:
    struct Figures {
        metrics::Counter granted_units, refused_units;
        std::array<metrics::Counter, leases::refusal_causes.size()> refused_requests;   // by cause
        metrics::Gauge held;                                                            // units lent and not used
        metrics::Gauge overload;                       // what all proxies are asked for, as a multiple of the limit
        double granted_since = 0, refused_since = 0;   // units, since the tenant's last line in the log
    };
    Figures make_figures(const std::string& tenant);
    Figures* figures_of(std::string_view tenant);   // null where the configuration does not name it
    void forget(const std::string& tenant);
    void log_refusal(std::string_view tenant, Figures& figures, leases::RefusalCause cause,
                     const leases::Holder& leases, Time now);
    static void show(Figures& figures, const std::string& tenant, const leases::Holder& leases);

    metrics::Registry& registry_;
    Log log_;
    std::set<std::string, std::less<>> tenants_;
    std::map<std::string, Figures, std::less<>> figures_;
    metrics::Gauge proxies_, current_, told_age_, reply_age_;
    Time told_at_ = long_ago;
    std::array<LogRateLimiter, leases::refusal_causes.size()> lines_;   // by cause
};

}   // namespace myrtleroute::proxy
