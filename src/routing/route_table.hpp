// Finds a request's route by host and path, and its tenant by API key. Immutable: each configuration gets a new
// table, and requests in progress keep the one that they started with.
#pragma once
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "configuration/configuration.hpp"

namespace myrtleroute::routing {

class RouteTable {
public:
    explicit RouteTable(configuration::Configuration configuration);

    // The route of that host with the longest matching path prefix; null if there is none.
    const configuration::Route* find(std::string_view hostname, std::string_view path) const;
    // The tenant that the API key belongs to; null if the key is unknown.
    const configuration::Tenant* tenant(std::string_view key) const;
    bool has_tenants() const { return !configuration_.tenants.empty(); }
    const configuration::Configuration& configuration() const { return configuration_; }

private:
    configuration::Configuration configuration_;
    std::unordered_map<std::string, const configuration::Route*> routes_;     // by host and prefix
    std::unordered_map<std::string, const configuration::Tenant*> tenants_;   // by key
};

// Chooses a backend service by weight; `share` is uniformly distributed over [0, 1).
const std::string& pick_backend(const configuration::Route& route, double share);

}   // namespace myrtleroute::routing
