// The hosts as known: what they said in their heartbeats, merged from all machines that take heartbeats.
//
// Most of it is soft state that is whole again within a heartbeat or two; drains and ends are kept on disk by the
// control role. A host's own sequence orders what is told of it, so tables merge in any order to the same result.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "time.hpp"

namespace myrtleroute::registry {

// `lost`: no heartbeat for long; the next one brings it back. `gone`: it has said so, or its address is another's; for
// good. Only a host itself says that it drains or leaves, so each table finds for itself who is lost.
enum class HostState { ready, draining, lost, gone };

// One incarnation of a host.
struct Host {
    std::string id, service, address, zone;
    int capacity = 1;
    HostState state = HostState::ready;
    uint64_t sequence = 0;   // of its last heartbeat
    std::string version;     // of its software; empty: not told
    bool operator==(const Host&) const = default;
};

struct HostTableOptions {
    Span lost_after{4.5};         // no heartbeat for so long: taken for crashed
    Span restored_timeout{2.4};   // a host known from before a restart is taken for gone after this
    Span retention{60};           // what is gone is kept for so long, so that late heartbeats don't revive it
    size_t max_hosts = 20000;     // of which those that are gone give way first
};

class HostTable {
public:
    explicit HostTable(HostTableOptions options) : options_(options) {}

    // Takes what is told of a host, by itself or by another table. True: something changed that others must know.
    bool merge(const Host& told, Time now);
    // A host as it was known before a restart; it must be heard of sooner than others to stay.
    void restore(const Host& host, Time now);
    // Another table has heard this heartbeat. True: the host was lost and is back.
    bool refresh(const std::string& id, uint64_t sequence, Time now);
    // Time has passed in which no heartbeats could be heard; nobody is taken for crashed because of it.
    void extend_deadlines(Span span);
    // Hosts that are lost from now on, and those whose address another one has taken.
    std::vector<Host> expire(Time now);

    const Host* find(const std::string& id) const;
    std::vector<Host> all() const;   // with those that are gone
    size_t size() const { return hosts_.size(); }
    uint64_t evicted() const { return evicted_; }   // how many gave way for want of room, since the start

private:
    struct Known {
        Host host;
        Time heard;
        bool drained = false;   // has said so
    };
    static bool lose(Known& known, uint64_t sequence);
    void retire_address(const Host& successor);
    void make_room();
    HostTableOptions options_;
    std::map<std::string, Known> hosts_;
    uint64_t evicted_ = 0;
    std::vector<Host> retired_;   // gone by a successor at their address, to be told at the next `expire`
};

}   // namespace myrtleroute::registry
