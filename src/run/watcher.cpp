#include "run/watcher.hpp"

#include <algorithm>
#include <cerrno>
#include <utility>

#include "wire/endpoint.hpp"

namespace myrtleroute::run {

using memory::Connection;
using memory::Count;
using memory::CloseReason;

namespace {

constexpr size_t max_list = 4 << 20;
constexpr Span max_hold{60};
constexpr Span connect_timeout{1};    // to discovery
constexpr Span response_timeout{2};   // of a request that does not wait for a change
// A drain counts as announced 2 s after the hold time of a watch, even if the watch has fallen silent. Guards against
// missed drains: a silent watch is given up after a quarter of that time, and the rest is for the request that
// replaces it, which may have to wait behind those of other proxies.
constexpr Span silence_timeout{0.5};
constexpr double min_hold_ratio = 0.7;   // of the longest: jitter, so that watches that began together end apart
constexpr Span pause{0.1};   // discovery keeps a watch if the next request arrives within twice this time

}  // namespace

struct Watcher::Request : Connection {
    Request(ConnectionHandler& by, int fd)
        : Connection(by, fd, 64 * 1024, 4096), http(wire::HttpParser::Side::response, reader, {.body = max_list}) {}
    std::string name() const override { return "discovery"; }
    wire::ResponseReader reader;
    wire::HttpParser http;
    Time sent;
    Span hold;
    bool answered = false;   // an earlier request on this connection has been answered
    bool paused = false;     // waits before the next request
};

Watcher::Watcher(Shared& shared, Servers& servers)
    : s_(shared), servers_(servers), zones_(shared.settings().zones), random_(shared.config.seed) {
    unix_time_offset_ = s_.system.unix_time() - s_.system.now().s;
}

void Watcher::deliver_known() {
    from_configuration_ = true;
    s_.config.deliver_known(*this, rev_);
    from_configuration_ = false;
    has_rev_ = has_list_;
    s_.config.text = {};
}

// Sends the next request of the watch, on the same connection as long as that is usable.
void Watcher::send_request() {
    if (!request_) {
        bool at_once = false;
        int fd = s_.system.connect(s_.config.discovery, at_once);
        // Guards against missed drains while no descriptor is free: the list has priority over idle connections.
        if (fd < 0 && errno == EMFILE && servers_.make_room()) fd = s_.system.connect(s_.config.discovery, at_once);
        if (fd < 0) return report_failure();
        auto request = std::make_unique<Request>(*this, fd);
        request->connecting = !at_once;
        request_ = &s_.loop.add(std::move(request));
    }
    // Held no longer than the interval at which a balancer without a watch has to request the list.
    const Span ask_within = s_.settings().ask_within;
    const Span longest = ask_within > Span{} ? std::min(max_hold, ask_within) : max_hold;
    const Span hold = has_rev_ ? longest * (min_hold_ratio + (1 - min_hold_ratio) * random_.uniform()) : Span{};
    const auto hold_ms = std::to_string(static_cast<int>(hold.s * 1000));
    std::string target = "/discovery/hosts";
    if (has_rev_) target += "?from=" + std::to_string(rev_) + "&hold_ms=" + hold_ms;
    request_->out.push("GET " + target + " HTTP/1.1\r\nHost: discovery\r\n\r\n");
    request_->sent = s_.loop.now();
    request_->hold = hold;
    request_->paused = false;
    set_request_timeout();
    s_.loop.flush(*request_);
}

void Watcher::set_request_timeout() {
    const Span waits = request_->hold > Span{} ? request_->hold + silence_timeout : response_timeout;
    s_.loop.set_timer(*request_, request_->sent + (request_->connecting ? connect_timeout : waits));
}

void Watcher::on_connected(Connection&) { set_request_timeout(); }

void Watcher::on_readable(Connection&) {
    auto& c = *request_;   // there is never more than one request
    while (!c.in.empty() && !c.http.done() && !c.http.fault()) c.in.drop(c.http.feed(c.in.front()));
    if (c.ended && !c.http.done()) c.http.connection_closed();
    if (!c.http.done()) {
        if (c.http.fault() || c.ended) request_failed(c.ended ? CloseReason::peer_closed : CloseReason::bad_answer);
        return;
    }
    if (c.reader.status != 200) return request_failed(CloseReason::no_list);
    const auto rev = rev_;
    if (!wire::deliver_list(c.reader.text, *this, rev_)) return request_failed(CloseReason::bad_answer);
    const bool nothing_new = has_rev_ && rev == rev_;
    has_rev_ = true;
    const bool reusable = c.http.keeps_alive() && c.in.empty() && !c.ended;
    c.http.reset();
    c.reader = {};
    c.answered = true;
    if (!reusable) {
        s_.loop.close(c, CloseReason::told_to_close);
        request_ = nullptr;
    }
    if (reusable && nothing_new && s_.loop.now() - c.sent < pause) {
        c.paused = true;   // this discovery does not hold requests, and would be polled without a pause
        return s_.loop.set_timer(c, s_.loop.now() + pause);
    }
    send_request();   // at once, so that the watch continues
}

void Watcher::on_error(Connection& c, int) {
    request_failed(c.connecting ? CloseReason::nobody_listens : CloseReason::peer_reset);
}

void Watcher::on_timer(Connection&) {
    if (request_->paused) send_request();
    else request_failed(request_->connecting ? CloseReason::connect_timed_out : CloseReason::answer_timed_out);
}

void Watcher::request_failed(CloseReason why) {
    // Discovery may close a connection between two requests; that is not a failure, and the watch continues.
    const bool closed_between = request_->answered && !request_->http.started() && why != CloseReason::answer_timed_out;
    s_.loop.close(*request_, why);
    request_ = nullptr;
    if (closed_between) send_request();
    else report_failure();
}

// Another discovery has its own revision numbers, so the complete list is requested.
void Watcher::discovery_moved() {
    if (request_) s_.loop.close(*std::exchange(request_, nullptr), CloseReason::told_to_close);
    has_rev_ = false;
    send_request();
}

void Watcher::start_requested() {
    if (std::exchange(watch_requested_, false) && !request_) send_request();
}

void Watcher::report_failure() {
    s_.counters.add(Count::lists_failed);
    s_.balancer->list_failed(s_.loop.now());
}

void Watcher::list_began(bool complete) {
    ++lists_;
    entries_ = 0;
    complete_ = complete;
    s_.balancer->list_began(s_.loop.now(), complete, from_configuration_);
}

void Watcher::server(std::string_view uid, std::string_view endpoint, std::string_view zone, uint16_t cell,
                     std::string_view state, double size, double boot_ms) {
    auto& server = s_.servers.find_or_add(uid);
    server.listed_in = lists_;
    if (server.endpoint != endpoint && !endpoint.empty()) {
        servers_.close_idle(server, CloseReason::server_left);
        server.endpoint = endpoint;
        server.at = *wire::parse_endpoint(endpoint);
    }
    const auto is = state == "SERVING" ? State::ready : state == "DRAINING" ? State::draining : State::gone;
    if (is == State::gone) server_gone(server);
    else server.gone = false;
    const Time launched = boot_ms > 0 ? Time{boot_ms / 1000 - unix_time_offset_} : long_ago;
    s_.balancer->server_listed(server.id, zone_index(zone), cell, is, size, launched);
    has_list_ = true;
    ++entries_;
}

void Watcher::list_ended() {
    if (complete_)
        s_.servers.each([&](memory::Server& server) {
            if (server.listed_in == lists_) return;
            server_gone(server);
        });
    // The balancer may use a server that is reported gone for as long as it remembers it.
    s_.servers.erase_gone(s_.loop.now() - (s_.settings().drain_binds_alone ? gone_server_retention : Span{}));
    if (!from_configuration_) s_.counters.add(Count::lists_told);
    if (entries_) s_.log.info() << (complete_ ? "complete list, servers: " : "list changes, servers: ") << entries_;
    s_.balancer->list_ended();
}

// Where only draining is binding, a server reported gone may still serve, so its connections stay open.
void Watcher::server_gone(memory::Server& server) {
    if (!std::exchange(server.gone, true)) server.left_at = s_.loop.now();
    if (!s_.settings().drain_binds_alone) servers_.close_idle(server, CloseReason::server_left);
}

uint16_t Watcher::zone_index(std::string_view name) {
    std::string escaped(name);
    std::replace(escaped.begin(), escaped.end(), ' ', '_');   // as in the settings
    const auto at = std::find(zones_.begin(), zones_.end(), escaped);
    const auto index = at - zones_.begin();
    if (at == zones_.end() && zones_.size() < 65535) zones_.push_back(escaped);
    return static_cast<uint16_t>(index);
}

}  // namespace myrtleroute::run
