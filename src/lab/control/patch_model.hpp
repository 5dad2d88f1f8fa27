// Reference model of a patch of named items, as the operators' page describes it: plain code, without an index or
// copies of the parts, to compare src/configuration/patch.cpp with.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace myrtleroute::lab::control {

// The patched document; nullopt if the patch names a missing item, names an item twice, or gives an invalid document.
// Knows the members that the documents of the simulation and of the tests have, not the whole schema.
std::optional<nlohmann::json> patched(nlohmann::json document, const nlohmann::json& patch);

// The canonical text of a document: equal documents have equal texts. Text that is not JSON is returned as it is.
std::string canonical(const std::string& document);

}   // namespace myrtleroute::lab::control
