// An address and a port, as configuration and discovery write them: 10.1.0.18:5000.
#pragma once
#include <arpa/inet.h>
#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>

#include "wire/text.hpp"

namespace myrtleroute::wire {

inline std::optional<sockaddr_in> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == text.npos) return {};
    const auto port = parse_integer<uint16_t>(text.substr(colon + 1));
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port.value_or(0));
    const std::string host(text.substr(0, colon));
    if (!port || *port == 0 || inet_pton(AF_INET, host.c_str(), &at.sin_addr) != 1) return {};
    return at;
}

}  // namespace myrtleroute::wire
