// The simulator's wire: decodes batches into the decisions' events and encodes their actions into replies.
#pragma once
#include <cstdint>
#include <iosfwd>
#include <stdexcept>

namespace myrtleroute {

struct BadInput : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Answers every batch until the input ends between two frames; throws BadInput on anything malformed.
void serve(std::istream& in, std::ostream& out);

}  // namespace myrtleroute
