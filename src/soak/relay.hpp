// A TCP relay in front of a port of a control node: it listens on the node's advertised address and forwards to the
// address on which the node listens. Bytes that a cut blocks are buffered. Like an operating system that gives up on
// unacknowledged data, the relay resets a connection whose bytes have been blocked for `blocked_data_timeout`.
#pragma once
#include <asio.hpp>

#include <functional>
#include <optional>
#include <string>

#include "base/endpoint.hpp"
#include "soak/plan.hpp"

namespace myrtleroute::soak {

constexpr std::chrono::milliseconds blocked_data_timeout{1500};

// The faults that currently affect connections.
struct RelayRules {
    std::function<bool(const InternalConnection&, Direction)> is_blocked;   // bytes in this direction are held back
    std::function<bool()> resets_response;   // called for each piece of data sent backward; true resets the connection
};

struct RelayOptions {
    Endpoint at, to;
    // Identifies the node that opened a connection from its first frame. Empty for ports that do not carry frames; cuts
    // do not affect those.
    std::function<std::optional<InternalConnection>(const std::string& json)> identify;
};

class Relay {
public:
    // Starts listening; throws asio::system_error on failure.
    Relay(asio::io_context& context, RelayOptions options, RelayRules rules);

private:
    class ConnectionPair;
    void accept();

    asio::io_context& context_;
    RelayOptions options_;
    RelayRules rules_;
    asio::ip::tcp::acceptor acceptor_;
};

}   // namespace myrtleroute::soak
