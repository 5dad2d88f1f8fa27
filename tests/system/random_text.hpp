// Incompressible texts, for tests that measure how much bandwidth long texts take.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>

#include "random.hpp"

namespace myrtleroute::testing {

// A text of `length` random characters from `alphabet`; the same for the same arguments.
inline std::string random_text(
    size_t length, std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/") {
    Pcg rng{11};
    std::string text;
    while (text.size() < length) text.push_back(alphabet[rng.next() % alphabet.size()]);
    return text;
}

}   // namespace myrtleroute::testing
