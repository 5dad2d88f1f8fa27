// Why a request was refused for the limit of its tenant.
#pragma once
#include <array>
#include <cstddef>
#include <string_view>

namespace myrtleroute::leases {

enum class RefusalCause {
    over_limit,     // all proxies together are asked for more than the limit allows
    not_lent,       // the allocator was asked for units and had too few
    out_of_touch,   // no allocator answers, and what this proxy may use by itself is not enough
    no_room,        // as many tenants are known, or as many requests of the tenant wait, as may be
};

// All causes, in the order of their values.
inline constexpr std::array refusal_causes{RefusalCause::over_limit, RefusalCause::not_lent, RefusalCause::out_of_touch,
                                           RefusalCause::no_room};

// The cause's name in figures and in the log.
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
