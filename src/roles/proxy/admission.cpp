#include "roles/proxy/admission.hpp"

#include <algorithm>
#include <utility>

#include "roles/log.hpp"

namespace myrtleroute::proxy {
namespace {

constexpr Span urgent_request_interval{0.05};   // interval of lease requests while units are urgently needed
constexpr double rounding = 1e-9;

// The units that a request consumes: 1, or its tokens if the tenant's limit counts tokens.
double cost_of(const Request& request) {
    const auto& tenant = *request.tenant;
    const double tokens = request.prompt.tokens_in + request.prompt.tokens_out;
    if (!tenant.counts_tokens) return 1;
    return tokens > 0 ? tokens : tenant.uncached_tokens;
}

// The longest wait for units that leaves enough time to answer within the target latency.
Span max_wait_for(const configuration::Route& route) {
    constexpr double wait_share = 0.4;   // fraction of the target latency
    constexpr Span min_wait{0.05}, max_wait{0.3};
    return std::clamp(route.target_latency * wait_share, min_wait, max_wait);
}

}   // namespace

Admission::Admission(Context& context, uint64_t incarnation, Events events)
    : context_(context),
      events_(std::move(events)),
      leases_({context.settings.node_name, incarnation}, {}, context.started),
      report_(context.metrics, [](const std::string& line) { log_info() << line; }),
      used_units_were_granted_(context.invariants.named("used_units_were_lent")),
      refused_for_room_(bound_reached_counter(context.metrics, "leases")) {}

leases::Decision Admission::decide(const Request& request) {
    if (!request.tenant || request.tenant->rate_per_second <= 0) return {};
    const auto decision = leases_.acquire(request.tenant->name, cost_of(request), request.id,
                                          max_wait_for(*request.route), context_.system.now());
    if (decision.verdict == leases::Verdict::granted) record_granted(request);
    return decision;
}

void Admission::record_granted(const Request& request) {
    report_.record_granted(request.tenant->name, cost_of(request));
    used_units_were_granted_.check(leases_.totals().used <= leases_.totals().received * (1 + rounding), [&] {
        return std::to_string(leases_.totals().used) + " units used, leased only " +
               std::to_string(leases_.totals().received);
    });
}

void Admission::wait_for_units() {
    request_units();
    if (!leases_.has_waiting() || timer_at_ > context_.now()) return;
    timer_at_ = leases_.next_deadline();
    context_.loop.schedule(timer_at_, cookie);
}

void Admission::cancel(const Request& request) { leases_.cancel(request.id); }

void Admission::record_refused(const Request& request, const leases::Decision& decision) {
    if (decision.cause == leases::RefusalCause::no_room) refused_for_room_.add();
    report_.record_refused(request.tenant->name, cost_of(request), decision.cause, leases_, context_.now());
}

void Admission::configured() { report_.configured(context_.table->configuration().tenants); }

void Admission::connected(bool is_up) {
    leases_.connected(is_up);
    request_units();
}

void Admission::update_fleet(const messages::FleetStatus& update) {
    if (update.current && !control_is_current_) {
        leases_.expedite();   // a leader is available again
        request_units();
    }
    control_is_current_ = update.current;
    report_.update_fleet(update, context_.now());
}

void Admission::apply(const leases::LeaseReply& reply) {
    leases_.apply(reply, context_.system.now());
    deliver_decisions();
}

void Admission::on_timer() {
    leases_.tick(context_.system.now());
    deliver_decisions();
}

void Admission::request_units() {
    if (const auto request = leases_.next_request(context_.system.now())) events_.send_request(*request);
    if (leases_.is_expedited()) context_.loop.schedule(context_.now() + urgent_request_interval, cookie);
}

void Admission::deliver_decisions() {
    for (const auto& decided : leases_.take_decided()) {
        if (decided.decision.verdict == leases::Verdict::granted)
            events_.granted(decided.ticket);
        else
            events_.refused(decided.ticket, decided.decision);
    }
    if (leases_.has_waiting() || leases_.is_expedited()) wait_for_units();
}

void Admission::refresh_metrics() { report_.refresh(leases_, context_.now()); }

}   // namespace myrtleroute::proxy
