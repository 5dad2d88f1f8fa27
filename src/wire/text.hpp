// What the parsers share: comparing, trimming and reading numbers, all of it strict.
#pragma once
#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>
#include <utility>

namespace myrtleroute::wire {

inline char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

inline bool equals_ignore_case(std::string_view a, std::string_view b) {   // but for case
    if (a.size() != b.size()) return false;
    for (size_t i = 0; i < a.size(); ++i)
        if (lower(a[i]) != lower(b[i])) return false;
    return true;
}

inline std::string_view trim(std::string_view s) {
    while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
    while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
    return s;
}

// Fields that concern one connection only (RFC 9110, 7.6.1), and those that frame a message anew on each.
inline bool is_hop_by_hop(std::string_view name) {
    constexpr std::string_view names[] = {"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
                                          "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"};
    for (const auto known : names)
        if (equals_ignore_case(name, known)) return true;
    return false;
}

// Takes the next part off a list with commas.
inline std::string_view next_item(std::string_view& rest) {
    const auto comma = rest.find(',');
    const auto part = rest.substr(0, comma);
    rest = comma == rest.npos ? std::string_view{} : rest.substr(comma + 1);
    return trim(part);
}

// The same of a list of `name=value`; no name where it is no such part.
inline std::pair<std::string_view, std::string_view> next_pair(std::string_view& rest) {
    const auto part = next_item(rest);
    const auto is = part.find('=');
    if (is == part.npos) return {};
    return {trim(part.substr(0, is)), trim(part.substr(is + 1))};
}

template <class T>
std::optional<T> parse_integer(std::string_view s, int base = 10) {   // digits alone, and no more than T holds
    T value{};
    const auto [end, error] = std::from_chars(s.data(), s.data() + s.size(), value, base);
    if (s.empty() || s.front() == '-' || error != std::errc{} || end != s.data() + s.size()) return {};
    return value;
}

inline std::optional<double> parse_decimal(std::string_view s) {
    double value = 0;
    const auto [end, error] = std::from_chars(s.data(), s.data() + s.size(), value);
    if (s.empty() || error != std::errc{} || end != s.data() + s.size() || !std::isfinite(value)) return {};
    return value;
}

}  // namespace myrtleroute::wire
