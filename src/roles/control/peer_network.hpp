// TCP connections between control nodes and proxies: accepted ones, and the ones that this node keeps to its peers.
#pragma once
#include <asio.hpp>

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "messages/messages.hpp"
#include "roles/control/outputs.hpp"

namespace myrtleroute::control {

// A connection that carries framed messages.
class FramedConnection : public std::enable_shared_from_this<FramedConnection> {
public:
    // The connection is closed beyond this: its reader is too slow.
    static constexpr size_t max_queued_bytes = 40 << 20;

    explicit FramedConnection(asio::ip::tcp::socket socket) : socket_(std::move(socket)) {}
    std::function<void(const messages::Message&, std::chrono::steady_clock::time_point began)>
        on_message;                      // `began`: when the message's bytes started to be read
    std::function<void()> on_overflow;   // called before `on_closed`
    std::function<void()> on_closed;

    void start();   // the socket must be connected
    void send(const messages::Message& message);
    void close();
    asio::ip::tcp::socket& socket() { return socket_; }

private:
    void read();
    void write();
    void closed();

    asio::ip::tcp::socket socket_;
    messages::FrameReader reader_;
    std::array<char, 16384> buffer_;
    std::deque<std::string> queue_;
    size_t queued_bytes_ = 0;
    bool writing_ = false, closed_ = false;
};

class PeerNetwork {
public:
    struct Events {
        // `began`: when the message's bytes started to be read.
        std::function<void(ConnectionId, const messages::Message&, std::chrono::steady_clock::time_point began)>
            received;
        std::function<void(ConnectionId)> connection_closed;
        std::function<void(const Endpoint&)> connected;
    };
    PeerNetwork(asio::io_context& context, Events events)
        : context_(context), acceptor_(context), events_(std::move(events)) {}

    void listen(const Endpoint& at);                           // throws asio::system_error
    void keep_connected(const std::vector<Endpoint>& peers);   // called at every tick; reconnects and drops as needed
    void send(const Endpoint& peer, const messages::Message& message);
    void send(ConnectionId id, const messages::Message& message);
    // Connections closed since the start because their reader was too slow.
    uint64_t slow_readers() const { return slow_readers_; }

private:
    struct Outgoing {
        std::shared_ptr<FramedConnection> connection;
        bool connected = false;
        std::chrono::steady_clock::time_point next_attempt{}, deadline{};
        std::chrono::milliseconds connect_timeout{};   // of the current or last attempt
    };
    void accept();
    void connect(const Endpoint& peer, Outgoing& outgoing);

    asio::io_context& context_;
    asio::ip::tcp::acceptor acceptor_;
    Events events_;
    std::map<ConnectionId, std::shared_ptr<FramedConnection>> accepted_;
    std::map<Endpoint, Outgoing> outgoing_;
    ConnectionId next_id_ = 1;
    uint64_t slow_readers_ = 0;
};

}   // namespace myrtleroute::control
