#include "soak/relay.hpp"

#include <array>
#include <memory>
#include <utility>

#include "messages/messages.hpp"
#include "soak/http_call.hpp"
#include "soak/timing.hpp"

namespace myrtleroute::soak {

using asio::ip::tcp;

namespace {

constexpr double poll_interval = 0.01;   // seconds

}   // namespace

// An accepted connection and the connection to the node that it is forwarded to.
class Relay::ConnectionPair : public std::enable_shared_from_this<ConnectionPair> {
public:
    ConnectionPair(tcp::socket client, asio::io_context& context, const RelayOptions& options, const RelayRules& rules)
        : options_(options), rules_(rules), client_(std::move(client)), node_(context) {
        for (auto& pipe : pipes_) pipe.timer.emplace(context);
        identified_ = !options_.identify;
    }

    void start() {
        asio::error_code ignored;
        client_.set_option(tcp::no_delay(true), ignored);
        node_.async_connect(address_of(options_.to), [self = shared_from_this()](asio::error_code error) {
            if (error) return self->close();
            asio::error_code unset;
            self->node_.set_option(tcp::no_delay(true), unset);
            self->read(Direction::forward);
            self->read(Direction::backward);
        });
    }

private:
    // State of one direction.
    struct Pipe {
        std::array<char, 16384> buffer{};
        std::string pending;   // received and not yet forwarded
        bool ended = false;    // the source has closed its side
        bool done = false;     // the end was forwarded to the target
        std::optional<asio::steady_timer> timer;
        std::chrono::steady_clock::time_point pending_since{};
    };

    Pipe& pipe(Direction direction) { return pipes_[static_cast<size_t>(direction)]; }
    tcp::socket& source(Direction direction) { return direction == Direction::forward ? client_ : node_; }
    tcp::socket& target(Direction direction) { return direction == Direction::forward ? node_ : client_; }

    void read(Direction direction) {
        auto& from = pipe(direction);
        source(direction).async_read_some(asio::buffer(from.buffer),
                                          [self = shared_from_this(), direction](asio::error_code error, size_t n) {
                                              self->on_read(direction, error, n);
                                          });
    }

    void on_read(Direction direction, asio::error_code error, size_t n) {
        auto& from = pipe(direction);
        if (closed_) return;
        from.ended = bool(error);
        from.pending.append(from.buffer.data(), n);
        from.pending_since = std::chrono::steady_clock::now();
        if (direction == Direction::forward && !identified_) identify({from.buffer.data(), n});
        if (!identified_ && !from.ended) return read(direction);
        forward(direction);
    }

    void identify(std::string_view bytes) {
        first_frame_.feed(bytes);
        const auto json = first_frame_.next();
        if (!json) return;
        identified_ = true;
        connection_ = options_.identify(*json);
    }

    bool is_blocked(Direction direction) const { return connection_ && rules_.is_blocked(*connection_, direction); }

    void forward(Direction direction) {
        auto& from = pipe(direction);
        if (closed_) return;
        if (is_blocked(direction)) return wait_until_unblocked(direction);
        if (direction == Direction::backward && !from.pending.empty() && rules_.resets_response()) return close();
        if (from.pending.empty()) return finish(direction);
        asio::async_write(target(direction), asio::buffer(from.pending),
                          [self = shared_from_this(), direction](asio::error_code error, size_t) {
                              if (error) return self->close();
                              self->on_written(direction);
                          });
    }

    void on_written(Direction direction) {
        auto& from = pipe(direction);
        from.pending.clear();
        from.ended ? finish(direction) : read(direction);
    }

    void wait_until_unblocked(Direction direction) {
        auto& from = pipe(direction);
        if (std::chrono::steady_clock::now() - from.pending_since > blocked_data_timeout) return close();
        after(*from.timer, poll_interval, [self = shared_from_this(), direction] { self->forward(direction); });
    }

    void finish(Direction direction) {
        pipe(direction).done = true;
        asio::error_code ignored;
        target(direction).shutdown(tcp::socket::shutdown_send, ignored);
        if (pipe(Direction::forward).done && pipe(Direction::backward).done) close();
    }

    void close() {
        if (std::exchange(closed_, true)) return;
        for (auto& each : pipes_) each.timer->cancel();
        reset(client_);
        reset(node_);
    }

    const RelayOptions& options_;
    const RelayRules& rules_;
    tcp::socket client_, node_;
    std::array<Pipe, 2> pipes_;   // by direction
    messages::FrameReader first_frame_;
    std::optional<InternalConnection> connection_;
    bool identified_ = false, closed_ = false;
};

Relay::Relay(asio::io_context& context, RelayOptions options, RelayRules rules)
    : context_(context),
      options_(std::move(options)),
      rules_(std::move(rules)),
      acceptor_(context, address_of(options_.at)) {
    accept();
}

void Relay::accept() {
    acceptor_.async_accept([this](asio::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (!error) std::make_shared<ConnectionPair>(std::move(socket), context_, options_, rules_)->start();
        accept();
    });
}

}   // namespace myrtleroute::soak
