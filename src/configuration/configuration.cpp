#include "configuration/configuration.hpp"

#include <map>
#include <set>
#include <utility>

#include "configuration/json_document.hpp"
#include "configuration/schema.hpp"

namespace myrtleroute::configuration {
namespace {

using rapidjson::Value;

constexpr double milliseconds = 1e-3;

std::string text(const Value& object, const char* key) {
    const auto member = object.FindMember(key);
    if (member == object.MemberEnd() || !member->value.IsString()) return {};
    return {member->value.GetString(), member->value.GetStringLength()};
}

double number(const Value& object, const char* key, double otherwise) {
    const auto member = object.FindMember(key);
    return member == object.MemberEnd() || !member->value.IsNumber() ? otherwise : member->value.GetDouble();
}

bool truth(const Value& object, const char* key) {
    const auto member = object.FindMember(key);
    return member != object.MemberEnd() && member->value.IsBool() && member->value.GetBool();
}

// Calls `take(item, its place)` for each item of an array that may be missing.
template <class Take>
void each(const Value& object, const char* key, const std::string& place, Take&& take) {
    const auto member = object.FindMember(key);
    if (member == object.MemberEnd() || !member->value.IsArray()) return;
    size_t number = 0;
    for (const auto& item : member->value.GetArray()) take(item, place + "/" + key + "/" + std::to_string(number++));
}

RouteKind route_kind(const std::string& name) {
    if (name == "idempotent") return RouteKind::idempotent;
    return name == "streaming" ? RouteKind::streaming : RouteKind::non_idempotent;
}

Route read_route(const Value& from, const std::string& place) {
    Route route;
    route.name = text(from, "name");
    route.hostname = text(from, "hostname");
    route.path_prefix = text(from, "pathPrefix");
    route.kind = route_kind(text(from, "kind"));
    route.timeout = Span{number(from, "timeoutMs", 0) * milliseconds};
    route.target_latency = Span{number(from, "targetLatencyMs", 0) * milliseconds};
    if (route.target_latency <= Span{}) route.target_latency = route.timeout;
    route.priority = static_cast<int>(number(from, "priority", 0));
    each(from, "backends", place, [&](const Value& backend, const std::string&) {
        route.backends.push_back({text(backend, "service"), number(backend, "weight", 1)});
    });
    if (route.backends.empty()) route.backends.push_back({text(from, "service"), 1});
    route.max_attempts = std::max(1, static_cast<int>(number(from, "maxAttempts", 1)));
    route.is_public = truth(from, "public");
    route.sticky = truth(from, "sticky");
    route.resumable = truth(from, "resumable");
    return route;
}

Service read_service(const Value& from) {
    Service service;
    service.name = text(from, "name");
    service.health_check = text(from, "healthCheck");
    service.max_connections = static_cast<int>(number(from, "maxConnections", 0));
    const auto engine = from.FindMember("engine");
    service.is_engine = engine != from.MemberEnd() && engine->value.IsObject();
    return service;
}

Limits read_limits(const Value& document) {
    Limits limits;
    const auto from = document.FindMember("limits");
    if (from == document.MemberEnd() || !from->value.IsObject()) return limits;
    limits.header_bytes = static_cast<size_t>(number(from->value, "maxHeaderBytes", 16384));
    limits.body_bytes = static_cast<size_t>(number(from->value, "maxBodyBytes", 4 << 20));
    limits.header_timeout = Span{number(from->value, "headerTimeoutMs", 3000) * milliseconds};
    limits.idle_timeout = Span{number(from->value, "idleTimeoutMs", 15000) * milliseconds};
    return limits;
}

Tenant read_tenant(const Value& from, const std::string& place) {
    Tenant tenant;
    tenant.name = text(from, "name");
    each(from, "apiKeys", place, [&](const Value& key, const std::string&) {
        if (key.IsString()) tenant.api_keys.emplace_back(key.GetString(), key.GetStringLength());
    });
    tenant.priority = static_cast<int>(number(from, "priority", -1));
    tenant.counts_tokens = text(from, "unit") == "token_rate";
    tenant.uncached_tokens = number(from, "uncachedTokens", 1);
    tenant.rate_per_second = number(from, "ratePerS", 0);
    tenant.burst = number(from, "burst", 0);
    return tenant;
}

// What a schema can't say.
class Checker {
public:
    Findings findings;

    void service(const Service& service) { services_.insert(service.name); }

    void route(const Route& route, const std::string& place) {
        if (!places_.emplace(route.hostname, route.path_prefix).second)
            findings.push_back({place + "/pathPrefix", "another route has this host and prefix"});
        if (route.timeout <= Span{}) findings.push_back({place + "/timeoutMs", "must be above 0"});
        double weights = 0;
        for (const auto& backend : route.backends) {
            weights += backend.weight;
            if (!services_.count(backend.service))
                findings.push_back({place, "there is no service '" + backend.service + "'"});
        }
        if (weights <= 0) findings.push_back({place + "/backends", "the weights add up to 0"});
    }

    void tenant(const Tenant& tenant, const std::string& place) {
        for (const auto& key : tenant.api_keys) {
            const auto [owner, fresh] = keys_.emplace(key, tenant.name);
            if (!fresh && owner->second != tenant.name)
                findings.push_back({place + "/apiKeys", "another tenant holds one of these keys"});
        }
    }

private:
    std::set<std::string> services_;
    std::set<std::pair<std::string, std::string>> places_;
    std::map<std::string, std::string> keys_;
};

}   // namespace

ParseResult<Configuration> read_configuration(std::string_view json) {
    static const rapidjson::SchemaDocument schema = compile_schema(configuration_schema());
    rapidjson::Document document;
    if (auto findings = parse_document(json, schema, document); !findings.empty()) return findings;

    Configuration configuration;
    Checker checker;
    configuration.version = static_cast<uint64_t>(number(document, "version", 0));
    configuration.limits = read_limits(document);
    each(document, "services", "", [&](const Value& from, const std::string&) {
        configuration.services.push_back(read_service(from));
        checker.service(configuration.services.back());
    });
    each(document, "routes", "", [&](const Value& from, const std::string& place) {
        configuration.routes.push_back(read_route(from, place));
        checker.route(configuration.routes.back(), place);
    });
    each(document, "tenants", "", [&](const Value& from, const std::string& place) {
        configuration.tenants.push_back(read_tenant(from, place));
        checker.tenant(configuration.tenants.back(), place);
    });
    if (!checker.findings.empty()) return std::move(checker.findings);
    return configuration;
}

}   // namespace myrtleroute::configuration
