// Clients of several tenants: some ask for several times their quota, one jumps now and then. They connect to proxies
// that are ready, as the platform hands them out, with uneven shares.
#pragma once
#include <asio.hpp>

#include <functional>
#include <string>
#include <vector>

#include "lab/random_stream.hpp"
#include "soak/checker.hpp"
#include "soak/http_call.hpp"
#include "soak/platform.hpp"

namespace myrtleroute::soak {

struct Tenant {
    std::string name, key;
    TenantLimit limit;          // at first
    double demand = 1;          // times its first rate
    bool jumps = false;         // its demand is drawn anew every few seconds
    bool limit_moves = false;   // the operator changes its limit
};

// One that stays below its quota, and others that don't.
const std::vector<Tenant>& tenants();
// The tenant that is always within its quota: what it is refused is no fault of its own.
constexpr const char* modest_tenant = "modest";
// The tenant of the clients that keep their connections (`KeptClients`).
constexpr const char* kept_tenant = "kept";
constexpr const char* kept_key = "key-kept";

// A route as clients use it and the operator configures it.
struct RouteUse {
    const char* path;
    const char* kind;
    const char* service;
    bool repeatable, streams;
    double weight;
};
constexpr RouteUse routes[] = {{"/plain/", "idempotent", "plain", true, false, 0.3},
                               {"/once/", "non_idempotent", "plain", false, false, 0.3},
                               {"/stream/", "streaming", "model", false, true, 0.4},
                               {"/long/", "streaming", "model", true, true, 0}};   // of `KeptClients` only
constexpr const char* route_host = "soak.example";

std::string new_request_id(lab::RandomStream& chance);

class Clients {
public:
    Clients(asio::io_context& context, Checker& checker, Platform& platform, uint64_t seed,
            std::function<double()> now);
    void start();   // until the io_context ends

private:
    struct Caller {
        const Tenant* tenant;
        double demand;
        double drawn_until = 0;
        asio::steady_timer timer;
    };
    void next_request(Caller& caller);
    void send(const Tenant& tenant);

    asio::io_context& context_;
    Checker& checker_;
    Platform& platform_;
    lab::RandomStream chance_;
    std::function<double()> now_;
    std::vector<Caller> callers_;
};

}   // namespace myrtleroute::soak
