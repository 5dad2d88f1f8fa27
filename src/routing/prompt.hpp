// The request headers that describe a prompt: its token counts, and the prefix that it shares with other prompts.
#pragma once
#include <cstdint>
#include <string_view>

#include "base/fnv.hpp"
#include "wire/text.hpp"

namespace myrtleroute::routing {

struct Prompt {
    double tokens_in = 0, tokens_out = 0;
    uint64_t shared_key = 0;    // hash of the longest prefix that other prompts may share, 0 = none
    double shared_tokens = 0;   // tokens in that prefix
};

// Parses the two header values. `counts`: tokens of the prompt and the maximum to generate, as in 1460,80. `parts`:
// ID:TOKENS of each part in order; the last part belongs to this request or its session alone. Malformed fields
// count as missing.
inline Prompt read_prompt(std::string_view counts, std::string_view parts) {
    Prompt prompt;
    prompt.tokens_in = wire::parse_decimal(wire::next_item(counts)).value_or(0);
    prompt.tokens_out = wire::parse_decimal(wire::next_item(counts)).value_or(0);
    uint64_t hash = fnv_basis;
    while (!parts.empty()) {
        const auto part = wire::next_item(parts);
        if (parts.empty()) break;   // the last part is not shared
        const auto colon = part.find(':');
        hash = fnv1a(part.substr(0, colon), hash);
        prompt.shared_key = hash ? hash : 1;
        if (colon != part.npos) prompt.shared_tokens += wire::parse_decimal(part.substr(colon + 1)).value_or(0);
    }
    return prompt;
}

}   // namespace myrtleroute::routing
