// Clients of several tenants: some demand several times their quota, the demand of one changes in steps. Each request
// uses a new connection to a ready proxy that `Platform` chooses, with unequal shares.
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
    TenantLimit limit;             // of the first configuration
    double demand = 1;             // offered load as a multiple of the initial rate
    bool varying_demand = false;   // a new random demand every few seconds
    bool varying_limit = false;    // the operator changes its limit during the run
};

// The tenants of a run: `modest` stays within its quota, the others may exceed it.
const std::vector<Tenant>& tenants();
// The tenant that always stays within its quota, so refusals of its requests are not caused by its own demand.
constexpr const char* modest_tenant = "modest";
// The tenant of the clients with persistent connections (`KeptClients`).
constexpr const char* kept_tenant = "kept";
constexpr const char* kept_key = "key-kept";

// A route that clients send requests to and that the operator configures.
struct ClientRoute {
    const char* path;
    const char* kind;
    const char* service;
    bool repeatable, streams;
    double weight;
};
constexpr ClientRoute routes[] = {{"/plain/", "idempotent", "plain", true, false, 0.3},
                                  {"/once/", "non_idempotent", "plain", false, false, 0.3},
                                  {"/stream/", "streaming", "model", false, true, 0.4},
                                  {"/long/", "streaming", "model", true, true, 0}};   // used by `KeptClients` only
constexpr const char* route_host = "soak.example";

std::string new_request_id(lab::RandomStream& chance);

class Clients {
public:
    Clients(asio::io_context& context, Checker& checker, Platform& platform, uint64_t seed,
            std::function<double()> now);
    void start();   // sends requests until the io_context stops

private:
    struct Caller {
        const Tenant* tenant;
        double demand;
        double demand_until = 0;
        asio::steady_timer timer;
    };
    void next_request(Caller& caller);
    void send(const Tenant& tenant);
    void response_received(const std::string& id, const HttpReply& reply, bool streams);

    asio::io_context& context_;
    Checker& checker_;
    Platform& platform_;
    lab::RandomStream chance_;
    std::function<double()> now_;
    std::vector<Caller> callers_;
};

}   // namespace myrtleroute::soak
