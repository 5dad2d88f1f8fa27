// Measures the cost of a relay on this machine: exchanges with an echo server, directly and through the relay.
#pragma once
#include <ostream>
#include <string>
#include <vector>

namespace myrtleroute::rig {

// Prints two rows for each number of links, direct and relayed: time of a small exchange, connections and bytes per second.
// Throws std::runtime_error if sockets or processes can't be created.
void relay_cost(std::ostream& out, const std::string& self, const std::vector<int>& links);

}  // namespace myrtleroute::rig
