// What a generation tells of its prompt: tokens, and the parts that it shares with others.
#pragma once
#include <cstdint>
#include <string_view>

#include "base/fnv.hpp"
#include "wire/text.hpp"

namespace myrtleroute::routing {

struct Prompt {
    double tokens_in = 0, tokens_out = 0;
    uint64_t shared_key = 0;    // of the longest chain of parts that others may share, 0 = none
    double shared_tokens = 0;   // in that chain
};

// `counts`: tokens of the prompt and the most generated, as 1460,80. `parts`: ID:TOKENS in order; the last one is the
// request's own or its session's. Fields that are unsound count as missing.
inline Prompt read_prompt(std::string_view counts, std::string_view parts) {
    Prompt prompt;
    prompt.tokens_in = wire::parse_decimal(wire::next_item(counts)).value_or(0);
    prompt.tokens_out = wire::parse_decimal(wire::next_item(counts)).value_or(0);
    uint64_t hash = fnv_basis;
    while (!parts.empty()) {
        const auto part = wire::next_item(parts);
        if (parts.empty()) break;   // the last one
        const auto colon = part.find(':');
        hash = fnv1a(part.substr(0, colon), hash);
        prompt.shared_key = hash ? hash : 1;
        if (colon != part.npos) prompt.shared_tokens += wire::parse_decimal(part.substr(colon + 1)).value_or(0);
    }
    return prompt;
}

}   // namespace myrtleroute::routing
