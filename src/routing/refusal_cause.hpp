// Why a request was refused over its tenant's quota.
#pragma once
#include <array>
#include <cstddef>
#include <string_view>

namespace myrtleroute::routing {

enum class RefusalCause {
    fleet_over_limit,   // as far as known here, the fleet together has granted what the quota allows
    own_part_used,      // this proxy has granted what it may before the fleet's sums show it
};

// All causes, in the order of their values.
inline constexpr std::array refusal_causes{RefusalCause::fleet_over_limit, RefusalCause::own_part_used};

// The cause's name in figures and in the log.
constexpr std::string_view to_string(RefusalCause cause) {
    switch (cause) {
        case RefusalCause::fleet_over_limit: return "fleet_over_limit";
        case RefusalCause::own_part_used: return "own_part_used";
    }
    return "unknown";
}

}   // namespace myrtleroute::routing
