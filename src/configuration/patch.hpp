// A change of a configuration by named items: a version, items to add or to replace, and names of items to remove.
//
//     {"version": 9, "upsert": {"routes": [{"name": "r1", ...}]}, "delete": {"tenants": ["t1"]}}
//
// An item takes the place of the one with its name, else it is added behind the others. What the change doesn't name stays as
// it is. The result must be a valid configuration.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

#include "base/findings.hpp"

namespace myrtleroute::configuration {

// A whole configuration, made from another one.
struct Patched {
    uint64_t version = 0;
    std::string document;   // JSON
};

// `current`: a valid configuration, or empty where there is none yet. Places of findings are those of the patch where it
// brings the fault in, else of the result (an item that is left and names one that is deleted).
ParseResult<Patched> apply_patch(std::string_view current, std::string_view patch);

}   // namespace myrtleroute::configuration
