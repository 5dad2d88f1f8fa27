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

constexpr Span most_hold{60};
constexpr uint64_t change_cookie = 1;

}  // namespace

struct Discovery::Line : Connection, wire::HttpHandler {
    Line(Discovery& by, int fd, int from)
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
    bool asks = false, watches = false;
    uint32_t from = 0;
};

Discovery::Discovery(Experiment e, std::string directory, std::string name)
    : Part(std::move(e), std::move(directory), std::move(name)), now_(static_cast<size_t>(e_.servers)) {
    open();
    tell("port " + std::to_string(static_cast<int>(Kind::discovery)) + " 0 " + std::to_string(port_));
    tell("ready");
}

void Discovery::open() {
    const int fd = system_.listen_anywhere(port_);
    if (fd < 0) throw std::runtime_error("discovery can't listen: " + std::string(std::strerror(errno)));
    listener_ = &loop_.add(std::make_unique<Listener>(*this, fd));
}

void Discovery::told(const std::string& word, std::istringstream& more) {
    if (word == "port") {   // of a server, for the proxies of one relay
        size_t relay;
        int server;
        uint16_t port;
        more >> relay >> server >> port;
        if (ports_.size() <= relay) ports_.resize(relay + 1);
        ports_[relay][server] = port;
    } else if (word == "first") {
        for (int i = 0; i < e_.servers; ++i) put(i, now_[static_cast<size_t>(i)]);
    } else if (word == "list") {
        int server, state, life;
        double boot;
        more >> server >> state >> boot >> life;
        auto entry = now_[static_cast<size_t>(server)];
        if (life != entry.life && entry.state != Listed::gone) {   // the old name goes
            entry.state = Listed::gone;
            put(server, entry);
        }
        put(server, {static_cast<Listed>(state), boot, life, 0});
    } else if (word == "fault") {
        int number;
        std::string kind;
        double how;
        more >> number >> kind >> how;
        kinds_[number] = kind;
        if (kind == "late") late_[number] = how;
        if (kind == "silent") ++silent_;
        if (kind == "absent" && absent_++ == 0) {
            if (listener_) loop_.close(*std::exchange(listener_, nullptr), CloseReason::stopping);
            while (!lines_.empty()) end(*lines_.back());
        }
        if (kind == "shrink") {
            const auto many = static_cast<int>(std::ceil(how * e_.servers));
            for (int i = 0; i < std::min(many, e_.servers); ++i) {
                auto entry = now_[static_cast<size_t>(i)];
                if (entry.state != Listed::serving) continue;
                shrunk_[number].push_back(i);
                entry.state = Listed::gone;
                put(i, entry);
            }
        }
    } else if (word == "over") {
        int number;
        more >> number;
        const auto kind = kinds_[number];
        kinds_.erase(number);
        late_.erase(number);
        if (kind == "silent") --silent_;
        if (kind == "absent" && --absent_ == 0) open();
        for (const int server : shrunk_[number]) {
            auto entry = now_[static_cast<size_t>(server)];
            if (entry.state != Listed::gone) continue;
            entry.state = Listed::serving;
            put(server, entry);
        }
        shrunk_.erase(number);
        loop_.schedule(loop_.now(), change_cookie);
    }
}

void Discovery::put(int server, const Entry& entry) {
    now_[static_cast<size_t>(server)] = entry;
    changes_.push_back({loop_.now(), server, entry});
    list_.push_back({at(loop_.now()), entry.boot, static_cast<uint32_t>(changes_.size()), static_cast<uint16_t>(server),
                     static_cast<uint16_t>(entry.life), entry.state});
    double wait = 0.001;
    for (const auto& [number, late] : late_) wait = std::max(wait, late);
    loop_.schedule(loop_.now() + Span{wait}, change_cookie);
}

uint32_t Discovery::visible() const {
    double late = 0;
    for (const auto& [number, each] : late_) late = std::max(late, each);
    uint32_t rev = static_cast<uint32_t>(changes_.size());
    while (rev > 0 && late > 0 && changes_[rev - 1].at > loop_.now() - Span{late}) --rev;
    return rev;
}

void Discovery::woken(uint64_t) {
    for (auto* line : std::vector<Line*>(lines_))
        if (line->watches) answer(*line, false);
}

std::string Discovery::words(int proxy, uint32_t from, uint32_t to, bool whole) const {
    static constexpr const char* states[] = {"SERVING", "DRAINING", "DELETED"};
    std::map<std::pair<int, int>, Entry> latest;   // by server and life
    for (uint32_t i = from; i < to; ++i) latest[{changes_[i].server, changes_[i].entry.life}] = changes_[i].entry;
    const auto& ports = ports_[static_cast<size_t>(proxy) % ports_.size()];
    std::ostringstream out;
    out.precision(17);
    out << "{\"rev\":" << to << ",\"all\":" << (whole ? "true" : "false") << ",\"targets\":[";
    bool first = true;
    for (const auto& [key, e] : latest) {
        if (whole && e.state == Listed::gone) continue;
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
            lines_.push_back(&loop_.add(std::make_unique<Line>(*this, fd, link->from)));
        }
        return;
    }
    auto& line = static_cast<Line&>(c);
    while (!line.in.empty() && !line.http.done() && !line.http.fault()) line.in.drop(line.http.feed(line.in.front()));
    if (c.ended || line.http.fault()) return end(line);
    if (!line.http.done() || line.asks) return;
    line.asks = true;
    told_.push_back({at(loop_.now()), 0, static_cast<uint16_t>(line.proxy), true});
    if (silent_) return;
    const auto from = line.number("from="), hold = line.number("hold_ms=");
    line.from = static_cast<uint32_t>(from.value_or(0));
    line.watches = from && hold && line.from <= changes_.size();
    if (!line.watches || visible() > line.from) return answer(line, true);
    loop_.set_timer(line, loop_.now() + std::min(most_hold, Span{static_cast<double>(*hold) / 1000}));
}

void Discovery::answer(Line& line, bool anyway) {
    const auto rev = visible();
    if (silent_ || (!anyway && rev <= line.from)) return;
    const bool whole = !line.watches;
    const auto to = std::max(rev, line.watches ? line.from : 0);
    line.out.push(wire::format_response(200, words(line.proxy, whole ? 0 : line.from, to, whole), true));
    told_.push_back({at(loop_.now()), to, static_cast<uint16_t>(line.proxy), false});
    line.asks = line.watches = false;
    line.http.next();
    loop_.clear_timer(line);
    loop_.flush(line);
}

void Discovery::on_error(Connection& c, int) {
    if (!c.listens) end(static_cast<Line&>(c));
}

void Discovery::on_timer(Connection& c) { answer(static_cast<Line&>(c), true); }

void Discovery::end(Line& line) {
    if (line.asks) told_.push_back({at(loop_.now()), 0, static_cast<uint16_t>(line.proxy), false});
    std::erase(lines_, &line);
    loop_.close(line, CloseReason::peer_closed);
}

void Discovery::finish() {
    write_records(file("told"), told_);
    write_records(file("list"), list_);
}

}  // namespace myrtleroute::rig
