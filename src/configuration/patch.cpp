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

// The name of an item; empty where it has none.
std::string name_of(const Value& item) {
    const auto member = item.FindMember("name");
    return member == item.MemberEnd() || !member->value.IsString() ? std::string() : text_of(member->value);
}

const Value* member_of(const Value& object, const char* key) {
    const auto member = object.FindMember(key);
    return member == object.MemberEnd() ? nullptr : &member->value;
}

// The list of that name in `upsert` or `delete`; null where the patch has none.
const Value* list_in(const Value& patch, const char* part, const char* list) {
    const auto* lists = member_of(patch, part);
    return lists ? member_of(*lists, list) : nullptr;
}

// Applies the parts of a patch that concern one list of the configuration.
class ListPatch {
public:
    ListPatch(Document& result, const char* name, Findings& findings)
        : result_(result), name_(name), findings_(findings) {}

    void apply(const Value& patch) {
        const auto* upserts = list_in(patch, "upsert", name_);
        const auto* deletions = list_in(patch, "delete", name_);
        if (!upserts && !deletions) return;
        auto& items = list();
        index(items);
        if (deletions) remove(*deletions);
        if (upserts) upsert(*upserts, items);
        erase_removed(items);
    }

    // Where the patch has the item at that place of the result; empty where it stood there before.
    std::string origin(size_t at) const {
        const auto found = origins_.find(at);
        return found == origins_.end() ? std::string() : place("upsert", found->second);
    }

private:
    std::string place(const char* part, size_t number) const {
        return std::string("/") + part + "/" + name_ + "/" + std::to_string(number);
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

    void index(const Value& items) {
        for (rapidjson::SizeType i = 0; i < items.Size(); ++i) places_[name_of(items[i])].push_back(i);
    }

    // Whether the name is used once in the patch, and stands for one item at the most.
    bool is_clear(const std::string& name, const std::string& at) {
        if (!used_.insert(name).second) {
            findings_.push_back({at, "the patch names '" + name + "' twice"});
            return false;
        }
        const auto known = places_.find(name);
        if (known == places_.end() || known->second.size() == 1) return true;
        findings_.push_back({at, "several items have the name '" + name + "'"});
        return false;
    }

    void remove(const Value& names) {
        for (rapidjson::SizeType i = 0; i < names.Size(); ++i) {
            const auto name = text_of(names[i]);
            if (!is_clear(name, place("delete", i))) continue;
            const auto known = places_.find(name);
            if (known == places_.end())
                findings_.push_back({place("delete", i), "there is no item '" + name + "'"});
            else
                removed_.insert(known->second.front());
        }
    }

    void upsert(const Value& upserts, Value& items) {
        auto& allocator = result_.GetAllocator();
        for (rapidjson::SizeType i = 0; i < upserts.Size(); ++i) {
            const auto name = name_of(upserts[i]);
            const auto at = place("upsert", i) + "/name";
            if (name.empty()) {
                findings_.push_back({at, "an item must have a name"});
                continue;
            }
            if (!is_clear(name, at)) continue;
            Value item(upserts[i], allocator);
            const auto known = places_.find(name);
            const auto position = known == places_.end() ? items.Size() : known->second.front();
            if (known == places_.end())
                items.PushBack(item, allocator);
            else
                items[position] = item;
            origins_[position] = i;
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
    std::map<std::string, std::vector<rapidjson::SizeType>> places_;   // of the items before, by name
    std::set<std::string> used_;                                       // names in the patch
    std::set<size_t> removed_;
    std::map<size_t, size_t> origins_;   // number in the patch, by place in the result
};

// A place in the result, as a place in the patch where it comes from there.
std::string place_in_patch(const std::string& place, const std::vector<std::pair<std::string, ListPatch>>& lists) {
    for (const auto& [name, list] : lists) {
        const auto prefix = "/" + name + "/";
        if (!place.starts_with(prefix)) continue;
        const auto rest = place.find('/', prefix.size());
        const auto origin = list.origin(std::stoul(place.substr(prefix.size())));
        if (!origin.empty()) return origin + (rest == place.npos ? "" : place.substr(rest));
    }
    return place;
}

std::string written(const Document& document) {
    rapidjson::StringBuffer text;
    rapidjson::Writer<rapidjson::StringBuffer> writer(text);
    document.Accept(writer);
    return {text.GetString(), text.GetSize()};
}

}   // namespace

ParseResult<Patched> apply_patch(std::string_view current, std::string_view patch) {
    static const rapidjson::SchemaDocument schema = compile_schema(patch_schema());
    Document change;
    if (auto findings = parse_document(patch, schema, change); !findings.empty()) return findings;
    if (current.empty()) current = no_configuration;
    Document result;
    result.Parse(current.data(), current.size());

    Findings findings;
    std::vector<std::pair<std::string, ListPatch>> lists;
    for (const auto* name : list_names) {
        lists.emplace_back(name, ListPatch(result, name, findings));
        lists.back().second.apply(change);
    }
    if (!findings.empty()) return findings;
    result["version"].SetUint64(change["version"].GetUint64());
    Patched patched{change["version"].GetUint64(), written(result)};
    auto checked = read_configuration(patched.document);
    if (auto* faults = std::get_if<Findings>(&checked)) {
        for (auto& fault : *faults) fault.location = place_in_patch(fault.location, lists);
        return std::move(*faults);
    }
    return patched;
}

}   // namespace myrtleroute::configuration
