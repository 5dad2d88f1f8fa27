// Parses a server's load report: `TEXT inflight=7, queue=2, util=0.61`.
#pragma once
#include <string_view>

#include "wire/text.hpp"

namespace myrtleroute::wire {

// Passes each metric to `visit(name, value)`; false, and nothing passed, if any part of the report is malformed.
template <class Visitor>
bool read_load(std::string_view report, Visitor&& visit) {
    constexpr std::string_view prefix = "TEXT ";
    if (report.substr(0, prefix.size()) != prefix) return false;
    for (const bool deliver : {false, true})
        for (auto rest = report.substr(prefix.size()); !rest.empty();) {
            const auto [name, text] = next_pair(rest);
            const auto value = parse_decimal(text);
            if (name.empty() || !value || *value < 0) return false;
            if (deliver) visit(name, *value);
        }
    return true;
}

}  // namespace myrtleroute::wire
