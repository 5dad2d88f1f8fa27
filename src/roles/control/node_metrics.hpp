// Metrics of the control role: the fleet as a node knows it, and the node's status in the replicated log.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/metrics.hpp"
#include "roles/control/bounds_reached.hpp"

namespace myrtleroute::control {

// A node's state at one moment.
struct NodeState {
    size_t proxies = 0;       // proxies of the fleet that this node knows
    size_t subscribers = 0;   // proxies subscribed to this node
    bool leads = false;
    bool is_current = false;   // in contact with a majority of the voters recently
    uint64_t term = 0;
    bool grants_leases = false;         // grants leases on the tenants' limits
    uint64_t lease_violations = 0;      // of the lease allocator's invariant, since the start
    std::string last_lease_violation;   // description of the last one
    BoundsReached bounds;
};

class NodeMetrics {
public:
    explicit NodeMetrics(metrics::Registry& registry);
    void update(const NodeState& state);

private:
    // Counter of how often one bounded table was full.
    struct Bound {
        uint64_t BoundsReached::*reached;
        metrics::Counter counter;
    };
    metrics::Gauge proxies_, subscribers_, leads_, current_, term_, grants_leases_;
    metrics::Counter lease_violations_;
    uint64_t shown_violations_ = 0;
    std::vector<Bound> bounds_;
};

}   // namespace myrtleroute::control
