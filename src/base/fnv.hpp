// 64-bit FNV-1a hash (Fowler, Noll, Vo). Unlike std::hash, its values are the same in every process.
#pragma once
#include <cstdint>
#include <string_view>

namespace myrtleroute {

constexpr uint64_t fnv_basis = 14695981039346656037ULL;

// Pass the previous result as `hash` to continue over further bytes.
constexpr uint64_t fnv1a(std::string_view bytes, uint64_t hash = fnv_basis) {
    constexpr uint64_t prime = 1099511628211ULL;
    for (const char c : bytes) hash = (hash ^ static_cast<unsigned char>(c)) * prime;
    return hash;
}

}   // namespace myrtleroute
