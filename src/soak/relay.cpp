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

constexpr double look_again = 0.01;   // seconds

}   // namespace

// A connection that was accepted, and the one that carries it on.
class Relay::Pair : public std::enable_shared_from_this<Pair> {
public:
    Pair(tcp::socket dialer, asio::io_context& context, const RelayOptions& options, const RelayRules& rules)
        : options_(options), rules_(rules), dialer_(std::move(dialer)), node_(context) {
        for (auto& direction : directions_) direction.timer.emplace(context);
        identified_ = !options_.identify;
    }

    void start() {
        asio::error_code ignored;
        dialer_.set_option(tcp::no_delay(true), ignored);
        node_.async_connect(address_of(options_.to), [self = shared_from_this()](asio::error_code error) {
            if (error) return self->drop();
            asio::error_code unset;
            self->node_.set_option(tcp::no_delay(true), unset);
            self->read(Way::there);
            self->read(Way::back);
        });
    }

private:
    // What goes one way.
    struct Direction {
        std::array<char, 16384> buffer{};
        std::string held;     // has come and has not been passed on
        bool ended = false;   // nothing comes behind it
        bool done = false;    // and the other side knows
        std::optional<asio::steady_timer> timer;
        std::chrono::steady_clock::time_point held_since{};
    };

    Direction& direction(Way way) { return directions_[static_cast<size_t>(way)]; }
    tcp::socket& source(Way way) { return way == Way::there ? dialer_ : node_; }
    tcp::socket& target(Way way) { return way == Way::there ? node_ : dialer_; }

    void read(Way way) {
        auto& from = direction(way);
        source(way).async_read_some(
            asio::buffer(from.buffer),
            [self = shared_from_this(), way](asio::error_code error, size_t n) { self->came(way, error, n); });
    }

    void came(Way way, asio::error_code error, size_t n) {
        auto& from = direction(way);
        if (dropped_) return;
        from.ended = bool(error);
        from.held.append(from.buffer.data(), n);
        from.held_since = std::chrono::steady_clock::now();
        if (way == Way::there && !identified_) identify({from.buffer.data(), n});
        if (!identified_ && !from.ended) return read(way);
        pass(way);
    }

    void identify(std::string_view bytes) {
        first_frame_.feed(bytes);
        const auto json = first_frame_.next();
        if (!json) return;
        identified_ = true;
        link_ = options_.identify(*json);
    }

    bool is_held(Way way) const { return link_ && rules_.holds(*link_, way); }

    void pass(Way way) {
        auto& from = direction(way);
        if (dropped_) return;
        if (is_held(way)) return wait(way);
        if (way == Way::back && !from.held.empty() && rules_.loses_answer()) return drop();
        if (from.held.empty()) return end(way);
        asio::async_write(target(way), asio::buffer(from.held),
                          [self = shared_from_this(), way](asio::error_code error, size_t) {
                              if (error) return self->drop();
                              self->passed(way);
                          });
    }

    void passed(Way way) {
        auto& from = direction(way);
        from.held.clear();
        from.ended ? end(way) : read(way);
    }

    void wait(Way way) {
        auto& from = direction(way);
        if (std::chrono::steady_clock::now() - from.held_since > given_up_after) return drop();
        after(*from.timer, look_again, [self = shared_from_this(), way] { self->pass(way); });
    }

    void end(Way way) {
        direction(way).done = true;
        asio::error_code ignored;
        target(way).shutdown(tcp::socket::shutdown_send, ignored);
        if (direction(Way::there).done && direction(Way::back).done) drop();
    }

    void drop() {
        if (std::exchange(dropped_, true)) return;
        for (auto& each : directions_) each.timer->cancel();
        reset(dialer_);
        reset(node_);
    }

    const RelayOptions& options_;
    const RelayRules& rules_;
    tcp::socket dialer_, node_;
    std::array<Direction, 2> directions_;   // by way
    messages::FrameReader first_frame_;
    std::optional<Link> link_;
    bool identified_ = false, dropped_ = false;
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
        if (!error) std::make_shared<Pair>(std::move(socket), context_, options_, rules_)->start();
        accept();
    });
}

}   // namespace myrtleroute::soak
