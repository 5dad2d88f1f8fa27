// Strict reader of hand-written TOML files: an unknown key, a missing one or a value out of range throws ScenarioError
// with file, line, column, key and what is allowed.
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

// Throws ScenarioError: path:line:column: what.
[[noreturn]] inline void fail_at(const std::string& path, const toml::source_region& at, const std::string& what) {
    std::ostringstream text;
    text << path << ':' << at.begin.line << ':' << at.begin.column << ": " << what;
    throw ScenarioError(text.str());
}

// One table of a file. `known` lists its keys. A reader returns `fallback` if its key is missing.
class Table {
public:
    Table(const std::string& path, const toml::table& table, std::initializer_list<std::string_view> known)
        : path_(path), table_(table) {
        for (const auto& [key, value] : table)
            if (std::find(known.begin(), known.end(), key.str()) == known.end())
                fail_at(path, key.source(), std::string(key.str()) + " is no key of this table");
    }
    bool has(std::string_view key) const { return table_.get(key) != nullptr; }
    const toml::table& source() const { return table_; }
    [[noreturn]] void fail(std::string_view key, const std::string& what) const {
        const auto* node = table_.get(key);
        fail_at(path_, node ? node->source() : table_.source(), std::string(key) + ' ' + what);
    }
    std::string text(std::string_view key, const std::string& fallback) const {
        const auto* node = table_.get(key);
        if (!node) return fallback;
        if (!node->is_string()) fail(key, "must be a text");
        return **node->as_string();
    }
    std::string one_of(std::string_view key, const std::string& fallback,
                       std::initializer_list<std::string_view> allowed) const {
        const auto value = text(key, fallback);
        if (std::find(allowed.begin(), allowed.end(), value) != allowed.end()) return value;
        std::string all;
        for (const auto each : allowed) all.append(all.empty() ? "" : ", ").append(each);
        fail(key, "must be one of " + all);
    }
    bool boolean(std::string_view key, bool fallback) const {
        const auto* node = table_.get(key);
        if (!node) return fallback;
        if (!node->is_boolean()) fail(key, "must be true or false");
        return **node->as_boolean();
    }
    // The tables of an array of tables, `[[key]]`; empty if the key is missing.
    std::vector<const toml::table*> tables(std::string_view key) const {
        std::vector<const toml::table*> all;
        const auto* node = table_.get(key);
        if (!node) return all;
        if (!node->is_array_of_tables()) fail(key, "must be tables: [[" + std::string(key) + "]]");
        for (const auto& each : *node->as_array()) all.push_back(each.as_table());
        return all;
    }
    const toml::table* subtable(std::string_view key) const {
        const auto* node = table_.get(key);
        if (node && !node->is_table()) fail(key, "must be a table: [" + std::string(key) + "]");
        return node ? node->as_table() : nullptr;
    }
    double number(std::string_view key, double fallback, double min, double max) const {
        const auto* node = table_.get(key);
        if (!node) return fallback;
        const auto value = node->value<double>();
        if (!node->is_number() || !(*value >= min && *value <= max)) {
            std::ostringstream text;
            text << key << " must be a number between " << min << " and " << max;
            fail_at(path_, node->source(), text.str());
        }
        return *value;
    }
    int integer(std::string_view key, int fallback, int min, int max) const {
        const double value = number(key, fallback, min, max);
        if (value != std::floor(value)) fail_at(path_, table_.get(key)->source(), std::string(key) + " must be whole");
        return static_cast<int>(value);
    }

private:
    const std::string& path_;
    const toml::table& table_;
};

inline toml::table parse_toml(const std::string& path) {
    try {
        return toml::parse_file(path);
    } catch (const toml::parse_error& error) {
        fail_at(path, error.source(), std::string(error.description()));
    }
}

}  // namespace myrtleroute::lab
