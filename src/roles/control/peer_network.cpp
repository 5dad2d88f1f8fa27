#include "roles/control/peer_network.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

#include "roles/log.hpp"

namespace myrtleroute::control {
namespace {

using asio::ip::tcp;
using std::chrono::steady_clock;

constexpr int unacknowledged_ms = 1500;   // then the other end counts as dead
constexpr std::chrono::milliseconds redial_after{100};
// A connection that does not come up is given up after this, longer each time until one does: a machine that starts a moment
// later than this one says nothing, and the system tries again only after a second.
constexpr std::chrono::milliseconds least_connect_within{200}, most_connect_within{1000};

void set_options(tcp::socket& socket) {
    asio::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const int on = 1, idle_s = 2, interval_s = 1, count = 2;
    const int fd = socket.native_handle();
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms, sizeof unacknowledged_ms);
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
    if (queued_bytes_ > most_queued) {
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
            const auto number = next_link_++;
            auto connection = std::make_shared<FramedConnection>(std::move(socket));
            connection->on_message = [this, number](const messages::Message& message, steady_clock::time_point began) {
                events_.received(number, message, began);
            };
            connection->on_overflow = [this] {
                ++slow_readers_;
            };
            connection->on_closed = [this, number] {
                links_.erase(number);
                events_.connection_closed(number);
            };
            links_[number] = connection;
            connection->start();
        }
        accept();
    });
}

void PeerNetwork::keep_connected(const std::vector<Endpoint>& peers) {
    const auto now = steady_clock::now();
    for (auto it = dialed_.begin(); it != dialed_.end();) {
        const bool wanted = std::find(peers.begin(), peers.end(), it->first) != peers.end();
        if (!wanted && it->second.connection) it->second.connection->close();
        it = wanted ? std::next(it) : dialed_.erase(it);
    }
    for (const auto& peer : peers) {
        auto& dialed = dialed_[peer];
        if (dialed.connection && !dialed.up && now > dialed.give_up) {
            dialed.connection->close();
            dialed.connection.reset();
            dialed.connect_within = std::min(dialed.connect_within * 2, most_connect_within);
        }
        if (!dialed.connection && now >= dialed.next_try) dial(peer, dialed);
    }
}

void PeerNetwork::dial(const Endpoint& peer, Dialed& dialed) {
    dialed.next_try = steady_clock::now() + redial_after;
    dialed.connect_within = std::max(dialed.connect_within, least_connect_within);
    dialed.give_up = steady_clock::now() + dialed.connect_within;
    dialed.up = false;
    auto connection = std::make_shared<FramedConnection>(tcp::socket(context_));
    dialed.connection = connection;
    connection->on_overflow = [this] {
        ++slow_readers_;
    };
    connection->on_closed = [this, peer, raw = connection.get()] {
        const auto it = dialed_.find(peer);
        if (it == dialed_.end() || it->second.connection.get() != raw) return;
        it->second.connection.reset();
        log_info() << "lost the control node at " << peer.text();
    };
    connection->socket().async_connect(address(peer), [this, peer, connection](asio::error_code error) {
        const auto it = dialed_.find(peer);
        if (it == dialed_.end() || it->second.connection != connection) return;
        if (error) {
            connection->close();
            it->second.connection.reset();
            return;
        }
        it->second.up = true;
        it->second.connect_within = least_connect_within;
        log_info() << "connected to the control node at " << peer.text();
        connection->start();
        events_.connected(peer);
    });
}

void PeerNetwork::send(const Endpoint& peer, const messages::Message& message) {
    const auto it = dialed_.find(peer);
    if (it != dialed_.end() && it->second.up && it->second.connection) it->second.connection->send(message);
}

void PeerNetwork::send(ConnectionId link, const messages::Message& message) {
    const auto it = links_.find(link);
    if (it == links_.end()) return;
    const auto connection = it->second;   // sending may close it
    connection->send(message);
}

}   // namespace myrtleroute::control
