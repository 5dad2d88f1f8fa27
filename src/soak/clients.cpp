#include "soak/clients.hpp"

#include <algorithm>
#include <cstdio>
#include <iterator>

#include "soak/event_stream_check.hpp"
#include "soak/hosts.hpp"
#include "soak/timing.hpp"

namespace myrtleroute::soak {
namespace {

constexpr double min_prompt = 200, mean_prompt = 1000;   // tokens: the minimum plus a random part of this mean
constexpr double min_output = 20, max_output = 200;
constexpr double mean_cost = min_prompt + mean_prompt + (min_output + max_output) / 2;
constexpr double demand_factors[] = {0.3, 1, 4, 8};   // multiples of the rate
constexpr double min_phase = 4, max_phase = 8;        // seconds between changes of the demand
constexpr Span client_timeout{4};
constexpr int deadline_ms = 3000;

const ClientRoute& pick_route(double share) {
    for (const auto& route : routes) {
        if (share < route.weight) return route;
        share -= route.weight;
    }
    return routes[0];
}

}   // namespace

std::string new_request_id(lab::RandomStream& chance) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(chance.number()));
    return text;
}

const std::vector<Tenant>& tenants() {
    static const std::vector<Tenant> all{{modest_tenant, "key-modest", {30000, 45000}, 0.5, false, false},
                                         {"hot", "key-hot", {20000, 30000}, 6, false, false},
                                         {"jumping", "key-jumping", {20000, 30000}, 1, true, false},
                                         {"moved", "key-moved", {20000, 30000}, 2, false, true},
                                         {kept_tenant, kept_key, {200000, 300000}, 0, false, false}};
    return all;
}

Clients::Clients(asio::io_context& context, Checker& checker, Platform& platform, uint64_t seed,
                 std::function<double()> now)
    : context_(context), checker_(checker), platform_(platform), chance_(seed, 0x636c69), now_(std::move(now)) {
    for (const auto& tenant : tenants())
        if (tenant.demand > 0) callers_.push_back({&tenant, tenant.demand, 0, asio::steady_timer(context)});
}

void Clients::start() {
    for (auto& caller : callers_) next_request(caller);
}

void Clients::next_request(Caller& caller) {
    if (caller.tenant->varying_demand && now_() >= caller.demand_until) {
        caller.demand = demand_factors[chance_.below(static_cast<int>(std::size(demand_factors)))];
        caller.demand_until = now_() + chance_.between(min_phase, max_phase);
    }
    const double per_second = caller.demand * caller.tenant->limit.rate / mean_cost;
    after(caller.timer, chance_.exponential(1 / per_second), [this, &caller] {
        send(*caller.tenant);
        next_request(caller);
    });
}

void Clients::send(const Tenant& tenant) {
    const auto& route = pick_route(chance_.uniform());
    const auto id = new_request_id(chance_);
    const auto prompt = static_cast<int>(min_prompt + chance_.exponential(mean_prompt));
    const auto output = static_cast<int>(chance_.between(min_output, max_output));
    const auto proxy = platform_.pick_proxy();
    const auto& to = platform_.front(proxy);
    const Fields fields{{"X-Request-Id", id},
                        {"X-Deadline-Ms", std::to_string(deadline_ms)},
                        {"Authorization", "Token " + tenant.key},
                        {"X-Model", "m"},
                        {"X-Token-Count", std::to_string(prompt) + "," + std::to_string(output)},
                        {"X-Prompt-Prefix", id + ":" + std::to_string(prompt)},
                        {"Connection", "close"}};
    const SentRequest sent{id, tenant.name, static_cast<double>(prompt + output), route.repeatable, proxy};
    auto was_sent = std::make_shared<bool>(false);
    HttpCall call{to, request_text("POST", std::string(route.path) + "x", route_host, fields, "{}"), client_timeout,
                  [this, sent, was_sent] {
                      *was_sent = true;
                      checker_.request_sent(sent, now_());
                  },
                  [this, id, was_sent, streams = route.streams](const HttpReply& reply) {
                      if (*was_sent) response_received(id, reply, streams);
                  }};
    start_call(context_, std::move(call));
}

void Clients::response_received(const std::string& id, const HttpReply& reply, bool streams) {
    const auto signature = field_of(reply.fields, "X-Server-Signature");
    if (streams && is_success(std::max(reply.status, reply.begun_status))) {
        const auto result = check_stream(reply.body, {id, signature, false, 0}, reply.status != 0);
        if (!result.violation.empty()) checker_.stream_violated(id, result.violation, now_());
    }
    checker_.response_received(id,
                               {reply.status, field_of(reply.fields, "X-Request-Id"), !signature.empty(),
                                streams || is_plain_body(reply.body, id)},
                               now_());
}

}   // namespace myrtleroute::soak
