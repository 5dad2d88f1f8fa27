// Splits the input of a control connection into lines: consumes the ring buffer and keeps an incomplete last line in
// `partial`.
#pragma once
#include <string>
#include <utility>

#include "memory/byte_ring.hpp"

namespace myrtleroute::rig {

template <class OnLine>
void take_lines(memory::ByteRing& in, std::string& partial, const OnLine& on_line) {
    while (!in.empty()) {
        const auto bytes = in.front();
        const auto end = bytes.find('\n');
        partial.append(bytes.substr(0, end));
        in.drop(end == bytes.npos ? bytes.size() : end + 1);
        if (end != bytes.npos) on_line(std::exchange(partial, ""));
    }
}

}  // namespace myrtleroute::rig
