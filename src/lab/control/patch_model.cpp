#include "lab/control/patch_model.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace myrtleroute::lab::control {
namespace {

using Json = nlohmann::json;
using Names = std::set<std::pair<std::string, std::string>>;   // list and item name

bool has_name(const Json& item, const std::string& name) { return item.value("name", "") == name; }

size_t count(const Json& document, const std::string& list, const std::string& name) {
    size_t found = 0;
    for (const auto& item : document.value(list, Json::array())) found += has_name(item, name);
    return found;
}

Json::iterator find(Json& items, const std::string& name) {
    return std::find_if(items.begin(), items.end(), [&](const Json& item) { return has_name(item, name); });
}

bool remove(Json& document, const std::string& list, const Json& names, Names& used) {
    for (const auto& name : names) {
        if (!used.insert({list, name}).second || count(document, list, name) != 1) return false;
        document[list].erase(find(document[list], name));
    }
    return true;
}

bool upsert(Json& document, const std::string& list, const Json& items, Names& used) {
    for (const auto& item : items) {
        const auto name = item.value("name", "");
        if (name.empty() || !used.insert({list, name}).second || count(document, list, name) > 1) return false;
        const auto known = find(document[list], name);
        if (known == document[list].end())
            document[list].push_back(item);
        else
            *known = item;
    }
    return true;
}

bool is_valid(const Json& document) {
    std::set<std::string> services, prefixes;
    std::map<std::string, std::string> holders;   // tenants, by API key
    for (const auto& service : document["services"]) services.insert(service["name"]);
    for (const auto& route : document["routes"])
        if (!services.count(route["service"]) || !prefixes.insert(route["pathPrefix"]).second ||
            route["timeoutMs"] == 0)
            return false;
    for (const auto& tenant : document.value("tenants", Json::array()))
        for (const auto& key : tenant["apiKeys"])
            if (holders.emplace(key, tenant["name"]).first->second != tenant["name"]) return false;
    return true;
}

}   // namespace

std::optional<Json> patched(Json document, const Json& patch) {
    const auto upserts = patch.value("upsert", Json::object()), deletions = patch.value("delete", Json::object());
    Names used;
    for (const std::string list : {"routes", "services", "tenants"}) {
        if (!remove(document, list, deletions.value(list, Json::array()), used)) return {};
        if (!upsert(document, list, upserts.value(list, Json::array()), used)) return {};
    }
    document["version"] = patch.at("version");
    return is_valid(document) ? std::optional(document) : std::nullopt;
}

std::string canonical(const std::string& document) {
    const auto json = Json::parse(document, nullptr, false);
    return json.is_discarded() ? document : json.dump();
}

}   // namespace myrtleroute::lab::control
