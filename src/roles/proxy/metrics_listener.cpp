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

using memory::Connection;
using memory::Why;

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
    Listener(memory::Owner& by, int fd) : Connection(by, fd, 1, 1) { listens = true; }
    std::string name() const override { return "metrics listener"; }
};

}   // namespace

// Only the request line is used.
struct MetricsListener::Reader : wire::HttpReader {
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
    Scrape(memory::Owner& by, int fd)
        : Connection(by, fd, max_in, max_out), http(wire::HttpMachine::Side::ask, reader, limits) {}
    std::string name() const override { return "metrics"; }
    Reader reader;
    wire::HttpMachine http;
    bool answered = false;
    bool lingers = false;   // half-closed
};

void MetricsListener::open() {
    const auto& settings = context_.settings;
    if (!settings.metrics) return;
    const Endpoint at{settings.address, settings.metrics->port};
    const auto address = wire::read_endpoint(at.text());
    const int fd = address ? context_.home.listen_at(*address) : -1;
    if (fd < 0) {
        log_error() << "metrics: can't listen at " << at.text() << ": "
                    << (address ? std::strerror(errno) : "not an IPv4 address");
        return;
    }
    listener_ = &context_.loop.adopt(std::make_unique<Listener>(*this, fd));
}

void MetricsListener::close() {
    if (listener_) context_.loop.end(*std::exchange(listener_, nullptr), Why::stopping);
}

void MetricsListener::accept() {
    while (open_ < max_connections && context_.loop.connections() < context_.max_connections()) {
        const int fd = context_.home.accept(listener_->fd);
        if (fd < 0) {
            if (errno == EINTR || errno == ECONNABORTED) continue;
            if (errno == EAGAIN || errno == EWOULDBLOCK) return;
            break;
        }
        auto& scrape = context_.loop.adopt(std::make_unique<Scrape>(*this, fd));
        ++open_;
        context_.loop.set(scrape, context_.now() + exchange_timeout);
    }
    context_.loop.listen_to(*listener_, false);
    context_.loop.set(*listener_, context_.now() + accept_retry_delay);
}

void MetricsListener::came(Connection& connection) {
    if (connection.listens) return accept();
    auto& scrape = static_cast<Scrape&>(connection);
    if (scrape.answered) scrape.in.drop(scrape.in.size());
    if (!scrape.answered) read(scrape);
    if (!scrape.open()) return;
    if (scrape.error) return end(scrape, Why::peer_reset);
    if (scrape.ended && (!scrape.answered || scrape.lingers)) end(scrape, Why::peer_closed);
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
    if (text.size() + answer.body.size() > max_out) return end(scrape, Why::bad_answer);
    scrape.out.push(text);
    scrape.out.push(answer.body);
    context_.loop.flush(scrape);
    if (scrape.open() && scrape.out.empty()) went(scrape);
}

// Half-closes first: closing with unread bytes would reset the connection and discard the response.
void MetricsListener::went(Connection& connection) {
    auto& scrape = static_cast<Scrape&>(connection);
    if (!scrape.answered || scrape.lingers) return;
    if (scrape.ended) return end(scrape, Why::peer_closed);
    scrape.lingers = true;
    context_.home.end_sending(scrape.fd);
    context_.loop.set(scrape, context_.now() + linger);
}

void MetricsListener::broke(Connection& connection, int) {
    if (!connection.listens) end(static_cast<Scrape&>(connection), Why::peer_reset);
}

void MetricsListener::due(Connection& connection) {
    if (connection.listens) return context_.loop.listen_to(connection, true);
    auto& scrape = static_cast<Scrape&>(connection);
    end(scrape, scrape.lingers ? Why::told_to_close : scrape.answered ? Why::unread : Why::silent);
}

void MetricsListener::end(Scrape& scrape, Why why) {
    if (!scrape.open()) return;
    --open_;
    context_.loop.end(scrape, why);
}

}   // namespace myrtleroute::proxy
