#include "roles/control/host_service.hpp"

#include <nlohmann/json.hpp>
#include <optional>

namespace myrtleroute::control {
namespace {

using registry::Host;
using registry::HostState;

constexpr Span confirm_timeout{0.8};   // a host waits one second for its acknowledgement
constexpr Span batch_interval{0.6};
constexpr Span max_tick_interval{
    0.6};   // a longer interval means that the process was suspended and may have missed heartbeats
constexpr size_t max_pending_confirmations = 1024;   // if a confirmation is dropped, the host repeats its request

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

void HostService::publish(const Host& host, uint64_t confirm) {
    callbacks_.send_to_peers(messages::HostsUpdate{{host}, confirm});
    callbacks_.send_to_subscribers({host});
}

void HostService::heartbeat(RequestId request, const std::string& id, const std::string& body, bool current, Time now) {
    const auto host = read_heartbeat(id, body);
    if (!host) {
        outputs_.push_back(error_response(request, 400, "a heartbeat has service, address and sequence"));
        return;
    }
    const bool changed = table_.merge(*host, now);
    if (!changed) heartbeats_[id] = host->sequence;
    const Host* merged = table_.find(id);
    if (host->state == HostState::draining) return publish_and_confirm(request, *merged, now);
    if (changed) publish(*merged, 0);
    if (current) return acknowledge(request);
    outputs_.push_back(error_response(request, 503, "this node is not in touch with a majority, tell another one"));
}

void HostService::deregister(RequestId request, const std::string& id, Time now) {
    Host host;
    if (const Host* known = table_.find(id)) host = *known;
    host.id = id;
    host.state = HostState::gone;
    table_.merge(host, now);
    publish_and_confirm(request, host, now);
}

void HostService::publish_and_confirm(RequestId request, const Host& host, Time now) {
    const auto number = next_confirm_++;
    unconfirmed_[number] = {request, host.id, host.state, {}, callbacks_.write(), now + confirm_timeout};
    publish(host, number);
    complete_written();
}

void HostService::confirmed(const consensus::ReplicaId& by, uint64_t number) {
    const auto it = unconfirmed_.find(number);
    if (it == unconfirmed_.end()) return;
    it->second.by.insert(by);
    complete_if_confirmed(number);
}

void HostService::written(uint64_t number) {
    written_ = std::max(written_, number);
    complete_written();
}

// Handles what waited for this node's own disk.
void HostService::complete_written() {
    std::vector<uint64_t> safe;
    for (auto& [number, announced] : unconfirmed_)
        if (announced.write <= written_ && announced.by.insert(self_).second) safe.push_back(number);
    for (const auto number : safe) complete_if_confirmed(number);
    while (!pending_confirmations_.empty() && pending_confirmations_.front().write <= written_) {
        callbacks_.send_to_peer(pending_confirmations_.front().to,
                                messages::HostsConfirmation{pending_confirmations_.front().confirm});
        pending_confirmations_.pop_front();
    }
}

void HostService::complete_if_confirmed(uint64_t number) {
    const auto it = unconfirmed_.find(number);
    if (!callbacks_.is_majority(it->second.by)) return;
    acknowledge(it->second.request);
    unconfirmed_.erase(it);
}

void HostService::restore(const std::vector<Host>& hosts, Time now) {
    for (const auto& host : hosts) table_.restore(host, now);
}

void HostService::apply_update(const consensus::ReplicaId& by, const messages::HostsUpdate& hosts, Time now) {
    std::vector<Host> changed;
    for (const auto& host : hosts.hosts)
        if (table_.merge(host, now)) changed.push_back(*table_.find(host.id));
    if (!changed.empty()) callbacks_.send_to_subscribers(changed);
    if (!hosts.confirmation_id) return;
    if (pending_confirmations_.size() >= max_pending_confirmations) {
        ++bounds_.confirmations;
        return;
    }
    pending_confirmations_.push_back({by, hosts.confirmation_id, callbacks_.write()});
    complete_written();
}

void HostService::apply_heartbeats(const messages::HostHeartbeats& heartbeats, Time now) {
    std::vector<Host> back;
    for (const auto& [id, sequence] : heartbeats.sequences)
        if (table_.refresh(id, sequence, now)) back.push_back(*table_.find(id));
    if (!back.empty()) callbacks_.send_to_subscribers(back);
}

std::map<std::string, size_t> HostService::ready_by_version(const std::string& service) const {
    std::map<std::string, size_t> ready;
    for (const auto& host : table_.all())
        if (host.service == service && host.state != HostState::gone)
            ready[host.version] += host.state == HostState::ready;
    return ready;
}

void HostService::tick(Time now, bool current) {
    const Span interval = now - last_tick_;
    if (interval > max_tick_interval && last_tick_ > long_ago) table_.extend_deadlines(interval);
    last_tick_ = now;
    // Without contact to the others, this node misses the heartbeats that they receive, so no host may expire.
    if (!current) table_.extend_deadlines(std::min(interval, max_tick_interval));
    if (const auto lost = table_.expire(now); !lost.empty()) callbacks_.send_to_subscribers(lost);
    for (auto it = unconfirmed_.begin(); it != unconfirmed_.end();) {
        const bool late = now > it->second.until;
        if (late)
            outputs_.push_back(error_response(it->second.request, 503, "no majority knows of it yet, send it again"));
        it = late ? unconfirmed_.erase(it) : std::next(it);
    }
    if (now < next_batch_ || heartbeats_.empty()) return;
    next_batch_ = now + batch_interval;
    messages::HostHeartbeats batch;
    for (auto& [id, sequence] : heartbeats_) batch.sequences.emplace_back(id, sequence);
    heartbeats_.clear();
    callbacks_.send_to_peers(std::move(batch));
}

}   // namespace myrtleroute::control
