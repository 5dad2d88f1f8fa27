#include "roles/control/lease_service.hpp"

#include <algorithm>
#include <utility>

#include "base/invariants.hpp"
#include "configuration/configuration.hpp"

namespace myrtleroute::control {
namespace {

constexpr size_t max_nodes = 4096;
constexpr Span cleanup_interval{1};
constexpr Span node_expiry{60};   // since a node's last request; its leases have expired long before

std::map<std::string, leases::Limit> limits_of(const std::string& body) {
    std::map<std::string, leases::Limit> limits;
    const auto checked = configuration::read_configuration(body);
    const auto* configuration = std::get_if<configuration::Configuration>(&checked);
    if (!configuration) return limits;   // cannot happen: it was validated before it was accepted
    for (const auto& tenant : configuration->tenants)
        if (tenant.rate_per_second > 0) limits[tenant.name] = {tenant.rate_per_second, tenant.burst};
    return limits;
}

}   // namespace

void LeaseService::set_configuration(const PackedText& body) { configuration_ = body; }

// Called at every tick, so that every leader that stays in office for a while is seen.
void LeaseService::follow_leadership(Time now) {
    if (!replica_.leader() || replica_.term() == leader_term_.term) return;
    leader_term_ = {replica_.term(), now};
    grants_leases_ = false;
}

bool LeaseService::may_grant(Time now) const {
    if (!replica_.leads_with_quorum_within(terms_.authority_duration, now) || leader_term_.term != replica_.term())
        return false;
    const Span left = terms_.authority_duration + terms_.takeover_margin - replica_.leaderless_before_election();
    return now >= leader_term_.since + std::max(Span{}, left);
}

void LeaseService::tick(Time now) {
    follow_leadership(now);
    if (!may_grant(now)) return;
    // Until then it is not certain what earlier leaders have committed.
    if (!grants_leases_ && !has_committed_in_term()) return;
    if (configuration_) allocator_.set_limits(limits_of(std::exchange(configuration_, std::nullopt)->text()), now);
    if (!grants_leases_) {
        grants_leases_ = true;
        granting_since_ = now;
        pending_nodes_.clear();
        admitted_index_ = 0;
        allocator_.begin(leader_term_.term, committed_nodes(), now);
    }
    allocator_.tick(now);
    update_nodes(now);
    record_violation(allocator_.violated_invariant());
}

std::optional<leases::LeaseReply> LeaseService::handle(const leases::LeaseRequest& request, Time now) {
    if (!grants_leases_ || !may_grant(now)) return {};
    if (!allocator_.is_admitted(request.holder.node) && pending_nodes_.size() < max_nodes) {
        pending_nodes_.insert(request.holder.node);
        update_nodes(now);
    }
    if (allocator_.is_full_for(request.holder)) ++bounds_.lease_holders;
    auto reply = allocator_.handle(request, now);
    // Checks only what the request may have changed; `tick` checks the rest.
    record_violation(allocator_.violated_by(request));
    return reply;
}

bool LeaseService::has_committed_in_term() const {
    const auto& entry = replica_.entry();
    return entry && entry->position.term == replica_.term() && replica_.committed() >= entry->position.index;
}

std::set<std::string> LeaseService::committed_nodes() const {
    const auto& names = replica_.entry()->state.lease_holders;
    return {names.begin(), names.end()};
}

// Proposes one change at a time: adds nodes that sent a request, removes nodes that have sent none for node_expiry.
void LeaseService::update_nodes(Time now) {
    if (!has_committed_in_term()) return;
    const auto index = replica_.entry()->position.index;
    if (pending_nodes_.empty() && index == admitted_index_ && now < next_cleanup_) return;
    admitted_index_ = index;
    next_cleanup_ = now + cleanup_interval;
    auto nodes = committed_nodes();
    allocator_.admit(nodes);
    std::erase_if(pending_nodes_, [&](const auto& node) { return nodes.count(node) > 0; });
    std::erase_if(nodes, [&](const auto& node) {
        return now - allocator_.last_request(node).value_or(granting_since_) > node_expiry;
    });
    for (const auto& node : pending_nodes_)
        if (nodes.size() < max_nodes)
            nodes.insert(node);
        else
            ++bounds_.lease_nodes;
    auto state = replica_.entry()->state;
    state.lease_holders.assign(nodes.begin(), nodes.end());
    if (state != replica_.entry()->state) replica_.propose(std::move(state), now);
}

void LeaseService::record_violation(const std::optional<std::string>& violated) {
    if (!violated) return;
    if (throw_on_violations) throw InvariantViolation(*violated);
    ++violations_;
    last_violation_ = *violated;
}

}   // namespace myrtleroute::control
