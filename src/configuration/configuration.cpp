#include "configuration/configuration.hpp"

#include <map>
#include <set>
#include <utility>

#include "configuration/json_document.hpp"
#include "configuration/schema.hpp"

namespace myrtleroute::configuration {
namespace {

using rapidjson::Value;

constexpr double seconds_per_millisecond = 1e-3;

std::string string_member(const Value& object, const char* key) {
    const auto member = object.FindMember(key);
    if (member == object.MemberEnd() || !member->value.IsString()) return {};
    return {member->value.GetString(), member->value.GetStringLength()};
}

double number_member(const Value& object, const char* key, double fallback) {
    const auto member = object.FindMember(key);
    return member == object.MemberEnd() || !member->value.IsNumber() ? fallback : member->value.GetDouble();
}

bool bool_member(const Value& object, const char* key) {
    const auto member = object.FindMember(key);
    return member != object.MemberEnd() && member->value.IsBool() && member->value.GetBool();
}

// Calls `visit(item, location of the item)` for each item of the array at `key`, if there is one.
template <class Visit>
void for_each_item(const Value& object, const char* key, const std::string& location, Visit&& visit) {
    const auto member = object.FindMember(key);
    if (member == object.MemberEnd() || !member->value.IsArray()) return;
    size_t number = 0;
    for (const auto& item : member->value.GetArray())
        visit(item, location + "/" + key + "/" + std::to_string(number++));
}

RouteKind route_kind(const std::string& name) {
    if (name == "idempotent") return RouteKind::idempotent;
    return name == "streaming" ? RouteKind::streaming : RouteKind::non_idempotent;
}

Route read_route(const Value& from, const std::string& location) {
    Route route;
    route.name = string_member(from, "name");
    route.hostname = string_member(from, "hostname");
    route.path_prefix = string_member(from, "pathPrefix");
    route.kind = route_kind(string_member(from, "kind"));
    route.timeout = Span{number_member(from, "timeoutMs", 0) * seconds_per_millisecond};
    route.target_latency = Span{number_member(from, "targetLatencyMs", 0) * seconds_per_millisecond};
    if (route.target_latency <= Span{}) route.target_latency = route.timeout;
    route.priority = static_cast<int>(number_member(from, "priority", 0));
    for_each_item(from, "backends", location, [&](const Value& backend, const std::string&) {
        route.backends.push_back({string_member(backend, "service"), number_member(backend, "weight", 1)});
    });
    if (route.backends.empty()) route.backends.push_back({string_member(from, "service"), 1});
    route.max_attempts = std::max(1, static_cast<int>(number_member(from, "maxAttempts", 1)));
    route.is_public = bool_member(from, "public");
    route.sticky = bool_member(from, "sticky");
    route.resumable = bool_member(from, "resumable");
    return route;
}

Service read_service(const Value& from) {
    Service service;
    service.name = string_member(from, "name");
    service.health_check = string_member(from, "healthCheck");
    service.max_connections = static_cast<int>(number_member(from, "maxConnections", 0));
    const auto engine = from.FindMember("engine");
    service.is_engine = engine != from.MemberEnd() && engine->value.IsObject();
    return service;
}

Limits read_limits(const Value& document) {
    Limits limits;
    const auto from = document.FindMember("limits");
    if (from == document.MemberEnd() || !from->value.IsObject()) return limits;
    limits.header_bytes = static_cast<size_t>(number_member(from->value, "maxHeaderBytes", 16384));
    limits.body_bytes = static_cast<size_t>(number_member(from->value, "maxBodyBytes", 4 << 20));
    limits.header_timeout = Span{number_member(from->value, "headerTimeoutMs", 3000) * seconds_per_millisecond};
    limits.idle_timeout = Span{number_member(from->value, "idleTimeoutMs", 15000) * seconds_per_millisecond};
    return limits;
}

Tenant read_tenant(const Value& from, const std::string& location) {
    Tenant tenant;
    tenant.name = string_member(from, "name");
    for_each_item(from, "apiKeys", location, [&](const Value& key, const std::string&) {
        if (key.IsString()) tenant.api_keys.emplace_back(key.GetString(), key.GetStringLength());
    });
    tenant.priority = static_cast<int>(number_member(from, "priority", -1));
    tenant.counts_tokens = string_member(from, "unit") == "token_rate";
    tenant.uncached_tokens = number_member(from, "uncachedTokens", 1);
    tenant.rate_per_second = number_member(from, "ratePerS", 0);
    tenant.burst = number_member(from, "burst", 0);
    return tenant;
}

// Collects violations of the rules that the schema can't express.
class Validator {
public:
    Findings findings;

    void service(const Service& service) { service_names_.insert(service.name); }

    void route(const Route& route, const std::string& location) {
        if (!matches_.emplace(route.hostname, route.path_prefix).second)
            findings.push_back({location + "/pathPrefix", "another route has this host and prefix"});
        if (route.timeout <= Span{}) findings.push_back({location + "/timeoutMs", "must be above 0"});
        double weights = 0;
        for (const auto& backend : route.backends) {
            weights += backend.weight;
            if (!service_names_.count(backend.service))
                findings.push_back({location, "there is no service '" + backend.service + "'"});
        }
        if (weights <= 0) findings.push_back({location + "/backends", "the weights add up to 0"});
    }

    void tenant(const Tenant& tenant, const std::string& location) {
        for (const auto& key : tenant.api_keys) {
            const auto [owner, inserted] = key_owners_.emplace(key, tenant.name);
            if (!inserted && owner->second != tenant.name)
                findings.push_back({location + "/apiKeys", "another tenant holds one of these keys"});
        }
    }

private:
    std::set<std::string> service_names_;
    std::set<std::pair<std::string, std::string>> matches_;   // hostname and path prefix of each route
    std::map<std::string, std::string> key_owners_;           // tenant by API key
};

}   // namespace

ParseResult<Configuration> read_configuration(std::string_view json) {
    static const rapidjson::SchemaDocument schema = compile_schema(configuration_schema());
    rapidjson::Document document;
    if (auto findings = parse_document(json, schema, document); !findings.empty()) return findings;

    Configuration configuration;
    Validator validator;
    configuration.version = static_cast<uint64_t>(number_member(document, "version", 0));
    configuration.limits = read_limits(document);
    for_each_item(document, "services", "", [&](const Value& from, const std::string&) {
        configuration.services.push_back(read_service(from));
        validator.service(configuration.services.back());
    });
    for_each_item(document, "routes", "", [&](const Value& from, const std::string& location) {
        configuration.routes.push_back(read_route(from, location));
        validator.route(configuration.routes.back(), location);
    });
    for_each_item(document, "tenants", "", [&](const Value& from, const std::string& location) {
        configuration.tenants.push_back(read_tenant(from, location));
        validator.tenant(configuration.tenants.back(), location);
    });
    if (!validator.findings.empty()) return std::move(validator.findings);
    return configuration;
}

}   // namespace myrtleroute::configuration
