#include "lab/registry.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>
#include <utility>

#include "wire/ask.hpp"
#include "wire/text.hpp"

namespace myrtleroute::lab {

void Registry::put(Time at, const Entry& entry) {
    hidden_.erase(entry.uid);
    changes_.push_back({at, entry});
}

void Registry::hide(Time at, double part) {
    const auto all = listed_at(rev());
    for (size_t i = 0; i < all.size() && i < std::ceil(part * static_cast<double>(all.size())); ++i) {
        hidden_[all[i].uid] = all[i];
        changes_.push_back({at, all[i]});
        changes_.back().entry.state = Entry::State::deleted;
    }
}

void Registry::restore(Time at) {
    for (const auto& [uid, entry] : std::exchange(hidden_, {})) changes_.push_back({at, entry});
}

std::vector<Entry> Registry::changes_between(uint64_t from, uint64_t to) const {
    std::map<std::string, Entry> latest;
    for (uint64_t i = from; i < to; ++i) latest[changes_[i].entry.uid] = changes_[i].entry;
    std::vector<Entry> entries;
    for (const auto& [uid, entry] : latest) entries.push_back(entry);
    return entries;
}

std::vector<Entry> Registry::listed_at(uint64_t rev) const {
    auto entries = changes_between(0, rev);
    std::erase_if(entries, [](auto& e) { return e.state == Entry::State::deleted; });
    return entries;
}

uint64_t Registry::rev_at(Time at) const {
    uint64_t rev = 0;
    while (rev < changes_.size() && changes_[rev].at <= at) ++rev;
    return rev;
}

std::string Registry::to_json(uint64_t rev, bool whole, const std::vector<Entry>& entries) {
    static constexpr const char* states[] = {"SERVING", "DRAINING", "DELETED"};
    std::ostringstream out;
    out << "{\"rev\":" << rev << ",\"all\":" << (whole ? "true" : "false") << ",\"targets\":[";
    for (const auto& e : entries)
        out << (&e == &entries[0] ? "" : ",") << "{\"uid\":\"" << e.uid << "\",\"endpoint\":\""
            << endpoint(server_ip + 1 + static_cast<uint32_t>(e.server)) << "\",\"az\":\"z" << e.server % zones
            << "\",\"model\":\"lab\",\"pod_group\":0,\"state\":\"" << states[static_cast<int>(e.state)]
            << "\",\"capacity_hint\":" << 1 + e.server / 2 % 2 << ",\"boot_ms\":"
            << static_cast<long long>(e.launched.s > 0 ? (unix_time_at_zero + e.launched.s) * 1000 : 0) << '}';
    out << "]}";
    return out.str();
}

std::vector<Oracle::ListedServer> Registry::to_listed(const std::vector<Entry>& entries) {
    std::vector<Oracle::ListedServer> all;
    for (const auto& e : entries)
        all.push_back({e.server, e.uid, e.state == Entry::State::serving, e.launched.s > 0 ? e.launched : long_ago,
                       e.state == Entry::State::draining});
    return all;
}

struct Discovery::Call : wire::HttpHandler {
    explicit Call(Handle s) : socket(std::move(s)), machine(wire::HttpParser::Side::request, *this) {}
    Handle socket;
    wire::HttpParser machine;
    std::string target;
    bool is_watch = false;   // is answered when the list changes
    uint64_t from = 0;       // revision that the proxy has
    Time until;
    struct SentList {
        uint64_t end_offset;   // total bytes on this socket when it is sent whole
        bool whole;
        std::vector<Oracle::ListedServer> servers;
    };
    std::deque<SentList> sent_lists;
    int start(std::string_view, std::string_view where, std::string_view) override {
        target = where;
        return 0;
    }
    int field(std::string_view, std::string_view) override { return 0; }
    void body(std::string_view) override {}
    std::string_view number(std::string_view key) const {
        const auto at = target.find(key);
        if (at == target.npos) return {};
        const auto text = std::string_view(target).substr(at + key.size());
        return text.substr(0, text.find('&'));
    }
};

Discovery::Discovery(Site& site, Registry& registry, int number, uint64_t first)
    : site_(site), registry_(registry), number_(number), first_revision_(first), machine_{200 + number},
      random_(site.scenario.seed, 0x44495343u + static_cast<uint64_t>(number)) {}

Discovery::~Discovery() = default;

void Discovery::open() {
    open_ = true;
    if (!listener_ && !is_active(FaultKind::down))
        listener_ = site_.net.listen(machine_, *this, address_of(ip(), port));
}

void Discovery::close_soon() {
    open_ = false;
    if (listener_) site_.net.close(*std::exchange(listener_, nullptr));
    site_.queue.in({1.5}, [this] {
        while (!open_ && !calls_.empty()) close_call(calls_.begin()->first);
    });
}

void Discovery::fault_begins(const Fault& fault) {
    ++active_[static_cast<size_t>(fault.kind)];
    if (fault.kind == FaultKind::late_list) list_delay_ = fault.strength * 5;
    if (fault.kind != FaultKind::down) return;
    if (listener_) site_.net.close(*std::exchange(listener_, nullptr));
    while (!calls_.empty()) close_call(calls_.begin()->first, fault.strength < 0.5);
}

void Discovery::fault_ends(const Fault& fault) {
    --active_[static_cast<size_t>(fault.kind)];
    if (open_) open();
    registry_changed();
}

// While late_list is active, each change becomes visible after the delay of that fault.
uint64_t Discovery::visible_revision() const {
    return registry_.rev_at(site_.queue.now() - Span{is_active(FaultKind::late_list) ? list_delay_ : 0});
}

void Discovery::registry_changed() {
    for (auto& [number, call] : calls_)
        if (call->is_watch)
            site_.queue.in({0.001 + random_.exponential(0.003) + (is_active(FaultKind::late_list) ? list_delay_ : 0)},
                           [this, number = number] {
                               const auto it = calls_.find(number);
                               if (it != calls_.end() && it->second->is_watch) answer(*it->second, false);
                           });
}

bool Discovery::is_watched_by(int proxy) const {
    for (const auto& [number, call] : calls_)
        if (call->is_watch && call->socket->peer && call->socket->peer->machine->number == proxy) return true;
    return false;
}

void Discovery::socket_changed(Socket& socket) {
    if (socket.state == Socket::State::listening) {
        while (auto fresh = site_.net.accept(socket)) {
            fresh->observer = this;
            calls_[fresh->number] = std::make_unique<Call>(fresh);
            socket_changed(*fresh);
        }
        return;
    }
    const auto it = calls_.find(socket.number);
    if (it == calls_.end()) return;
    auto& call = *it->second;
    const auto bytes = site_.net.read_all(socket);
    std::string_view left = bytes;
    while (!left.empty() && !call.machine.done() && !call.machine.fault()) left.remove_prefix(call.machine.feed(left));
    if (socket.fin_in || socket.error || call.machine.fault()) return close_call(socket.number);
    if (!call.machine.done()) return;
    call.machine.next();
    if (is_active(FaultKind::silent_list)) return;
    if (is_active(FaultKind::no_list)) {
        if (random_.bernoulli(0.4)) return close_call(socket.number, true);
        return send(call, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    }
    const auto from = wire::parse_integer<uint64_t>(call.number("from="));
    const auto hold = wire::parse_integer<uint64_t>(call.number("hold_ms="));
    call.from = from && *from >= first_revision_ ? std::min(*from - first_revision_, registry_.rev()) : 0;
    call.is_watch = from && hold;
    call.until = site_.queue.now() + Span{static_cast<double>(hold.value_or(0)) / 1000};
    if (!call.is_watch) return answer(call, true);
    if (visible_revision() > call.from) return answer(call, true);
    site_.queue.at(call.until, [this, number = socket.number] {
        const auto found = calls_.find(number);
        if (found != calls_.end() && found->second->is_watch && site_.queue.now() >= found->second->until)
            answer(*found->second, true);
    });
}

void Discovery::answer(Call& call, bool even_if_unchanged) {
    if (is_active(FaultKind::silent_list)) return;
    const auto rev = visible_revision();
    if (!even_if_unchanged && rev <= call.from) return;
    const bool whole = !call.is_watch;
    call.is_watch = false;
    const auto entries = whole ? registry_.listed_at(rev) : rev > call.from ? registry_.changes_between(call.from, rev)
                                                                           : std::vector<Entry>{};
    auto body = Registry::to_json(std::max(rev, whole ? rev : call.from) + first_revision_, whole, entries);
    if (is_active(FaultKind::nonsense)) {
        static constexpr const char* nonsense[] = {"{\"rev\":1,\"all\":true}", "[]", "{\"rev\":\"x\",\"all\":1,\"targets\":[]}",
                                                   "<html>busy</html>"};
        if (random_.bernoulli(0.5)) body = nonsense[random_.below(4)];
        else body.resize(body.size() / 2);
        return send(call, wire::format_response(200, body, true));
    }
    const auto text = wire::format_response(200, body, true);
    call.sent_lists.push_back(
        {call.socket->bytes_sent + call.socket->unsent.size() + text.size(), whole, Registry::to_listed(entries)});
    send(call, text);
}

void Discovery::send(Call& call, const std::string& text) { site_.net.send(*call.socket, text); }

bool Discovery::bytes_arrived(int proxy, const Socket& proxys_end) {
    const auto it = proxys_end.peer ? calls_.find(proxys_end.peer->number) : calls_.end();
    if (it == calls_.end()) return false;
    auto& sent_lists = it->second->sent_lists;
    while (!sent_lists.empty() && proxys_end.bytes_received >= sent_lists.front().end_offset) {
        site_.oracle.list_received(proxy, sent_lists.front().whole, sent_lists.front().servers);
        site_.oracle.discovery_request(proxy, false);
        sent_lists.pop_front();
    }
    return true;
}

void Discovery::close_call(uint64_t socket, bool reset) {
    const auto it = calls_.find(socket);
    if (it == calls_.end()) return;
    const auto call = std::move(it->second);
    calls_.erase(it);
    if (reset) site_.net.reset(*call->socket);
    else site_.net.close(*call->socket);
}

}  // namespace myrtleroute::lab
