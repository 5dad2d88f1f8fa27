// How often the tables of a process that are bounded were full: one family of counters, by table.
#pragma once
#include <string>

#include "base/metrics.hpp"

namespace myrtleroute {

// The counter of that table. docs/bounds.md tells what happens at each bound.
inline metrics::Counter bound_reached_counter(metrics::Registry& registry, const std::string& table) {
    return registry.counter("myrtleroute_bound_reached_total", "Times that a bounded table was full, by table.",
                            {{"table", table}});
}

}   // namespace myrtleroute
