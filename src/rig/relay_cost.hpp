// Measures what a relay costs by itself, on this machine.
#pragma once
#include <ostream>
#include <string>
#include <vector>

namespace myrtleroute::rig {

// For each number of links: the time of a small exchange without and with a relay, connections and bytes a second.
void relay_cost(std::ostream& out, const std::string& self, const std::vector<int>& links);

}  // namespace myrtleroute::rig
