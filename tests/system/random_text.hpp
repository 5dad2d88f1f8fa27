// Texts that compression does not make shorter, for tests of what long texts take of a link.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>

#include "random.hpp"

namespace myrtleroute::testing {

// Of that many of these characters, drawn by lot.
inline std::string random_text(
    size_t length, std::string_view of = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/") {
    Pcg chance{11};
    std::string text;
    while (text.size() < length) text.push_back(of[chance.next() % of.size()]);
    return text;
}

}   // namespace myrtleroute::testing
