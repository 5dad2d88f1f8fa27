#include "soak/clients.hpp"

#include <cstdio>
#include <iterator>

#include "soak/hosts.hpp"
#include "soak/timing.hpp"

namespace myrtleroute::soak {
namespace {

constexpr double least_prompt = 200, mean_prompt = 1000;   // tokens; a prompt is longer than the least by a random part
constexpr double least_output = 20, most_output = 200;
constexpr double mean_cost = least_prompt + mean_prompt + (least_output + most_output) / 2;
constexpr double jumps[] = {0.3, 1, 4, 8};                // times the rate
constexpr double shortest_phase = 4, longest_phase = 8;   // seconds between jumps
constexpr Span client_patience{4};
constexpr int deadline_ms = 3000;

const RouteUse& pick_route(double share) {
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
    if (caller.tenant->jumps && now_() >= caller.drawn_until) {
        caller.demand = jumps[chance_.below(static_cast<int>(std::size(jumps)))];
        caller.drawn_until = now_() + chance_.between(shortest_phase, longest_phase);
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
    const auto prompt = static_cast<int>(least_prompt + chance_.exponential(mean_prompt));
    const auto output = static_cast<int>(chance_.between(least_output, most_output));
    const auto proxy = platform_.pick_proxy();
    const auto& to = platform_.front(proxy);
    const Fields fields{{"X-Request-Id", id},
                        {"X-Deadline-Ms", std::to_string(deadline_ms)},
                        {"Authorization", "Token " + tenant.key},
                        {"X-Model", "m"},
                        {"X-Token-Count", std::to_string(prompt) + "," + std::to_string(output)},
                        {"X-Prompt-Prefix", id + ":" + std::to_string(prompt)},
                        {"Connection", "close"}};
    const Sent sent{id, tenant.name, static_cast<double>(prompt + output), route.repeatable, proxy};
    auto was_sent = std::make_shared<bool>(false);
    HttpCall call{to, request_text("POST", std::string(route.path) + "x", route_host, fields, "{}"), client_patience,
                  [this, sent, was_sent] {
                      *was_sent = true;
                      checker_.sent(sent, now_());
                  },
                  [this, id, was_sent, streams = route.streams](const HttpReply& reply) {
                      if (!*was_sent) return;
                      checker_.got(id,
                                   {reply.status, field_of(reply.fields, "X-Request-Id"),
                                    !field_of(reply.fields, "X-Server-Signature").empty(),
                                    is_whole_body(reply.body, id, streams)},
                                   now_());
                  }};
    start_call(context_, std::move(call));
}

}   // namespace myrtleroute::soak
