// A relay before a port of a control node: it listens where the node is reached by others, and forwards to where it
// listens itself. Bytes that a cut holds up wait; as a system gives up data that nobody acknowledges, the relay resets a
// connection whose bytes have waited for `given_up_after`.
#pragma once
#include <asio.hpp>

#include <functional>
#include <optional>
#include <string>

#include "base/endpoint.hpp"
#include "soak/plan.hpp"

namespace myrtleroute::soak {

constexpr std::chrono::milliseconds blocked_data_timeout{1500};

// What befalls connections at this moment.
struct RelayRules {
    std::function<bool(const InternalConnection&, Direction)> is_blocked;   // the bytes that go this way wait
    std::function<bool()> resets_response;   // asked for each piece that comes back: the connection is reset
};

struct RelayOptions {
    Endpoint at, to;
    // Tells from the first frame on a connection who has dialed; empty for ports that don't carry frames, which no cut
    // concerns.
    std::function<std::optional<InternalConnection>(const std::string& json)> identify;
};

class Relay {
public:
    // Listens at once; throws asio::system_error where it can't.
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
