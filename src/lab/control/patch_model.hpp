// What a change of named items makes of a configuration, as the operators' page describes it: a plain model, without an index
// or a copy of the parts, beside src/configuration/patch.cpp.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace myrtleroute::lab::control {

// The result; nothing where the patch names what is not there or names something twice, or where the result is not valid. Knows
// the members that documents of the virtual world and of the tests have, not the whole schema.
std::optional<nlohmann::json> patched(nlohmann::json document, const nlohmann::json& patch);

// The same document always as the same text; a text that is no JSON as it is.
std::string canonical(const std::string& document);

}   // namespace myrtleroute::lab::control
