// Which proxies should subscribe at another control node: subscribers are spread over the nodes that are current, in
// proportion to what their links carry, and each proxy's node is of its zone where that one has room.
//
// A function of what one node knows. Every node plans for its own subscribers only, and few moves at a time, since what it
// knows of the others is a moment old.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "base/endpoint.hpp"
#include "roles/control/outputs.hpp"
#include "time.hpp"

namespace myrtleroute::control {

// A control node that is current, as known to the one that plans.
struct NodeLoad {
    messages::ControlNode node;
    double weight = 1;   // how many subscribers it bears, in proportion to others
    size_t subscribers = 0;
};

// A proxy that subscribes to the node that plans.
struct PlacedSubscriber {
    ConnectionId connection = 0;
    std::string zone;
    Span age;   // of its subscription
};

struct Move {
    ConnectionId connection = 0;
    messages::ControlNode to;
};

// The moves to be made now; called once a second. `self`: the node that plans.
std::vector<Move> plan_moves(const NodeLoad& self, const std::vector<NodeLoad>& others,
                             const std::vector<PlacedSubscriber>& subscribers);

}   // namespace myrtleroute::control
