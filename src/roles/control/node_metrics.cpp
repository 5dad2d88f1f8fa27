#include "roles/control/node_metrics.hpp"

#include "base/bounds.hpp"
#include "roles/log.hpp"

namespace myrtleroute::control {

NodeMetrics::NodeMetrics(metrics::Registry& registry)
    : proxies_(registry.gauge("myrtleroute_control_proxies", "Proxies of the fleet that this node knows of.")),
      subscribers_(registry.gauge("myrtleroute_control_subscribers", "Proxies that subscribe to this node.")),
      leads_(registry.gauge("myrtleroute_control_leads", "1: this node leads; else 0.")),
      current_(registry.gauge("myrtleroute_control_current", "1: lately in touch with a majority; else 0.")),
      term_(registry.gauge("myrtleroute_control_term", "Term of this node's replica.")),
      grants_leases_(registry.gauge("myrtleroute_control_lends", "1: this node lends the tenants' limits; else 0.")),
      lease_violations_(registry.counter("myrtleroute_invariant_violations_total",
                                         "Violations of what must always hold; any is a fault.",
                                         {{"invariant", "lent_within_budget"}})) {
    const std::pair<const char*, uint64_t BoundsReached::*> tables[] = {
        {"orders", &BoundsReached::orders},
        {"accepted_digests", &BoundsReached::accepted_digests},
        {"lease_asks", &BoundsReached::lease_asks},
        {"lease_holders", &BoundsReached::lease_holders},
        {"lease_nodes", &BoundsReached::lease_nodes},
        {"confirmations", &BoundsReached::confirmations},
        {"hosts", &BoundsReached::hosts},
        {"control_nodes", &BoundsReached::control_nodes},
        {"queued_bytes", &BoundsReached::queued_bytes},
    };
    for (const auto& [table, reached] : tables) bounds_.push_back({reached, bound_reached_counter(registry, table)});
}

void NodeMetrics::update(const NodeState& state) {
    proxies_.set(static_cast<double>(state.proxies));
    subscribers_.set(static_cast<double>(state.subscribers));
    leads_.set(state.leads ? 1 : 0);
    current_.set(state.is_current ? 1 : 0);
    term_.set(static_cast<double>(state.term));
    grants_leases_.set(state.grants_leases ? 1 : 0);
    lease_violations_.add(static_cast<double>(state.lease_violations - shown_violations_));
    if (state.lease_violations > 0 && shown_violations_ == 0)
        log_error() << "invariant lent_within_budget is violated: " << state.last_lease_violation;
    shown_violations_ = state.lease_violations;
    for (auto& bound : bounds_)
        bound.counter.add(static_cast<double>(state.bounds.*bound.reached) - bound.counter.value());
}

}   // namespace myrtleroute::control
