#include "leases/allocator.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace myrtleroute::leases {
namespace {

constexpr size_t max_holders = 4096;
constexpr double rounding = 1e-6;   // fraction of the depth
// If all is requested: the limit is binding when less than this fraction of the permitted pool and grants is left ...
constexpr double scarce_fraction = 0.5;
constexpr double binding_overload = 1.1;          // ... and demand exceeds this multiple of the fill rate.
constexpr Span settling_time{0.6};                // all running proxies have sent a request by then
constexpr Span max_idle_credit{8};                // idle time credited to a new allocator
constexpr Span max_held_time{2};                  // seconds of its own demand that a holder may hold
constexpr double max_held_fraction = 0.6;         // fraction of pooled and granted units that may be held
constexpr double threshold_fraction = 0.2;        // fraction of a holder's usual units
constexpr double max_threshold_fraction = 0.35;   // fraction of a holder's target
// Each tick plans the fill for this time; later units are added only after the next tick.
constexpr Span fill_plan_time{0.2};

// Tolerance for accumulated rounding errors, in units.
double rounding_tolerance(const Budget& budget) { return rounding * budget.depth + 1e-6; }

}   // namespace

void Allocator::set_limits(std::map<std::string, Limit> limits, Time now) {
    // A tenant without a limit is kept until all its grants have expired: its limit may come back.
    for (auto& [name, tenant] : tenants_)
        if (!limits.count(name)) limits[name] = {};
    for (const auto& [name, limit] : limits) {
        auto [known, fresh] = tenants_.try_emplace(name);
        auto& tenant = known->second;
        if (!fresh && tenant.limit == limit) continue;
        if (!fresh) refill(tenant, now);
        tenant.limit = limit;
        tenant.budget = budget_of(limit, rule_);
        if (fresh) tenant.refilled_at = now;
        plan_fill(tenant, now);
        tenant.pooled = std::min(tenant.pooled, capacity_left(tenant, now));
        // Debt made under a higher limit.
        tenant.excess_debt = std::max(0.0, -tenant.pooled - tenant.budget.debt());
    }
}

void Allocator::begin(uint64_t term, const std::set<std::string>& nodes, Time now) {
    term_ = term;
    nodes_ = unreported_nodes_ = nodes;
    began_ = now;
    last_requests_.clear();
    earlier_grants_expire_ = now + terms_.grant_duration;
    earlier_reserves_expire_ = now + terms_.reserve_duration;
    holders_.clear();
    for (auto& [name, tenant] : tenants_) {
        Tenant fresh;
        fresh.limit = tenant.limit;
        fresh.budget = tenant.budget;
        fresh.refilled_at = now;
        fresh.pooled = -fresh.budget.debt();   // an earlier allocator may have granted this many units ahead
        plan_fill(fresh, now);
        tenant = std::move(fresh);
    }
}

// The pool's part of the fill rate. A disconnected holder uses its reserve by itself; until all reserves promised by an
// earlier allocator have expired, unreported ones may be in use.
void Allocator::plan_fill(Tenant& tenant, Time now) {
    tenant.fill_valid_until = now + fill_plan_time;
    double used_elsewhere = 0;
    for (const auto& [id, share] : tenant.shares)
        if (share.reserve_pooled_until < tenant.fill_valid_until) used_elsewhere += share.reserve;
    if (!all_reported() && now < earlier_reserves_expire_)
        used_elsewhere += std::max(0.0, tenant.budget.reserved_rate() - tenant.reserved);
    tenant.fill_rate = std::max(0.0, tenant.budget.fill_rate - used_elsewhere);
}

// Upper bound on grants of an earlier allocator that have neither expired nor been reported.
double Allocator::unreported_grants(const Tenant& tenant, Time now) const {
    if (all_reported() || now >= earlier_grants_expire_) return 0;
    return std::max(0.0, tenant.budget.max_granted() - tenant.reported_earlier_grants);
}

