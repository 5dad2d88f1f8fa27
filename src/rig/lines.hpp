// Lines of a control connection, whole: what has come is taken out of its ring, a line's beginning is kept.
#pragma once
#include <string>
#include <utility>

#include "memory/byte_ring.hpp"

namespace myrtleroute::rig {

template <class Heard>
void take_lines(memory::ByteRing& in, std::string& begun, const Heard& heard) {
    while (!in.empty()) {
        const auto bytes = in.front();
        const auto end = bytes.find('\n');
        begun.append(bytes.substr(0, end));
        in.drop(end == bytes.npos ? bytes.size() : end + 1);
        if (end != bytes.npos) heard(std::exchange(begun, ""));
    }
}

}  // namespace myrtleroute::rig
