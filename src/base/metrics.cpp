#include "base/metrics.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>

namespace myrtleroute::metrics {
namespace {

constexpr std::string_view overflow_help = "Series that were refused: no room, an unsound name or another kind.";
constexpr double max_exact_integer = 9007199254740992;   // 2^53; a double represents all integers below it exactly

bool is_name_start(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; }

bool is_valid_name(std::string_view name) {
    const auto is_allowed = [](char c) {
        return is_name_start(c) || (c >= '0' && c <= '9');
    };
    return !name.empty() && is_name_start(name.front()) && std::all_of(name.begin(), name.end(), is_allowed);
}

bool are_valid(const Labels& labels) {
    return std::all_of(labels.begin(), labels.end(), [](const auto& label) { return is_valid_name(label.first); });
}

std::string escape_help(std::string_view help) {
    std::string escaped;
    for (const char c : help) {
        if (c == '\\')
            escaped += "\\\\";
        else if (c == '\n')
            escaped += "\\n";
        else
            escaped += c;
    }
    return escaped;
}

std::string render_labels(const Labels& labels) {
    if (labels.empty()) return {};
    std::string text;
    for (const auto& [name, value] : labels) {
        text += text.empty() ? '{' : ',';
        text.append(name).append("=\"").append(escape_label_value(value)).append("\"");
    }
    return text + "}";
}

std::string render_value(double value) {
    if (std::isnan(value)) return "NaN";
    if (std::isinf(value)) return value > 0 ? "+Inf" : "-Inf";
    char digits[32];
    const bool is_whole = std::abs(value) < max_exact_integer && std::trunc(value) == value;
    const auto end = is_whole ? std::to_chars(digits, digits + sizeof digits, static_cast<int64_t>(value)).ptr
                              : std::to_chars(digits, digits + sizeof digits, value).ptr;
    return {digits, end};
}

void render_header(std::string& text, std::string_view name, std::string_view help, std::string_view kind) {
    text.append("# HELP ").append(name).append(" ").append(escape_help(help)).append("\n");
    text.append("# TYPE ").append(name).append(" ").append(kind).append("\n");
}

void render_sample(std::string& text, std::string_view name, std::string_view labels, double value) {
    text.append(name).append(labels).append(" ").append(render_value(value)).append("\n");
}

}   // namespace

std::string escape_label_value(std::string_view value) {
    std::string escaped;
    for (const char c : value) {
        if (c == '\\')
            escaped += "\\\\";
        else if (c == '"')
            escaped += "\\\"";
        else if (c == '\n')
            escaped += "\\n";
        else
            escaped += c;
    }
    return escaped;
}

Counter Registry::counter(const std::string& name, const std::string& help, const Labels& labels) {
    return Counter(find_or_add(name, help, labels, Kind::counter));
}

Gauge Registry::gauge(const std::string& name, const std::string& help, const Labels& labels) {
    return Gauge(find_or_add(name, help, labels, Kind::gauge));
}

std::shared_ptr<double> Registry::find_or_add(const std::string& name, const std::string& help, const Labels& labels,
                                              Kind kind) {
    if (!is_valid_name(name) || name == overflow_name || !are_valid(labels)) return reject_series();
    const auto key = render_labels(labels);
    const auto family = families_.find(name);
    if (family != families_.end()) {
        if (family->second.kind != kind) return reject_series();
        const auto existing = family->second.series.find(key);
        if (existing != family->second.series.end()) return existing->second;
    }
    if (series_ >= options_.max_series) return reject_series();
    auto& series = families_.try_emplace(name, Family{kind, help, {}}).first->second.series;
    ++series_;
    return series[key] = std::make_shared<double>(0);
}

std::shared_ptr<double> Registry::reject_series() {
    ++overflow_;
    return std::make_shared<double>(0);
}

void Registry::remove(const std::string& name, const Labels& labels) {
    const auto family = families_.find(name);
    if (family == families_.end()) return;
    series_ -= family->second.series.erase(render_labels(labels));
    if (family->second.series.empty()) families_.erase(family);
}

std::string Registry::render() const {
    std::string text;
    for (const auto& [name, family] : families_) render_family(text, name, family);
    render_header(text, overflow_name, overflow_help, "counter");
    render_sample(text, overflow_name, "", overflow_);
    return text;
}

void Registry::render_family(std::string& text, const std::string& name, const Family& family) {
    render_header(text, name, family.help, family.kind == Kind::counter ? "counter" : "gauge");
    for (const auto& [labels, value] : family.series) render_sample(text, name, labels, *value);
}

}   // namespace myrtleroute::metrics
