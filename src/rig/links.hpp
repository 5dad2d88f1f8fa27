// The links of a fleet: each pair of parties that communicate has a link with a loopback address of its own.
// One socket that listens at all addresses can then find a connection's link from its local address, without a port
// or a listener for each of the many pairs.
#pragma once
#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>

namespace myrtleroute::rig {

enum class Kind : uint8_t { none, application, server, discovery, peer, kinds };   // a proxy's peer on the link
constexpr const char* kind_names[] = {"none", "applications", "servers", "discovery", "proxies"};

constexpr int max_parties = 1023;   // of each kind: ten bits in the address

// `from` and `to` are party numbers: an application link goes from an application to the proxy of the same number, all
// others from a proxy to a server, to discovery (0) or to another proxy.
struct Link {
    Kind kind = Kind::none;
    uint16_t from = 0, to = 0;
    bool operator==(const Link&) const = default;
};

constexpr uint32_t loopback = 127u << 24;
constexpr uint32_t listener_kind = 15;   // stands for Kind in the addresses at which proxies listen

inline sockaddr_in address(uint32_t ip, uint16_t port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(ip);
    return at;
}

inline uint32_t ip_of(const Link& link) {
    return loopback | static_cast<uint32_t>(link.kind) << 20 | static_cast<uint32_t>(link.from) << 10 | link.to;
}

inline uint32_t listen_ip(int proxy) { return loopback | listener_kind << 20 | static_cast<uint32_t>(proxy); }

// Empty if the address belongs to no link.
inline std::optional<Link> link_at(uint32_t ip) {
    const uint32_t kind = ip >> 20 & 15;
    if (ip >> 24 != 127 || kind == 0 || kind >= static_cast<uint32_t>(Kind::kinds)) return {};
    return Link{static_cast<Kind>(kind), static_cast<uint16_t>(ip >> 10 & 1023), static_cast<uint16_t>(ip & 1023)};
}

inline std::string endpoint(uint32_t ip, uint16_t port) {
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8) text += std::to_string(ip >> shift & 255) + (shift ? "." : ":");
    return text + std::to_string(port);
}

}  // namespace myrtleroute::rig
