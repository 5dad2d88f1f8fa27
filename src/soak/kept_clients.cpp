#include "soak/kept_clients.hpp"

#include <array>
#include <utility>

#include "soak/clients.hpp"
#include "soak/hosts.hpp"
#include "soak/http_call.hpp"
#include "soak/timing.hpp"

namespace myrtleroute::soak {
namespace {

using asio::ip::tcp;

constexpr double mean_pause = 0.1;         // seconds between an answer and the next request
constexpr double reconnect_after = 0.05;   // seconds
constexpr double patience = 14;            // seconds for an answer
constexpr double looked_at_after = 1.5;    // seconds behind an end without an answer: a reset has come by then
constexpr int deadline_ms = 12000;
constexpr int cost = 10;   // tokens
constexpr RouteUse asked_for[] = {{"/plain/", "idempotent", "plain", true, false, 0.3},
                                  {"/once/", "non_idempotent", "plain", false, false, 0.2},
                                  {"/long/", "streaming", "model", true, true, 0.5}};

}   // namespace

class KeptClients::Client {
public:
    Client(asio::io_context& context, Checker& checker, Platform& platform, uint64_t seed, uint64_t number,
           std::function<double()> now)
        : checker_(checker),
          platform_(platform),
          chance_(seed, 0x6b657074 + number),
          now_(std::move(now)),
          socket_(context),
          timer_(context),
          http_(wire::HttpParser::Side::response, reader_, {}) {}

    void connect() {
        proxy_ = platform_.pick_proxy();
        socket_.async_connect(address_of(platform_.front(proxy_)), [this](asio::error_code error) {
            if (error) return connect_again();
            socket_.set_option(tcp::no_delay(true));
            send();
        });
    }

private:
    void connect_again() {
        asio::error_code ignored;
        socket_.close(ignored);
        http_.next();
        after(timer_, reconnect_after + chance_.exponential(mean_pause), [this] { connect(); });
    }

    void send() {
        const auto& route = pick();
        request_ = {new_request_id(chance_), kept_tenant, cost, route.repeatable, proxy_};
        streams_ = route.streams;
        const Fields fields{{"X-Request-Id", request_.id},
                            {"X-Deadline-Ms", std::to_string(deadline_ms)},
                            {"Authorization", std::string("Token ") + kept_key},
                            {"X-Token-Count", "5,5"}};
        text_ = request_text("POST", std::string(route.path) + "x", route_host, fields, "{}");
        http_.next();
        reader_ = {};
        checker_.sent(request_, now_());
        after(timer_, patience, [this] { timed_out(); });
        asio::async_write(socket_, asio::buffer(text_), [this](asio::error_code error, size_t) {
            if (error) return unread();
            read();
        });
    }

    const RouteUse& pick() {
        double share = chance_.uniform();
        for (const auto& route : asked_for) {
            if (share < route.weight) return route;
            share -= route.weight;
        }
        return asked_for[0];
    }

    void read() {
        socket_.async_read_some(asio::buffer(buffer_), [this](asio::error_code error, size_t n) {
            if (error == asio::error::operation_aborted) return;
            http_.feed({buffer_.data(), n});
            if (http_.done() && !http_.fault()) return answered();
            if (!error && !http_.fault()) return read();
            if (http_.started()) return cut("in the middle of the answer");
            if (error != asio::error::eof) return unread();
            after(timer_, looked_at_after, [this] { look_at_end(); });
        });
    }

    void answered() {
        const auto& reply = reader_.reply;
        checker_.got(
            request_.id,
            {reply.status, field_of(reply.fields, "X-Request-Id"),
             !field_of(reply.fields, "X-Server-Signature").empty(), is_whole_body(reply.body, request_.id, streams_)},
            now_());
        if (!http_.keeps_alive()) return connect_again();
        after(timer_, chance_.exponential(mean_pause), [this] { send(); });
    }

    // A reset that has come since makes the write fail.
    void look_at_end() {
        asio::error_code error;
        socket_.write_some(asio::buffer("\n", 1), error);
        if (error) return unread();
        cut("with no answer");
    }

    void timed_out() { cut("by the client, which has waited long enough,"); }

    void cut(const char* how) {
        checker_.cut(request_.id, how, now_());
        connect_again();
    }

    // The proxy has not read it: nothing was promised.
    void unread() {
        checker_.unread(request_.id, now_());
        connect_again();
    }

    Checker& checker_;
    Platform& platform_;
    lab::RandomStream chance_;
    std::function<double()> now_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    ResponseReader reader_;
    wire::HttpParser http_;
    std::array<char, 16384> buffer_{};
    size_t proxy_ = 0;
    Sent request_;
    bool streams_ = false;
    std::string text_;
};

KeptClients::KeptClients(asio::io_context& context, Checker& checker, Platform& platform, size_t count, uint64_t seed,
                         const std::function<double()>& now) {
    for (size_t number = 0; number < count; ++number)
        clients_.push_back(std::make_unique<Client>(context, checker, platform, seed, number, now));
}

KeptClients::~KeptClients() = default;

void KeptClients::start() {
    for (auto& client : clients_) client->connect();
}

}   // namespace myrtleroute::soak
