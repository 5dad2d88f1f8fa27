// Receives hosts' heartbeats and distributes host states to the other control nodes and to the subscribed proxies.
//
// A heartbeat of a ready host is acknowledged at once if this node is in contact with a majority of the voters;
// otherwise it is applied, but answered with 503 so that the host tries another node. A drain or a deregistration is
// acknowledged only when a majority of the voters has it on disk: from the acknowledgement on proxies must soon stop
// sending to that host, whichever control nodes are lost.
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
    // `send_to_peers`: to every other control node; `send_to_subscribers`: to every subscribed proxy; `send_to_peer`: to one
    // control node.
    struct Callbacks {
        std::function<void(const messages::Message&)> send_to_peers;
        std::function<void(const std::vector<registry::Host>&)> send_to_subscribers;
        std::function<bool(const std::set<consensus::ReplicaId>&)> is_majority;   // of the voters
        std::function<uint64_t()> write;   // starts to write the hosts as known now; returns the number for `written`
        std::function<void(const consensus::ReplicaId&, const messages::Message&)> send_to_peer;
    };
    HostService(registry::HostTableOptions options, Outputs& outputs, BoundsReached& bounds, Callbacks callbacks,
                consensus::ReplicaId self)
        : table_(options),
          outputs_(outputs),
          bounds_(bounds),
          callbacks_(std::move(callbacks)),
          self_(std::move(self)) {}

    // `current`: this node is in contact with a majority of the voters.
    void heartbeat(RequestId request, const std::string& id, const std::string& body, bool current, Time now);
    void deregister(RequestId request, const std::string& id, Time now);

    // Hosts as stored before a restart. They stay valid until their next heartbeats are overdue.
    void restore(const std::vector<registry::Host>& hosts, Time now);
    void apply_update(const consensus::ReplicaId& by, const messages::HostsUpdate& hosts, Time now);
    void apply_heartbeats(const messages::HostHeartbeats& heartbeats, Time now);
    void confirmed(const consensus::ReplicaId& by, uint64_t number);
    void written(uint64_t number);   // all writes up to this number are synced to this node's disk
    void tick(Time now, bool current);

    std::vector<registry::Host> all() const { return table_.all(); }
    // Number of ready hosts of that service by version. A version whose hosts are all not ready has the value 0.
    std::map<std::string, size_t> ready_by_version(const std::string& service) const;
    uint64_t evicted() const { return table_.evicted(); }

private:
    struct Unconfirmed {
        RequestId request = 0;
        std::string host;
        registry::HostState state = registry::HostState::draining;
        std::set<consensus::ReplicaId> by;   // replicas that have it on disk
        uint64_t write = 0;                  // number of this node's write that holds it
        Time until;
    };
    // A confirmation to another node, to be sent when `write` is synced to this node's disk.
    struct PendingConfirmation {
        consensus::ReplicaId to;
        uint64_t confirm = 0;
        uint64_t write = 0;
    };
    void acknowledge(RequestId request);
    void publish(const registry::Host& host, uint64_t confirm);
    void publish_and_confirm(RequestId request, const registry::Host& host, Time now);
    void complete_written();
    void complete_if_confirmed(uint64_t number);

    registry::HostTable table_;
    Outputs& outputs_;
    BoundsReached& bounds_;
    Callbacks callbacks_;
    consensus::ReplicaId self_;
    uint64_t written_ = 0;
    std::map<uint64_t, Unconfirmed> unconfirmed_;
    std::deque<PendingConfirmation> pending_confirmations_;
    uint64_t next_confirm_ = 1;
    std::map<std::string, uint64_t> heartbeats_;   // sequence by host id, to be sent with the next batch
    Time next_batch_ = long_ago, last_tick_ = long_ago;
};

}   // namespace myrtleroute::control