// Upper bound on units in the pool, and on further grants.
double Allocator::capacity_left(const Tenant& tenant, Time now) const {
    return std::max(0.0, tenant.budget.pool() - tenant.granted - unreported_grants(tenant, now));
}

void Allocator::refill(Tenant& tenant, Time now) {
    const double elapsed = (std::min(now, tenant.fill_valid_until) - tenant.refilled_at).s;
    tenant.pooled = std::min(tenant.pooled + tenant.fill_rate * std::max(0.0, elapsed), capacity_left(tenant, now));
    tenant.refilled_at = std::max(tenant.refilled_at, now);
    tenant.excess_debt = std::clamp(-tenant.pooled - tenant.budget.debt(), 0.0, tenant.excess_debt);
}

void Allocator::update_totals(Tenant& tenant, const Share& before, const Share& after) {
    tenant.granted += after.granted - before.granted;
    tenant.reserved += after.reserve - before.reserve;
    tenant.demand += after.demand - before.demand;
}

void Allocator::expire(Tenant& tenant, Time now) {
    tenant.granted = tenant.reserved = tenant.demand = 0;   // recomputed, so that rounding errors do not accumulate
    for (auto it = tenant.shares.begin(); it != tenant.shares.end();) {
        auto& share = it->second;
        if (now >= share.grant_expires) share.granted = share.last_granted = share.demand = 0;
        if (now >= share.reserve_expires) share.reserve = 0;
        const bool empty = share.granted <= 0 && share.reserve <= 0 && share.demand <= 0;
        update_totals(tenant, {}, share);
        it = empty ? tenant.shares.erase(it) : std::next(it);
    }
}

void Allocator::tick(Time now) {
    for (auto& [name, tenant] : tenants_) {
        refill(tenant, now);
        expire(tenant, now);
        plan_fill(tenant, now);
    }
    std::erase_if(tenants_, [](const auto& known) { return known.second.is_expired(); });
    std::erase_if(last_requests_, [&](const auto& known) { return !nodes_.count(known.first); });
    std::erase_if(holders_, [&](const auto& known) {
        return now >= known.second.grant_expires && now >= known.second.reserve_expires;
    });
}

bool Allocator::limit_is_binding(const Tenant& tenant, Time now) const {
    const double left = tenant.pooled + tenant.granted;
    return tenant.demand > binding_overload * tenant.budget.fill_rate &&
           left < scarce_fraction * (tenant.granted + capacity_left(tenant, now));
}

// Divided by demand. The reserve of other holders is not taken away here: it becomes free once they report a smaller
// one.
double Allocator::reserve_for(const Tenant& tenant, const Share& share, Time now) const {
    const double fraction = tenant.demand > 0 ? share.demand / tenant.demand : 0;
    const double by_demand = tenant.budget.reserved_rate() * fraction;
    const double free = tenant.budget.reserved_rate() - tenant.reserved;
    if (free < 0) return std::min(by_demand, share.reserve);   // the limit was lowered
    if (!all_reported() && now < earlier_reserves_expire_) return share.reserve;
    return std::min(by_demand, share.reserve + free);
}

