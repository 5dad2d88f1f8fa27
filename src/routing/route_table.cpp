#include "routing/route_table.hpp"

#include <utility>

#include "wire/text.hpp"

namespace myrtleroute::routing {
namespace {

// Host names are case-insensitive, and the port is ignored.
std::string host_key(std::string_view hostname) {
    std::string key;
    for (const char c : hostname.substr(0, hostname.find(':'))) key.push_back(wire::lower(c));
    key.push_back('\n');   // a separator that occurs in neither part
    return key;
}

}   // namespace

RouteTable::RouteTable(configuration::Configuration configuration) : configuration_(std::move(configuration)) {
    for (const auto& route : configuration_.routes)
        routes_.emplace(host_key(route.hostname) + route.path_prefix, &route);
    for (const auto& tenant : configuration_.tenants)
        for (const auto& key : tenant.api_keys) tenants_.emplace(key, &tenant);
}

const configuration::Route* RouteTable::find(std::string_view hostname, std::string_view path) const {
    path = path.substr(0, path.find('?'));
    std::string key = host_key(hostname);
    const size_t host_length = key.size();
    key.append(path);
    // Prefixes end with a slash, so only substrings that end with one are looked up, longest first.
    for (auto slash = key.rfind('/'); slash != key.npos && slash >= host_length; slash = key.rfind('/', slash - 1)) {
        key.resize(slash + 1);
        if (const auto found = routes_.find(key); found != routes_.end()) return found->second;
    }
    return nullptr;
}

const configuration::Tenant* RouteTable::tenant(std::string_view key) const {
    const auto found = tenants_.find(std::string(key));
    return found == tenants_.end() ? nullptr : found->second;
}

const std::string& pick_backend(const configuration::Route& route, double share) {
    double total = 0;
    for (const auto& backend : route.backends) total += backend.weight;
    double left = share * total;
    for (const auto& backend : route.backends) {
        if (backend.weight > 0 && left < backend.weight) return backend.service;
        left -= backend.weight;
    }
    for (auto backend = route.backends.rbegin(); backend != route.backends.rend(); ++backend)
        if (backend->weight > 0) return backend->service;
    return route.backends.back().service;
}

}   // namespace myrtleroute::routing
