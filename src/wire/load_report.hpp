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
            const auto part = next_part(rest);
            const auto is = part.find('=');
            if (is == part.npos || is == 0) return false;
            const auto value = decimal(trim(part.substr(is + 1)));
            if (!value || *value < 0) return false;
            if (telling) take(trim(part.substr(0, is)), *value);
        }
    return true;
}

}  // namespace myrtleroute::wire
