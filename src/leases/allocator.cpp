#include "leases/allocator.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace myrtleroute::leases {
namespace {

constexpr size_t most_holders = 4096;
constexpr double rounding = 1e-6;   // of the depth
constexpr double scarce = 0.5;     // of what may be in the pool and lent: below it the limit binds, if all is asked for
constexpr double overload = 1.1;   // of the fill: asked for by then, the limit binds, if little is left
constexpr Span settles_within{0.6};            // all that run have asked by then
constexpr Span most_idle{8};                   // that is credited at the beginning
constexpr Span held_for{2};                    // of its demand, a holder has at the most
constexpr double held_part = 0.6;              // of what is in the pool and lent, to be held
constexpr double threshold_part = 0.2;         // of what a holder usually has
constexpr double most_threshold_part = 0.35;   // of a holder's target
// The fill is worked out for so long ahead, at each tick; after that there is none until the next tick.
constexpr Span fill_holds{0.2};

// What rounding may add up to.
double rest_of(const Budget& budget) { return rounding * budget.depth + 1e-6; }

}   // namespace

void Allocator::set_limits(std::map<std::string, Limit> limits, Time now) {
    // One that has no limit any more is kept until all that was lent of it has ended: it may come back.
    for (auto& [name, tenant] : tenants_)
        if (!limits.count(name)) limits[name] = {};
    for (const auto& [name, limit] : limits) {
        auto [known, fresh] = tenants_.try_emplace(name);
        auto& tenant = known->second;
        if (!fresh && tenant.limit == limit) continue;
        if (!fresh) refill(tenant, now);
        tenant.limit = limit;
        tenant.budget = budget_of(limit, rule_);
        if (fresh) tenant.filled = now;
        plan_fill(tenant, now);
        tenant.level = std::min(tenant.level, room(tenant, now));
        tenant.overdrawn = std::max(0.0, -tenant.level - tenant.budget.debt());   // by a higher limit
    }
}

void Allocator::begin(uint64_t term, const std::set<std::string>& nodes, Time now) {
    term_ = term;
    nodes_ = missing_ = nodes;
    began_ = now;
    heard_.clear();
    lent_before_gone_ = now + terms_.grant_duration;
    reserves_before_gone_ = now + terms_.reserve_duration;
    holders_.clear();
    for (auto& [name, tenant] : tenants_) {
        Tenant fresh;
        fresh.limit = tenant.limit;
        fresh.budget = tenant.budget;
        fresh.filled = now;
        fresh.level = -fresh.budget.debt();   // an earlier allocator may have lent so much ahead
        plan_fill(fresh, now);
        tenant = std::move(fresh);
    }
}

// What the pool gets of the fill. Out of touch, a holder uses its reserve by itself; until all reserves that an earlier
// allocator promised have ended, those that are not known may be in use.
void Allocator::plan_fill(Tenant& tenant, Time now) {
    tenant.filled_until = now + fill_holds;
    double elsewhere = 0;
    for (const auto& [id, share] : tenant.shares)
        if (share.pooled_until < tenant.filled_until) elsewhere += share.reserve;
    if (!knows_all() && now < reserves_before_gone_)
        elsewhere += std::max(0.0, tenant.budget.reserved_rate() - tenant.reserved);
    tenant.fill = std::max(0.0, tenant.budget.fill_rate - elsewhere);
}

// Most that an earlier allocator may have lent and that has neither ended nor been reported.
double Allocator::unknown(const Tenant& tenant, Time now) const {
    if (knows_all() || now >= lent_before_gone_) return 0;
    return std::max(0.0, tenant.budget.max_granted() - tenant.first_reported);
}

// Most units that may stand in the pool, or be lent beyond what is.
double Allocator::room(const Tenant& tenant, Time now) const {
    return std::max(0.0, tenant.budget.pool() - tenant.lent - unknown(tenant, now));
}

void Allocator::refill(Tenant& tenant, Time now) {
    const double passed = (std::min(now, tenant.filled_until) - tenant.filled).s;
    tenant.level = std::min(tenant.level + tenant.fill * std::max(0.0, passed), room(tenant, now));
    tenant.filled = std::max(tenant.filled, now);
    tenant.overdrawn = std::clamp(-tenant.level - tenant.budget.debt(), 0.0, tenant.overdrawn);
}

void Allocator::count(Tenant& tenant, const Share& before, const Share& after) {
    tenant.lent += after.lent - before.lent;
    tenant.reserved += after.reserve - before.reserve;
    tenant.asked += after.asked - before.asked;
}

