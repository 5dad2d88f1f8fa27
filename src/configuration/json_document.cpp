#include "configuration/json_document.hpp"

#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>

namespace myrtleroute::configuration {
namespace {

Findings check_schema(const rapidjson::Document& document, const rapidjson::SchemaDocument& schema) {
    rapidjson::SchemaValidator validator(schema);
    if (document.Accept(validator)) return {};
    rapidjson::StringBuffer location;
    validator.GetInvalidDocumentPointer().Stringify(location);
    return {{location.GetSize() ? location.GetString() : "/",
             std::string("breaks the schema's '") + validator.GetInvalidSchemaKeyword() + "'"}};
}

}   // namespace

rapidjson::SchemaDocument compile_schema(const std::string& schema) {
    rapidjson::Document document;
    document.Parse(schema.c_str());
    return rapidjson::SchemaDocument(document);
}

Findings parse_document(std::string_view json, const rapidjson::SchemaDocument& schema, rapidjson::Document& document) {
    document.Parse<rapidjson::kParseValidateEncodingFlag>(json.data(), json.size());
    if (document.HasParseError())
        return {{"byte " + std::to_string(document.GetErrorOffset()),
                 rapidjson::GetParseError_En(document.GetParseError())}};
    return check_schema(document, schema);
}

}   // namespace myrtleroute::configuration
