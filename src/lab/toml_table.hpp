// What reads tables of a TOML file that somebody wrote by hand: an unknown key, a missing one or a value out of
// bounds is told with file, line, column, key and what is allowed.
#pragma once
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "lab/scenario.hpp"

namespace myrtleroute::lab {

[[noreturn]] inline void bad(const std::string& path, const toml::source_region& at, const std::string& what) {
    std::ostringstream text;
    text << path << ':' << at.begin.line << ':' << at.begin.column << ": " << what;
    throw BadScenario(text.str());
}

class Table {
public:
    Table(const std::string& path, const toml::table& table, std::initializer_list<std::string_view> known)
        : path_(path), table_(table) {
        for (const auto& [key, value] : table)
            if (std::find(known.begin(), known.end(), key.str()) == known.end())
                bad(path, key.source(), std::string(key.str()) + " is no key of this table");
    }
    bool has(std::string_view key) const { return table_.get(key) != nullptr; }
    const toml::table& source() const { return table_; }
    [[noreturn]] void fault(std::string_view key, const std::string& what) const {
        const auto* node = table_.get(key);
        bad(path_, node ? node->source() : table_.source(), std::string(key) + ' ' + what);
    }
    std::string text(std::string_view key, const std::string& otherwise) const {
        const auto* node = table_.get(key);
        if (!node) return otherwise;
        if (!node->is_string()) fault(key, "must be a text");
        return **node->as_string();
    }
    std::string one_of(std::string_view key, const std::string& otherwise, std::initializer_list<std::string_view> words) const {
        const auto said = text(key, otherwise);
        if (std::find(words.begin(), words.end(), said) != words.end()) return said;
        std::string all;
        for (const auto word : words) all.append(all.empty() ? "" : ", ").append(word);
        fault(key, "must be one of " + all);
    }
    bool yes(std::string_view key, bool otherwise) const {
        const auto* node = table_.get(key);
        if (!node) return otherwise;
        if (!node->is_boolean()) fault(key, "must be true or false");
        return **node->as_boolean();
    }
    // Tables under one key, `[[key]]`; none where it is not there.
    std::vector<const toml::table*> tables(std::string_view key) const {
        std::vector<const toml::table*> all;
        const auto* node = table_.get(key);
        if (!node) return all;
        if (!node->is_array_of_tables()) fault(key, "must be tables: [[" + std::string(key) + "]]");
        for (const auto& each : *node->as_array()) all.push_back(each.as_table());
        return all;
    }
    const toml::table* part(std::string_view key) const {
        const auto* node = table_.get(key);
        if (node && !node->is_table()) fault(key, "must be a table: [" + std::string(key) + "]");
        return node ? node->as_table() : nullptr;
    }
    double number(std::string_view key, double otherwise, double least, double most) const {
        const auto* node = table_.get(key);
        if (!node) return otherwise;
        const auto value = node->value<double>();
        if (!node->is_number() || !(*value >= least && *value <= most)) {
            std::ostringstream text;
            text << key << " must be a number between " << least << " and " << most;
            bad(path_, node->source(), text.str());
        }
        return *value;
    }
    int whole(std::string_view key, int otherwise, int least, int most) const {
        const double value = number(key, otherwise, least, most);
        if (value != std::floor(value)) bad(path_, table_.get(key)->source(), std::string(key) + " must be whole");
        return static_cast<int>(value);
    }

private:
    const std::string& path_;
    const toml::table& table_;
};

inline toml::table parse_toml(const std::string& path) {
    try {
        return toml::parse_file(path);
    } catch (const toml::parse_error& fault) {
        bad(path, fault.source(), std::string(fault.description()));
    }
}

}  // namespace myrtleroute::lab
