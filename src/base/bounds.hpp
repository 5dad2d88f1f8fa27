// Counts how often a bounded table of the process was full: one metric family, labelled by table.
#pragma once
#include <string>

#include "base/metrics.hpp"

namespace myrtleroute {

// Returns the counter of `table`. docs/bounds.md describes what happens when each table is full.
inline metrics::Counter bound_reached_counter(metrics::Registry& registry, const std::string& table) {
    return registry.counter("myrtleroute_bound_reached_total", "Times that a bounded table was full, by table.",
                            {{"table", table}});
}

}   // namespace myrtleroute
