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

constexpr size_t most_list = 4 << 20;
constexpr Span most_hold{60};
constexpr Span up_within{1};        // a connection to discovery
constexpr Span answers_within{2};   // a call that does not wait
// What a watch that has fallen silent misses counts as told 2 s after its wait is over. Guards against drains that
// go unheard: it is given up after a quarter of that, and the rest is for the call that takes its place, which may
// have to wait its turn behind those of other proxies.
constexpr Span silent_after{0.5};
constexpr double shortest_hold = 0.7;   // of the longest: watches that began together don't end together
constexpr Span rest{0.1};           // a watch goes on as long as the next call comes within twice this

}  // namespace

struct Watcher::Call : Connection {
    Call(ConnectionHandler& by, int fd)
        : Connection(by, fd, 64 * 1024, 4096), http(wire::HttpParser::Side::response, reader, {.body = most_list}) {}
    std::string name() const override { return "discovery"; }
    wire::ResponseReader reader;
    wire::HttpParser http;
    Time asked;
    Span hold;
    bool answered = false;   // an earlier call on this connection
    bool rests = false;      // until the next one
};

Watcher::Watcher(Shared& shared, Servers& servers)
    : s_(shared), servers_(servers), zones_(shared.settings().zones), chance_(shared.config.seed) {
    clocks_apart_ = s_.system.unix_time() - s_.system.now().s;
}

void Watcher::tell_known() {
    cached_ = true;
    s_.config.tell_known(*this, rev_);
    cached_ = false;
    has_rev_ = has_list_;
    s_.config.text = {};
}

// The next call of a watch, on the same connection as long as that holds.
void Watcher::ask() {
    if (!call_) {
        bool at_once = false;
        int fd = s_.system.connect(s_.config.discovery, at_once);
        // Guards against drains that go unheard while descriptors are out: the list comes before what is idle.
        if (fd < 0 && errno == EMFILE && servers_.make_room()) fd = s_.system.connect(s_.config.discovery, at_once);
        if (fd < 0) return no_list();
        auto call = std::make_unique<Call>(*this, fd);
        call->connecting = !at_once;
        call_ = &s_.loop.add(std::move(call));
    }
    // Held no longer than the time within which a balancer that does not watch has to ask.
    const Span ask_within = s_.settings().ask_within;
    const Span longest = ask_within > Span{} ? std::min(most_hold, ask_within) : most_hold;
    const Span hold = has_rev_ ? longest * (shortest_hold + (1 - shortest_hold) * chance_.uniform()) : Span{};
    const auto hold_ms = std::to_string(static_cast<int>(hold.s * 1000));
    std::string target = "/discovery/hosts";
    if (has_rev_) target += "?from=" + std::to_string(rev_) + "&hold_ms=" + hold_ms;
    call_->out.push("GET " + target + " HTTP/1.1\r\nHost: discovery\r\n\r\n");
    call_->asked = s_.loop.now();
    call_->hold = hold;
    call_->rests = false;
    set_limit();
    s_.loop.flush(*call_);
}

void Watcher::set_limit() {
    const Span waits = call_->hold > Span{} ? call_->hold + silent_after : answers_within;
    s_.loop.set_timer(*call_, call_->asked + (call_->connecting ? up_within : waits));
}

void Watcher::on_connected(Connection&) { set_limit(); }

void Watcher::on_readable(Connection&) {
    auto& c = *call_;   // there is never another
    while (!c.in.empty() && !c.http.done() && !c.http.fault()) c.in.drop(c.http.feed(c.in.front()));
    if (c.ended && !c.http.done()) c.http.connection_closed();
    if (!c.http.done()) {
        if (c.http.fault() || c.ended) failed(c.ended ? CloseReason::peer_closed : CloseReason::bad_answer);
        return;
    }
    if (c.reader.status != 200) return failed(CloseReason::no_list);
    const auto rev = rev_;
    if (!wire::deliver_list(c.reader.text, *this, rev_)) return failed(CloseReason::bad_answer);
    const bool nothing_new = has_rev_ && rev == rev_;
    has_rev_ = true;
    const bool keeps = c.http.keeps_alive() && c.in.empty() && !c.ended;
    c.http.next();
    c.reader = {};
    c.answered = true;
    if (!keeps) {
        s_.loop.close(c, CloseReason::told_to_close);
        call_ = nullptr;
    }
    if (keeps && nothing_new && s_.loop.now() - c.asked < rest) {
        c.rests = true;   // it does not hold calls back, and would be asked without end
        return s_.loop.set_timer(c, s_.loop.now() + rest);
    }
    ask();   // at once, so that the watch goes on
}

void Watcher::on_error(Connection& c, int) {
    failed(c.connecting ? CloseReason::nobody_listens : CloseReason::peer_reset);
}

void Watcher::on_timer(Connection&) {
    if (call_->rests) ask();
    else failed(call_->connecting ? CloseReason::connect_timed_out : CloseReason::answer_timed_out);
}

void Watcher::failed(CloseReason why) {
    // Discovery may close a connection between two calls; that is no failure, and the watch goes on.
    const bool crossed = call_->answered && !call_->http.started() && why != CloseReason::answer_timed_out;
    s_.loop.close(*call_, why);
    call_ = nullptr;
    if (crossed) ask();
    else no_list();
}

// Another discovery may number its lists afresh, so it is asked for all it has.
void Watcher::discovery_moved() {
    if (call_) s_.loop.close(*std::exchange(call_, nullptr), CloseReason::told_to_close);
    has_rev_ = false;
    ask();
}

void Watcher::settle() {
    if (std::exchange(wanted_, false) && !call_) ask();
}

void Watcher::no_list() {
    s_.counters.add(Count::lists_failed);
    s_.balancer->list_failed(s_.loop.now());
}

void Watcher::list_began(bool whole) {
    ++lists_;
    entries_ = 0;
    whole_ = whole;
    s_.balancer->list_began(s_.loop.now(), whole, cached_);
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
    if (is == State::gone) leaves(server);
    else server.gone = false;
    const Time launched = boot_ms > 0 ? Time{boot_ms / 1000 - clocks_apart_} : long_ago;
    s_.balancer->server_listed(server.id, zone_number(zone), cell, is, size, launched);
    has_list_ = true;
    ++entries_;
}

void Watcher::list_ended() {
    if (whole_)
        s_.servers.each([&](memory::Server& server) {
            if (server.listed_in == lists_) return;
            leaves(server);
        });
    // The decisions may go on using one that is called gone, for as long as they remember it.
    s_.servers.erase_gone(s_.loop.now() - (s_.settings().drain_binds_alone ? gone_server_retention : Span{}));
    if (!cached_) s_.counters.add(Count::lists_told);
    if (entries_) s_.log.info() << (whole_ ? "whole list, servers: " : "list changes, servers: ") << entries_;
    s_.balancer->list_ended();
}

// Where only draining binds, one that is called gone may serve on, and its connections with it.
void Watcher::leaves(memory::Server& server) {
    if (!std::exchange(server.gone, true)) server.left_at = s_.loop.now();
    if (!s_.settings().drain_binds_alone) servers_.close_idle(server, CloseReason::server_left);
}

uint16_t Watcher::zone_number(std::string_view name) {
    std::string plain(name);
    std::replace(plain.begin(), plain.end(), ' ', '_');   // as the settings have it
    const auto at = std::find(zones_.begin(), zones_.end(), plain);
    const auto number = at - zones_.begin();
    if (at == zones_.end() && zones_.size() < 65535) zones_.push_back(plain);
    return static_cast<uint16_t>(number);
}

}  // namespace myrtleroute::run
