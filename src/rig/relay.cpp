#include "rig/relay.hpp"

#include <sys/socket.h>

#include <algorithm>

#include "rig/lists.hpp"

namespace myrtleroute::rig {

using memory::Connection;
using memory::CloseReason;

namespace {

constexpr size_t max_in = 64 * 1024, max_out = 512 * 1024;

}  // namespace

struct Relay::Door : Listener {
    Door(memory::ConnectionHandler& by, int fd, Kind of, uint16_t party) : Listener(by, fd), kind(of), to(party) {}
    Kind kind;
    uint16_t to;
};

struct Relay::End : Connection {
    End(memory::ConnectionHandler& by, int fd, Pair& of, int sends) : Connection(by, fd, max_in, max_out), pair(&of), way(sends) {}
    std::string name() const override { return "link"; }
    Pair* pair;
    int way;                     // of what this end sends: 0 there, 1 back
    bool last = false, done = false;   // nothing follows what is in `out`; and the other end knows
};

struct Relay::Pair {
    Link link;
    End* ends[2] = {nullptr, nullptr};   // by the way of what they send
    Stream streams[2];
    Treatment treatments[2];
    uint64_t seen = 0;
};

Relay::Relay(Experiment e, std::string directory, std::string name, int number, int of)
    : Part(std::move(e), std::move(directory), std::move(name)), number_(number), of_(of),
      chance_(e_.seed, 0x52454c41u + static_cast<uint64_t>(number)) {}

Relay::~Relay() = default;

bool Relay::mine(const Link& link) const { return link.from % of_ == number_; }

void Relay::told(const std::string& word, std::istringstream& more) {
    if (word == "backend") {
        int kind, to;
        uint32_t ip;
        uint16_t port;
        more >> kind >> to >> ip >> port;
        auto& backend = backends_[{kind, to}];
        backend.at = address(ip, port);
        if (static_cast<Kind>(kind) == Kind::peer) {
            peers_[static_cast<uint16_t>(to)] = port;
            if (!datagrams_) {
                const int fd = system_.datagrams_anywhere(datagram_port_);
                if (fd < 0) throw std::runtime_error("no port for datagrams");
                datagrams_ = &loop_.add(std::make_unique<Listener>(*this, fd));
            }
            backend.port = datagram_port_;
        } else {
            open(static_cast<Kind>(kind), static_cast<uint16_t>(to), backend);
        }
        tell("port " + std::to_string(kind) + " " + std::to_string(to) + " " + std::to_string(backend.port));
    } else if (word == "down" || word == "up") {
        int kind, to;
        more >> kind >> to;
        auto& backend = backends_[{kind, to}];
        if (word == "up" && !backend.listener) open(static_cast<Kind>(kind), static_cast<uint16_t>(to), backend);
        if (word == "down" && backend.listener)
            loop_.close(*std::exchange(backend.listener, nullptr), CloseReason::stopping);
    } else if (word == "rule") {
        int number, kind, way;
        std::string from, to;
        Rule r{};
        auto& t = r.treatment;
        more >> number >> kind >> way >> t.delay >> t.jitter >> t.rate >> t.loss >> t.mangle >> t.half_close >> t.duplicate >>
            t.stall >> t.cut >> t.hard >> from >> to;
        r.kind = static_cast<Kind>(kind);
        r.way = static_cast<Way>(way);
        r.from = read_list(from, most_parties + 1);
        r.to = read_list(to, most_parties + 1);
        if (t.cut) cut_off(true, r);
        rules_[number] = std::move(r);
        rules_changed();
    } else if (word == "over") {
        int number;
        more >> number;
        const auto it = rules_.find(number);
        if (it == rules_.end()) return;
        if (it->second.treatment.cut) cut_off(false, it->second);
        rules_.erase(it);
        rules_changed();
    }
}

void Relay::open(Kind kind, uint16_t to, Backend& backend) {
    const int fd = system_.listen_anywhere(backend.port);
    if (fd < 0) throw std::runtime_error("the relay can't listen: " + std::string(std::strerror(errno)));
    backend.listener = &loop_.add(std::make_unique<Door>(*this, fd, kind, to));
}

// What is cut hears no connect: a deaf listener at the link's own address stands before the one for all.
void Relay::cut_off(bool cuts, const Rule& rule) {
    for (const auto& [key, backend] : backends_) {
        if (key.first != static_cast<int>(rule.kind) || rule.kind == Kind::peer || !rule.to[static_cast<size_t>(key.second)]) continue;
        for (int from = 0; from < e_.proxies; ++from) {
            const Link link{rule.kind, static_cast<uint16_t>(from), static_cast<uint16_t>(key.second)};
            const bool one = rule.kind == Kind::application && from != key.second;   // an application has one proxy
            if (!rule.from[static_cast<size_t>(from)] || !mine(link) || one) continue;
            auto& [fd, rules] = deaf_[ip_of(link)];
            if (cuts && rules++ == 0) fd = system_.listen_deaf(address(ip_of(link), backend.port));
            if (!cuts && --rules == 0) {
                if (fd >= 0) system_.close(fd);
                deaf_.erase(ip_of(link));
            }
        }
    }
}

Treatment Relay::treatment_of(const Link& link, int way) const {
    Treatment all;
    for (const auto& [number, rule] : rules_)
        if (rule.kind == link.kind && rule.from[link.from] && rule.to[link.to] &&
            (rule.way == both || (rule.way == there) == (way == 0)))
            all.add(rule.treatment);
    return all;
}

const Treatment& Relay::treatment(Pair& pair, int way) {
    if (pair.seen != rules_seen_) {
        pair.seen = rules_seen_;
        for (const int w : {0, 1}) pair.treatments[w] = treatment_of(pair.link, w);
    }
    return pair.treatments[way];
}

void Relay::rules_changed() {
    ++rules_seen_;
    std::vector<Pair*> all;
    for (const auto& [pair, owned] : pairs_) all.push_back(pair);
    for (auto* pair : all) {
        if (treatment(*pair, 0).hard || treatment(*pair, 1).hard) {
            drop(*pair, true);
            continue;
        }
        if (!pair->ends[1]) connect(*pair);
        for (const int way : {0, 1})
            if (pairs_.count(pair)) give(*pair, way);
    }
}

void Relay::accept(Door& door) {
    for (int fd; (fd = system_.accept(door.fd)) >= 0;) {
        const auto link = system_.link_of(fd);
        if (!link || link->kind != door.kind || link->to != door.to) {
            system_.close(fd);
            continue;
        }
        auto owned = std::make_unique<Pair>();
        auto& pair = *owned;
        pair.link = *link;
        if (treatment(pair, 0).hard || treatment(pair, 1).hard) {
            system_.reset_on_close(fd);
            system_.close(fd);
            continue;
        }
        pairs_.emplace(&pair, std::move(owned));
        most_pairs_ = std::max(most_pairs_, pairs_.size());
        ++connections_;
        pair.ends[0] = &loop_.add(std::make_unique<End>(*this, fd, pair, 0));
        connect(pair);
    }
}

// A connection that slipped in before the cut is carried on once it is over.
void Relay::connect(Pair& pair) {
    if (treatment(pair, 0).cut || treatment(pair, 1).cut) return;
    const auto it = backends_.find({static_cast<int>(pair.link.kind), pair.link.to});
    sockaddr_in at = it->second.at;
    if (at.sin_addr.s_addr == 0) at.sin_addr.s_addr = htonl(ip_of(pair.link));
    bool at_once = false;
    const int fd = system_.connect(at, at_once);
    if (fd < 0) return drop(pair, true);
    auto end = std::make_unique<End>(*this, fd, pair, 1);
    end->connecting = !at_once;
    pair.ends[1] = &loop_.add(std::move(end));
    pull(pair, 0);
}

void Relay::on_readable(Connection& c) {
    if (datagrams_ && c.fd == datagrams_->fd) return datagrams_came();
    if (c.listens) return accept(static_cast<Door&>(c));
    auto& end = static_cast<End&>(c);
    pull(*end.pair, end.way);
}

void Relay::pull(Pair& pair, int way) {
    auto* from = pair.ends[way];
    if (!from) return;
    const auto& t = treatment(pair, way);
    bool took = false;
    while (!from->in.empty() && pair.streams[way].room() > 0) {
        const auto bytes = from->in.front().substr(0, pair.streams[way].room());
        pair.streams[way].take(loop_.now(), bytes, t, chance_);
        bytes_ += bytes.size();
        from->in.drop(bytes.size());
        took = true;
    }
    if (from->ended && from->in.empty()) pair.streams[way].end(loop_.now(), t, chance_, Stream::Event::ends);
    else if (took) loop_.flush(*from);   // looks again whether it may be read
    give(pair, way);
}

void Relay::give(Pair& pair, int way) {
    auto* to = pair.ends[1 - way];
    if (!to) return;
    std::string bytes;
    auto then = Stream::Event::none;
    bool gave = false;
    auto& stream = pair.streams[way];
    while (!stream.empty() && to->out.size() + stream.next_size() <= max_out &&
           stream.give(loop_.now(), treatment(pair, way), bytes, then)) {
        gave = true;
        to->out.push(bytes);
        if (then == Stream::Event::ends) to->last = true;
        if (then != Stream::Event::breaks) continue;
        loop_.flush(*to);
        return drop(pair, true);
    }
    if (gave) {
        loop_.flush(*to);
        finish_sending(*to);
        if (!pairs_.count(&pair)) return;
        if (auto* from = pair.ends[way]; from && !from->in.empty()) pull(pair, way);
        if (!pairs_.count(&pair)) return;
    }
    if (!stream.empty() && !treatment(pair, way).holds()) loop_.set_timer(*to, std::max(stream.next(), loop_.now() + Span{1e-4}));
    else loop_.clear_timer(*to);
}

void Relay::finish_sending(End& end) {
    if (!end.last || end.done || !end.out.empty() || end.connecting) return;
    end.done = true;
    system_.shutdown_write(end.fd);
    auto& pair = *end.pair;
    if (pair.ends[0] && pair.ends[1] && pair.ends[0]->done && pair.ends[1]->done) drop(pair, false);
}

void Relay::on_written(Connection& c) {
    if (c.listens) return;
    auto& end = static_cast<End&>(c);
    auto& pair = *end.pair;
    const int way = 1 - end.way;
    finish_sending(end);
    if (pairs_.count(&pair)) give(pair, way);
}

// The other side hears of a reset as late as of bytes, and not at all while the link is cut.
void Relay::on_error(Connection& c, int) {
    if (c.listens) return;
    auto& end = static_cast<End&>(c);
    auto& pair = *end.pair;
    const int way = end.way;
    pair.streams[way].end(loop_.now(), treatment(pair, way), chance_, Stream::Event::breaks);
    pair.ends[way] = nullptr;
    loop_.close(end, CloseReason::peer_reset);
    if (pair.ends[1 - way]) give(pair, way);
    else drop(pair, true);
}

void Relay::on_timer(Connection& c) {
    auto& end = static_cast<End&>(c);
    give(*end.pair, 1 - end.way);
}

void Relay::drop(Pair& pair, bool reset) {
    for (auto* end : pair.ends) {
        if (!end) continue;
        if (reset) system_.reset_on_close(end->fd);
        loop_.close(*end, reset ? CloseReason::peer_reset : CloseReason::peer_closed);
    }
    pairs_.erase(&pair);
}

void Relay::datagrams_came() {
    while (const auto d = system_.receive(datagrams_->fd)) {
        const auto link = link_at(ntohl(d->to.sin_addr.s_addr));
        if (!link || link->kind != Kind::peer || !peers_.count(link->to)) continue;
        ++datagram_count_;
        bytes_ += d->bytes.size();
        // A pair of proxies has two links, one each way, so `there` is the way of the datagram.
        const auto t = treatment_of(*link, 0);
        if (t.holds() || t.hard || chance_.bernoulli(t.loss)) {
            ++lost_;
            continue;
        }
        const Link answers{Kind::peer, link->to, link->from};
        Late late{address(ip_of(answers), datagram_port_), address(door_ip(link->to), peers_[link->to]), std::string(d->bytes)};
        for (int copies = 1 + chance_.bernoulli(t.duplicate); copies > 0; --copies) {
            const Span wait{t.delay + (t.jitter > 0 ? t.jitter * chance_.uniform() : 0)};   // overtakes, as datagrams may
            if (wait <= Span{}) {
                system_.send(datagrams_->fd, {late.from, late.to, late.bytes});
                continue;
            }
            late_[next_late_] = late;
            loop_.schedule(loop_.now() + wait, next_late_++);
        }
    }
}

void Relay::woken(uint64_t cookie) {
    const auto it = late_.find(cookie);
    if (it == late_.end()) return;
    system_.send(datagrams_->fd, {it->second.from, it->second.to, it->second.bytes});
    late_.erase(it);
}

void Relay::finish() {
    tell("relayed " + std::to_string(connections_) + " " + std::to_string(most_pairs_) + " " + std::to_string(bytes_) + " " +
         std::to_string(datagram_count_) + " " + std::to_string(lost_));
}

}  // namespace myrtleroute::rig
