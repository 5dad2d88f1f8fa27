// The control role's figures: what a node knows of the fleet and of its own standing among the voters.
#pragma once
#include <cstddef>
#include <cstdint>

#include "base/metrics.hpp"

namespace myrtleroute::control {

// A node's state at one moment.
struct NodeState {
    size_t proxies = 0;       // of the fleet, known here
    size_t subscribers = 0;   // proxies that subscribe to this node
    bool leads = false;
    bool is_current = false;   // lately in touch with a majority
    uint64_t term = 0;
};

class NodeFigures {
public:
    explicit NodeFigures(metrics::Registry& registry);
    void show(const NodeState& state);

private:
    metrics::Gauge proxies_, subscribers_, leads_, current_, term_;
};

}   // namespace myrtleroute::control
