// Connections between processes of the system: those opened to this node and those that it keeps to its peers.
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
    static constexpr size_t most_queued = 40 << 20;   // bytes; a reader that slow is given up

    explicit FramedConnection(asio::ip::tcp::socket socket) : socket_(std::move(socket)) {}
    std::function<void(const messages::Message&, std::chrono::steady_clock::time_point began)>
        on_message;                      // to be read
    std::function<void()> on_overflow;   // before `on_closed`
    std::function<void()> on_closed;

    void start();   // the socket is connected
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
        // `began`: when the message's bytes began to be read.
        std::function<void(ConnectionId, const messages::Message&, std::chrono::steady_clock::time_point began)>
            received;
        std::function<void(ConnectionId)> connection_closed;
        std::function<void(const Endpoint&)> connected;
    };
    PeerNetwork(asio::io_context& context, Events events)
        : context_(context), acceptor_(context), events_(std::move(events)) {}

    void listen(const Endpoint& at);                           // throws asio::system_error
    void keep_connected(const std::vector<Endpoint>& peers);   // called again and again
    void send(const Endpoint& peer, const messages::Message& message);
    void send(ConnectionId link, const messages::Message& message);
    uint64_t slow_readers() const { return slow_readers_; }   // connections given up since the start

private:
    struct Dialed {
        std::shared_ptr<FramedConnection> connection;
        bool up = false;
        std::chrono::steady_clock::time_point next_try{}, give_up{};
        std::chrono::milliseconds connect_within{};   // of the attempt under way, or the last one
    };
    void accept();
    void dial(const Endpoint& peer, Dialed& dialed);

    asio::io_context& context_;
    asio::ip::tcp::acceptor acceptor_;
    Events events_;
    std::map<ConnectionId, std::shared_ptr<FramedConnection>> links_;
    std::map<Endpoint, Dialed> dialed_;
    ConnectionId next_link_ = 1;
    uint64_t slow_readers_ = 0;
};

}   // namespace myrtleroute::control
