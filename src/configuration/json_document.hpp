// Parses JSON documents that operators send and validates them against a schema.
#pragma once
#include <rapidjson/document.h>
#include <rapidjson/schema.h>

#include <string>
#include <string_view>

#include "base/findings.hpp"

namespace myrtleroute::configuration {

rapidjson::SchemaDocument compile_schema(const std::string& schema);

// Parses `json` into `document`. Returns no finding if it is valid, else one: a syntax error with its byte offset, or
// the first violation of the schema with its location as a JSON pointer (RFC 6901).
Findings parse_document(std::string_view json, const rapidjson::SchemaDocument& schema, rapidjson::Document& document);

}   // namespace myrtleroute::configuration
