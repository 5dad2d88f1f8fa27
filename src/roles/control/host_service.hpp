// Takes hosts' heartbeats and spreads what they say to the other control nodes and to the subscribed proxies.
//
// A heartbeat that changes nothing is acknowledged at once, where this node is in touch with a majority; elsewhere it is
// taken, but the host is told to go on to another node. A drain or an end is acknowledged only when a majority of the
// voters has it on disk, since from then on no proxy may send to that host for long, whichever of them are lost.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "registry/host_table.hpp"
#include "roles/control/bounds_reached.hpp"
#include "roles/control/outputs.hpp"

namespace myrtleroute::control {

class HostService {
public:
    // `tell_all`: to every other control node; `tell_subscribers`: to every subscribed proxy.
    struct Spread {
        std::function<void(const messages::Message&)> tell_all;
        std::function<void(const std::vector<registry::Host>&)> tell_subscribers;
        std::function<bool(const std::set<consensus::ReplicaId>&)> is_majority;   // of the voters
        std::function<uint64_t()> write;   // the hosts as known now; the number that `written` will be told
        std::function<void(const consensus::ReplicaId&, const messages::Message&)> tell;   // one control node
    };
    HostService(registry::HostTableOptions options, Outputs& outputs, BoundsReached& bounds, Spread spread,
                consensus::ReplicaId self)
        : table_(options), outputs_(outputs), bounds_(bounds), spread_(std::move(spread)), self_(std::move(self)) {}

    // `current`: this node is in touch with a majority.
    void heartbeat(RequestId request, const std::string& id, const std::string& body, bool current, Time now);
    void leave(RequestId request, const std::string& id, Time now);

    // Hosts as they were before a restart. They count until they should have been heard of again.
    void remember(const std::vector<registry::Host>& hosts, Time now);
    void told(const consensus::ReplicaId& by, const messages::HostsUpdate& hosts, Time now);
    void heard(const messages::HostHeartbeats& heard, Time now);
    void confirmed(const consensus::ReplicaId& by, uint64_t number);
    void written(uint64_t number);   // the hosts up to that write are safe on this node's disk
    void tick(Time now, bool current);

    std::vector<registry::Host> all() const { return table_.all(); }
    // How many hosts of that service are ready, by version; those that are not ready count as none.
    std::map<std::string, size_t> versions(const std::string& service) const;
    uint64_t evicted() const { return table_.evicted(); }

private:
    struct Unconfirmed {
        RequestId request = 0;
        std::string host;
        registry::HostState state = registry::HostState::draining;
        std::set<consensus::ReplicaId> by;   // that have it on disk
        uint64_t write = 0;                  // of this node, that holds it
        Time until;
    };
    // Another node waits for the word that this one has on disk what it was told.
    struct OwedConfirmation {
        consensus::ReplicaId to;
        uint64_t confirm = 0;
        uint64_t write = 0;
    };
    void acknowledge(RequestId request);
    void spread(const registry::Host& host, uint64_t confirm);
    void announce(RequestId request, const registry::Host& host, Time now);
    void settle_written();
    void settle(uint64_t number);

    registry::HostTable table_;
    Outputs& outputs_;
    BoundsReached& bounds_;
    Spread spread_;
    consensus::ReplicaId self_;
    uint64_t written_ = 0;
    std::map<uint64_t, Unconfirmed> unconfirmed_;
    std::deque<OwedConfirmation> owed_;
    uint64_t next_confirm_ = 1;
    std::map<std::string, uint64_t> heard_;   // to be told with the next batch
    Time batch_at_ = long_ago, last_tick_ = long_ago;
};

}   // namespace myrtleroute::control
