// JSON documents that operators send: parsed, and checked against a schema.
#pragma once
#include <rapidjson/document.h>
#include <rapidjson/schema.h>

#include <string>
#include <string_view>

#include "base/findings.hpp"

namespace myrtleroute::configuration {

rapidjson::SchemaDocument compile_schema(const std::string& schema);

// Reads the document. What is wrong with it, with the byte at which it can't be read, or the first place, as a JSON pointer
// (RFC 6901), at which it breaks the schema.
Findings parse_document(std::string_view json, const rapidjson::SchemaDocument& schema, rapidjson::Document& document);

}   // namespace myrtleroute::configuration
