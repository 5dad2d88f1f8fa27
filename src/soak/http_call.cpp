#include "soak/http_call.hpp"

#include <array>
#include <memory>

#include "soak/timing.hpp"
#include "wire/text.hpp"

namespace myrtleroute::soak {
namespace {

using asio::ip::tcp;

constexpr size_t max_response_body = 32 << 20;

wire::HttpLimits response_limits() {
    wire::HttpLimits limits;
    limits.body = max_response_body;
    return limits;
}

class Call : public std::enable_shared_from_this<Call> {
public:
    Call(asio::io_context& context, HttpCall call)
        : call_(std::move(call)),
          socket_(context),
          timer_(context),
          http_(wire::HttpParser::Side::response, reader_, response_limits()) {}

    void start() {
        after(timer_, call_.timeout.s, [self = shared_from_this()] { self->finish_cut(); });
        socket_.async_connect(address_of(call_.to), [self = shared_from_this()](asio::error_code error) {
            error ? self->finish({}) : self->write();
        });
    }

private:
    void write() {
        if (finished_) return;
        if (call_.on_sending) call_.on_sending();
        asio::async_write(
            socket_, asio::buffer(call_.text),
            [self = shared_from_this()](asio::error_code error, size_t) { error ? self->finish({}) : self->read(); });
    }

    void read() {
        socket_.async_read_some(asio::buffer(buffer_), [self = shared_from_this()](asio::error_code error, size_t n) {
            self->on_read(error, {self->buffer_.data(), n});
        });
    }

    void on_read(asio::error_code error, std::string_view bytes) {
        if (finished_) return;
        http_.feed(bytes);
        if (error == asio::error::eof) http_.connection_closed();
        if (http_.done() && !http_.fault()) return finish(std::move(reader_.reply));
        if (error || http_.fault()) return finish_cut();
        read();
    }

    void finish_cut() {
        auto reply = std::move(reader_.reply);
        reply.begun_status = std::exchange(reply.status, 0);
        finish(std::move(reply));
    }

    void finish(HttpReply reply) {
        if (std::exchange(finished_, true)) return;
        asio::error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
        call_.done(std::move(reply));
    }

    HttpCall call_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    ResponseReader reader_;
    wire::HttpParser http_;
    std::array<char, 16384> buffer_{};
    bool finished_ = false;
};

}   // namespace

int ResponseReader::start(std::string_view, std::string_view code, std::string_view) {
    reply = {};
    reply.status = wire::parse_integer<int>(code).value_or(0);
    return 0;
}

int ResponseReader::field(std::string_view name, std::string_view value) {
    reply.fields.emplace_back(name, value);
    return 0;
}

std::string field_of(const Fields& fields, std::string_view name) {
    for (const auto& [known, value] : fields)
        if (wire::equals_ignore_case(known, name)) return value;
    return {};
}

void start_call(asio::io_context& context, HttpCall call) { std::make_shared<Call>(context, std::move(call))->start(); }

std::string request_text(const std::string& method, const std::string& target, const std::string& host,
                         const Fields& fields, const std::string& body) {
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (const auto& [name, value] : fields) text.append(name).append(": ").append(value).append("\r\n");
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

tcp::endpoint address_of(const Endpoint& endpoint) { return {asio::ip::make_address(endpoint.address), endpoint.port}; }

void reset(tcp::socket& socket) {
    asio::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

}   // namespace myrtleroute::soak
