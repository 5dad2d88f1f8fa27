#include "leases/holder.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace myrtleroute::leases {
namespace {

constexpr Span demand_averaging{2};
constexpr Span request_interval{0.25}, idle_request_interval{0.5};   // the latter if nothing was used since
constexpr Span expedited_interval{0.04};                             // when the next request is expedited
// An outstanding request is replaced after this if no queued request waits for its reply, or if it went to an earlier
// allocator.
constexpr Span supersede_after{0.03};
constexpr Span max_reply_timeout{0.8};   // upper bound of the reply timeout
constexpr double timeout_growth = 1.5;   // growth of the reply timeout after each request without a reply
// After this time without a reply to a request, new requests are not queued.
constexpr Span unanswered_limit{0.1};
constexpr Span reply_silence_limit{0.8};   // after this time since the last reply, new requests are not queued
constexpr size_t max_waiting = 64, max_tenants = 8192;   // the former per tenant
constexpr double return_threshold = 1.1;                 // multiple of the target above which the excess is returned
constexpr double severe_overload = 1.5;                  // overload above which an early retry is useless
// Since the last reply, or the start: a new allocator, if any, has begun by then.
constexpr Span takeover_time{1.6};
constexpr Span shortage_retry_after{1};                    // a shortage of units that ends by itself
constexpr Span min_retry_after{0.3}, max_retry_after{5};   // bounds of `retry_after`
constexpr double rounding = 1e-6;

}   // namespace

void Holder::update_demand(Lease& lease, double cost, Time now) const {
    const double elapsed = std::clamp((now - lease.demand_updated_at).s, 0.0, 1e3);
    lease.demand = lease.demand * std::exp(-elapsed / demand_averaging.s) + cost / demand_averaging.s;
    lease.demand_updated_at = now;
}

void Holder::add_units(double& balance, double units) {
    balance += units;
    totals_.received += units;
}

void Holder::update_balance(Lease& lease, Time now) {
    if (now >= lease.grant_expires) lease.held = 0;
    const auto from = std::max(lease.accumulated_at, lease.reserve_begins);
    const auto until = std::min(now, lease.reserve_expires);
    if (until > from && lease.grant.reserve_rate > 0) {
        const double free = std::max(0.0, lease.grant.reserve_cap - lease.accumulated);
        add_units(lease.accumulated, std::min(free, lease.grant.reserve_rate * (until - from).s));
    }
    lease.accumulated_at = now;
    if (now < lease.reserve_expires) return;
    lease.accumulated = 0;
    lease.grant.reserve_rate = lease.grant.reserve_cap = 0;
}

void Holder::use(Lease& lease, double cost, Time now) {
    const double from_reserve = std::min(cost, lease.accumulated);
    lease.accumulated -= from_reserve;
    lease.held -= cost - from_reserve;
    lease.changed = true;
    lease.used_at = now;
    totals_.used += cost;
}

void Holder::connected(bool is_up) {
    connected_ = is_up;
    request_sent_at_ = unanswered_since_ = long_ago;
    reply_timeout_ = initial_reply_timeout;
}

// Whether a request queued now may get its units in time.
bool Holder::can_expect_reply(Time now) const {
    if (!connected_) return false;
    if (last_reply_ <= long_ago && now - started_ < takeover_time) return true;
    return now - last_reply_ < reply_silence_limit || unanswered_since_ <= long_ago ||
           now - unanswered_since_ < unanswered_limit;
}

Decision Holder::refusal(const Lease& lease, double cost, RefusalCause cause, Time now) const {
    Span retry_after = min_retry_after;
    if (cause == RefusalCause::out_of_touch) {
        // A new allocator begins soon, and the reserve can be used until then.
        const Span until_takeover = std::max(last_reply_, started_) + takeover_time - now;
        retry_after = std::clamp(until_takeover, min_retry_after, max_retry_after);
        const double lacking = cost - lease.usable();
        if (lease.grant.reserve_rate > 0 && lacking <= lease.grant.reserve_cap) {
            const Span begins = std::max(Span{}, lease.reserve_begins - now);
            retry_after =
                std::min(retry_after, std::max(min_retry_after, begins + Span{lacking / lease.grant.reserve_rate}));
        }
    } else {
        retry_after = lease.grant.overload > severe_overload ? max_retry_after : shortage_retry_after;
    }
    return {Verdict::refused, cause, retry_after};
}

std::optional<Holder::TenantStatus> Holder::tenant_status(const std::string& tenant) const {
    const auto found = leases_.find(tenant);
    if (found == leases_.end()) return {};
    return TenantStatus{found->second.usable(), found->second.grant.overload};
}

Decision Holder::acquire(const std::string& tenant, double cost, uint64_t ticket, Span timeout, Time now) {
    if (leases_.size() >= max_tenants && !leases_.count(tenant))
        return {Verdict::refused, RefusalCause::no_room, max_retry_after};
    auto& lease = leases_[tenant];
    update_demand(lease, cost, now);
    lease.requested_at = now;
    update_balance(lease, now);
    const bool is_in_contact = connected_ && now - last_reply_ < reply_silence_limit;
    double free = lease.usable();
    for (const auto& waiting : lease.waiting) free -= waiting.cost;
    // When the limit is binding, requests are admitted alike, whatever their size.
    if (is_in_contact && lease.grant.threshold > 0 && free < lease.grant.threshold)
        return refusal(lease, cost, RefusalCause::over_limit, now);
    if (free >= cost - rounding) {
        use(lease, cost, now);
        return {};
    }
    if (!can_expect_reply(now)) return refusal(lease, cost, RefusalCause::out_of_touch, now);
    if (lease.waiting.size() >= max_waiting) return refusal(lease, cost, RefusalCause::no_room, now);
    lease.waiting.push_back({ticket, cost, now + timeout, 0});
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
    next_deadline_ = Time{1e18};
    for (const auto& [name, lease] : leases_)
        if (!lease.waiting.empty()) next_deadline_ = std::min(next_deadline_, lease.waiting.front().deadline);
}

