#include "roles/control/host_service.hpp"

#include <nlohmann/json.hpp>
#include <optional>

namespace myrtleroute::control {
namespace {

using registry::Host;
using registry::HostState;

constexpr Span confirm_within{0.8};   // a host waits for its acknowledgement for a second
constexpr Span batch_every{0.6};
constexpr Span longest_tick{0.6};    // a longer pause was a freeze: heartbeats may have been missed
constexpr size_t most_owed = 1024;   // confirmations; a node that waits in vain is told again by the host

std::optional<Host> read_heartbeat(const std::string& id, const std::string& body) {
    try {
        const auto j = nlohmann::json::parse(body);
        Host host;
        host.id = id;
        j.at("service").get_to(host.service);
        j.at("address").get_to(host.address);
        host.zone = j.value("zone", "");
        host.version = j.value("version", "");
        host.capacity = std::max(1, j.value("capacity", 1));
        host.state = j.value("state", "ready") == "draining" ? HostState::draining : HostState::ready;
        host.sequence = j.value("sequence", uint64_t{0});
        return parse_endpoint(host.address) ? std::optional(host) : std::nullopt;
    } catch (const nlohmann::json::exception&) {
        return {};
    }
}

}   // namespace

void HostService::acknowledge(RequestId request) { outputs_.push_back(HttpResponse{request, 200, "{}", {}}); }

void HostService::spread(const Host& host, uint64_t confirm) {
    spread_.tell_all(messages::HostsUpdate{{host}, confirm});
    spread_.tell_subscribers({host});
}

void HostService::heartbeat(RequestId request, const std::string& id, const std::string& body, bool current, Time now) {
    const auto host = read_heartbeat(id, body);
    if (!host) {
        outputs_.push_back(refusal(request, 400, "a heartbeat has service, address and sequence"));
        return;
    }
    const bool changed = table_.merge(*host, now);
    if (!changed) heard_[id] = host->sequence;
    const Host* merged = table_.find(id);
    if (host->state == HostState::draining) return announce(request, *merged, now);
    if (changed) spread(*merged, 0);
    if (current) return acknowledge(request);
    outputs_.push_back(refusal(request, 503, "this node is not in touch with a majority, tell another one"));
}

void HostService::leave(RequestId request, const std::string& id, Time now) {
    Host host;
    if (const Host* known = table_.find(id)) host = *known;
    host.id = id;
    host.state = HostState::gone;
    table_.merge(host, now);
    announce(request, host, now);
}

void HostService::announce(RequestId request, const Host& host, Time now) {
    const auto number = next_confirm_++;
    unconfirmed_[number] = {request, host.id, host.state, {}, spread_.write(), now + confirm_within};
    spread(host, number);
    settle_written();
}

void HostService::confirmed(const consensus::ReplicaId& by, uint64_t number) {
    const auto it = unconfirmed_.find(number);
    if (it == unconfirmed_.end()) return;
    it->second.by.insert(by);
    settle(number);
}

void HostService::written(uint64_t number) {
    written_ = std::max(written_, number);
    settle_written();
}

// What waits for this node's own disk.
void HostService::settle_written() {
    std::vector<uint64_t> safe;
    for (auto& [number, announced] : unconfirmed_)
        if (announced.write <= written_ && announced.by.insert(self_).second) safe.push_back(number);
    for (const auto number : safe) settle(number);
    while (!owed_.empty() && owed_.front().write <= written_) {
        spread_.tell(owed_.front().to, messages::HostsConfirmation{owed_.front().confirm});
        owed_.pop_front();
    }
}

void HostService::settle(uint64_t number) {
    const auto it = unconfirmed_.find(number);
    if (!spread_.is_majority(it->second.by)) return;
    acknowledge(it->second.request);
    unconfirmed_.erase(it);
}

void HostService::remember(const std::vector<Host>& hosts, Time now) {
    for (const auto& host : hosts) table_.restore(host, now);
}

void HostService::told(const consensus::ReplicaId& by, const messages::HostsUpdate& hosts, Time now) {
    std::vector<Host> changed;
    for (const auto& host : hosts.hosts)
        if (table_.merge(host, now)) changed.push_back(*table_.find(host.id));
    if (!changed.empty()) spread_.tell_subscribers(changed);
    if (!hosts.confirmation_id) return;
    if (owed_.size() >= most_owed) {
        ++bounds_.confirmations;
        return;
    }
    owed_.push_back({by, hosts.confirmation_id, spread_.write()});
    settle_written();
}

void HostService::heard(const messages::HostHeartbeats& heard, Time now) {
    std::vector<Host> back;
    for (const auto& [id, sequence] : heard.sequences)
        if (table_.refresh(id, sequence, now)) back.push_back(*table_.find(id));
    if (!back.empty()) spread_.tell_subscribers(back);
}

std::map<std::string, size_t> HostService::versions(const std::string& service) const {
    std::map<std::string, size_t> ready;
    for (const auto& host : table_.all())
        if (host.service == service && host.state != HostState::gone)
            ready[host.version] += host.state == HostState::ready;
    return ready;
}

void HostService::tick(Time now, bool current) {
    const Span pause = now - last_tick_;
    if (pause > longest_tick && last_tick_ > long_ago) table_.extend_deadlines(pause);
    last_tick_ = now;
    // Out of touch with the others, this node misses what they hear: nobody is taken for crashed then.
    if (!current) table_.extend_deadlines(std::min(pause, longest_tick));
    if (const auto lost = table_.expire(now); !lost.empty()) spread_.tell_subscribers(lost);
    for (auto it = unconfirmed_.begin(); it != unconfirmed_.end();) {
        const bool late = now > it->second.until;
        if (late) outputs_.push_back(refusal(it->second.request, 503, "no majority knows of it yet, send it again"));
        it = late ? unconfirmed_.erase(it) : std::next(it);
    }
    if (now < batch_at_ || heard_.empty()) return;
    batch_at_ = now + batch_every;
    messages::HostHeartbeats batch;
    for (auto& [id, sequence] : heard_) batch.sequences.emplace_back(id, sequence);
    heard_.clear();
    spread_.tell_all(std::move(batch));
}

}   // namespace myrtleroute::control
