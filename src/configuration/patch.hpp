// Patches of a configuration: a new version, items to add or replace, and names of items to delete.
//
//     {"version": 9, "upsert": {"routes": [{"name": "r1", ...}]}, "delete": {"tenants": ["t1"]}}
//
// An item replaces the one with the same name, or is appended if there is none. Items that the patch doesn't name are
// kept unchanged. The result must be a valid configuration.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

#include "base/findings.hpp"

namespace myrtleroute::configuration {

// The complete configuration that results from a patch.
struct Patched {
    uint64_t version = 0;
    std::string document;   // JSON
};

// Applies `patch` to `current`, which is a valid configuration or empty if there is none yet. Locations of findings are
// JSON pointers into the patch if it introduces the error, else into the result (for example an unchanged route whose
// service is deleted).
ParseResult<Patched> apply_patch(std::string_view current, std::string_view patch);

}   // namespace myrtleroute::configuration