// Decides queued requests in their order of arrival. `replied`: a reply has just arrived.
void Holder::decide_queued(Lease& lease, bool replied, Time now) {
    update_balance(lease, now);
    std::deque<Waiting> still_waiting;
    for (auto& waiting : lease.waiting) {
        const bool answered = replied && waiting.request_number > 0 && waiting.request_number <= applied_;
        if (still_waiting.empty() && lease.usable() >= waiting.cost - rounding) {
            use(lease, waiting.cost, now);
            decided_.push_back({waiting.ticket, {}});
        } else if (answered || now >= waiting.deadline) {
            const auto cause = answered ? RefusalCause::not_lent : RefusalCause::out_of_touch;
            decided_.push_back({waiting.ticket, refusal(lease, waiting.cost, cause, now)});
        } else {
            still_waiting.push_back(waiting);
        }
    }
    waiting_count_ -= lease.waiting.size() - still_waiting.size();
    lease.waiting = std::move(still_waiting);
}

void Holder::tick(Time now) {
    for (auto& [name, lease] : leases_)
        if (!lease.waiting.empty()) decide_queued(lease, false, now);
    find_next_deadline();
}

LeaseStatus Holder::make_status(Lease& lease, Time now) {
    update_balance(lease, now);
    update_demand(lease, 0, now);
    LeaseStatus status;
    status.demand = lease.demand;
    double needed = -lease.usable();
    for (auto& waiting : lease.waiting) {
        needed += waiting.cost;
        waiting.request_number = number_;
    }
    status.needed = std::max(0.0, needed);
    if (!lease.waiting.empty()) status.needed_by_first = std::max(0.0, lease.waiting.front().cost - lease.usable());
    if (lease.waiting.empty() && applied_ > 0 && lease.held > return_threshold * lease.grant.target) {
        status.returned = lease.held - lease.grant.target;
        lease.held -= status.returned;
        totals_.received -= status.returned;
    }
    status.held = lease.held;
    status.reserve_rate = lease.grant.reserve_rate;
    status.idle = (now - std::max(started_, lease.used_at)).s;
    lease.changed = false;
    return status;
}

std::optional<LeaseRequest> Holder::next_request(Time now) {
    if (!connected_) return {};
    std::erase_if(leases_, [&](const auto& found) {
        return found.second.waiting.empty() && now - found.second.requested_at > terms_.tenant_retention;
    });
    bool urgent = false, changed = false;
    for (const auto& [name, lease] : leases_) {
        changed = changed || lease.changed;
        urgent = urgent || (!lease.waiting.empty() && lease.waiting.back().request_number == 0);
    }
    // Only the reply to the newest lease request is applied. While queued requests wait for a reply, later ones must
    // not trigger another lease request: with a slow allocator each would make the previous one worthless, and the
    // number of lease requests would grow with the allocator's delay.
    const bool may_supersede = expedite_ || (urgent && !request_covers_waiting_);
    if (request_sent_at_ > long_ago &&
        now - request_sent_at_ < (may_supersede ? std::min(supersede_after, reply_timeout_) : reply_timeout_))
        return {};
    if (expedite_ && now - last_request_ < expedited_interval) return {};
    if (!urgent && !expedite_ && now - last_request_ < (changed ? request_interval : idle_request_interval)) return {};
    expedite_ = false;
    LeaseRequest request{id_, ++number_, applied_, applied_term_, (now - started_).s, {}};
    for (auto& [name, lease] : leases_) request.tenants[name] = make_status(lease, now);
    request_covers_waiting_ = has_waiting();
    if (request_sent_at_ > long_ago) reply_timeout_ = std::min(reply_timeout_ * timeout_growth, max_reply_timeout);
    request_sent_at_ = last_request_ = now;
    if (unanswered_since_ <= long_ago) unanswered_since_ = now;
    return request;
}

void Holder::apply(const LeaseReply& reply, Time now) {
    if (reply.holder != id_ || reply.number != number_ || request_sent_at_ <= long_ago) return;
    for (auto& [name, lease] : leases_) update_balance(lease, now);   // up to now, under the previous grant
    const Time sent = std::exchange(request_sent_at_, long_ago);
    applied_ = reply.number;
    last_reply_ = now;
    reply_timeout_ = std::clamp((now - sent) * 2, initial_reply_timeout, max_reply_timeout);
    unanswered_since_ = long_ago;
    applied_term_ = reply.term;
    expedite_ = reply.request_again;
    for (const auto& [name, grant] : reply.tenants) {
        const auto found = leases_.find(name);
        if (found == leases_.end()) continue;
        auto& lease = found->second;
        lease.grant = grant;
        lease.accumulated = std::min(lease.accumulated, grant.reserve_cap);
        // Units held before remain valid: the lease request has reported them.
        lease.grant_expires = sent + terms_.grant_duration;
        lease.reserve_begins = now + terms_.reserve_delay;
        lease.reserve_expires = sent + terms_.reserve_duration;
        if (now < lease.grant_expires) add_units(lease.held, grant.granted);
    }
    for (auto& [name, lease] : leases_) {
        if (lease.waiting.empty()) continue;
        decide_queued(lease, !reply.request_again, now);
        if (reply.request_again)
            // It must be included in the next lease request.
            for (auto& waiting : lease.waiting) waiting.request_number = 0;
    }
    find_next_deadline();
}

}   // namespace myrtleroute::leases
