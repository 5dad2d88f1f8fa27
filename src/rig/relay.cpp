#include "rig/relay.hpp"

#include <sys/socket.h>

#include <algorithm>

#include "rig/lists.hpp"

namespace myrtleroute::rig {

using memory::Connection;
using memory::CloseReason;

namespace {

constexpr size_t max_in_bytes = 64 * 1024, max_out_bytes = 512 * 1024;

}  // namespace

struct Relay::LinkListener : Listener {
    LinkListener(memory::ConnectionHandler& by, int fd, Kind of, uint16_t party)
        : Listener(by, fd), kind(of), to(party) {}
    Kind kind;
    uint16_t to;
};

struct Relay::End : Connection {
    End(memory::ConnectionHandler& by, int fd, Pair& of, int sends)
        : Connection(by, fd, max_in_bytes, max_out_bytes), pair(&of), way(sends) {}
    std::string name() const override { return "link"; }
    Pair* pair;
    int way;                     // direction in which this end sends: 0 forward, 1 backward
    bool last = false, done = false;   // `out` holds the last bytes; the write side has been shut down
};

struct Relay::Pair {
    Link link;
    End* ends[2] = {nullptr, nullptr};   // by the direction in which they send
    Stream streams[2];
    Impairment impairments[2];
    uint64_t rules_version = 0;
};

Relay::Relay(Experiment e, std::string directory, std::string name, int number, int of)
    : Part(std::move(e), std::move(directory), std::move(name)), number_(number), of_(of),
      chance_(e_.seed, 0x52454c41u + static_cast<uint64_t>(number)) {}

Relay::~Relay() = default;

bool Relay::mine(const Link& link) const { return link.from % of_ == number_; }

void Relay::on_command(const std::string& word, std::istringstream& more) {
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
                const int fd = system_.datagrams_on_loopback(datagram_port_);
                if (fd < 0) throw std::runtime_error("no free port for datagrams");
                datagrams_ = &loop_.add(std::make_unique<Listener>(*this, fd));
            }
            backend.port = datagram_port_;
        } else {
            open(static_cast<Kind>(kind), static_cast<uint16_t>(to), backend);
        }
        send_line("port " + std::to_string(kind) + " " + std::to_string(to) + " " + std::to_string(backend.port));
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
        LinkRule r{};
        auto& t = r.impairment;
        more >> number >> kind >> way >> t.delay >> t.jitter >> t.rate >> t.loss >> t.mangle >> t.half_close >> t.duplicate >>
            t.stall >> t.cut >> t.hard >> from >> to;
        r.kind = static_cast<Kind>(kind);
        r.way = static_cast<Way>(way);
        r.from = read_list(from, max_parties + 1);
        r.to = read_list(to, max_parties + 1);
        if (t.cut) update_cut(true, r);
        rules_[number] = std::move(r);
        rules_changed();
    } else if (word == "over") {
        int number;
        more >> number;
        const auto it = rules_.find(number);
        if (it == rules_.end()) return;
        if (it->second.impairment.cut) update_cut(false, it->second);
        rules_.erase(it);
        rules_changed();
    }
}

void Relay::open(Kind kind, uint16_t to, Backend& backend) {
    const int fd = system_.listen_on_loopback(backend.port);
    if (fd < 0) throw std::runtime_error("the relay can't listen: " + std::string(std::strerror(errno)));
    backend.listener = &loop_.add(std::make_unique<LinkListener>(*this, fd, kind, to));
}

