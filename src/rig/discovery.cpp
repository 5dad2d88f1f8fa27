#include "rig/discovery.hpp"

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstring>
#include <set>

#include "wire/ask.hpp"
#include "wire/text.hpp"

namespace myrtleroute::rig {

using memory::Connection;
using memory::CloseReason;

namespace {

constexpr Span max_hold{60};
constexpr uint64_t change_cookie = 1;

}  // namespace

struct Discovery::ProxyConnection : Connection, wire::HttpHandler {
    ProxyConnection(Discovery& by, int fd, int from)
        : Connection(by, fd, 16 * 1024, 1024 * 1024), proxy(from), http(wire::HttpParser::Side::request, *this) {}
    std::string name() const override { return "proxy"; }
    int start(std::string_view, std::string_view where, std::string_view) override {
        target = where;
        return 0;
    }
    int field(std::string_view, std::string_view) override { return 0; }
    void body(std::string_view) override {}
    std::optional<uint64_t> number(std::string_view key) const {
        const auto at = target.find(key);
        if (at == target.npos) return {};
        const auto text = std::string_view(target).substr(at + key.size());
        return wire::parse_integer<uint64_t>(text.substr(0, text.find('&')));
    }
    int proxy;
    wire::HttpParser http;
    std::string target;
    bool request_open = false, watches = false;
    uint32_t from = 0;
};

Discovery::Discovery(Experiment e, std::string directory, std::string name)
    : Part(std::move(e), std::move(directory), std::move(name)), current_(static_cast<size_t>(e_.servers)) {
    open();
    send_line("port " + std::to_string(static_cast<int>(Kind::discovery)) + " 0 " + std::to_string(port_));
    send_line("ready");
}

void Discovery::open() {
    const int fd = system_.listen_on_loopback(port_);
    if (fd < 0) throw std::runtime_error("discovery can't listen: " + std::string(std::strerror(errno)));
    listener_ = &loop_.add(std::make_unique<Listener>(*this, fd));
}

void Discovery::on_command(const std::string& word, std::istringstream& more) {
    if (word == "port") {   // port of a server for the proxies of one relay
        size_t relay;
        int server;
        uint16_t port;
        more >> relay >> server >> port;
        if (ports_.size() <= relay) ports_.resize(relay + 1);
        ports_[relay][server] = port;
    } else if (word == "first") {
        for (int i = 0; i < e_.servers; ++i) apply_change(i, current_[static_cast<size_t>(i)]);
    } else if (word == "list") {
        int server, state, incarnation;
        double boot;
        more >> server >> state >> boot >> incarnation;
        auto entry = current_[static_cast<size_t>(server)];
        if (incarnation != entry.incarnation &&
            entry.state != ListedState::removed) {   // the old incarnation is removed from the list
            entry.state = ListedState::removed;
            apply_change(server, entry);
        }
        apply_change(server, {static_cast<ListedState>(state), boot, incarnation, 0});
    } else if (word == "fault") {
        int number;
        std::string kind;
        double how;
        more >> number >> kind >> how;
        active_faults_[number] = kind;
        if (kind == "late") delays_[number] = how;
        if (kind == "silent") ++silent_faults_;
        if (kind == "absent" && absent_faults_++ == 0) {
            if (listener_) loop_.close(*std::exchange(listener_, nullptr), CloseReason::stopping);
            while (!connections_.empty()) end(*connections_.back());
        }
        if (kind == "shrink") {
            const auto many = static_cast<int>(std::ceil(how * e_.servers));
            for (int i = 0; i < std::min(many, e_.servers); ++i) {
                auto entry = current_[static_cast<size_t>(i)];
                if (entry.state != ListedState::serving) continue;
                shrunk_[number].push_back(i);
                entry.state = ListedState::removed;
                apply_change(i, entry);
            }
        }
    } else if (word == "over") {
        int number;
        more >> number;
        const auto kind = active_faults_[number];
        active_faults_.erase(number);
        delays_.erase(number);
        if (kind == "silent") --silent_faults_;
        if (kind == "absent" && --absent_faults_ == 0) open();
        for (const int server : shrunk_[number]) {
            auto entry = current_[static_cast<size_t>(server)];
            if (entry.state != ListedState::removed) continue;
            entry.state = ListedState::serving;
            apply_change(server, entry);
        }
        shrunk_.erase(number);
        loop_.schedule(loop_.now(), change_cookie);
    }
}

void Discovery::apply_change(int server, const Entry& entry) {
    current_[static_cast<size_t>(server)] = entry;
    changes_.push_back({loop_.now(), server, entry});
    list_.push_back({at(loop_.now()), entry.boot, static_cast<uint32_t>(changes_.size()), static_cast<uint16_t>(server),
                     static_cast<uint16_t>(entry.incarnation), entry.state});
    double wait = 0.001;
    for (const auto& [number, late] : delays_) wait = std::max(wait, late);
    loop_.schedule(loop_.now() + Span{wait}, change_cookie);
}

uint32_t Discovery::visible() const {
    double late = 0;
    for (const auto& [number, each] : delays_) late = std::max(late, each);
    uint32_t rev = static_cast<uint32_t>(changes_.size());
    while (rev > 0 && late > 0 && changes_[rev - 1].at > loop_.now() - Span{late}) --rev;
    return rev;
}

void Discovery::timer_fired(uint64_t) {
    for (auto* connection : std::vector<ProxyConnection*>(connections_))
        if (connection->watches) answer(*connection, false);
}

std::string Discovery::format_list(int proxy, uint32_t from, uint32_t to, bool whole) const {
    static constexpr const char* states[] = {"SERVING", "DRAINING", "DELETED"};
    std::map<std::pair<int, int>, Entry> latest;   // by server and incarnation
    for (uint32_t i = from; i < to; ++i)
        latest[{changes_[i].server, changes_[i].entry.incarnation}] = changes_[i].entry;
    const auto& ports = ports_[static_cast<size_t>(proxy) % ports_.size()];
    std::ostringstream out;
    out.precision(17);
    out << "{\"rev\":" << to << ",\"all\":" << (whole ? "true" : "false") << ",\"targets\":[";
    bool first = true;
    for (const auto& [key, e] : latest) {
        if (whole && e.state == ListedState::removed) continue;
        const auto server = static_cast<uint16_t>(key.first);
        out << (first ? "" : ",") << "{\"uid\":\"s" << key.first;
        if (key.second) out << '-' << key.second;
        out << "\",\"endpoint\":\"" << endpoint(ip_of({Kind::server, static_cast<uint16_t>(proxy), server}), ports.at(server))
            << "\",\"az\":\"" << static_cast<char>('a' + key.first % e_.zones) << "\",\"model\":\"rig\",\"pod_group\":0,\"state\":\""
            << states[static_cast<int>(e.state)] << "\",\"capacity_hint\":" << e_.sizes[server % e_.sizes.size()]
            << ",\"boot_ms\":" << std::llround(e.boot * 1000) << '}';
        first = false;
    }
    return out.str() + "]}";
}

void Discovery::on_readable(Connection& c) {
    if (c.listens) {
        for (int fd; (fd = system_.accept(c.fd)) >= 0;) {
            const auto link = system_.link_of(fd);
            if (!link || link->kind != Kind::discovery) {
                system_.close(fd);
                continue;
            }
            connections_.push_back(&loop_.add(std::make_unique<ProxyConnection>(*this, fd, link->from)));
        }
        return;
    }
    auto& connection = static_cast<ProxyConnection&>(c);
    while (!connection.in.empty() && !connection.http.done() && !connection.http.fault())
        connection.in.drop(connection.http.feed(connection.in.front()));
    if (c.ended || connection.http.fault()) return end(connection);
    if (!connection.http.done() || connection.request_open) return;
    connection.request_open = true;
    records_.push_back({at(loop_.now()), 0, static_cast<uint16_t>(connection.proxy), true});
    if (silent_faults_) return;
    const auto from = connection.number("from="), hold = connection.number("hold_ms=");
    connection.from = static_cast<uint32_t>(from.value_or(0));
    connection.watches = from && hold && connection.from <= changes_.size();
    if (!connection.watches || visible() > connection.from) return answer(connection, true);
    loop_.set_timer(connection, loop_.now() + std::min(max_hold, Span{static_cast<double>(*hold) / 1000}));
}

void Discovery::answer(ProxyConnection& connection, bool even_unchanged) {
    const auto rev = visible();
    if (silent_faults_ || (!even_unchanged && rev <= connection.from)) return;
    const bool whole = !connection.watches;
    const auto to = std::max(rev, connection.watches ? connection.from : 0);
    connection.out.push(
        wire::format_response(200, format_list(connection.proxy, whole ? 0 : connection.from, to, whole), true));
    records_.push_back({at(loop_.now()), to, static_cast<uint16_t>(connection.proxy), false});
    connection.request_open = connection.watches = false;
    connection.http.reset();
    loop_.clear_timer(connection);
    loop_.flush(connection);
}

void Discovery::on_error(Connection& c, int) {
    if (!c.listens) end(static_cast<ProxyConnection&>(c));
}

void Discovery::on_timer(Connection& c) { answer(static_cast<ProxyConnection&>(c), true); }

void Discovery::end(ProxyConnection& connection) {
    if (connection.request_open)
        records_.push_back({at(loop_.now()), 0, static_cast<uint16_t>(connection.proxy), false});
    std::erase(connections_, &connection);
    loop_.close(connection, CloseReason::peer_closed);
}

void Discovery::write_results() {
    write_records(file("told"), records_);
    write_records(file("list"), list_);
}

}  // namespace myrtleroute::rig
