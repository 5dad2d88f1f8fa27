#include "leases/holder.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace myrtleroute::leases {
namespace {

constexpr Span averaged{2};                           // demand
constexpr Span ask_every{0.25}, ask_unchanged{0.5};   // the latter: nothing was used since
constexpr Span hurry_every{0.04};                     // where more asks are wanted at once
constexpr Span supersede_after{0.03};    // of an ask that nobody waits for, or of one to an earlier allocator
constexpr Span most_reply_within{0.8};   // that an unanswered ask is waited for
constexpr double longer = 1.5;           // each time that none has come
constexpr Span unanswered{0.1};          // then requests that come don't wait for an answer
constexpr Span silent{0.8};              // without a reply for so long, requests don't wait for one
constexpr size_t most_waiting = 64, most_tenants = 8192;   // the former: of a tenant
constexpr double much_more = 1.1;                          // than the target: then the rest is returned
constexpr double hopeless = 1.5;                           // overload at which coming back soon is of no use
constexpr Span allocator_within{1.6};   // of the last reply, or the start: where there is another one, it has begun
constexpr Span shortage{1};             // that passes by itself
constexpr Span soon{0.3}, late{5};      // when to come back
constexpr double rounding = 1e-6;

}   // namespace

void Holder::note_asked(Lease& lease, double cost, Time now) const {
    const double passed = std::clamp((now - lease.averaged_at).s, 0.0, 1e3);
    lease.asked = lease.asked * std::exp(-passed / averaged.s) + cost / averaged.s;
    lease.averaged_at = now;
}

void Holder::gain(double& into, double units) {
    into += units;
    totals_.received += units;
}

void Holder::settle(Lease& lease, Time now) {
    if (now >= lease.held_until) lease.held = 0;
    const auto from = std::max(lease.gathered_at, lease.gather_from);
    const auto until = std::min(now, lease.gather_until);
    if (until > from && lease.lent.reserve_rate > 0) {
        const double room = std::max(0.0, lease.lent.reserve_cap - lease.gathered);
        gain(lease.gathered, std::min(room, lease.lent.reserve_rate * (until - from).s));
    }
    lease.gathered_at = now;
    if (now < lease.gather_until) return;
    lease.gathered = 0;
    lease.lent.reserve_rate = lease.lent.reserve_cap = 0;
}

void Holder::use(Lease& lease, double cost, Time now) {
    const double gathered = std::min(cost, lease.gathered);
    lease.gathered -= gathered;
    lease.held -= cost - gathered;
    lease.changed = true;
    lease.used_at = now;
    totals_.used += cost;
}

void Holder::connected(bool is_up) {
    connected_ = is_up;
    asked_at_ = unanswered_since_ = long_ago;
    reply_within_ = first_reply_within;
}

// Whether a request that waits now may hear of its units in time.
bool Holder::may_be_answered(Time now) const {
    if (!connected_) return false;
    if (replied_ <= long_ago && now - started_ < allocator_within) return true;
    return now - replied_ < silent || unanswered_since_ <= long_ago || now - unanswered_since_ < unanswered;
}

Decision Holder::refusal(const Lease& lease, double cost, RefusalCause cause, Time now) const {
    Span retry_after = soon;
    if (cause == RefusalCause::out_of_touch) {
        // There is a new allocator soon, and until then the reserve.
        const Span allocator = std::max(replied_, started_) + allocator_within - now;
        retry_after = std::clamp(allocator, soon, late);
        const double lacking = cost - lease.usable();
        if (lease.lent.reserve_rate > 0 && lacking <= lease.lent.reserve_cap) {
            const Span begins = std::max(Span{}, lease.gather_from - now);
            retry_after = std::min(retry_after, std::max(soon, begins + Span{lacking / lease.lent.reserve_rate}));
        }
    } else {
        retry_after = lease.lent.overload > hopeless ? late : shortage;
    }
    return {Verdict::refused, cause, retry_after};
}

std::optional<Holder::TenantStatus> Holder::tenant_status(const std::string& tenant) const {
    const auto known = leases_.find(tenant);
    if (known == leases_.end()) return {};
    return TenantStatus{known->second.usable(), known->second.lent.overload};
}

Decision Holder::acquire(const std::string& tenant, double cost, uint64_t ticket, Span patience, Time now) {
    if (leases_.size() >= most_tenants && !leases_.count(tenant))
        return {Verdict::refused, RefusalCause::no_room, late};
    auto& lease = leases_[tenant];
    note_asked(lease, cost, now);
    lease.requested_at = now;
    settle(lease, now);
    const bool in_touch = connected_ && now - replied_ < silent;
    double free = lease.usable();
    for (const auto& waiting : lease.waiting) free -= waiting.cost;
    // Where the limit binds, requests have their turn alike, whatever their size.
    if (in_touch && lease.lent.threshold > 0 && free < lease.lent.threshold)
        return refusal(lease, cost, RefusalCause::over_limit, now);
    if (free >= cost - rounding) {
        use(lease, cost, now);
        return {};
    }
    if (!may_be_answered(now)) return refusal(lease, cost, RefusalCause::out_of_touch, now);
    if (lease.waiting.size() >= most_waiting) return refusal(lease, cost, RefusalCause::no_room, now);
    lease.waiting.push_back({ticket, cost, now + patience, 0});
    lease.changed = true;
    ++waiting_count_;
    find_next_deadline();
    return {Verdict::waiting, {}, {}};
}

