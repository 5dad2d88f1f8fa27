#include "soak/hosts.hpp"

#include <array>
#include <charconv>
#include <utility>

#include "soak/http_call.hpp"
#include "soak/timing.hpp"
#include "wire/http.hpp"
#include "wire/text.hpp"

namespace myrtleroute::soak {
namespace {

using asio::ip::tcp;

constexpr double shortest_answer = 0.005, longest_answer = 0.06;   // seconds; for an event of a stream as well
constexpr double longest_event = 1.25;                             // of a long stream
constexpr std::string_view long_streams = "/long/";                // their path
constexpr size_t most_request = 1 << 20;
constexpr const char* ending = " end\n";

std::string plain_body(const std::string& request_id) { return request_id + ending; }

std::string event(const std::string& request_id, int number) {
    return "id: " + std::to_string(number) + "\ndata: " + request_id + "\n\n";
}

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
    limits.body = most_request;
    return limits;
}

}   // namespace

bool is_whole_body(const std::string& body, const std::string& request_id, bool streams) {
    if (!streams) return body == plain_body(request_id);
    std::string whole;
    for (int number = 1; number <= events_of_stream; ++number) whole += event(request_id, number);
    return body == whole;
}

// A connection of a proxy; one request at a time.
class Host::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(tcp::socket socket, Host& host)
        : host_(host),
          socket_(std::move(socket)),
          timer_(host.context_),
          http_(wire::HttpParser::Side::request, reader_, request_limits()) {}

    void read() {
        socket_.async_read_some(asio::buffer(buffer_), [self = shared_from_this()](asio::error_code error, size_t n) {
            if (error) return reset(self->socket_);
            self->unread_.append(self->buffer_.data(), n);
            self->take();
        });
    }

private:
    void take() {
        unread_.erase(0, http_.feed(unread_));
        if (http_.fault()) return reset(socket_);
        if (!http_.done()) return read();
        http_.next();
        handle();
    }

    void handle() {
        const auto& options = host_.options_;
        if (reader_.target == "/report") return answer(200, "", report());
        if (reader_.target == "/health") return answer(200, "", "{}");
        const auto expected = field_of(reader_.fields, "X-Expected-Instance");
        if (!expected.empty() && expected != options.id) return answer(421, "X-Not-Executed: 1\r\n", "{}");
        if (host_.running_ >= options.capacity) return answer(503, "X-Not-Executed: 1\r\n", "{}");
        run();
    }

    void run() {
        request_id_ = field_of(reader_.fields, "X-Request-Id");
        host_.events_.ran(request_id_, field_of(reader_.fields, "X-Tenant-Id"));
        count_running(true);
        // A stream may go on at this host behind the last event that the client has.
        event_ = wire::parse_integer<int>(field_of(reader_.fields, "Last-Event-Id")).value_or(0);
        after_a_while([this] {
            if (host_.options_.streams) return begin_stream();
            finish([this] { answer(200, "", plain_body(request_id_)); });
        });
    }

    void begin_stream() {
        const auto text = head(200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
        write(text, [this] { next_event(); });
    }

    void next_event() {
        if (event_ == events_of_stream) return finish([this] { write("0\r\n\r\n", [this] { take(); }); });
        write(chunk(event(request_id_, ++event_)), [this] { after_a_while([this] { next_event(); }); });
    }

    // The work is done; unless the answer is lost it is sent.
    template <class Send>
    void finish(Send send) {
        count_running(false);
        if (host_.events_.loses_answer()) return reset(socket_);
        send();
    }

    template <class Then>
    void after_a_while(Then then) {
        const bool is_long = reader_.target.starts_with(long_streams);
        after(timer_, host_.chance_.between(shortest_answer, is_long ? longest_event : longest_answer),
              [self = shared_from_this(), then] { then(); });
    }

    std::string report() const {
        return R"({"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,)"
               R"("kvUsed":0,"kvTotal":1000000,"handles":0,"running":)" +
               std::to_string(host_.running_) + "}";
    }

    // The status line and fields of an answer, with the empty line.
    std::string head(int status, const std::string& more) const {
        const auto& options = host_.options_;
        std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\nX-Instance-Id: " + options.id +
                           "\r\nX-Instance-Load: " + std::to_string(host_.running_) + ",0," +
                           std::to_string(options.capacity) + "\r\n";
        const auto id = field_of(reader_.fields, "X-Request-Id");
        if (!id.empty()) text += "X-Request-Id: " + id + "\r\nX-Server-Signature: " + options.id + "." + id + "\r\n";
        return text + more + "\r\n";
    }

    void answer(int status, const std::string& more, const std::string& body) {
        write(head(status, more + "Content-Length: " + std::to_string(body.size()) + "\r\n") + body,
              [this] { take(); });
    }

    template <class Then>
    void write(std::string text, Then then) {
        out_ = std::move(text);
        asio::async_write(socket_, asio::buffer(out_),
                          [self = shared_from_this(), then](asio::error_code error, size_t) {
                              if (!error) return then();
                              self->count_running(false);   // the proxy has gone: a stream is given up
                              reset(self->socket_);
                          });
    }

    void count_running(bool runs) {
        if (std::exchange(runs_, runs) != runs) host_.running_ += runs ? 1 : -1;
    }

    Host& host_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    RequestReader reader_;
    wire::HttpParser http_;
    std::array<char, 8192> buffer_{};
    std::string unread_, out_, request_id_;
    int event_ = 0;       // that was sent last
    bool runs_ = false;   // a request is worked on
};

Host::Host(asio::io_context& context, HostOptions options, HostEvents events)
    : context_(context),
      options_(std::move(options)),
      events_(std::move(events)),
      chance_(options_.seed, 0x686f7374),
      acceptor_(context, address_of(options_.at)),
      timer_(context) {
    accept();
    beat();
}

void Host::accept() {
    acceptor_.async_accept([this](asio::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        asio::error_code ignored;
        if (!error) {
            socket.set_option(tcp::no_delay(true), ignored);
            std::make_shared<Connection>(std::move(socket), *this)->read();
        }
        accept();
    });
}

void Host::beat() {
    tell(control_, options_.controls.size());
    after(timer_, options_.heartbeat * chance_.between(0.9, 1.1), [this] { beat(); });
}

// A heartbeat; where it is not acknowledged, the next control node is told.
void Host::tell(size_t control, size_t tries) {
    const auto body = R"({"service":")" + options_.service + R"(","address":")" + options_.at.text() + R"(","zone":")" +
                      options_.zone + R"(","version":"v1","state":"ready","coldRemainingMs":0,)" + R"("capacity":)" +
                      std::to_string(options_.capacity) + R"(,"sequence":)" + std::to_string(++sequence_) + "}";
    const auto& to = options_.controls[control];
    const auto text = request_text("PUT", "/instances/" + options_.id, to.text(),
                                   {{"Content-Type", "application/json"}, {"Connection", "close"}}, body);
    start_call(context_, {to, text, Span{1}, {}, [this, control, tries](const HttpReply& reply) {
                              control_ = control;
                              if (reply.status == 200 || tries <= 1) return;
                              tell((control + 1) % options_.controls.size(), tries - 1);
                          }});
}

}   // namespace myrtleroute::soak
