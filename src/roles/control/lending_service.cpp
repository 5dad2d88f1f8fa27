#include "roles/control/lending_service.hpp"

#include <algorithm>
#include <utility>

#include "base/invariants.hpp"
#include "configuration/configuration.hpp"

namespace myrtleroute::control {
namespace {

constexpr size_t most_nodes = 4096;
constexpr Span forget_every{1};
constexpr Span forgotten{60};   // a node that has not asked for so long; its leases have ended long before

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

void LendingService::configured(const PackedText& body) { configuration_ = body; }

// Called often enough to see every leader that acts for a while.
void LendingService::follow_leadership(Time now) {
    if (!replica_.leader() || replica_.term() == reign_.term) return;
    reign_ = {replica_.term(), now};
    lends_ = false;
}

bool LendingService::may_lend(Time now) const {
    if (!replica_.leads_with_quorum_within(terms_.authority_duration, now) || reign_.term != replica_.term())
        return false;
    const Span left = terms_.authority_duration + terms_.takeover_margin - replica_.leaderless_before_election();
    return now >= reign_.since + std::max(Span{}, left);
}

void LendingService::tick(Time now) {
    follow_leadership(now);
    if (!may_lend(now)) return;
    if (!lends_ && !is_settled()) return;   // what earlier leaders have committed is not known for sure
    if (configuration_) allocator_.set_limits(limits_of(std::exchange(configuration_, std::nullopt)->text()), now);
    if (!lends_) {
        lends_ = true;
        lends_since_ = now;
        applicants_.clear();
        admitted_at_ = 0;
        allocator_.begin(reign_.term, committed_nodes(), now);
    }
    allocator_.tick(now);
    change_nodes(now);
    note_violation(allocator_.violated_invariant());
}

std::optional<leases::LeaseReply> LendingService::ask(const leases::LeaseRequest& ask, Time now) {
    if (!lends_ || !may_lend(now)) return {};
    if (!allocator_.is_admitted(ask.holder.node) && applicants_.size() < most_nodes) {
        applicants_.insert(ask.holder.node);
        change_nodes(now);
    }
    if (allocator_.is_full_for(ask.holder)) ++bounds_.lease_holders;
    auto reply = allocator_.handle(ask, now);
    note_violation(allocator_.violated_by(ask));   // all that it may have changed; the rest is looked at in ticks
    return reply;
}

bool LendingService::is_settled() const {
    const auto& entry = replica_.entry();
    return entry && entry->position.term == replica_.term() && replica_.committed() >= entry->position.index;
}

std::set<std::string> LendingService::committed_nodes() const {
    const auto& names = replica_.entry()->state.lease_holders;
    return {names.begin(), names.end()};
}

// One change at a time: those that have asked come in, those that have not asked for long go.
void LendingService::change_nodes(Time now) {
    if (!is_settled()) return;
    const auto index = replica_.entry()->position.index;
    if (applicants_.empty() && index == admitted_at_ && now < forget_at_) return;
    admitted_at_ = index;
    forget_at_ = now + forget_every;
    auto nodes = committed_nodes();
    allocator_.admit(nodes);
    std::erase_if(applicants_, [&](const auto& node) { return nodes.count(node) > 0; });
    std::erase_if(nodes, [&](const auto& node) {
        return now - allocator_.last_request(node).value_or(lends_since_) > forgotten;
    });
    for (const auto& node : applicants_)
        if (nodes.size() < most_nodes)
            nodes.insert(node);
        else
            ++bounds_.lease_nodes;
    auto state = replica_.entry()->state;
    state.lease_holders.assign(nodes.begin(), nodes.end());
    if (state != replica_.entry()->state) replica_.propose(std::move(state), now);
}

void LendingService::note_violation(const std::optional<std::string>& violated) {
    if (!violated) return;
    if (throw_on_violations) throw InvariantViolation(*violated);
    ++violations_;
    last_violation_ = *violated;
}

}   // namespace myrtleroute::control