void Holder::cancel(uint64_t ticket) {
    for (auto& [name, lease] : leases_)
        waiting_count_ -= std::erase_if(lease.waiting, [&](const auto& waiting) { return waiting.ticket == ticket; });
    find_next_deadline();
}

void Holder::find_next_deadline() {
    waits_until_ = Time{1e18};
    for (const auto& [name, lease] : leases_)
        if (!lease.waiting.empty()) waits_until_ = std::min(waits_until_, lease.waiting.front().until);
}

// In the order in which they came. `replied`: a reply has just come.
void Holder::decide_waiting(Lease& lease, bool replied, Time now) {
    settle(lease, now);
    std::deque<Waiting> left;
    for (auto& waiting : lease.waiting) {
        const bool answered = replied && waiting.asked_with > 0 && waiting.asked_with <= applied_;
        if (left.empty() && lease.usable() >= waiting.cost - rounding) {
            use(lease, waiting.cost, now);
            decided_.push_back({waiting.ticket, {}});
        } else if (answered || now >= waiting.until) {
            const auto why = answered ? RefusalCause::not_lent : RefusalCause::out_of_touch;
            decided_.push_back({waiting.ticket, refusal(lease, waiting.cost, why, now)});
        } else {
            left.push_back(waiting);
        }
    }
    waiting_count_ -= lease.waiting.size() - left.size();
    lease.waiting = std::move(left);
}

void Holder::tick(Time now) {
    for (auto& [name, lease] : leases_)
        if (!lease.waiting.empty()) decide_waiting(lease, false, now);
    find_next_deadline();
}

LeaseStatus Holder::report(Lease& lease, Time now) {
    settle(lease, now);
    note_asked(lease, 0, now);
    LeaseStatus told;
    told.demand = lease.asked;
    double needed = -lease.usable();
    for (auto& waiting : lease.waiting) {
        needed += waiting.cost;
        waiting.asked_with = number_;
    }
    told.needed = std::max(0.0, needed);
    if (!lease.waiting.empty()) told.needed_by_first = std::max(0.0, lease.waiting.front().cost - lease.usable());
    if (lease.waiting.empty() && applied_ > 0 && lease.held > much_more * lease.lent.target) {
        told.returned = lease.held - lease.lent.target;
        lease.held -= told.returned;
        totals_.received -= told.returned;
    }
    told.held = lease.held;
    told.reserve_rate = lease.lent.reserve_rate;
    told.idle = (now - std::max(started_, lease.used_at)).s;
    lease.changed = false;
    return told;
}

std::optional<LeaseRequest> Holder::next_request(Time now) {
    if (!connected_) return {};
    std::erase_if(leases_, [&](const auto& known) {
        return known.second.waiting.empty() && now - known.second.requested_at > terms_.tenant_retention;
    });
    bool urgent = false, changed = false;
    for (const auto& [name, lease] : leases_) {
        changed = changed || lease.changed;
        urgent = urgent || (!lease.waiting.empty() && lease.waiting.back().asked_with == 0);
    }
    // Only the reply to the newest ask is taken. While requests wait for the reply to one, those that come later must not send
    // another: before an allocator that is late each would make the one before worthless, and asks would grow with its lateness.
    const bool may_supersede = ask_at_once_ || (urgent && !asked_for_waiting_);
    if (asked_at_ > long_ago &&
        now - asked_at_ < (may_supersede ? std::min(supersede_after, reply_within_) : reply_within_))
        return {};
    if (ask_at_once_ && now - last_ask_ < hurry_every) return {};
    if (!urgent && !ask_at_once_ && now - last_ask_ < (changed ? ask_every : ask_unchanged)) return {};
    ask_at_once_ = false;
    LeaseRequest ask{id_, ++number_, applied_, applied_term_, (now - started_).s, {}};
    for (auto& [name, lease] : leases_) ask.tenants[name] = report(lease, now);
    asked_for_waiting_ = has_waiting();
    if (asked_at_ > long_ago) reply_within_ = std::min(reply_within_ * longer, most_reply_within);
    asked_at_ = last_ask_ = now;
    if (unanswered_since_ <= long_ago) unanswered_since_ = now;
    return ask;
}

void Holder::apply(const LeaseReply& reply, Time now) {
    if (reply.holder != id_ || reply.number != number_ || asked_at_ <= long_ago) return;
    for (auto& [name, lease] : leases_) settle(lease, now);   // by what held until now
    const Time sent = std::exchange(asked_at_, long_ago);
    applied_ = reply.number;
    replied_ = now;
    reply_within_ = std::clamp((now - sent) * 2, first_reply_within, most_reply_within);
    unanswered_since_ = long_ago;
    applied_term_ = reply.term;
    ask_at_once_ = reply.request_again;
    for (const auto& [name, lent] : reply.tenants) {
        const auto known = leases_.find(name);
        if (known == leases_.end()) continue;
        auto& lease = known->second;
        lease.lent = lent;
        lease.gathered = std::min(lease.gathered, lent.reserve_cap);
        // What was held before is held on: the ask has named it.
        lease.held_until = sent + terms_.grant_duration;
        lease.gather_from = now + terms_.reserve_delay;
        lease.gather_until = sent + terms_.reserve_duration;
        if (now < lease.held_until) gain(lease.held, lent.granted);
    }
    for (auto& [name, lease] : leases_) {
        if (lease.waiting.empty()) continue;
        decide_waiting(lease, !reply.request_again, now);
        if (reply.request_again)
            for (auto& waiting : lease.waiting) waiting.asked_with = 0;   // it is to be named again
    }
    find_next_deadline();
}

}   // namespace myrtleroute::leases