LeaseGrant Allocator::grant(Tenant& tenant, Share& share, const LeaseStatus& status, Time now) {
    const auto& budget = tenant.budget;
    const double fraction = tenant.demand > 0 ? share.demand / tenant.demand : 0;
    const bool is_binding = limit_is_binding(tenant, now);
    LeaseGrant lease;
    // A part of the units stays in the pool, for requests larger than what their proxies hold.
    const double max_held =
        std::min(budget.usual_granted(), max_held_fraction * std::max(0.0, tenant.pooled + tenant.granted));
    lease.target = std::min(max_held * fraction, share.demand * max_held_time.s);
    const double usual = std::min(budget.usual_granted() * fraction, share.demand * max_held_time.s);
    lease.threshold = is_binding ? std::min(usual * threshold_fraction, lease.target * max_threshold_fraction) : 0;
    lease.overload = budget.fill_rate > 0 ? tenant.demand / budget.fill_rate : 0;
    const double max_grant = std::max(0.0, budget.max_granted() - tenant.granted);
    const double available = std::max(0.0, tenant.pooled);
    // Units granted in advance: when units are scarce, in proportion to demand.
    const double wanted = std::max(0.0, lease.target - share.granted);
    lease.granted = std::min({wanted, is_binding ? available * fraction : available, max_grant});
    // Units for queued requests, if necessary before they are produced. A part of what a request needs would be
    // useless.
    const double max_units = std::min(tenant.pooled + budget.debt(), max_grant);
    for (const double needed : {status.needed_by_first, status.needed})
        if (needed > lease.granted && needed <= max_units) lease.granted = needed;
    tenant.pooled -= lease.granted;
    const Share before = share;
    share.last_granted = lease.granted;
    share.granted += lease.granted;
    lease.reserve_rate = reserve_for(tenant, share, now);
    // A smaller reserve counts once the holder has applied it.
    share.reserve = std::max(share.reserve, lease.reserve_rate);
    update_totals(tenant, before, share);
    if (budget.reserved_rate() > 0)
        lease.reserve_cap = budget.max_accumulated() * lease.reserve_rate / budget.reserved_rate();
    return lease;
}

// A machine runs one process per role, and starts it after the previous one has ended.
void Allocator::end_other_incarnations(const HolderId& current) {
    for (auto it = holders_.lower_bound({current.node, 0}); it != holders_.end() && it->first.node == current.node;) {
        if (it->first == current) {
            ++it;
            continue;
        }
        for (auto& [name, tenant] : tenants_) {
            const auto share = tenant.shares.find(it->first);
            if (share == tenant.shares.end()) continue;
            update_totals(tenant, share->second, {});
            tenant.shares.erase(share);
        }
        it = holders_.erase(it);
    }
}

bool Allocator::is_full_for(const HolderId& holder) const {
    return holders_.size() >= max_holders && holders_.count(holder) == 0;
}

std::optional<LeaseReply> Allocator::handle(const LeaseRequest& request, Time now) {
    if (!is_admitted(request.holder.node)) return {};
    if (is_full_for(request.holder)) return {};
    auto& holder = holders_[request.holder];
    if (request.number <= holder.last_request_number) return {};
    last_requests_[request.holder.node] = now;
    const bool applied_last_reply = holder.last_request_number > 0 && request.applied == holder.last_request_number &&
                                    request.applied_term == term_;
    if (applied_last_reply) holder.reserve_pooled_until = holder.replied + terms_.reserve_delay;
    if (applied_last_reply && !std::exchange(holder.is_confirmed, true)) apply_first_report(request, now);
    holder.last_request_number = request.number;
    holder.replied = now;
    holder.grant_expires = now + terms_.grant_duration;
    holder.reserve_expires = now + terms_.reserve_duration;

    auto names = std::exchange(holder.tenants, {});
    for (const auto& [name, reported] : request.tenants) names.insert(name);
    const bool is_settling = !all_reported() && now - began_ < settling_time;
    LeaseReply reply{request.holder, request.number, term_, !holder.is_confirmed || is_settling, {}};
    for (const auto& name : names) {
        const auto known = tenants_.find(name);
        if (known == tenants_.end()) continue;
        auto& tenant = known->second;
        refill(tenant, now);
        const auto reported = request.tenants.find(name);
        const LeaseStatus held = reported == request.tenants.end() ? LeaseStatus{} : reported->second;
        auto& share = tenant.shares[request.holder];
        const Share before = share;
        // If the last reply was not applied, its grant will never be used. Units returned by a request that may come
        // from an earlier incarnation are not credited.
        const double returned = applied_last_reply ? held.returned : before.last_granted;
        share = {held.held,
                 0,
                 held.reserve_rate,
                 held.demand,
                 holder.grant_expires,
                 holder.reserve_pooled_until,
                 holder.reserve_expires};
        update_totals(tenant, before, share);
        tenant.pooled = std::min(tenant.pooled + returned, capacity_left(tenant, now));
        if (reported == request.tenants.end()) continue;
        reply.tenants[name] = grant(tenant, share, held, now);
        holder.tenants.insert(name);
    }
    return reply;
}

