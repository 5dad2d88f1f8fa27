// An IPv4 address and a port in the form that settings and messages use: 10.1.0.3:8367.
#pragma once
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wire/endpoint.hpp"

namespace myrtleroute {

struct Endpoint {
    std::string address;
    uint16_t port = 0;
    auto operator<=>(const Endpoint&) const = default;
    std::string text() const { return address + ":" + std::to_string(port); }
};

// Parses ADDRESS:PORT; returns nullopt if the text is not a valid IPv4 address and port.
inline std::optional<Endpoint> parse_endpoint(std::string_view text) {
    const auto socket_address = wire::parse_endpoint(text);
    if (!socket_address) return {};
    return Endpoint{std::string(text.substr(0, text.rfind(':'))), ntohs(socket_address->sin_port)};
}

}   // namespace myrtleroute
