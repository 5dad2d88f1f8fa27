#include "configuration/schema.hpp"

namespace myrtleroute::configuration {
namespace {

// Members that are not named here are accepted: later versions of the operator's tools may send more.
constexpr const char* route_schema = R"json({
  "type": "object",
  "required": ["hostname", "pathPrefix", "timeoutMs"],
  "properties": {
    "name": {"type": "string"},
    "hostname": {"type": "string", "minLength": 1},
    "pathPrefix": {"type": "string", "minLength": 1},
    "kind": {"type": "string", "enum": ["idempotent", "non_idempotent", "streaming"]},
    "timeoutMs": {"type": "number", "minimum": 0},
    "targetLatencyMs": {"type": "number", "minimum": 0},
    "priority": {"type": "integer"},
    "service": {"type": "string"},
    "backends": {"type": "array", "items": {
      "type": "object",
      "required": ["service"],
      "properties": {"service": {"type": "string"}, "weight": {"type": "number", "minimum": 0}}
    }},
    "maxAttempts": {"type": "integer", "minimum": 0},
    "public": {"type": "boolean"},
    "sticky": {"type": "boolean"},
    "resumable": {"type": "boolean"}
  }
})json";

constexpr const char* service_schema = R"json({
  "type": "object",
  "required": ["name"],
  "properties": {
    "name": {"type": "string", "minLength": 1},
    "healthCheck": {"type": "string"},
    "maxConnections": {"type": "integer", "minimum": 0},
    "engine": {"type": ["object", "null"]}
  }
})json";

constexpr const char* tenant_schema = R"json({
  "type": "object",
  "required": ["name"],
  "properties": {
    "name": {"type": "string", "minLength": 1},
    "apiKeys": {"type": "array", "items": {"type": "string"}},
    "priority": {"type": "integer"},
    "unit": {"type": "string"},
    "uncachedTokens": {"type": "number", "minimum": 0},
    "ratePerS": {"type": "number", "minimum": 0},
    "burst": {"type": "number", "minimum": 0}
  }
})json";

constexpr const char* limits_schema = R"json({"type": "object", "properties": {
  "maxHeaderBytes": {"type": "integer", "minimum": 0},
  "maxBodyBytes": {"type": "integer", "minimum": 0},
  "headerTimeoutMs": {"type": "number", "minimum": 0},
  "idleTimeoutMs": {"type": "number", "minimum": 0}
}})json";

constexpr const char* version_schema = R"("version": {"type": "integer", "minimum": 1})";

// Schema of a list whose items match the schema `item`.
std::string list_of(const std::string& item, const char* type = R"("array")") {
    return std::string(R"({"type": )") + type + R"(, "items": )" + item + "}";
}

}   // namespace

std::string configuration_schema() {
    return std::string(R"({"type": "object", "required": ["version", "routes", "services"], "properties": {)") +
           version_schema + R"(, "routes": )" + list_of(route_schema) + R"(, "services": )" + list_of(service_schema) +
           R"(, "limits": )" + limits_schema + R"(, "tenants": )" + list_of(tenant_schema, R"(["array", "null"])") +
           "}}";
}

std::string patch_schema() {
    const std::string names = list_of(R"({"type": "string", "minLength": 1})");
    return std::string(R"({"type": "object", "required": ["version"], "properties": {)") + version_schema +
           R"(, "upsert": {"type": "object", "additionalProperties": false, "properties": {"routes": )" +
           list_of(route_schema) + R"(, "services": )" + list_of(service_schema) + R"(, "tenants": )" +
           list_of(tenant_schema) +
           R"(}}, "delete": {"type": "object", "additionalProperties": false, "properties": {"routes": )" + names +
           R"(, "services": )" + names + R"(, "tenants": )" + names + "}}}}";
}

}   // namespace myrtleroute::configuration