// Handles the first request that proves that the holder is alive. Other incarnations of its node have ended. What it
// holds, minus what this allocator granted it, was granted before; a tenant missing from the request has had no
// requests there for some time.
void Allocator::apply_first_report(const LeaseRequest& request, Time now) {
    end_other_incarnations(request.holder);
    const Span missing_idle = std::min(Span{request.age}, terms_.tenant_retention);
    for (auto& [name, tenant] : tenants_) {
        const auto reported = request.tenants.find(name);
        const Span unused = reported == request.tenants.end() ? missing_idle : Span{reported->second.idle};
        tenant.last_used = std::max(tenant.last_used, now - unused);
        const auto share = tenant.shares.find(request.holder);
        if (reported == request.tenants.end() || share == tenant.shares.end()) continue;
        tenant.reported_earlier_grants += std::max(0.0, reported->second.held - share->second.last_granted);
    }
    if (unreported_nodes_.erase(request.holder.node) > 0 && all_reported()) credit_idle_time(now);
}

// All nodes have now reported when they last used units. The fill since then and until this allocator began was unused.
void Allocator::credit_idle_time(Time now) {
    for (auto& [name, tenant] : tenants_) {
        refill(tenant, now);
        const double idle = std::clamp((began_ - tenant.last_used).s, 0.0, max_idle_credit.s);
        tenant.pooled = std::min(tenant.pooled + tenant.budget.fill_rate * idle, capacity_left(tenant, now));
    }
}

std::optional<Time> Allocator::last_request(const std::string& node) const {
    const auto known = last_requests_.find(node);
    return known == last_requests_.end() ? std::nullopt : std::optional(known->second);
}

std::optional<std::string> Allocator::violated_budget(const std::string& name, const Tenant& tenant) {
    const auto& budget = tenant.budget;
    const double tolerance = rounding_tolerance(budget);
    if (tenant.pooled < -budget.debt() - tenant.excess_debt - tolerance)
        return "tenant " + name + ": units granted ahead exceed the permitted debt";
    if (tenant.pooled > 0 && tenant.pooled + tenant.granted > budget.pool() + tolerance)
        return "tenant " + name + ": pooled and granted units exceed the permitted total";
    return {};
}

std::optional<std::string> Allocator::violated_by(const LeaseRequest& request) const {
    for (const auto& [name, reported] : request.tenants) {
        const auto known = tenants_.find(name);
        if (known == tenants_.end()) continue;
        if (auto violated = violated_budget(name, known->second)) return violated;
    }
    return {};
}

std::optional<std::string> Allocator::violated_invariant() const {
    for (const auto& [name, tenant] : tenants_) {
        if (auto violated = violated_budget(name, tenant)) return violated;
        double total = 0;
        for (const auto& [holder, share] : tenant.shares) total += share.granted;
        if (std::abs(total - tenant.granted) > rounding_tolerance(tenant.budget))
            return "tenant " + name + ": the total of granted units differs from the sum over holders";
    }
    return {};
}

std::optional<Allocator::Amounts> Allocator::amounts(const std::string& name) const {
    const auto known = tenants_.find(name);
    if (known == tenants_.end()) return {};
    const auto& tenant = known->second;
    return Amounts{tenant.pooled, tenant.granted, tenant.fill_rate, tenant.demand};
}

}   // namespace myrtleroute::leases
