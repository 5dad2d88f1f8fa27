// A point in time and a duration, in seconds, as distinct types: only a duration can be added to a point in time.
#pragma once
#include <compare>

namespace myrtleroute {

struct Span {
    double s = 0;
    auto operator<=>(const Span&) const = default;
    constexpr Span operator+(Span o) const { return {s + o.s}; }
    constexpr Span operator-(Span o) const { return {s - o.s}; }
    constexpr Span operator*(double k) const { return {s * k}; }
    constexpr double operator/(Span o) const { return s / o.s; }
};

struct Time {
    double s = 0;
    auto operator<=>(const Time&) const = default;
    constexpr Time operator+(Span d) const { return {s + d.s}; }
    constexpr Time operator-(Span d) const { return {s - d.s}; }
    constexpr Span operator-(Time o) const { return {s - o.s}; }
};

constexpr Time long_ago{-1e18};   // before any event: "never so far"

}  // namespace myrtleroute
