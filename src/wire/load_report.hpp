// A server's report of its load: `TEXT inflight=7, queue=2, util=0.61`.
#pragma once
#include <string_view>

#include "wire/text.hpp"

namespace myrtleroute::wire {

// Gives each figure to `take`; false where any of it is no report, and then none is given.
template <class Take>
bool read_load(std::string_view report, Take&& take) {
    constexpr std::string_view form = "TEXT ";
    if (report.substr(0, form.size()) != form) return false;
    for (const bool telling : {false, true})
        for (auto rest = report.substr(form.size()); !rest.empty();) {
            const auto [name, said] = next_pair(rest);
            const auto value = parse_decimal(said);
            if (name.empty() || !value || *value < 0) return false;
            if (telling) take(name, *value);
        }
    return true;
}

}  // namespace myrtleroute::wire
