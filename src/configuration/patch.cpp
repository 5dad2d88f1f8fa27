#include "configuration/patch.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "configuration/configuration.hpp"
#include "configuration/json_document.hpp"
#include "configuration/schema.hpp"

namespace myrtleroute::configuration {
namespace {

using rapidjson::Document;
using rapidjson::Value;

constexpr const char* list_names[] = {"routes", "services", "tenants"};
constexpr std::string_view no_configuration = R"({"version":0,"routes":[],"services":[]})";

std::string text_of(const Value& value) { return {value.GetString(), value.GetStringLength()}; }

// The item's name; empty if it has none.
std::string name_of(const Value& item) {
    const auto member = item.FindMember("name");
    return member == item.MemberEnd() || !member->value.IsString() ? std::string() : text_of(member->value);
}

const Value* member_of(const Value& object, const char* key) {
    const auto member = object.FindMember(key);
    return member == object.MemberEnd() ? nullptr : &member->value;
}

// The list named `list` in the patch's `operation` (upsert or delete); null if there is none.
const Value* list_in(const Value& patch, const char* operation, const char* list) {
    const auto* lists = member_of(patch, operation);
    return lists ? member_of(*lists, list) : nullptr;
}

// Applies a patch to one list of the configuration.
class ListPatch {
public:
    ListPatch(Document& result, const char* name, Findings& findings)
        : result_(result), name_(name), findings_(findings) {}

    void apply(const Value& patch) {
        const auto* upserts = list_in(patch, "upsert", name_);
        const auto* deletions = list_in(patch, "delete", name_);
        if (!upserts && !deletions) return;
        auto& items = list();
        build_index(items);
        if (deletions) remove(*deletions);
        if (upserts) upsert(*upserts, items);
        erase_removed(items);
    }

    // JSON pointer into the patch for the item at `index` of the result; empty if the item isn't from the patch.
    std::string origin(size_t index) const {
        const auto found = origins_.find(index);
        return found == origins_.end() ? std::string() : location("upsert", found->second);
    }

private:
    std::string location(const char* operation, size_t index) const {
        return std::string("/") + operation + "/" + name_ + "/" + std::to_string(index);
    }

    Value& list() {
        auto member = result_.FindMember(name_);
        if (member == result_.MemberEnd()) {
            result_.AddMember(Value(name_, result_.GetAllocator()), Value(rapidjson::kArrayType),
                              result_.GetAllocator());
            member = result_.FindMember(name_);
        }
        if (!member->value.IsArray()) member->value.SetArray();
        return member->value;
    }

    void build_index(const Value& items) {
        for (rapidjson::SizeType i = 0; i < items.Size(); ++i) indices_[name_of(items[i])].push_back(i);
    }

    // Checks that the patch uses the name only once, and that at most one item of the configuration has it.
    bool is_unambiguous(const std::string& name, const std::string& name_location) {
        if (!used_.insert(name).second) {
            findings_.push_back({name_location, "the patch names '" + name + "' twice"});
            return false;
        }
        const auto existing = indices_.find(name);
        if (existing == indices_.end() || existing->second.size() == 1) return true;
        findings_.push_back({name_location, "several items have the name '" + name + "'"});
        return false;
    }

    void remove(const Value& names) {
        for (rapidjson::SizeType i = 0; i < names.Size(); ++i) {
            const auto name = text_of(names[i]);
            if (!is_unambiguous(name, location("delete", i))) continue;
            const auto existing = indices_.find(name);
            if (existing == indices_.end())
                findings_.push_back({location("delete", i), "there is no item '" + name + "'"});
            else
                removed_.insert(existing->second.front());
        }
    }

    void upsert(const Value& upserts, Value& items) {
        auto& allocator = result_.GetAllocator();
        for (rapidjson::SizeType i = 0; i < upserts.Size(); ++i) {
            const auto name = name_of(upserts[i]);
            const auto name_location = location("upsert", i) + "/name";
            if (name.empty()) {
                findings_.push_back({name_location, "an item must have a name"});
                continue;
            }
            if (!is_unambiguous(name, name_location)) continue;
            Value item(upserts[i], allocator);
            const auto existing = indices_.find(name);
            const auto index = existing == indices_.end() ? items.Size() : existing->second.front();
            if (existing == indices_.end())
                items.PushBack(item, allocator);
            else
                items[index] = item;
            origins_[index] = i;
        }
    }

    void erase_removed(Value& items) {
        if (removed_.empty()) return;
        Value kept(rapidjson::kArrayType);
        std::map<size_t, size_t> origins;
        for (rapidjson::SizeType i = 0; i < items.Size(); ++i) {
            if (removed_.count(i)) continue;
            if (const auto origin = origins_.find(i); origin != origins_.end()) origins[kept.Size()] = origin->second;
            kept.PushBack(items[i], result_.GetAllocator());
        }
        items = kept;
        origins_ = std::move(origins);
    }

    Document& result_;
    const char* name_;
    Findings& findings_;
    std::map<std::string, std::vector<rapidjson::SizeType>> indices_;   // in the list before the patch, by item name
    std::set<std::string> used_;                                        // names in the patch
    std::set<size_t> removed_;                                          // indices of deleted items
    std::map<size_t, size_t> origins_;                                  // index in `upsert` by index in the result
};

// Translates a location in the result to one in the patch if the item there is from the patch.
std::string location_in_patch(const std::string& location,
                              const std::vector<std::pair<std::string, ListPatch>>& lists) {
    for (const auto& [name, list] : lists) {
        const auto prefix = "/" + name + "/";
        if (!location.starts_with(prefix)) continue;
        const auto rest = location.find('/', prefix.size());
        const auto origin = list.origin(std::stoul(location.substr(prefix.size())));
        if (!origin.empty()) return origin + (rest == location.npos ? "" : location.substr(rest));
    }
    return location;
}

std::string serialize(const Document& document) {
    rapidjson::StringBuffer text;
    rapidjson::Writer<rapidjson::StringBuffer> writer(text);
    document.Accept(writer);
    return {text.GetString(), text.GetSize()};
}

}   // namespace

ParseResult<Patched> apply_patch(std::string_view current, std::string_view patch) {
    static const rapidjson::SchemaDocument schema = compile_schema(patch_schema());
    Document parsed_patch;
    if (auto findings = parse_document(patch, schema, parsed_patch); !findings.empty()) return findings;
    if (current.empty()) current = no_configuration;
    Document result;
    result.Parse(current.data(), current.size());

    Findings findings;
    std::vector<std::pair<std::string, ListPatch>> lists;
    for (const auto* name : list_names) {
        lists.emplace_back(name, ListPatch(result, name, findings));
        lists.back().second.apply(parsed_patch);
    }
    if (!findings.empty()) return findings;
    result["version"].SetUint64(parsed_patch["version"].GetUint64());
    Patched patched{parsed_patch["version"].GetUint64(), serialize(result)};
    auto checked = read_configuration(patched.document);
    if (auto* errors = std::get_if<Findings>(&checked)) {
        for (auto& error : *errors) error.location = location_in_patch(error.location, lists);
        return std::move(*errors);
    }
    return patched;
}

}   // namespace myrtleroute::configuration
