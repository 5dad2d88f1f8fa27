#include "roles/proxy/quota_report.hpp"

#include <cmath>
#include <iterator>
#include <limits>
#include <sstream>
#include <utility>

namespace myrtleroute::proxy {
namespace {

using leases::RefusalCause;

constexpr const char* granted_units = "myrtleroute_quota_granted_units_total";
constexpr const char* refused_units = "myrtleroute_quota_refused_units_total";
constexpr const char* refused_requests = "myrtleroute_quota_refused_requests_total";
constexpr const char* held_units = "myrtleroute_quota_held_units";
constexpr const char* overload_ratio = "myrtleroute_quota_overload_ratio";

// Seconds since `then`; infinite if it never happened.
double age(Time then, Time now) { return then <= long_ago ? std::numeric_limits<double>::infinity() : (now - then).s; }

metrics::Labels labels_of(const std::string& tenant) { return {{"tenant", tenant}}; }

metrics::Labels labels_of(const std::string& tenant, RefusalCause cause) {
    return {{"tenant", tenant}, {"cause", std::string(to_string(cause))}};
}

}   // namespace

QuotaReport::QuotaReport(metrics::Registry& registry, Log log)
    : registry_(registry),
      log_(std::move(log)),
      proxies_(registry.gauge("myrtleroute_fleet_proxies", "Proxies of the fleet, as last told by the control role.")),
      current_(registry.gauge("myrtleroute_fleet_current",
                              "1: the control node that told last was in touch with a majority; else 0.")),
      fleet_age_(registry.gauge("myrtleroute_fleet_told_age_seconds",
                                "Age of the newest word of the fleet; infinite before the first.")),
      reply_age_(registry.gauge("myrtleroute_quota_reply_age_seconds",
                                "Age of the allocator's last reply; infinite before the first.")) {}

void QuotaReport::configured(const std::vector<configuration::Tenant>& tenants) {
    tenants_.clear();
    for (const auto& tenant : tenants) tenants_.insert(tenant.name);
    for (auto known = tenant_metrics_.begin(); known != tenant_metrics_.end();) {
        if (tenants_.count(known->first)) {
            ++known;
            continue;
        }
        remove(known->first);
        known = tenant_metrics_.erase(known);
    }
}

void QuotaReport::update_fleet(const messages::FleetStatus& update, Time now) {
    fleet_updated_at_ = now;
    proxies_.set(static_cast<double>(update.proxy_count));
    current_.set(update.current ? 1 : 0);
}

void QuotaReport::record_granted(std::string_view tenant, double units) {
    auto* entry = metrics_of(tenant);
    if (!entry) return;
    entry->granted_units.add(units);
    entry->granted_since += units;
}

void QuotaReport::record_refused(std::string_view tenant, double units, RefusalCause cause,
                                 const leases::Holder& leases, Time now) {
    auto* entry = metrics_of(tenant);
    if (!entry) return;
    entry->refused_units.add(units);
    entry->refused_requests[static_cast<size_t>(cause)].add();
    entry->refused_since += units;
    if (lines_[static_cast<size_t>(cause)].try_log(now)) log_refusal(tenant, *entry, cause, leases, now);
}

void QuotaReport::refresh(const leases::Holder& leases, Time now) {
    fleet_age_.set(age(fleet_updated_at_, now));
    reply_age_.set(age(leases.last_reply(), now));
    for (auto& [tenant, entry] : tenant_metrics_) update_gauges(entry, tenant, leases);
}

void QuotaReport::update_gauges(TenantMetrics& entry, const std::string& tenant, const leases::Holder& leases) {
    const auto standing = leases.tenant_status(tenant).value_or(leases::Holder::TenantStatus{});
    entry.held.set(standing.held);
    entry.overload.set(standing.overload);
}

QuotaReport::TenantMetrics QuotaReport::make_metrics(const std::string& tenant) {
    const auto labels = labels_of(tenant);
    const auto refused_for = [&](RefusalCause cause) {
        return registry_.counter(refused_requests, "Requests refused over the quota, by cause.",
                                 labels_of(tenant, cause));
    };
    return {registry_.counter(granted_units, "Units of the quota granted by this proxy.", labels),
            registry_.counter(refused_units, "Units of the quota refused by this proxy.", labels),
            {refused_for(RefusalCause::over_limit), refused_for(RefusalCause::not_lent),
             refused_for(RefusalCause::out_of_touch), refused_for(RefusalCause::no_room)},
            registry_.gauge(held_units, "Units lent to this proxy and not used yet.", labels),
            registry_.gauge(overload_ratio, "What all proxies are asked for, as a multiple of the limit.", labels)};
}

QuotaReport::TenantMetrics* QuotaReport::metrics_of(std::string_view tenant) {
    const auto known = tenant_metrics_.find(tenant);
    if (known != tenant_metrics_.end()) return &known->second;
    if (tenants_.find(tenant) == tenants_.end()) return nullptr;
    const std::string name(tenant);
    return &tenant_metrics_.emplace(name, make_metrics(name)).first->second;
}

void QuotaReport::remove(const std::string& tenant) {
    for (const char* name : {granted_units, refused_units, held_units, overload_ratio})
        registry_.remove(name, labels_of(tenant));
    for (const auto cause : leases::refusal_causes) registry_.remove(refused_requests, labels_of(tenant, cause));
}

void QuotaReport::log_refusal(std::string_view tenant, TenantMetrics& entry, RefusalCause cause,
                              const leases::Holder& leases, Time now) {
    update_gauges(entry, std::string(tenant), leases);
    std::ostringstream line;
    line.precision(9);
    line << "quota of tenant \"" << metrics::escape_label_value(tenant) << "\": refused, " << to_string(cause)
         << "; since the last such line " << std::exchange(entry.granted_since, 0) << " units granted, "
         << std::exchange(entry.refused_since, 0) << " refused; held " << entry.held.value() << ", overload "
         << entry.overload.value() << ", last reply " << age(leases.last_reply(), now) << " s ago; proxies "
         << proxies_.value() << ", current " << current_.value() << ", told " << age(fleet_updated_at_, now)
         << " s ago";
    log_(line.str());
}

}   // namespace myrtleroute::proxy
