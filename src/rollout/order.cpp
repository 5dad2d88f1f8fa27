#include "rollout/order.hpp"

#include "configuration/json_document.hpp"

namespace myrtleroute::rollout {
namespace {

constexpr const char* order_schema = R"json({
  "type": "object",
  "required": ["service", "targetVersion", "durationS"],
  "properties": {
    "service": {"type": "string", "minLength": 1},
    "targetVersion": {"type": "string", "minLength": 1},
    "durationS": {"type": "number", "minimum": 0, "exclusiveMinimum": true}
  }
})json";

}   // namespace

ParseResult<Order> read_order(std::string_view json) {
    static const rapidjson::SchemaDocument schema = configuration::compile_schema(order_schema);
    rapidjson::Document document;
    if (auto findings = configuration::parse_document(json, schema, document); !findings.empty()) return findings;
    return Order{document["service"].GetString(), document["targetVersion"].GetString(),
                 document["durationS"].GetDouble()};
}

}   // namespace myrtleroute::rollout