void Allocator::expire(Tenant& tenant, Time now) {
    tenant.lent = tenant.reserved = tenant.asked = 0;   // anew, so that no rounding adds up
    for (auto it = tenant.shares.begin(); it != tenant.shares.end();) {
        auto& share = it->second;
        if (now >= share.lent_until) share.lent = share.granted = share.asked = 0;
        if (now >= share.reserve_until) share.reserve = 0;
        const bool empty = share.lent <= 0 && share.reserve <= 0 && share.asked <= 0;
        count(tenant, {}, share);
        it = empty ? tenant.shares.erase(it) : std::next(it);
    }
}

void Allocator::tick(Time now) {
    for (auto& [name, tenant] : tenants_) {
        refill(tenant, now);
        expire(tenant, now);
        plan_fill(tenant, now);
    }
    std::erase_if(tenants_, [](const auto& known) { return known.second.is_over(); });
    std::erase_if(heard_, [&](const auto& known) { return !nodes_.count(known.first); });
    std::erase_if(holders_, [&](const auto& known) {
        return now >= known.second.lent_until && now >= known.second.reserve_until;
    });
}

bool Allocator::limit_binds(const Tenant& tenant, Time now) const {
    const double left = tenant.level + tenant.lent;
    return tenant.asked > overload * tenant.budget.fill_rate && left < scarce * (tenant.lent + room(tenant, now));
}

// By demand. What others have is not taken from them here: it is free once they have said that they have less.
double Allocator::reserve_for(const Tenant& tenant, const Share& share, Time now) const {
    const double part = tenant.asked > 0 ? share.asked / tenant.asked : 0;
    const double by_demand = tenant.budget.reserved_rate() * part;
    const double free = tenant.budget.reserved_rate() - tenant.reserved;
    if (free < 0) return std::min(by_demand, share.reserve);   // the limit has been lowered
    if (!knows_all() && now < reserves_before_gone_) return share.reserve;
    return std::min(by_demand, share.reserve + free);
}

LeaseGrant Allocator::lend(Tenant& tenant, Share& share, const LeaseStatus& asked, Time now) {
    const auto& budget = tenant.budget;
    const double part = tenant.asked > 0 ? share.asked / tenant.asked : 0;
    const bool binds = limit_binds(tenant, now);
    LeaseGrant lent;
    // A part of what there is stays in the pool, for requests larger than what their proxies hold.
    const double may_be_held = std::min(budget.usual_granted(), held_part * std::max(0.0, tenant.level + tenant.lent));
    lent.target = std::min(may_be_held * part, share.asked * held_for.s);
    const double usual = std::min(budget.usual_granted() * part, share.asked * held_for.s);
    lent.threshold = binds ? std::min(usual * threshold_part, lent.target * most_threshold_part) : 0;
    lent.overload = budget.fill_rate > 0 ? tenant.asked / budget.fill_rate : 0;
    const double may_be_lent = std::max(0.0, budget.max_granted() - tenant.lent);
    const double available = std::max(0.0, tenant.level);
    // To be had without asking: where units are scarce, in proportion to the demand.
    const double wanted = std::max(0.0, lent.target - share.lent);
    lent.granted = std::min({wanted, binds ? available * part : available, may_be_lent});
    // For requests whose turn it is, ahead of the fill where need be. A part of what a request needs would be of no use.
    const double most = std::min(tenant.level + budget.debt(), may_be_lent);
    for (const double needed : {asked.needed_by_first, asked.needed})
        if (needed > lent.granted && needed <= most) lent.granted = needed;
    tenant.level -= lent.granted;
    const Share before = share;
    share.granted = lent.granted;
    share.lent += lent.granted;
    lent.reserve_rate = reserve_for(tenant, share, now);
    share.reserve = std::max(share.reserve, lent.reserve_rate);   // a smaller one counts once the holder has it
    count(tenant, before, share);
    if (budget.reserved_rate() > 0)
        lent.reserve_cap = budget.max_accumulated() * lent.reserve_rate / budget.reserved_rate();
    return lent;
}

// A machine runs one process of a role, and starts it when the one before has ended.
void Allocator::end_other_lives(const HolderId& living) {
    for (auto it = holders_.lower_bound({living.node, 0}); it != holders_.end() && it->first.node == living.node;) {
        if (it->first == living) {
            ++it;
            continue;
        }
        for (auto& [name, tenant] : tenants_) {
            const auto share = tenant.shares.find(it->first);
            if (share == tenant.shares.end()) continue;
            count(tenant, share->second, {});
            tenant.shares.erase(share);
        }
        it = holders_.erase(it);
    }
}

bool Allocator::is_full_for(const HolderId& holder) const {
    return holders_.size() >= most_holders && holders_.count(holder) == 0;
}

