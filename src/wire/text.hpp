// Helpers of the parsers: comparison, trimming and strict parsing of numbers.
#pragma once
#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>
#include <utility>

namespace myrtleroute::wire {

inline char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

inline bool equals_ignore_case(std::string_view a, std::string_view b) {   // ASCII
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

// Hop-by-hop fields (RFC 9110, 7.6.1), and those that frame the message, which each connection sets anew.
inline bool is_hop_by_hop(std::string_view name) {
    constexpr std::string_view names[] = {"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
                                          "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"};
    for (const auto known : names)
        if (equals_ignore_case(name, known)) return true;
    return false;
}

// Removes the next item from a comma-separated list and returns it.
inline std::string_view next_item(std::string_view& rest) {
    const auto comma = rest.find(',');
    const auto item = rest.substr(0, comma);
    rest = comma == rest.npos ? std::string_view{} : rest.substr(comma + 1);
    return trim(item);
}

// The same for a list of `name=value` pairs; an empty name if the item has no `=`.
inline std::pair<std::string_view, std::string_view> next_pair(std::string_view& rest) {
    const auto item = next_item(rest);
    const auto is = item.find('=');
    if (is == item.npos) return {};
    return {trim(item.substr(0, is)), trim(item.substr(is + 1))};
}

template <class T>
std::optional<T> parse_integer(std::string_view s, int base = 10) {   // digits only, within the range of T
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
