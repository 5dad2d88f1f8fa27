#include "rig/load.hpp"

#include <algorithm>
#include <cstdio>

#include "wire/reply.hpp"

namespace myrtleroute::rig {

using memory::Connection;
using memory::CloseReason;

namespace {

constexpr Span health_check_interval{0.05},
    timeout_grace{0.5};   // past the timeout, a call without an answer is given up

}  // namespace

struct Load::ProxyConnection : Connection {
    ProxyConnection(Load& by, int fd, Application& of)
        : Connection(by, fd, 128 * 1024, 64 * 1024), application(&of), http(wire::HttpParser::Side::response, reader) {}
    std::string name() const override { return "proxy"; }
    Application* application;
    wire::ResponseReader reader;
    wire::HttpParser http;
    size_t call = none;        // index in calls_
    bool is_health_check = false, used = false;
    static constexpr size_t none = static_cast<size_t>(-1);
};

Load::Load(Experiment e, std::string directory, std::string name, int number, int of)
    : Part(std::move(e), std::move(directory), std::move(name)), number_(number), of_(of), rates_(rates(e_)) {
    for (int i = number; i < e_.proxies; i += of) {
        Application a;
        a.proxy = i;
        a.arrivals = std::make_unique<Arrivals>(e_, rates_, i);
        applications_.push_back(std::move(a));
    }
}

void Load::on_command(const std::string& word, std::istringstream& more) {
    if (word == "proxy") {
        int proxy;
        uint32_t ip;
        uint16_t port;
        more >> proxy >> ip >> port;
        application(proxy).at = address(ip, port);
    } else if (word == "ask") {   // health check of all proxies
        unhealthy_ = applications_.size();
        for (auto& a : applications_) check_health(a);
    } else if (word == "go") {
        for (auto& a : applications_)
            if (a.arrivals->next().at.s < e_.duration.s) {
                ++unfinished_;
                loop_.schedule(start() + Span{a.arrivals->next().at.s}, static_cast<uint64_t>(a.proxy));
            }
        report_if_done();
    }
}

Load::ProxyConnection* Load::connect(Application& a) {
    bool at_once = false;
    const int fd = system_.connect(a.at, at_once);
    if (fd < 0) return nullptr;
    auto connection = std::make_unique<ProxyConnection>(*this, fd, a);
    connection->connecting = !at_once;
    return &loop_.add(std::move(connection));
}

void Load::check_health(Application& a) {
    if (a.up) return;
    auto* connection = connect(a);
    if (!connection) return loop_.schedule(loop_.now() + health_check_interval, static_cast<uint64_t>(a.proxy));
    connection->is_health_check = true;
    connection->out.push("GET /up HTTP/1.1\r\nHost: api.internal\r\n\r\n");
    loop_.set_timer(*connection, loop_.now() + Span{1});
    if (!connection->connecting) loop_.flush(*connection);
}

void Load::timer_fired(uint64_t cookie) {
    auto& a = application(static_cast<int>(cookie));
    if (start() == long_ago) return check_health(a);
    while (a.arrivals->next().at.s < e_.duration.s && start() + Span{a.arrivals->next().at.s} <= loop_.now()) call(a);
    if (a.arrivals->next().at.s < e_.duration.s)
        return loop_.schedule(start() + Span{a.arrivals->next().at.s}, cookie);
    --unfinished_;
    report_if_done();
}

void Load::call(Application& a) {
    const auto& next = a.arrivals->next();
    calls_.push_back({call_id(a.proxy, next.number), at(start()) + next.at.s, 0, 0, static_cast<uint16_t>(next.product), 0,
                      CallOutcome::timed_out, 1});
    a.arrivals->advance();
    ++in_flight_;
    send(a, calls_.back(), calls_.size() - 1, false);
}

void Load::send(Application& a, CallRecord& record, size_t index, bool new_connection) {
    ProxyConnection* connection = nullptr;
    if (!new_connection && !a.idle.empty()) {
        connection = a.idle.back();
        a.idle.pop_back();
    } else {
        connection = connect(a);
    }
    record.sent = at(loop_.now());
    if (!connection) {
        record.ended = record.sent;
        record.end = CallOutcome::not_connected;
        --in_flight_;
        return report_if_done();
    }
    const auto& p = e_.products[record.product];
    char text[512];
    const int size = std::snprintf(text, sizeof text,
                                   "%s /api?of=%d HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: %llx\r\nX-Priority-Class: %s\r\n"
                                   "X-Timeout: %dm\r\n%s\r\n%s",
                                   p.idempotency == Idempotency::idempotent ? "GET" : "POST", a.proxy,
                                   static_cast<unsigned long long>(record.call), p.name.c_str(),
                                   static_cast<int>(p.timeout.s * 1000),
                                   p.idempotency == Idempotency::idempotent ? "" : "Content-Length: 4\r\n",
                                   p.idempotency == Idempotency::idempotent ? "" : "book");
    connection->call = index;
    connection->out.push(std::string_view(text, static_cast<size_t>(size)));
    loop_.set_timer(*connection, loop_.now() + p.timeout + timeout_grace + e_.slack);
    if (!connection->connecting) loop_.flush(*connection);
}

void Load::on_readable(Connection& c) {
    auto& connection = static_cast<ProxyConnection&>(c);
    while (!connection.in.empty() && !connection.http.done() && !connection.http.fault())
        connection.in.drop(connection.http.feed(connection.in.front()));
    if (connection.http.done() && (connection.is_health_check || connection.call != ProxyConnection::none))
        on_response(connection);
    else if (connection.http.fault() || connection.http.done()) return close(connection, CallOutcome::wrong);
    if (c.open() && c.ended) close(connection, CallOutcome::disconnected);
}

void Load::on_response(ProxyConnection& connection) {
    auto& a = *connection.application;
    const int status = connection.reader.status;
    const bool keeps = connection.http.keeps_alive();
    if (connection.is_health_check) {
        if (status == 200 && !std::exchange(a.up, true) && --unhealthy_ == 0) send_line("up");
        return close(connection, CallOutcome::disconnected);
    }
    auto& record = calls_[connection.call];
    char body[32];
    const int size = std::snprintf(body, sizeof body, "%llx from ", static_cast<unsigned long long>(record.call));
    record.status = static_cast<uint16_t>(status);
    const bool wrong =
        status == 200 && !connection.reader.text.starts_with(std::string_view(body, static_cast<size_t>(size)));
    finish_call(connection, wrong ? CallOutcome::wrong : CallOutcome::answered);
    connection.used = true;
    connection.http.reset();
    if (!keeps || connection.ended) return loop_.close(connection, CloseReason::told_to_close);
    a.idle.push_back(&connection);
}

void Load::finish_call(ProxyConnection& connection, CallOutcome how) {
    auto& record = calls_[std::exchange(connection.call, ProxyConnection::none)];
    record.ended = at(loop_.now());
    record.end = how;
    loop_.clear_timer(connection);
    --in_flight_;
    report_if_done();
}

void Load::close(ProxyConnection& connection, CallOutcome how) {
    auto& a = *connection.application;
    std::erase(a.idle, &connection);
    const size_t index = connection.call;
    const bool idle_close_race = how == CallOutcome::disconnected && connection.used && !connection.http.started();
    if (index != ProxyConnection::none && idle_close_race && calls_[index].tries == 1) {
        // The proxy closed the idle connection while the call was being sent: it is sent once more, on a new connection.
        connection.call = ProxyConnection::none;
        loop_.close(connection, CloseReason::peer_closed);
        calls_[index].tries = 2;
        return send(a, calls_[index], index, true);
    }
    if (index != ProxyConnection::none)
        finish_call(connection, connection.connecting ? CallOutcome::not_connected : how);
    const bool again = connection.is_health_check && !a.up;
    loop_.close(connection, CloseReason::peer_closed);
    if (again) loop_.schedule(loop_.now() + health_check_interval, static_cast<uint64_t>(a.proxy));
}

void Load::on_error(Connection& c, int) { close(static_cast<ProxyConnection&>(c), CallOutcome::disconnected); }
void Load::on_timer(Connection& c) { close(static_cast<ProxyConnection&>(c), CallOutcome::timed_out); }

void Load::report_if_done() {
    if (start() == long_ago || unfinished_ || in_flight_ || done_sent_) return;
    done_sent_ = true;
    send_line("done");
}

void Load::write_results() { write_records(file("calls"), calls_); }

}  // namespace myrtleroute::rig
