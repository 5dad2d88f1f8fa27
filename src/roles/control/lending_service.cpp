#include "roles/control/lending_service.hpp"

#include <utility>

#include "base/invariants.hpp"
#include "configuration/configuration.hpp"

namespace myrtleroute::control {
namespace {

std::map<std::string, leases::Limit> limits_of(const std::string& body) {
    std::map<std::string, leases::Limit> limits;
    const auto checked = configuration::read_configuration(body);
    const auto* configuration = std::get_if<configuration::Configuration>(&checked);
    if (!configuration) return limits;   // it was checked before it was accepted
    for (const auto& tenant : configuration->tenants)
        if (tenant.rate_per_second > 0) limits[tenant.name] = {tenant.rate_per_second, tenant.burst};
    return limits;
}

}   // namespace

void LendingService::configured(const std::string& body) { configuration_ = body; }

// Called often enough to see every leader that acts for a while.
void LendingService::follow_leadership(Time now) {
    if (!replica_.leader() || replica_.term() == reign_.term) return;
    reign_before_ = std::exchange(reign_, Reign{replica_.term(), now});
    lends_ = false;
}

bool LendingService::may_lend(Time now) const {
    return replica_.leads_with_answers_within(terms_.authority, now) && reign_.term == replica_.term() &&
           now >= reign_.since + terms_.authority + terms_.takeover_margin;
}

leases::Allocator::Before LendingService::predecessors(Time now) const {
    const Span settled = terms_.lent + terms_.authority + terms_.takeover_margin;
    const bool was_short = reign_before_.since > long_ago && now - reign_before_.since < settled + settled;
    return was_short ? leases::Allocator::Before::several : leases::Allocator::Before::one;
}

void LendingService::tick(Time now) {
    follow_leadership(now);
    if (!may_lend(now)) return;
    if (configuration_) allocator_.limits(limits_of(*std::exchange(configuration_, std::nullopt)), now);
    if (!std::exchange(lends_, true)) allocator_.begin(now, predecessors(now));
    allocator_.tick(now);
    check_invariant();
}

std::optional<leases::LeaseReply> LendingService::ask(const leases::LeaseAsk& ask, Time now) {
    if (!lends_ || !may_lend(now)) return {};
    auto reply = allocator_.ask(ask, now);
    check_invariant();
    return reply;
}

void LendingService::check_invariant() {
    const auto violated = allocator_.violated_invariant();
    if (!violated) return;
    if (throw_on_violations) throw InvariantViolation(*violated);
    ++violations_;
    last_violation_ = *violated;
}

}   // namespace myrtleroute::control
