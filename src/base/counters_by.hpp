// Counters by cause: one series per value of an enumeration.
#pragma once
#include <array>
#include <cstddef>
#include <string>
#include <utility>

#include "base/metrics.hpp"

namespace myrtleroute {

// Registers one counter per cause and returns them in the order of `causes`. Each series has the label `label` with the
// cause's to_string() as its value.
template <class Cause, size_t count>
std::array<metrics::Counter, count> counters_by(metrics::Registry& registry, const std::string& name,
                                                const std::string& help, const std::string& label,
                                                const std::array<Cause, count>& causes) {
    return [&]<size_t... number>(std::index_sequence<number...>) {
        return std::array{registry.counter(name, help, {{label, std::string(to_string(causes[number]))}})...};
    }
    (std::make_index_sequence<count>());
}

}   // namespace myrtleroute
