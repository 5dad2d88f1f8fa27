#include "roles/proxy/quota_report.hpp"

#include <cmath>
#include <iterator>
#include <limits>
#include <sstream>
#include <utility>

namespace myrtleroute::proxy {
namespace {

using routing::RefusalCause;

constexpr Span line_every{1};   // for each cause

constexpr const char* granted_units = "myrtleroute_quota_granted_units_total";
constexpr const char* refused_units = "myrtleroute_quota_refused_units_total";
constexpr const char* refused_requests = "myrtleroute_quota_refused_requests_total";
constexpr const char* fleet_asked = "myrtleroute_quota_fleet_asked_units_per_second";
constexpr const char* fleet_granted = "myrtleroute_quota_fleet_granted_units_per_second";

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
      told_age_(registry.gauge("myrtleroute_fleet_told_age_seconds",
                               "Age of the newest word of the fleet; infinite before the first.")) {
    logged_.fill(long_ago);
}

void QuotaReport::configured(const std::vector<configuration::Tenant>& tenants) {
    tenants_.clear();
    for (const auto& tenant : tenants) tenants_.insert(tenant.name);
    for (auto known = figures_.begin(); known != figures_.end();) {
        if (tenants_.count(known->first)) {
            ++known;
            continue;
        }
        forget(known->first);
        known = figures_.erase(known);
    }
}

void QuotaReport::fleet_told(const messages::FleetTold& told, Time now) {
    told_at_ = now;
    proxies_.set(static_cast<double>(told.proxies));
    current_.set(told.current ? 1 : 0);
    for (auto& [tenant, figures] : figures_) {
        if (told.demand.count(tenant)) continue;
        figures.fleet_asked.set(0);
        figures.fleet_granted.set(0);
    }
    for (const auto& [tenant, rates] : told.demand) {
        auto* figures = figures_of(tenant);
        if (!figures) continue;
        figures->fleet_asked.set(rates.asked);
        figures->fleet_granted.set(rates.granted);
    }
}

void QuotaReport::note_granted(std::string_view tenant, double units) {
    auto* figures = figures_of(tenant);
    if (!figures) return;
    figures->granted_units.add(units);
    figures->granted_since += units;
}

void QuotaReport::note_refused(std::string_view tenant, double units, RefusalCause cause, Time now) {
    auto* figures = figures_of(tenant);
    if (!figures) return;
    figures->refused_units.add(units);
    figures->refused_requests[static_cast<size_t>(cause)].add();
    figures->refused_since += units;
    auto& logged = logged_[static_cast<size_t>(cause)];
    if (now - logged < line_every) return;
    logged = now;
    log_refusal(tenant, *figures, cause, now);
}

void QuotaReport::refresh(Time now) { told_age_.set(age(now)); }

QuotaReport::Figures QuotaReport::make_figures(const std::string& tenant) {
    const auto labels = labels_of(tenant);
    const auto refused_for = [&](RefusalCause cause) {
        return registry_.counter(refused_requests, "Requests refused over the quota, by cause.",
                                 labels_of(tenant, cause));
    };
    return {registry_.counter(granted_units, "Units of the quota granted by this proxy.", labels),
            registry_.counter(refused_units, "Units of the quota refused by this proxy.", labels),
            {refused_for(RefusalCause::fleet_over_limit), refused_for(RefusalCause::own_part_used)},
            registry_.gauge(fleet_asked, "Units a second asked of all proxies, as last told.", labels),
            registry_.gauge(fleet_granted, "Units a second granted by all proxies, as last told.", labels)};
}

QuotaReport::Figures* QuotaReport::figures_of(std::string_view tenant) {
    const auto known = figures_.find(tenant);
    if (known != figures_.end()) return &known->second;
    if (tenants_.find(tenant) == tenants_.end()) return nullptr;
    const std::string name(tenant);
    return &figures_.emplace(name, make_figures(name)).first->second;
}

void QuotaReport::forget(const std::string& tenant) {
    for (const char* name : {granted_units, refused_units, fleet_asked, fleet_granted})
        registry_.remove(name, labels_of(tenant));
    for (const auto cause : routing::refusal_causes) registry_.remove(refused_requests, labels_of(tenant, cause));
}

void QuotaReport::log_refusal(std::string_view tenant, Figures& figures, RefusalCause cause, Time now) {
    std::ostringstream line;
    line.precision(9);
    line << "quota of tenant \"" << metrics::escape_label_value(tenant) << "\": refused, " << to_string(cause)
         << "; since the last such line " << std::exchange(figures.granted_since, 0) << " units granted, "
         << std::exchange(figures.refused_since, 0) << " refused; told: asked " << figures.fleet_asked.value()
         << "/s, granted " << figures.fleet_granted.value() << "/s, proxies " << proxies_.value() << ", current "
         << current_.value() << ", age " << age(now) << " s";
    log_(line.str());
}

double QuotaReport::age(Time now) const {
    return told_at_ <= long_ago ? std::numeric_limits<double>::infinity() : (now - told_at_).s;
}

}   // namespace myrtleroute::proxy
