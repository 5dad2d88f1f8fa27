#include "soak/hosts.hpp"

#include <array>
#include <charconv>
#include <utility>

#include "soak/event_stream_check.hpp"
#include "soak/http_call.hpp"
#include "soak/timing.hpp"
#include "wire/http.hpp"
#include "wire/text.hpp"

namespace myrtleroute::soak {
namespace {

using asio::ip::tcp;

constexpr double min_response_delay = 0.005, max_response_delay = 0.06;   // seconds, also before each event of a stream
constexpr double max_event_delay = 0.55;                                  // seconds, before each event of a long stream
constexpr double killed_reset_share = 0.3;            // of the connections of a killed process: those with unread bytes
constexpr double whole_write_share = 0.5;             // of the events that are sent whole and alone
constexpr std::string_view long_streams = "/long/";   // path prefix of long streams
constexpr size_t max_request_body = 1 << 20;
constexpr const char* body_end = " end\n";

std::string plain_body(const std::string& request_id) { return request_id + body_end; }

std::string chunk(const std::string& bytes) {
    std::array<char, 20> size{};
    const auto [end, error] = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
    return std::string(size.data(), end) + "\r\n" + bytes + "\r\n";
}

struct RequestReader : wire::HttpHandler {
    int start(std::string_view, std::string_view path, std::string_view) override {
        target = path;
        fields.clear();
        return 0;
    }
    int field(std::string_view name, std::string_view value) override {
        fields.emplace_back(name, value);
        return 0;
    }
    void body(std::string_view) override {}
    std::string target;
    Fields fields;
};

wire::HttpLimits request_limits() {
    wire::HttpLimits limits;
    limits.body = max_request_body;
    return limits;
}

}   // namespace

bool is_plain_body(const std::string& body, const std::string& request_id) { return body == plain_body(request_id); }

// A connection from a proxy; it serves one request at a time.
class Host::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(tcp::socket socket, Host& host)
        : host_(host),
          socket_(std::move(socket)),
          timer_(host.context_),
          open_(host.connections_),
          http_(wire::HttpParser::Side::request, reader_, request_limits()) {
        open_->insert(this);
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection() { open_->erase(this); }

    void read() {
        socket_.async_read_some(asio::buffer(buffer_), [self = shared_from_this()](asio::error_code error, size_t n) {
            if (error) return reset(self->socket_);
            self->unread_.append(self->buffer_.data(), n);
            self->process_input();
        });
    }

    // Closes the connection: in order, or by a reset.
    void end(bool by_reset = false) {
        asio::error_code ignored;
        by_reset ? reset(socket_) : static_cast<void>(socket_.close(ignored));
        timer_.cancel();
        set_running(false);
    }

private:
    void process_input() {
        unread_.erase(0, http_.feed(unread_));
        if (http_.fault()) return reset(socket_);
        if (!http_.done()) return read();
        http_.reset();
        handle();
    }

    void handle() {
        const auto& options = host_.options_;
        is_unframed_ = false;
        const auto expected = field_of(reader_.fields, "X-Expected-Instance");
        if (!expected.empty() && expected != host_.id_) return answer(421, "X-Not-Executed: 1\r\n", "{}");
        if (reader_.target == "/report") return send_report();
        if (reader_.target == "/health") return answer(200, "", "{}");
        if (host_.running_ >= options.capacity) return answer(503, "X-Not-Executed: 1\r\n", "{}");
        run();
    }

    void run() {
        request_id_ = field_of(reader_.fields, "X-Request-Id");
        signature_ = host_.id_ + "." + std::to_string(++host_.requests_run_);
        is_unframed_ = host_.chance_.bernoulli(host_.options_.unframed_share);
        host_.events_.request_started(request_id_, field_of(reader_.fields, "X-Tenant-Id"));
        set_running(true);
        // This host may continue a stream after the last event that the client has received.
        last_event_ = wire::parse_integer<int>(field_of(reader_.fields, "Last-Event-Id")).value_or(0);
        after_random_delay([this] {
            if (host_.options_.streams) return begin_stream();
            finish([this] { answer(200, "", plain_body(request_id_)); });
        });
    }

    void begin_stream() {
        const std::string framing = is_unframed_ ? "Connection: close\r\n" : "Transfer-Encoding: chunked\r\n";
        held_back_.clear();
        write(head(200, "Content-Type: text/event-stream\r\n" + framing), [this] { next_event(); });
    }

    void next_event() {
        if (last_event_ >= events_per_stream) return finish([this] { end_stream(); });
        if (host_.events_.breaks_stream()) {
            set_running(false);
            return reset(socket_);
        }
        const auto event = stream_event(request_id_, signature_, ++last_event_);
        held_back_ += is_unframed_ ? event : chunk(event);
        write(take_random_part(), [this] { after_random_delay([this] { next_event(); }); });
    }

    // Half of the time everything, else the bytes up to any position, so that events are split and joined.
    std::string take_random_part() {
        const bool is_whole = host_.chance_.bernoulli(whole_write_share);
        const auto size = static_cast<int>(held_back_.size());
        const auto length = static_cast<size_t>(is_whole ? size : host_.chance_.below(size + 1));
        auto part = held_back_.substr(0, length);
        held_back_.erase(0, length);
        return part;
    }

    void end_stream() {
        if (is_unframed_) return write(held_back_, [this] { end(); });
        write(held_back_ + "0\r\n\r\n", [this] { process_input(); });
    }

    // The request is finished: sends the response, or resets the connection if the response is to be dropped.
    template <class Send>
    void finish(Send send) {
        set_running(false);
        if (host_.events_.drops_response()) return reset(socket_);
        send();
    }

    template <class Then>
    void after_random_delay(Then then) {
        const bool is_long = reader_.target.starts_with(long_streams);
        after(timer_, host_.chance_.between(min_response_delay, is_long ? max_event_delay : max_response_delay),
              [self = shared_from_this(), then] { then(); });
    }

    // Reports don't name the instance.
    void send_report() {
        const auto body = report();
        write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
              [this] { process_input(); });
    }

