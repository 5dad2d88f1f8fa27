// Shared by all simulated processes of a run: clock, network, trace, oracle, the products of the site and the
// addresses. The numbers belong to the lab and describe no real deployment.
#pragma once
#include <array>

#include "lab/random_stream.hpp"
#include "lab/net.hpp"
#include "lab/scenario.hpp"
#include "lab/trace.hpp"
#include "model.hpp"

namespace myrtleroute::lab {

struct LabProduct {
    const char* name;
    Idempotency repeat;
    double value, slo, timeout, window, work;   // s, except value; work is the mean CPU time of a call
    double share;                               // of all calls
};
constexpr std::array<LabProduct, 4> products{{
    {"look", Idempotency::idempotent, 1, 0.35, 1.2, 0, 0.012, 0.4},
    {"plan", Idempotency::idempotent, 4, 0.9, 2.5, 0, 0.06, 0.2},
    {"hold", Idempotency::deduplicated, 3, 0.5, 1.8, 0.15, 0.02, 0.2},
    {"book", Idempotency::non_idempotent, 6, 0.6, 2, 0, 0.02, 0.2},
}};

constexpr double unix_time_at_zero = 1.7e9;   // Unix time at 0 of the virtual clock; a run starts at 100 s

// Guarantees of the simulated site, as configured in the proxies.
constexpr Span drain_grace{3}, cold_window{2}, warm_after{9}, answer_margin{0.05}, ask_within{8};
constexpr double start_capacity = 0.2, tip_multiple = 2;
constexpr int max_attempts = 3, zones = 2;

constexpr uint32_t proxy_ip = 10u << 24, server_ip = (10u << 24) + (1u << 16), discovery_ip = (10u << 24) + (2u << 16),
                   client_ip = (10u << 24) + (3u << 16);
constexpr uint16_t port = 5000;

std::string endpoint(uint32_t ip);   // "a.b.c.d:port"
// Configuration file of a proxy; `known` is its initial server list in the JSON of discovery.
std::string configuration(const Scenario& scenario, int proxy, uint64_t seed, uint32_t discovery, const std::string& known);

class Oracle;

struct Site {
    const Scenario& scenario;
    Queue& queue;
    Net& net;
    Trace& trace;
    Oracle& oracle;
    void record(Event what, uint64_t who, uint64_t a = 0, uint64_t b = 0) {
        trace.record(queue.steps(), queue.now(), what, who, a, b);
    }
};

}  // namespace myrtleroute::lab
