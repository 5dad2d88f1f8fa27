// Selects proxies that should move to another control node: subscribers are spread over the nodes that are current, in
// proportion to the capacity of their links, and a proxy subscribes in its own zone if a node there has free capacity.
//
// A pure function of what one node knows. Every node plans only for its own subscribers, and only a few moves at a
// time, since its data on the others is slightly outdated.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "base/endpoint.hpp"
#include "roles/control/outputs.hpp"
#include "time.hpp"

namespace myrtleroute::control {

// A control node that is current, as known to the planning node.
struct NodeLoad {
    messages::ControlNode node;
    double weight = 1;   // capacity for subscribers, relative to other nodes
    size_t subscribers = 0;
};

// A proxy that subscribes to the planning node.
struct PlacedSubscriber {
    ConnectionId connection = 0;
    std::string zone;
    Span age;   // time since its subscription started
};

struct Move {
    ConnectionId connection = 0;
    messages::ControlNode to;
};

// Returns the moves to make now; called once a second. `self`: the planning node.
std::vector<Move> plan_moves(const NodeLoad& self, const std::vector<NodeLoad>& others,
                             const std::vector<PlacedSubscriber>& subscribers);

}   // namespace myrtleroute::control
