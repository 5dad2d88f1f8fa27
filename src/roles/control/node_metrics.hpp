// The control role's figures: what a node knows of the fleet and of its own standing among the voters.
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
    size_t proxies = 0;       // of the fleet, known here
    size_t subscribers = 0;   // proxies that subscribe to this node
    bool leads = false;
    bool is_current = false;   // lately in touch with a majority
    uint64_t term = 0;
    bool lends = false;                   // the tenants' limits
    uint64_t lending_violations = 0;      // of the allocator's invariant, since the start
    std::string last_lending_violation;   // what the last one was
    BoundsReached bounds;
};

class NodeMetrics {
public:
    explicit NodeMetrics(metrics::Registry& registry);
    void update(const NodeState& state);

private:
    // How often one table was full.
    struct Bound {
        uint64_t BoundsReached::*reached;
        metrics::Counter counter;
    };
    metrics::Gauge proxies_, subscribers_, leads_, current_, term_, lends_;
    metrics::Counter lending_violations_;
    uint64_t shown_violations_ = 0;
    std::vector<Bound> bounds_;
};

}   // namespace myrtleroute::control