// A cut link accepts no connection: an unresponsive listener at the link's own address takes precedence over the one for
// all addresses.
void Relay::update_cut(bool cuts, const LinkRule& rule) {
    for (const auto& [key, backend] : backends_) {
        if (key.first != static_cast<int>(rule.kind) || rule.kind == Kind::peer || !rule.to[static_cast<size_t>(key.second)]) continue;
        for (int from = 0; from < e_.proxies; ++from) {
            const Link link{rule.kind, static_cast<uint16_t>(from), static_cast<uint16_t>(key.second)};
            const bool one =
                rule.kind == Kind::application && from != key.second;   // an application has links to one proxy only
            if (!rule.from[static_cast<size_t>(from)] || !mine(link) || one) continue;
            auto& [fd, rules] = unresponsive_[ip_of(link)];
            if (cuts && rules++ == 0) fd = system_.listen_unresponsive(address(ip_of(link), backend.port));
            if (!cuts && --rules == 0) {
                if (fd >= 0) system_.close(fd);
                unresponsive_.erase(ip_of(link));
            }
        }
    }
}

Impairment Relay::impairment_of(const Link& link, int way) const {
    Impairment all;
    for (const auto& [number, rule] : rules_)
        if (rule.kind == link.kind && rule.from[link.from] && rule.to[link.to] &&
            (rule.way == both || (rule.way == forward_way) == (way == 0)))
            all.add(rule.impairment);
    return all;
}

const Impairment& Relay::impairment(Pair& pair, int way) {
    if (pair.rules_version != rules_version_) {
        pair.rules_version = rules_version_;
        for (const int w : {0, 1}) pair.impairments[w] = impairment_of(pair.link, w);
    }
    return pair.impairments[way];
}

void Relay::rules_changed() {
    ++rules_version_;
    std::vector<Pair*> all;
    for (const auto& [pair, owned] : pairs_) all.push_back(pair);
    for (auto* pair : all) {
        if (impairment(*pair, 0).hard || impairment(*pair, 1).hard) {
            drop(*pair, true);
            continue;
        }
        if (!pair->ends[1]) connect(*pair);
        for (const int way : {0, 1})
            if (pairs_.count(pair)) forward(*pair, way);
    }
}

void Relay::accept(LinkListener& listener) {
    for (int fd; (fd = system_.accept(listener.fd)) >= 0;) {
        const auto link = system_.link_of(fd);
        if (!link || link->kind != listener.kind || link->to != listener.to) {
            system_.close(fd);
            continue;
        }
        auto owned = std::make_unique<Pair>();
        auto& pair = *owned;
        pair.link = *link;
        if (impairment(pair, 0).hard || impairment(pair, 1).hard) {
            system_.reset_on_close(fd);
            system_.close(fd);
            continue;
        }
        pairs_.emplace(&pair, std::move(owned));
        max_pairs_ = std::max(max_pairs_, pairs_.size());
        ++connections_;
        pair.ends[0] = &loop_.add(std::make_unique<End>(*this, fd, pair, 0));
        connect(pair);
    }
}

// A connection that was accepted just before a cut is forwarded after the cut has ended.
void Relay::connect(Pair& pair) {
    if (impairment(pair, 0).cut || impairment(pair, 1).cut) return;
    const auto it = backends_.find({static_cast<int>(pair.link.kind), pair.link.to});
    sockaddr_in at = it->second.at;
    if (at.sin_addr.s_addr == 0) at.sin_addr.s_addr = htonl(ip_of(pair.link));
    bool at_once = false;
    const int fd = system_.connect(at, at_once);
    if (fd < 0) return drop(pair, true);
    auto end = std::make_unique<End>(*this, fd, pair, 1);
    end->connecting = !at_once;
    pair.ends[1] = &loop_.add(std::move(end));
    read_into_stream(pair, 0);
}

void Relay::on_readable(Connection& c) {
    if (datagrams_ && c.fd == datagrams_->fd) return datagrams_came();
    if (c.listens) return accept(static_cast<LinkListener&>(c));
    auto& end = static_cast<End&>(c);
    read_into_stream(*end.pair, end.way);
}

