#include "roles/proxy/admission.hpp"

#include <algorithm>
#include <utility>

#include "roles/log.hpp"

namespace myrtleroute::proxy {
namespace {

constexpr Span hurry_every{0.05};   // interval of lease requests while units are urgently needed
constexpr double rounding = 1e-9;

// The units that a request consumes: 1, or its tokens if the tenant's limit counts tokens.
double cost_of(const Request& request) {
    const auto& tenant = *request.tenant;
    const double told = request.prompt.tokens_in + request.prompt.tokens_out;
    if (!tenant.counts_tokens) return 1;
    return told > 0 ? told : tenant.uncached_tokens;
}

// The longest wait for units that leaves enough time to answer within the target latency.
Span patience_for(const configuration::Route& route) {
    constexpr double waited_part = 0.4;   // fraction of the target latency
    constexpr Span least{0.05}, most{0.3};
    return std::clamp(route.target_latency * waited_part, least, most);
}

}   // namespace

Admission::Admission(Context& context, uint64_t life, Events events)
    : context_(context),
      events_(std::move(events)),
      leases_({context.settings.node_name, life}, {}, context.started),
      report_(context.metrics, [](const std::string& line) { log_info() << line; }),
      used_units_were_lent_(context.invariants.named("used_units_were_lent")),
      without_room_(bound_reached_counter(context.metrics, "leases")) {}

leases::Decision Admission::decide(const Request& request) {
    if (!request.tenant || request.tenant->rate_per_second <= 0) return {};
    const auto decision = leases_.acquire(request.tenant->name, cost_of(request), request.id,
                                          patience_for(*request.route), context_.home.now());
    if (decision.verdict == leases::Verdict::granted) note_granted(request);
    return decision;
}

void Admission::note_granted(const Request& request) {
    report_.note_granted(request.tenant->name, cost_of(request));
    used_units_were_lent_.check(leases_.totals().used <= leases_.totals().received * (1 + rounding), [&] {
        return std::to_string(leases_.totals().used) + " units used, leased only " +
               std::to_string(leases_.totals().received);
    });
}

void Admission::wait() {
    ask();
    if (!leases_.has_waiting() || wakes_at_ > context_.now()) return;
    wakes_at_ = leases_.next_deadline();
    context_.loop.wake(wakes_at_, cookie);
}

void Admission::withdraw(const Request& request) { leases_.cancel(request.id); }

void Admission::note_refused(const Request& request, const leases::Decision& decision) {
    if (decision.cause == leases::RefusalCause::no_room) without_room_.add();
    report_.note_refused(request.tenant->name, cost_of(request), decision.cause, leases_, context_.now());
}

void Admission::configured() { report_.configured(context_.table->configuration().tenants); }

void Admission::connected(bool is_up) {
    leases_.connected(is_up);
    ask();
}

void Admission::fleet_told(const messages::FleetStatus& told) {
    if (told.current && !control_is_current_) {
        leases_.expedite();   // a leader is available again
        ask();
    }
    control_is_current_ = told.current;
    report_.fleet_told(told, context_.now());
}

void Admission::apply(const leases::LeaseReply& reply) {
    leases_.apply(reply, context_.home.now());
    tell_decided();
}

void Admission::woke() {
    leases_.tick(context_.home.now());
    tell_decided();
}

void Admission::ask() {
    if (const auto ask = leases_.next_request(context_.home.now())) events_.ask(*ask);
    if (leases_.is_expedited()) context_.loop.wake(context_.now() + hurry_every, cookie);
}

void Admission::tell_decided() {
    for (const auto& decided : leases_.take_decided()) {
        if (decided.decision.verdict == leases::Verdict::granted)
            events_.granted(decided.ticket);
        else
            events_.refused(decided.ticket, decided.decision);
    }
    if (leases_.has_waiting() || leases_.is_expedited()) wait();
}

void Admission::refresh_figures() { report_.refresh(leases_, context_.now()); }

}   // namespace myrtleroute::proxy