    std::string report() const {
        return R"({"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,)"
               R"("kvUsed":0,"kvTotal":1000000,"handles":0,"running":)" +
               std::to_string(host_.running_) + "}";
    }

    // Status line and header fields of a response, with the empty line after them.
    std::string head(int status, const std::string& more) const {
        const auto& options = host_.options_;
        std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\nX-Instance-Id: " + host_.id_ +
                           "\r\nX-Instance-Load: " + std::to_string(host_.running_) + ",0," +
                           std::to_string(options.capacity) + "\r\n";
        const auto id = field_of(reader_.fields, "X-Request-Id");
        if (!id.empty()) text += "X-Request-Id: " + id + "\r\nX-Server-Signature: " + signature_ + "\r\n";
        return text + more + "\r\n";
    }

    void answer(int status, const std::string& more, const std::string& body) {
        if (is_unframed_) return write(head(status, more + "Connection: close\r\n") + body, [this] { end(); });
        write(head(status, more + "Content-Length: " + std::to_string(body.size()) + "\r\n") + body,
              [this] { process_input(); });
    }

    template <class Then>
    void write(std::string text, Then then) {
        out_ = std::move(text);
        asio::async_write(socket_, asio::buffer(out_),
                          [self = shared_from_this(), then](asio::error_code error, size_t) {
                              if (!error) return then();
                              self->set_running(false);   // the proxy has disconnected: the stream is abandoned
                              reset(self->socket_);
                          });
    }

    void set_running(bool runs) {
        if (std::exchange(counted_, runs) != runs) host_.running_ += runs ? 1 : -1;
    }

    Host& host_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    std::shared_ptr<std::set<Connection*>> open_;   // outlives the host, as the connection may do
    RequestReader reader_;
    wire::HttpParser http_;
    std::array<char, 8192> buffer_{};
    std::string unread_, out_, request_id_, signature_;
    std::string held_back_;      // bytes of the stream that are sent with a later event
    bool is_unframed_ = false;   // the response has no length
    int last_event_ = 0;         // number of the last event sent
    bool counted_ = false;       // the current request is counted in Host::running_
};

Host::Host(asio::io_context& context, HostOptions options, HostEvents events)
    : context_(context),
      options_(std::move(options)),
      events_(std::move(events)),
      chance_(options_.seed, 0x686f7374),
      acceptor_(context),
      timer_(context) {
    listen();
}

void Host::listen() {
    id_ = options_.id + (runs_ ? "-run" + std::to_string(runs_) : "");
    ++runs_;
    const auto address = address_of(options_.address);
    acceptor_.open(address.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(address);
    acceptor_.listen();
    accept();
    send_heartbeats();
}

void Host::kill() {
    asio::error_code ignored;
    acceptor_.close(ignored);
    timer_.cancel();
    for (auto* connection : std::set(*connections_)) connection->end(chance_.bernoulli(killed_reset_share));
}

void Host::restart() {
    if (!acceptor_.is_open()) listen();
}

void Host::accept() {
    acceptor_.async_accept([this](asio::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
        asio::error_code ignored;
        if (!error) {
            socket.set_option(tcp::no_delay(true), ignored);
            std::make_shared<Connection>(std::move(socket), *this)->read();
        }
        accept();
    });
}

void Host::send_heartbeats() {
    send_heartbeat(control_, options_.controls.size());
    after(timer_, options_.heartbeat * chance_.between(0.9, 1.1), [this] { send_heartbeats(); });
}

// Sends a heartbeat; if it is not acknowledged, tries the next control node, up to `tries` nodes in all.
void Host::send_heartbeat(size_t control, size_t tries) {
    if (!acceptor_.is_open()) return;   // killed meanwhile
    const auto body = R"({"service":")" + options_.service + R"(","address":")" + options_.address.text() +
                      R"(","zone":")" + options_.zone + R"(","version":"v1","state":"ready","coldRemainingMs":0,)" +
                      R"("capacity":)" + std::to_string(options_.capacity) + R"(,"sequence":)" +
                      std::to_string(++sequence_) + "}";
    const auto& to = options_.controls[control];
    const auto text = request_text("PUT", "/instances/" + id_, to.text(),
                                   {{"Content-Type", "application/json"}, {"Connection", "close"}}, body);
    start_call(context_, {to, text, Span{1}, {}, [this, control, tries](const HttpReply& reply) {
                              control_ = control;
                              if (reply.status == 200 || tries <= 1) return;
                              send_heartbeat((control + 1) % options_.controls.size(), tries - 1);
                          }});
}

}   // namespace myrtleroute::soak
