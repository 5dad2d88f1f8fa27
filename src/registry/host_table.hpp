// The table of known hosts, merged from the heartbeats that all machines of the control role receive.
//
// Most of it is soft state that is complete again within one or two heartbeats; the control role keeps drains and
// departures on disk. Each host's own sequence number orders the updates about it, so merging tables in any order gives
// the same result.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "time.hpp"

namespace myrtleroute::registry {

// `lost`: no heartbeat for some time; the next one brings the host back. `gone`: the host has left, or another host has
// taken its address; permanent. Only a host itself announces that it drains or leaves; each table detects lost hosts by
// itself.
enum class HostState { ready, draining, lost, gone };

// One incarnation of a host.
struct Host {
    std::string id, service, address, zone;
    int capacity = 1;
    HostState state = HostState::ready;
    uint64_t sequence = 0;   // of its last heartbeat
    std::string version;     // software version; empty: not reported
    bool operator==(const Host&) const = default;
};

struct HostTableOptions {
    Span lost_after{4.5};   // time without a heartbeat after which a host counts as lost
    // The same for a host that was restored after a restart and has sent no heartbeat since.
    Span restored_timeout{2.4};
    Span retention{60};         // how long gone and lost hosts are kept, so that late heartbeats do not revive them
    size_t max_hosts = 20000;   // beyond this, gone hosts are evicted first
};

class HostTable {
public:
    explicit HostTable(HostTableOptions options) : options_(options) {}

    // Merges an update about a host, from itself or from another table. Returns true if something changed that
    // must be sent to others.
    bool merge(const Host& update, Time now);
    // Adds a host known from before a restart; it must send a heartbeat within `restored_timeout` to stay.
    void restore(const Host& host, Time now);
    // Records a heartbeat that another table received. Returns true if the host was lost and is back.
    bool refresh(const std::string& id, uint64_t sequence, Time now);
    // Extends all timeouts by a span in which no heartbeats could be received, so that no host is taken for lost
    // because of it.
    void extend_deadlines(Span span);
    // Returns hosts that have become lost, and those whose address another host has taken.
    std::vector<Host> expire(Time now);

    const Host* find(const std::string& id) const;
    std::vector<Host> all() const;   // including gone hosts
    size_t size() const { return hosts_.size(); }
    uint64_t evicted() const { return evicted_; }   // hosts evicted because the table was full, since the start

private:
    struct Entry {
        Host host;
        Time last_heartbeat;
        bool drained = false;   // it has announced a drain
    };
    static bool mark_lost(Entry& entry, uint64_t sequence);
    void retire_address(const Host& successor);
    void make_room();
    HostTableOptions options_;
    std::map<std::string, Entry> hosts_;
    uint64_t evicted_ = 0;
    // Hosts whose address another one has taken, to be returned by the next `expire`.
    std::vector<Host> retired_;
};

}   // namespace myrtleroute::registry
