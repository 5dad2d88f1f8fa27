// The operator's configuration: routes of requests to services, tenants with their quotas, and limits.
//
// A document is validated against a schema (schema.cpp) and then against rules that a schema can't express. Violations
// of these rules are reported together, each with its location as a JSON pointer (RFC 6901).
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/findings.hpp"
#include "time.hpp"

namespace myrtleroute::configuration {

enum class RouteKind { idempotent, non_idempotent, streaming };

struct Backend {
    std::string service;
    double weight = 1;
};

struct Route {
    std::string name, hostname, path_prefix;
    RouteKind kind = RouteKind::non_idempotent;
    Span timeout;          // longest time that the proxy holds a request
    Span target_latency;   // a response within it has its full value; the default is `timeout`
    int priority = 0;      // 0 is the highest
    std::vector<Backend> backends;
    int max_attempts = 1;     // hosts that one request of a client may be sent to
    bool is_public = false;   // needs no API key
    bool sticky = false;      // requests carry prompts that share parts
    bool resumable = false;   // a stream may be resumed at another host
    bool is_retryable() const { return kind == RouteKind::idempotent || (kind == RouteKind::streaming && resumable); }
};

struct Service {
    std::string name, health_check;
    int max_connections = 0;   // per host, from all clients together; 0: no limit is configured
    bool is_engine = false;    // its hosts run a model engine
};

struct Limits {
    size_t header_bytes = 16384, body_bytes = 4 << 20;
    Span header_timeout{3}, idle_timeout{15};
};

struct Tenant {
    std::string name;
    std::vector<std::string> api_keys;
    int priority = -1;            // below 0: the route's priority applies
    bool counts_tokens = false;   // unit of the quota: tokens if true, else requests
    double uncached_tokens = 1;   // charged for a request that gives no token count
    double rate_per_second = 0;   // quota in units per second; 0: no limit
    double burst = 0;             // units
};

struct Configuration {
    uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    Limits limits;
    std::vector<Tenant> tenants;
};

// Parses and validates a configuration. The caller checks whether its version is newer than the current one.
ParseResult<Configuration> read_configuration(std::string_view json);

}   // namespace myrtleroute::configuration
