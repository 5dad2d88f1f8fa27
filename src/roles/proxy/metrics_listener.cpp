#include "roles/proxy/metrics_listener.hpp"

#include <cerrno>
#include <cstring>
#include <memory>
#include <utility>

#include "base/metrics.hpp"
#include "roles/log.hpp"
#include "roles/metrics_answer.hpp"
#include "wire/http.hpp"

namespace myrtleroute::proxy {
namespace {

using memory::CloseReason;
using memory::Connection;

constexpr size_t max_connections = 8;
constexpr size_t max_in = 4096, max_out = 2 << 20;   // bytes
constexpr wire::HttpLimits limits{2048, 8192, 1024};
constexpr Span exchange_timeout{5};   // for the whole exchange
constexpr Span linger{1};             // for the peer to close after the response
constexpr Span accept_retry_delay{0.1};

std::string head(const MetricsResponse& answer) {
    std::string text = answer.status == 200 ? "HTTP/1.1 200 OK\r\n" : "HTTP/1.1 404 Not Found\r\n";
    if (answer.status == 200) text.append("Content-Type: ").append(metrics::content_type).append("\r\n");
    text.append("Content-Length: ").append(std::to_string(answer.body.size())).append("\r\n");
    return text.append("Connection: close\r\n\r\n");
}

struct Listener : Connection {
    Listener(memory::ConnectionHandler& by, int fd) : Connection(by, fd, 1, 1) { listens = true; }
    std::string name() const override { return "metrics listener"; }
};

}   // namespace

// Only the request line is used.
struct MetricsListener::Reader : wire::HttpHandler {
    std::string method, target;
    int start(std::string_view verb, std::string_view path, std::string_view) override {
        method = verb;
        target = path;
        return 0;
    }
    int field(std::string_view, std::string_view) override { return 0; }
    void body(std::string_view) override {}
};

struct MetricsListener::Scrape : Connection {
    Scrape(memory::ConnectionHandler& by, int fd)
        : Connection(by, fd, max_in, max_out), http(wire::HttpParser::Side::request, reader, limits) {}
    std::string name() const override { return "metrics"; }
    Reader reader;
    wire::HttpParser http;
    bool answered = false;
    bool lingers = false;   // half-closed
};

void MetricsListener::open() {
    const auto& settings = context_.settings;
    if (!settings.metrics) return;
    const Endpoint at{settings.address, settings.metrics->port};
    const auto address = wire::parse_endpoint(at.text());
    const int fd = address ? context_.system.listen(*address) : -1;
    if (fd < 0) {
        log_error() << "metrics: can't listen at " << at.text() << ": "
                    << (address ? std::strerror(errno) : "not an IPv4 address");
        return;
    }
    listener_ = &context_.loop.add(std::make_unique<Listener>(*this, fd));
}

void MetricsListener::close() {
    if (listener_) context_.loop.close(*std::exchange(listener_, nullptr), CloseReason::stopping);
}

void MetricsListener::accept() {
    while (open_ < max_connections && context_.loop.connections() < context_.max_connections()) {
        const int fd = context_.system.accept(listener_->fd);
        if (fd < 0) {
            if (errno == EINTR || errno == ECONNABORTED) continue;
            if (errno == EAGAIN || errno == EWOULDBLOCK) return;
            break;
        }
        auto& scrape = context_.loop.add(std::make_unique<Scrape>(*this, fd));
        ++open_;
        context_.loop.set_timer(scrape, context_.now() + exchange_timeout);
    }
    context_.loop.poll_for_input(*listener_, false);
    context_.loop.set_timer(*listener_, context_.now() + accept_retry_delay);
}

void MetricsListener::on_readable(Connection& connection) {
    if (connection.listens) return accept();
    auto& scrape = static_cast<Scrape&>(connection);
    if (scrape.answered) scrape.in.drop(scrape.in.size());
    if (!scrape.answered) read(scrape);
    if (!scrape.open()) return;
    if (scrape.error) return end(scrape, CloseReason::peer_reset);
    if (scrape.ended && (!scrape.answered || scrape.lingers)) end(scrape, CloseReason::peer_closed);
}

void MetricsListener::read(Scrape& scrape) {
    while (!scrape.in.empty() && !scrape.http.done() && !scrape.http.fault())
        scrape.in.drop(scrape.http.feed(scrape.in.front()));
    if (scrape.http.done() || scrape.http.fault()) answer(scrape);
}

void MetricsListener::answer(Scrape& scrape) {
    scrape.answered = true;
    scrape.in.drop(scrape.in.size());
    MetricsResponse answer;
    if (!scrape.http.fault())
        answer =
            respond_to_scrape(scrape.reader.method, scrape.reader.target, context_.settings.metrics->path, render_);
    const auto text = head(answer);
    if (text.size() + answer.body.size() > max_out) return end(scrape, CloseReason::bad_answer);
    scrape.out.push(text);
    scrape.out.push(answer.body);
    context_.loop.flush(scrape);
    if (scrape.open() && scrape.out.empty()) on_written(scrape);
}

// Half-closes first: closing with unread bytes would reset the connection and discard the response.
void MetricsListener::on_written(Connection& connection) {
    auto& scrape = static_cast<Scrape&>(connection);
    if (!scrape.answered || scrape.lingers) return;
    if (scrape.ended) return end(scrape, CloseReason::peer_closed);
    scrape.lingers = true;
    context_.system.shutdown_write(scrape.fd);
    context_.loop.set_timer(scrape, context_.now() + linger);
}

void MetricsListener::on_error(Connection& connection, int) {
    if (!connection.listens) end(static_cast<Scrape&>(connection), CloseReason::peer_reset);
}

void MetricsListener::on_timer(Connection& connection) {
    if (connection.listens) return context_.loop.poll_for_input(connection, true);
    auto& scrape = static_cast<Scrape&>(connection);
    end(scrape, scrape.lingers    ? CloseReason::told_to_close
                : scrape.answered ? CloseReason::unread
                                  : CloseReason::silent);
}

void MetricsListener::end(Scrape& scrape, CloseReason why) {
    if (!scrape.open()) return;
    --open_;
    context_.loop.close(scrape, why);
}

}   // namespace myrtleroute::proxy