void Relay::read_into_stream(Pair& pair, int way) {
    auto* from = pair.ends[way];
    if (!from) return;
    const auto& t = impairment(pair, way);
    bool took = false;
    while (!from->in.empty() && pair.streams[way].room() > 0) {
        const auto bytes = from->in.front().substr(0, pair.streams[way].room());
        pair.streams[way].push(loop_.now(), bytes, t, chance_);
        bytes_ += bytes.size();
        from->in.drop(bytes.size());
        took = true;
    }
    if (from->ended && from->in.empty()) pair.streams[way].end(loop_.now(), t, chance_, Stream::Event::eof);
    else if (took) loop_.flush(*from);   // re-evaluates whether the connection is read
    forward(pair, way);
}

void Relay::forward(Pair& pair, int way) {
    auto* to = pair.ends[1 - way];
    if (!to) return;
    std::string bytes;
    auto then = Stream::Event::none;
    bool forwarded = false;
    auto& stream = pair.streams[way];
    while (!stream.empty() && to->out.size() + stream.next_size() <= max_out_bytes &&
           stream.pop(loop_.now(), impairment(pair, way), bytes, then)) {
        forwarded = true;
        to->out.push(bytes);
        if (then == Stream::Event::eof) to->last = true;
        if (then != Stream::Event::reset) continue;
        loop_.flush(*to);
        return drop(pair, true);
    }
    if (forwarded) {
        loop_.flush(*to);
        finish_sending(*to);
        if (!pairs_.count(&pair)) return;
        if (auto* from = pair.ends[way]; from && !from->in.empty()) read_into_stream(pair, way);
        if (!pairs_.count(&pair)) return;
    }
    if (!stream.empty() && !impairment(pair, way).blocks())
        loop_.set_timer(*to, std::max(stream.next(), loop_.now() + Span{1e-4}));
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
    if (pairs_.count(&pair)) forward(pair, way);
}

// A reset reaches the other side with the same delay as bytes, and not while the link is cut.
void Relay::on_error(Connection& c, int) {
    if (c.listens) return;
    auto& end = static_cast<End&>(c);
    auto& pair = *end.pair;
    const int way = end.way;
    pair.streams[way].end(loop_.now(), impairment(pair, way), chance_, Stream::Event::reset);
    pair.ends[way] = nullptr;
    loop_.close(end, CloseReason::peer_reset);
    if (pair.ends[1 - way]) forward(pair, way);
    else drop(pair, true);
}

void Relay::on_timer(Connection& c) {
    auto& end = static_cast<End&>(c);
    forward(*end.pair, 1 - end.way);
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
        // A pair of proxies has two links, one for each direction, so a datagram always goes forward.
        const auto t = impairment_of(*link, 0);
        if (t.blocks() || t.hard || chance_.bernoulli(t.loss)) {
            ++lost_;
            continue;
        }
        const Link answers{Kind::peer, link->to, link->from};
        DelayedDatagram delayed{address(ip_of(answers), datagram_port_), address(listen_ip(link->to), peers_[link->to]),
                                std::string(d->bytes)};
        for (int copies = 1 + chance_.bernoulli(t.duplicate); copies > 0; --copies) {
            const Span wait{t.delay +
                            (t.jitter > 0 ? t.jitter * chance_.uniform() : 0)};   // may reorder, as datagrams do
            if (wait <= Span{}) {
                system_.send(datagrams_->fd, {delayed.from, delayed.to, delayed.bytes});
                continue;
            }
            delayed_[next_delayed_] = delayed;
            loop_.schedule(loop_.now() + wait, next_delayed_++);
        }
    }
}

void Relay::timer_fired(uint64_t cookie) {
    const auto it = delayed_.find(cookie);
    if (it == delayed_.end()) return;
    system_.send(datagrams_->fd, {it->second.from, it->second.to, it->second.bytes});
    delayed_.erase(it);
}

void Relay::write_results() {
    send_line("relayed " + std::to_string(connections_) + " " + std::to_string(max_pairs_) + " " +
              std::to_string(bytes_) + " " + std::to_string(datagram_count_) + " " + std::to_string(lost_));
}

}  // namespace myrtleroute::rig