std::optional<LeaseReply> Allocator::handle(const LeaseRequest& ask, Time now) {
    if (!is_admitted(ask.holder.node)) return {};
    if (is_full_for(ask.holder)) return {};
    auto& holder = holders_[ask.holder];
    if (ask.number <= holder.last_ask) return {};
    heard_[ask.holder.node] = now;
    const bool took_reply = holder.last_ask > 0 && ask.applied == holder.last_ask && ask.applied_term == term_;
    if (took_reply) holder.pooled_until = holder.replied + terms_.reserve_delay;
    if (took_reply && !std::exchange(holder.proven, true)) note_first(ask, now);
    holder.last_ask = ask.number;
    holder.replied = now;
    holder.lent_until = now + terms_.grant_duration;
    holder.reserve_until = now + terms_.reserve_duration;

    auto names = std::exchange(holder.tenants, {});
    for (const auto& [name, told] : ask.tenants) names.insert(name);
    const bool settles = !knows_all() && now - began_ < settles_within;
    LeaseReply reply{ask.holder, ask.number, term_, !holder.proven || settles, {}};
    for (const auto& name : names) {
        const auto known = tenants_.find(name);
        if (known == tenants_.end()) continue;
        auto& tenant = known->second;
        refill(tenant, now);
        const auto told = ask.tenants.find(name);
        const LeaseStatus held = told == ask.tenants.end() ? LeaseStatus{} : told->second;
        auto& share = tenant.shares[ask.holder];
        const Share before = share;
        // What the last reply granted, if that was not taken, will never be used. What an ask gives up that may be one
        // of before is not counted on.
        const double back = took_reply ? held.returned : before.granted;
        share = {held.held,           0, held.reserve_rate, held.demand, holder.lent_until, holder.pooled_until,
                 holder.reserve_until};
        count(tenant, before, share);
        tenant.level = std::min(tenant.level + back, room(tenant, now));
        if (told == ask.tenants.end()) continue;
        reply.tenants[name] = lend(tenant, share, held, now);
        holder.tenants.insert(name);
    }
    return reply;
}

// The first ask that proves that the holder lives. Other lives of its node have ended. What it holds, less what this
// allocator has granted it, was lent before; a tenant that it does not name it has not heard of for some time.
void Allocator::note_first(const LeaseRequest& ask, Time now) {
    end_other_lives(ask.holder);
    const Span forgotten = std::min(Span{ask.age}, terms_.tenant_retention);
    for (auto& [name, tenant] : tenants_) {
        const auto told = ask.tenants.find(name);
        const Span unused = told == ask.tenants.end() ? forgotten : Span{told->second.idle};
        tenant.last_used = std::max(tenant.last_used, now - unused);
        const auto share = tenant.shares.find(ask.holder);
        if (told == ask.tenants.end() || share == tenant.shares.end()) continue;
        tenant.first_reported += std::max(0.0, told->second.held - share->second.granted);
    }
    if (missing_.erase(ask.holder.node) > 0 && knows_all()) credit_idle_time(now);
}

// By now all have said when they last used units. Before this allocator began, the fill of the time since then went unused.
void Allocator::credit_idle_time(Time now) {
    for (auto& [name, tenant] : tenants_) {
        refill(tenant, now);
        const double idle = std::clamp((began_ - tenant.last_used).s, 0.0, most_idle.s);
        tenant.level = std::min(tenant.level + tenant.budget.fill_rate * idle, room(tenant, now));
    }
}

std::optional<Time> Allocator::last_request(const std::string& node) const {
    const auto known = heard_.find(node);
    return known == heard_.end() ? std::nullopt : std::optional(known->second);
}

std::optional<std::string> Allocator::violated_budget(const std::string& name, const Tenant& tenant) {
    const auto& budget = tenant.budget;
    const double rest = rest_of(budget);
    if (tenant.level < -budget.debt() - tenant.overdrawn - rest)
        return "tenant " + name + ": more is lent ahead than may be";
    if (tenant.level > 0 && tenant.level + tenant.lent > budget.pool() + rest)
        return "tenant " + name + ": the pool and what is lent are more than may be";
    return {};
}

std::optional<std::string> Allocator::violated_by(const LeaseRequest& ask) const {
    for (const auto& [name, told] : ask.tenants) {
        const auto known = tenants_.find(name);
        if (known == tenants_.end()) continue;
        if (auto violated = violated_budget(name, known->second)) return violated;
    }
    return {};
}

std::optional<std::string> Allocator::violated_invariant() const {
    for (const auto& [name, tenant] : tenants_) {
        if (auto violated = violated_budget(name, tenant)) return violated;
        double lent = 0;
        for (const auto& [holder, share] : tenant.shares) lent += share.lent;
        if (std::abs(lent - tenant.lent) > rest_of(tenant.budget))
            return "tenant " + name + ": the sum of what is lent is wrong";
    }
    return {};
}

std::optional<Allocator::Amounts> Allocator::amounts(const std::string& name) const {
    const auto known = tenants_.find(name);
    if (known == tenants_.end()) return {};
    const auto& tenant = known->second;
    return Amounts{tenant.level, tenant.lent, tenant.fill, tenant.asked};
}

}   // namespace myrtleroute::leases
