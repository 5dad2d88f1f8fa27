// The operator's order of a rollout, sent as JSON.
#pragma once
#include <string>
#include <string_view>

#include "base/findings.hpp"

namespace myrtleroute::rollout {

struct Order {
    std::string service, target_version;
    double duration = 0;   // seconds
};

// Parses the body of `POST /rollouts`; on failure returns what is wrong, with its location as a JSON pointer.
ParseResult<Order> read_order(std::string_view json);

}   // namespace myrtleroute::rollout
