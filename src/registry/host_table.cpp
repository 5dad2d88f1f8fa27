#include "registry/host_table.hpp"

#include <algorithm>
#include <utility>

namespace myrtleroute::registry {

bool HostTable::merge(const Host& told, Time now) {
    const auto it = hosts_.find(told.id);
    if (it == hosts_.end()) {
        make_room();
        hosts_[told.id] = {told, now, told.state == HostState::draining};
        if (told.state != HostState::gone) retire_address(told);
        return true;
    }
    Known& known = it->second;
    if (known.host.state == HostState::gone) return false;
    if (told.state == HostState::lost) return lose(known, told.sequence);
    const bool leaves = told.state == HostState::gone;   // a host's last word, whatever its sequence
    if (!leaves && told.sequence <= known.host.sequence) return false;
    const Host before = known.host;
    known.drained = known.drained || told.state == HostState::draining;   // never taken back by one incarnation
    known.host = told;
    if (!leaves) known.host.state = known.drained ? HostState::draining : HostState::ready;
    known.host.sequence = std::max(told.sequence, before.sequence);
    known.heard = now;
    return known.host.state != before.state || told.address != before.address || told.capacity != before.capacity ||
           told.version != before.version;
}

bool HostTable::lose(Known& known, uint64_t sequence) {
    if (known.host.state == HostState::lost || sequence < known.host.sequence) return false;
    known.host.state = HostState::lost;
    return true;
}

void HostTable::restore(const Host& host, Time now) {
    const Time heard = now - options_.lost_after + options_.restored_timeout;
    hosts_.try_emplace(host.id, Known{host, heard, host.state == HostState::draining});
}

bool HostTable::refresh(const std::string& id, uint64_t sequence, Time now) {
    const auto it = hosts_.find(id);
    if (it == hosts_.end() || sequence <= it->second.host.sequence) return false;
    Known& known = it->second;
    if (known.host.state == HostState::gone) return false;
    known.host.sequence = sequence;
    known.heard = now;
    if (known.host.state != HostState::lost) return false;
    known.host.state = known.drained ? HostState::draining : HostState::ready;
    return true;
}

void HostTable::extend_deadlines(Span span) {
    for (auto& [id, known] : hosts_) known.heard = known.heard + span;
}

std::vector<Host> HostTable::expire(Time now) {
    auto changed = std::exchange(retired_, {});
    for (auto it = hosts_.begin(); it != hosts_.end();) {
        Known& known = it->second;
        const Span silent = now - known.heard;
        const bool away = known.host.state == HostState::gone || known.host.state == HostState::lost;
        if (!away && silent > options_.lost_after && lose(known, known.host.sequence)) changed.push_back(known.host);
        it = away && silent > options_.retention ? hosts_.erase(it) : std::next(it);
    }
    return changed;
}

// An address belongs to one host at a time: who had it before has ended.
void HostTable::retire_address(const Host& successor) {
    for (auto& [id, known] : hosts_) {
        if (id == successor.id || known.host.address != successor.address) continue;
        if (known.host.state == HostState::gone) continue;
        known.host.state = HostState::gone;
        retired_.push_back(known.host);
    }
}

void HostTable::make_room() {
    if (hosts_.size() < options_.max_hosts) return;
    const auto gone = std::find_if(hosts_.begin(), hosts_.end(),
                                   [](const auto& known) { return known.second.host.state == HostState::gone; });
    hosts_.erase(gone == hosts_.end() ? hosts_.begin() : gone);
    ++evicted_;
}

const Host* HostTable::find(const std::string& id) const {
    const auto it = hosts_.find(id);
    return it == hosts_.end() ? nullptr : &it->second.host;
}

std::vector<Host> HostTable::all() const {
    std::vector<Host> hosts;
    for (const auto& [id, known] : hosts_) hosts.push_back(known.host);
    return hosts;
}

}   // namespace myrtleroute::registry
