// The simulator's protocol: decodes batches into events of the balancer and encodes its actions into replies.
#pragma once
#include <cstdint>
#include <iosfwd>
#include <stdexcept>

namespace myrtleroute {

struct BadInput : std::runtime_error {   // malformed input of the simulator
    using std::runtime_error::runtime_error;
};

// Answers each batch until the input ends between two frames; throws BadInput for malformed input.
void serve(std::istream& in, std::ostream& out);

}  // namespace myrtleroute
