// Causes for refusing a request because of its tenant's limit.
#pragma once
#include <array>
#include <cstddef>
#include <string_view>

namespace myrtleroute::leases {

enum class RefusalCause {
    over_limit,     // total demand at all proxies exceeds the limit
    not_lent,       // the allocator had too few units
    out_of_touch,   // no allocator answers, and this proxy's reserve is not enough
    no_room,        // too many tenants are known, or too many requests of the tenant are queued
};

// All causes, in the order of their values.
inline constexpr std::array refusal_causes{RefusalCause::over_limit, RefusalCause::not_lent, RefusalCause::out_of_touch,
                                           RefusalCause::no_room};

// The cause's name in metrics and logs.
constexpr std::string_view to_string(RefusalCause cause) {
    switch (cause) {
        case RefusalCause::over_limit: return "over_limit";
        case RefusalCause::not_lent: return "not_lent";
        case RefusalCause::out_of_touch: return "out_of_touch";
        case RefusalCause::no_room: return "no_room";
    }
    return "unknown";
}

}   // namespace myrtleroute::leases
