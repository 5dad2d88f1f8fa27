// A point in time and a span of time. The two can't be mixed up: only a span can be added to a point.
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

constexpr Time long_ago{-1e18};

}  // namespace myrtleroute
