// The operator's order of a rollout, as it comes as JSON.
#pragma once
#include <string>
#include <string_view>

#include "base/findings.hpp"

namespace myrtleroute::rollout {

struct Order {
    std::string service, target_version;
    double duration = 0;   // s
};

// Reads the body of `POST /rollouts`; what is wrong with it, with its place as a JSON pointer.
ParseResult<Order> read_order(std::string_view json);

}   // namespace myrtleroute::rollout
