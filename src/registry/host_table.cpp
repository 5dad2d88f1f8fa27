#include "registry/host_table.hpp"

#include <algorithm>
#include <utility>

namespace myrtleroute::registry {

bool HostTable::merge(const Host& update, Time now) {
    const auto it = hosts_.find(update.id);
    if (it == hosts_.end()) {
        make_room();
        hosts_[update.id] = {update, now, update.state == HostState::draining};
        if (update.state != HostState::gone) retire_address(update);
        return true;
    }
    Entry& entry = it->second;
    if (entry.host.state == HostState::gone) return false;
    if (update.state == HostState::lost) return mark_lost(entry, update.sequence);
    const bool is_leaving = update.state == HostState::gone;   // final, whatever its sequence number
    if (!is_leaving && update.sequence <= entry.host.sequence) return false;
    const Host before = entry.host;
    // An incarnation never takes a drain back.
    entry.drained = entry.drained || update.state == HostState::draining;
    entry.host = update;
    if (!is_leaving) entry.host.state = entry.drained ? HostState::draining : HostState::ready;
    entry.host.sequence = std::max(update.sequence, before.sequence);
    entry.last_heartbeat = now;
    return entry.host.state != before.state || update.address != before.address || update.capacity != before.capacity ||
           update.version != before.version;
}

bool HostTable::mark_lost(Entry& entry, uint64_t sequence) {
    if (entry.host.state == HostState::lost || sequence < entry.host.sequence) return false;
    entry.host.state = HostState::lost;
    return true;
}

void HostTable::restore(const Host& host, Time now) {
    const Time last_heartbeat = now - options_.lost_after + options_.restored_timeout;
    hosts_.try_emplace(host.id, Entry{host, last_heartbeat, host.state == HostState::draining});
}

bool HostTable::refresh(const std::string& id, uint64_t sequence, Time now) {
    const auto it = hosts_.find(id);
    if (it == hosts_.end() || sequence <= it->second.host.sequence) return false;
    Entry& entry = it->second;
    if (entry.host.state == HostState::gone) return false;
    entry.host.sequence = sequence;
    entry.last_heartbeat = now;
    if (entry.host.state != HostState::lost) return false;
    entry.host.state = entry.drained ? HostState::draining : HostState::ready;
    return true;
}

void HostTable::extend_deadlines(Span span) {
    for (auto& [id, entry] : hosts_) entry.last_heartbeat = entry.last_heartbeat + span;
}

std::vector<Host> HostTable::expire(Time now) {
    auto changed = std::exchange(retired_, {});
    for (auto it = hosts_.begin(); it != hosts_.end();) {
        Entry& entry = it->second;
        const Span silence = now - entry.last_heartbeat;
        const bool is_away = entry.host.state == HostState::gone || entry.host.state == HostState::lost;
        if (!is_away && silence > options_.lost_after && mark_lost(entry, entry.host.sequence))
            changed.push_back(entry.host);
        it = is_away && silence > options_.retention ? hosts_.erase(it) : std::next(it);
    }
    return changed;
}

// An address belongs to one host at a time: its previous owner has ended.
void HostTable::retire_address(const Host& successor) {
    for (auto& [id, entry] : hosts_) {
        if (id == successor.id || entry.host.address != successor.address) continue;
        if (entry.host.state == HostState::gone) continue;
        entry.host.state = HostState::gone;
        retired_.push_back(entry.host);
    }
}

void HostTable::make_room() {
    if (hosts_.size() < options_.max_hosts) return;
    const auto gone = std::find_if(hosts_.begin(), hosts_.end(),
                                   [](const auto& entry) { return entry.second.host.state == HostState::gone; });
    hosts_.erase(gone == hosts_.end() ? hosts_.begin() : gone);
    ++evicted_;
}

const Host* HostTable::find(const std::string& id) const {
    const auto it = hosts_.find(id);
    return it == hosts_.end() ? nullptr : &it->second.host;
}

std::vector<Host> HostTable::all() const {
    std::vector<Host> hosts;
    for (const auto& [id, entry] : hosts_) hosts.push_back(entry.host);
    return hosts;
}

}   // namespace myrtleroute::registry
