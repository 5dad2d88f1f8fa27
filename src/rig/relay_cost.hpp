// Measures what a relay costs by itself, on this machine: an echo behind it, asked directly and through it.
#pragma once
#include <ostream>
#include <string>
#include <vector>

namespace myrtleroute::rig {

// For each number of links a row each way: time of a small exchange, connections and bytes a second.
// Throws std::runtime_error where the system gives no sockets or processes for it.
void relay_cost(std::ostream& out, const std::string& self, const std::vector<int>& links);

}  // namespace myrtleroute::rig
