#include "roles/control/peer_network.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

#include "roles/log.hpp"

namespace myrtleroute::control {
namespace {

using asio::ip::tcp;
using std::chrono::steady_clock;

constexpr int user_timeout_ms = 1500;   // unacknowledged data for this long: the connection counts as dead
constexpr std::chrono::milliseconds reconnect_delay{100};
// Timeout of a connection attempt; it doubles with each failure, up to the maximum. A machine that starts slightly
// later than this one does not answer the first SYN, and the kernel retransmits it only after a second.
constexpr std::chrono::milliseconds min_connect_timeout{200}, max_connect_timeout{1000};

void set_options(tcp::socket& socket) {
    asio::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const int on = 1, idle_s = 2, interval_s = 1, count = 2;
    const int fd = socket.native_handle();
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
    ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof count);
}

tcp::endpoint address(const Endpoint& at) { return {asio::ip::make_address(at.address), at.port}; }

}   // namespace

void FramedConnection::start() {
    set_options(socket_);
    read();
}

void FramedConnection::read() {
    socket_.async_read_some(asio::buffer(buffer_), [self = shared_from_this()](asio::error_code error, size_t n) {
        if (self->closed_) return;
        if (error) return self->closed();
        self->reader_.feed({self->buffer_.data(), n});
        while (auto json = self->reader_.next()) {
            const auto began = steady_clock::now();
            auto message = messages::decode(*json);
            if (message && self->on_message) self->on_message(*message, began);
            if (self->closed_) return;
        }
        if (self->reader_.frame_too_long()) return self->closed();
        self->read();
    });
}

void FramedConnection::send(const messages::Message& message) {
    if (closed_) return;
    auto bytes = messages::frame(messages::encode(message));
    queued_bytes_ += bytes.size();
    if (queued_bytes_ > max_queued_bytes) {
        if (on_overflow) on_overflow();
        return closed();
    }
    queue_.push_back(std::move(bytes));
    if (!writing_) write();
}

void FramedConnection::write() {
    writing_ = true;
    std::vector<asio::const_buffer> buffers;
    for (const auto& bytes : queue_) buffers.push_back(asio::buffer(bytes));
    const size_t count = queue_.size();
    asio::async_write(socket_, buffers, [self = shared_from_this(), count](asio::error_code error, size_t) {
        self->writing_ = false;
        if (self->closed_) return;
        if (error) return self->closed();
        for (size_t i = 0; i < count; ++i) {
            self->queued_bytes_ -= self->queue_.front().size();
            self->queue_.pop_front();
        }
        if (!self->queue_.empty()) self->write();
    });
}

void FramedConnection::close() {
    closed_ = true;
    asio::error_code ignored;
    socket_.close(ignored);
}

void FramedConnection::closed() {
    if (closed_) return;
    close();
    if (on_closed) on_closed();
}

void PeerNetwork::listen(const Endpoint& at) {
    acceptor_.open(tcp::v4());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(address(at));
    acceptor_.listen(512);
    accept();
}

void PeerNetwork::accept() {
    acceptor_.async_accept([this](asio::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (!error) {
            const auto number = next_id_++;
            auto connection = std::make_shared<FramedConnection>(std::move(socket));
            connection->on_message = [this, number](const messages::Message& message, steady_clock::time_point began) {
                events_.received(number, message, began);
            };
            connection->on_overflow = [this] {
                ++slow_readers_;
            };
            connection->on_closed = [this, number] {
                accepted_.erase(number);
                events_.connection_closed(number);
            };
            accepted_[number] = connection;
            connection->start();
        }
        accept();
    });
}

void PeerNetwork::keep_connected(const std::vector<Endpoint>& peers) {
    const auto now = steady_clock::now();
    for (auto it = outgoing_.begin(); it != outgoing_.end();) {
        const bool wanted = std::find(peers.begin(), peers.end(), it->first) != peers.end();
        if (!wanted && it->second.connection) it->second.connection->close();
        it = wanted ? std::next(it) : outgoing_.erase(it);
    }
    for (const auto& peer : peers) {
        auto& outgoing = outgoing_[peer];
        if (outgoing.connection && !outgoing.connected && now > outgoing.deadline) {
            outgoing.connection->close();
            outgoing.connection.reset();
            outgoing.connect_timeout = std::min(outgoing.connect_timeout * 2, max_connect_timeout);
        }
        if (!outgoing.connection && now >= outgoing.next_attempt) connect(peer, outgoing);
    }
}

void PeerNetwork::connect(const Endpoint& peer, Outgoing& outgoing) {
    outgoing.next_attempt = steady_clock::now() + reconnect_delay;
    outgoing.connect_timeout = std::max(outgoing.connect_timeout, min_connect_timeout);
    outgoing.deadline = steady_clock::now() + outgoing.connect_timeout;
    outgoing.connected = false;
    auto connection = std::make_shared<FramedConnection>(tcp::socket(context_));
    outgoing.connection = connection;
    connection->on_overflow = [this] {
        ++slow_readers_;
    };
    connection->on_closed = [this, peer, raw = connection.get()] {
        const auto it = outgoing_.find(peer);
        if (it == outgoing_.end() || it->second.connection.get() != raw) return;
        it->second.connection.reset();
        log_info() << "lost the control node at " << peer.text();
    };
    connection->socket().async_connect(address(peer), [this, peer, connection](asio::error_code error) {
        const auto it = outgoing_.find(peer);
        if (it == outgoing_.end() || it->second.connection != connection) return;
        if (error) {
            connection->close();
            it->second.connection.reset();
            return;
        }
        it->second.connected = true;
        it->second.connect_timeout = min_connect_timeout;
        log_info() << "connected to the control node at " << peer.text();
        connection->start();
        events_.connected(peer);
    });
}

void PeerNetwork::send(const Endpoint& peer, const messages::Message& message) {
    const auto it = outgoing_.find(peer);
    if (it != outgoing_.end() && it->second.connected && it->second.connection) it->second.connection->send(message);
}

void PeerNetwork::send(ConnectionId id, const messages::Message& message) {
    const auto it = accepted_.find(id);
    if (it == accepted_.end()) return;
    const auto connection = it->second;   // keeps it alive: sending may close it and remove it from the map
    connection->send(message);
}

}   // namespace myrtleroute::control
