#include "soak/kept_clients.hpp"

#include <array>
#include <utility>

#include "soak/clients.hpp"
#include "soak/event_stream_check.hpp"
#include "soak/hosts.hpp"
#include "soak/http_call.hpp"
#include "soak/timing.hpp"

namespace myrtleroute::soak {
namespace {

using asio::ip::tcp;

constexpr double mean_request_pause = 0.1;   // seconds between a response and the next request
constexpr double reconnect_delay = 0.05;     // seconds
constexpr double response_timeout = 14;      // seconds for a response
constexpr double reset_check_delay = 1.5;    // seconds after an end without a response; a reset has arrived by then
constexpr int deadline_ms = 12000;
constexpr int cost = 10;                    // tokens
constexpr double slow_share = 0.15;         // of the clients: they read with pauses, into a small buffer
constexpr int slow_receive_buffer = 4096;   // bytes
constexpr double max_read_pause = 0.15;     // seconds, of a slow client
constexpr double resume_share = 0.7;        // of the streams that were cut and may be resumed
constexpr ClientRoute kept_routes[] = {{"/plain/", "idempotent", "plain", true, false, 0.3},
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
          is_slow_(chance_.bernoulli(slow_share)),
          socket_(context),
          timer_(context),
          read_timer_(context),
          http_(wire::HttpParser::Side::response, reader_, {}) {}

    void connect() {
        proxy_ = platform_.pick_proxy();
        socket_.open(tcp::v4());
        if (is_slow_) socket_.set_option(asio::socket_base::receive_buffer_size(slow_receive_buffer));
        socket_.async_connect(address_of(platform_.front(proxy_)), [this](asio::error_code error) {
            if (error) return reconnect();
            socket_.set_option(tcp::no_delay(true));
            send();
        });
    }

private:
    void reconnect() {
        asio::error_code ignored;
        socket_.close(ignored);
        read_timer_.cancel();
        http_.reset();
        after(timer_, reconnect_delay + chance_.exponential(mean_request_pause), [this] { connect(); });
    }

    void send() {
        const auto& route = resume_after_ > 0 ? *route_ : pick_route();
        route_ = &route;
        resumed_after_ = std::exchange(resume_after_, 0);
        request_ = {new_request_id(chance_), kept_tenant, cost, route.repeatable, proxy_};
        Fields fields{{"X-Request-Id", request_.id},
                      {"X-Deadline-Ms", std::to_string(deadline_ms)},
                      {"Authorization", std::string("Token ") + kept_key},
                      {"X-Token-Count", "5,5"}};
        if (resumed_after_ > 0) fields.emplace_back("Last-Event-Id", std::to_string(resumed_after_));
        text_ = request_text("POST", std::string(route.path) + "x", route_host, fields, "{}");
        http_.reset();
        reader_ = {};
        checker_.request_sent(request_, now_());
        after(timer_, response_timeout, [this] { timed_out(); });
        asio::async_write(socket_, asio::buffer(text_), [this](asio::error_code error, size_t) {
            if (error) return unread();
            read();
        });
    }

    const ClientRoute& pick_route() {
        double share = chance_.uniform();
        for (const auto& route : kept_routes) {
            if (share < route.weight) return route;
            share -= route.weight;
        }
        return kept_routes[0];
    }

    void read() {
        socket_.async_read_some(asio::buffer(buffer_), [this](asio::error_code error, size_t n) {
            if (error == asio::error::operation_aborted) return;
            http_.feed({buffer_.data(), n});
            if (http_.done() && !http_.fault()) return response_received();
            if (!error && !http_.fault()) return read_on();
            if (http_.started()) return cut("in the middle of the response");
            if (error != asio::error::eof) return unread();
            after(timer_, reset_check_delay, [this] { check_for_reset(); });
        });
    }

    void read_on() {
        if (!is_slow_) return read();
        after(read_timer_, chance_.between(0, max_read_pause), [this] { read(); });
    }

    bool is_resumable() const { return route_->streams && route_->repeatable; }

    // Returns the number of the last event received.
    int check_events(bool is_complete) {
        const auto& reply = reader_.reply;
        if (!route_->streams || !is_success(reply.status)) return resumed_after_;
        const ExpectedStream expected{request_.id, field_of(reply.fields, "X-Server-Signature"), is_resumable(),
                                      resumed_after_};
        const auto result = check_stream(reply.body, expected, is_complete);
        if (!result.violation.empty()) checker_.stream_violated(request_.id, result.violation, now_());
        return result.last_event;
    }

    void response_received() {
        const auto& reply = reader_.reply;
        check_events(true);
        checker_.response_received(request_.id,
                                   {reply.status, field_of(reply.fields, "X-Request-Id"),
                                    !field_of(reply.fields, "X-Server-Signature").empty(),
                                    route_->streams || is_plain_body(reply.body, request_.id)},
                                   now_());
        if (!http_.keeps_alive()) return reconnect();
        after(timer_, chance_.exponential(mean_request_pause), [this] { send(); });
    }

    // A reset that has arrived since then makes the write fail.
    void check_for_reset() {
        asio::error_code error;
        socket_.write_some(asio::buffer("\n", 1), error);
        if (error) return unread();
        cut("with no response");
    }

    void timed_out() { cut("by the client's timeout"); }

    void cut(const char* how) {
        const int last_event = check_events(false);
        if (is_resumable() && last_event < events_per_stream && chance_.bernoulli(resume_share))
            resume_after_ = last_event;
        checker_.response_cut(request_.id, std::string(how) + ", after event " + std::to_string(last_event), now_());
        reconnect();
    }

    // The proxy has not read the request, so it has accepted no responsibility for it.
    void unread() {
        checker_.request_unread(request_.id, now_());
        reconnect();
    }

    Checker& checker_;
    Platform& platform_;
    lab::RandomStream chance_;
    std::function<double()> now_;
    const bool is_slow_;
    tcp::socket socket_;
    asio::steady_timer timer_, read_timer_;
    ResponseReader reader_;
    wire::HttpParser http_;
    std::array<char, 16384> buffer_{};
    size_t proxy_ = 0;
    SentRequest request_;
    const ClientRoute* route_ = nullptr;
    int resumed_after_ = 0;   // Last-Event-Id of the current request
    int resume_after_ = 0;    // of the next request; 0: it is a new one
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
