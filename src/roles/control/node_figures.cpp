#include "roles/control/node_figures.hpp"

namespace myrtleroute::control {

NodeFigures::NodeFigures(metrics::Registry& registry)
    : proxies_(registry.gauge("myrtleroute_control_proxies", "Proxies of the fleet that this node knows of.")),
      subscribers_(registry.gauge("myrtleroute_control_subscribers", "Proxies that subscribe to this node.")),
      leads_(registry.gauge("myrtleroute_control_leads", "1: this node leads; else 0.")),
      current_(registry.gauge("myrtleroute_control_current", "1: lately in touch with a majority; else 0.")),
      term_(registry.gauge("myrtleroute_control_term", "Term of this node's replica.")) {}

void NodeFigures::show(const NodeState& state) {
    proxies_.set(static_cast<double>(state.proxies));
    subscribers_.set(static_cast<double>(state.subscribers));
    leads_.set(state.leads ? 1 : 0);
    current_.set(state.is_current ? 1 : 0);
    term_.set(static_cast<double>(state.term));
}

}   // namespace myrtleroute::control
