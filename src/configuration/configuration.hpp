// The operator's configuration: which requests go to which service, for which tenants, within which limits.
//
// A document is checked against a schema (schema.cpp) and then for what a schema can't say. All faults are reported
// together, each with its place as a JSON pointer (RFC 6901).
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
    Span timeout;          // the longest that a request is held
    Span target_latency;   // an answer within it has its full worth
    int priority = 0;      // 0 is highest
    std::vector<Backend> backends;
    int max_attempts = 1;     // hosts that one try may be sent to
    bool is_public = false;   // needs no key
    bool sticky = false;      // prompts with shared parts
    bool resumable = false;   // a stream that may go on at another host
    bool is_retryable() const { return kind == RouteKind::idempotent || (kind == RouteKind::streaming && resumable); }
};

struct Service {
    std::string name, health_check;
    int max_connections = 0;   // of a host, from all callers together; 0 = not said
    bool is_engine = false;    // model hosts
};

struct Limits {
    size_t header_bytes = 16384, body_bytes = 4 << 20;
    Span header_timeout{3}, idle_timeout{15};
};

struct Tenant {
    std::string name;
    std::vector<std::string> api_keys;
    int priority = -1;            // below 0: the route's holds
    bool counts_tokens = false;   // the quota's unit; else requests
    double uncached_tokens = 1;   // charged to a request that names no tokens
    double rate_per_second = 0;   // 0 = no limit
    double burst = 0;
};

struct Configuration {
    uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    Limits limits;
    std::vector<Tenant> tenants;
};

// Whether a version is newer than the current one is the caller's to check.
ParseResult<Configuration> read_configuration(std::string_view json);

}   // namespace myrtleroute::configuration
