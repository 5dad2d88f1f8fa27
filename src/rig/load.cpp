#include "rig/load.hpp"

#include <algorithm>
#include <cstdio>

#include "wire/reply.hpp"

namespace myrtleroute::rig {

using memory::Connection;
using memory::CloseReason;

namespace {

constexpr Span ask_again{0.05}, beyond_timeout{0.5};   // an answer that comes later than that is none

}  // namespace

struct Load::Line : Connection {
    Line(Load& by, int fd, Application& of)
        : Connection(by, fd, 128 * 1024, 64 * 1024), application(&of), http(wire::HttpParser::Side::response, reader) {}
    std::string name() const override { return "proxy"; }
    Application* application;
    wire::ResponseReader reader;
    wire::HttpParser http;
    size_t call = none;        // of calls_
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

void Load::told(const std::string& word, std::istringstream& more) {
    if (word == "proxy") {
        int proxy;
        uint32_t ip;
        uint16_t port;
        more >> proxy >> ip >> port;
        application(proxy).at = address(ip, port);
    } else if (word == "ask") {   // whether they are up
        waiting_ = applications_.size();
        for (auto& a : applications_) ask_if_up(a);
    } else if (word == "go") {
        for (auto& a : applications_)
            if (a.arrivals->next().at.s < e_.lasts.s) {
                ++coming_;
                loop_.schedule(start() + Span{a.arrivals->next().at.s}, static_cast<uint64_t>(a.proxy));
            }
        done_if_all_are();
    }
}

Load::Line* Load::connect(Application& a) {
    bool at_once = false;
    const int fd = system_.connect(a.at, at_once);
    if (fd < 0) return nullptr;
    auto line = std::make_unique<Line>(*this, fd, a);
    line->connecting = !at_once;
    return &loop_.add(std::move(line));
}

void Load::ask_if_up(Application& a) {
    if (a.up) return;
    auto* line = connect(a);
    if (!line) return loop_.schedule(loop_.now() + ask_again, static_cast<uint64_t>(a.proxy));
    line->is_health_check = true;
    line->out.push("GET /up HTTP/1.1\r\nHost: api.internal\r\n\r\n");
    loop_.set_timer(*line, loop_.now() + Span{1});
    if (!line->connecting) loop_.flush(*line);
}

void Load::woken(uint64_t cookie) {
    auto& a = application(static_cast<int>(cookie));
    if (start() == long_ago) return ask_if_up(a);
    while (a.arrivals->next().at.s < e_.lasts.s && start() + Span{a.arrivals->next().at.s} <= loop_.now()) call(a);
    if (a.arrivals->next().at.s < e_.lasts.s)
        return loop_.schedule(start() + Span{a.arrivals->next().at.s}, cookie);
    --coming_;
    done_if_all_are();
}

void Load::call(Application& a) {
    const auto& next = a.arrivals->next();
    calls_.push_back({call_id(a.proxy, next.number), at(start()) + next.at.s, 0, 0, static_cast<uint16_t>(next.product), 0,
                      CallEnd::unanswered, 1});
    a.arrivals->advance();
    ++out_;
    send(a, calls_.back(), calls_.size() - 1, false);
}

void Load::send(Application& a, CallRecord& record, size_t place, bool fresh) {
    Line* line = nullptr;
    if (!fresh && !a.idle.empty()) {
        line = a.idle.back();
        a.idle.pop_back();
    } else {
        line = connect(a);
    }
    record.sent = at(loop_.now());
    if (!line) {
        record.ended = record.sent;
        record.end = CallEnd::not_connected;
        --out_;
        return done_if_all_are();
    }
    const auto& p = e_.products[record.product];
    char text[512];
    const int size = std::snprintf(text, sizeof text,
                                   "%s /api?of=%d HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: %llx\r\nX-Priority-Class: %s\r\n"
                                   "X-Timeout: %dm\r\n%s\r\n%s",
                                   p.repeat == Idempotency::idempotent ? "GET" : "POST", a.proxy,
                                   static_cast<unsigned long long>(record.call), p.name.c_str(),
                                   static_cast<int>(p.timeout.s * 1000),
                                   p.repeat == Idempotency::idempotent ? "" : "Content-Length: 4\r\n",
                                   p.repeat == Idempotency::idempotent ? "" : "book");
    line->call = place;
    line->out.push(std::string_view(text, static_cast<size_t>(size)));
    loop_.set_timer(*line, loop_.now() + p.timeout + beyond_timeout + e_.slack);
    if (!line->connecting) loop_.flush(*line);
}

void Load::on_readable(Connection& c) {
    auto& line = static_cast<Line&>(c);
    while (!line.in.empty() && !line.http.done() && !line.http.fault()) line.in.drop(line.http.feed(line.in.front()));
    if (line.http.done() && (line.is_health_check || line.call != Line::none)) answered(line);
    else if (line.http.fault() || line.http.done()) return gone(line, CallEnd::wrong);
    if (c.open() && c.ended) gone(line, CallEnd::broken);
}

void Load::answered(Line& line) {
    auto& a = *line.application;
    const int status = line.reader.status;
    const bool keeps = line.http.keeps_alive();
    if (line.is_health_check) {
        if (status == 200 && !std::exchange(a.up, true) && --waiting_ == 0) tell("up");
        return gone(line, CallEnd::broken);
    }
    auto& record = calls_[line.call];
    char body[32];
    const int size = std::snprintf(body, sizeof body, "%llx from ", static_cast<unsigned long long>(record.call));
    record.status = static_cast<uint16_t>(status);
    const bool wrong = status == 200 && !line.reader.text.starts_with(std::string_view(body, static_cast<size_t>(size)));
    over(line, wrong ? CallEnd::wrong : CallEnd::answered);
    line.used = true;
    line.http.next();
    if (!keeps || line.ended) return loop_.close(line, CloseReason::told_to_close);
    a.idle.push_back(&line);
}

void Load::over(Line& line, CallEnd how) {
    auto& record = calls_[std::exchange(line.call, Line::none)];
    record.ended = at(loop_.now());
    record.end = how;
    loop_.clear_timer(line);
    --out_;
    done_if_all_are();
}

void Load::gone(Line& line, CallEnd how) {
    auto& a = *line.application;
    std::erase(a.idle, &line);
    const size_t place = line.call;
    const bool crossed = how == CallEnd::broken && line.used && !line.http.started();
    if (place != Line::none && crossed && calls_[place].tries == 1) {
        // The proxy was closing what it took for idle: the call goes once more, on a new connection.
        line.call = Line::none;
        loop_.close(line, CloseReason::peer_closed);
        calls_[place].tries = 2;
        return send(a, calls_[place], place, true);
    }
    if (place != Line::none) over(line, line.connecting ? CallEnd::not_connected : how);
    const bool again = line.is_health_check && !a.up;
    loop_.close(line, CloseReason::peer_closed);
    if (again) loop_.schedule(loop_.now() + ask_again, static_cast<uint64_t>(a.proxy));
}

void Load::on_error(Connection& c, int) { gone(static_cast<Line&>(c), CallEnd::broken); }
void Load::on_timer(Connection& c) { gone(static_cast<Line&>(c), CallEnd::unanswered); }

void Load::done_if_all_are() {
    if (start() == long_ago || coming_ || out_ || told_done_) return;
    told_done_ = true;
    tell("done");
}

void Load::finish() { write_records(file("calls"), calls_); }

}  // namespace myrtleroute::rig
