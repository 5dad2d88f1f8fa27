// The control role as one state machine: replicated configuration, hosts, proxies. It uses no sockets and no clock; the
// runtime passes in messages, requests and the time, and carries out the outputs.
//
// Every response and update depends on contact with a majority of the voters: operations and reads on the leader's log
// and barriers, a new subscription on a barrier and on the hosts that a majority of the voters knows, drains on the
// disks of a majority. docs/control-safety.md has the argument.
#pragma once
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "consensus/replica.hpp"
#include "roles/control/barrier_batch.hpp"
#include "roles/control/bounds_reached.hpp"
#include "roles/control/configuration_fanout.hpp"
#include "roles/control/configuration_service.hpp"
#include "roles/control/host_service.hpp"
#include "roles/control/lease_service.hpp"
#include "roles/control/node_metrics.hpp"
#include "roles/control/outputs.hpp"
#include "roles/control/proxy_directory.hpp"
#include "roles/control/rollout_service.hpp"

namespace myrtleroute::control {

struct NodeOptions {
    messages::ControlNode self;
    std::vector<messages::ControlNode> seeds;   // their zones are unknown
    bool may_vote = false;                      // this machine counts for the quorum
    consensus::ReplicaOptions replica;
    registry::HostTableOptions hosts;
    leases::LimitRule limit_rule;
    double link_megabits = 0;   // capacity of this machine's link in Mbit/s; 0 = unknown
    uint64_t seed = 1;
};

// The state that a node starts with: read from disk, or created at the first start.
struct StoredState {
    uint64_t disk = 0;   // identity of the disk
    consensus::HardState hard_state;
    std::optional<consensus::Entry> entry;
    std::vector<registry::Host> hosts;   // as last stored
};

struct HttpRequest {
    RequestId number = 0;
    std::string method, path, if_match, body;
};

class Node {
public:
    Node(NodeOptions options, StoredState stored, Time now);

    void request(const HttpRequest& request, Time now);
    void connected(const Endpoint& peer, Time now);   // the connection that this node keeps to a peer is established
    void received(ConnectionId connection, const messages::Message& message, Time now);
    void connection_closed(ConnectionId connection, Time now);
    void persisted(uint64_t number, Time now);   // the writes up to that number are synced to disk
    void tick(Time now);
    void start_shutdown(Time now);   // hands leadership over, or announces to the leader that this node leaves
    bool may_shut_down() const;      // after start_shutdown: not the leader, and other voters hold the state

    Outputs take_outputs() { return std::exchange(outputs_, {}); }
    std::vector<Endpoint> peers() const;   // peers to keep connections to
    const consensus::Replica& replica() const { return replica_; }
    const LeaseService& lease_service() const { return lease_service_; }
    NodeState state(Time now) const;                                          // for the metrics
    std::vector<std::string> take_log() { return std::exchange(log_, {}); }   // log lines since the last call

private:
    struct PeerConnection {
        consensus::ReplicaId replica;
        Endpoint peer;
        bool may_vote = false;
    };
    void handle(ConnectionId connection, const messages::PeerHello& hello, Time now);
    void handle(ConnectionId connection, const messages::ConsensusMessage& message, Time now);
    void handle(ConnectionId connection, const messages::HostsUpdate& hosts, Time now);
    void handle(ConnectionId connection, const messages::HostsConfirmation& confirmed, Time now);
    void handle(ConnectionId connection, const messages::HostHeartbeats& heartbeats, Time now);
    void handle(ConnectionId connection, const messages::ProxiesStatus& proxies, Time now);
    void handle(ConnectionId connection, const messages::Subscribe& subscribe, Time now);
    void handle(ConnectionId connection, const leases::LeaseRequest& request, Time now);
    void handle(ConnectionId connection, const leases::LeaseReply& reply, Time now);
    void handle(ConnectionId connection, const leases::ConfigurationLeaseRequest& request, Time now);
    void handle(ConnectionId, const leases::ConfigurationLeaseReply&, Time) {}   // for proxies only
    void handle(ConnectionId, const messages::ConfigurationUpdate&, Time) {}
    void handle(ConnectionId, const messages::FleetStatus&, Time) {}
    void handle(ConnectionId, const messages::RolloutsUpdate&, Time) {}
    void handle(ConnectionId connection, const rollout::RolloutReport& report, Time now);

    void configuration_request(const HttpRequest& request, Time now);
    void rollout_request(const HttpRequest& request, Time now);
    // 307 to the leader if it is known, else 503.
    void redirect_to_leader(const HttpRequest& request, Time now);
    RolloutService::FleetView rollout_fleet_view();
    void instance_request(const HttpRequest& request, Time now);
    void leadership_lost();
    void committed_here(const consensus::Committed& committed, Time now);
    void grant_leases(Time now);   // if this node is the leader
    void answer_waiting_requests(Time now);
    void send_to_peers(const messages::Message& message);
    void send_hosts(const std::vector<registry::Host>& hosts);
    messages::FleetStatus fleet_for(ConnectionId connection, const std::vector<std::string>& names, Time now) const;
    void end_subscription(ConnectionId connection);
    bool may_be_current_elsewhere(Time now) const;
    bool is_isolated(Time now) const;   // no recent update from a majority of the voters
    void send_own_proxies(Time now);
    void move_subscribers(Time now);
    void add_control_node(const messages::ControlNode& node);
    void publish_configuration(Time now);
    void publish_rollouts(Time now);      // of the last entry, if it is committed
    void begin_subscriptions(Time now);   // of proxies whose barrier has passed
    void begin_subscription(ConnectionId connection, const BarrierWaiter& proven, Time now);
    void renew_configuration_leases(Time now);
    messages::ProxiesStatus own_proxies(bool with_names, Time now) const;
    void process_replica_outputs(Time now);   // carries out the replica's outputs
    void barrier_passed(const consensus::BarrierPassed& passed, Time now);
    void write(const consensus::Persist& persist);
    uint64_t write_hosts();   // returns the number of the write that holds the hosts as known now
    void write(const messages::Record& change, uint64_t replica_write);
    messages::Record whole_record() const;
    bool is_majority(const std::set<consensus::ReplicaId>& present) const;
    bool knows_hosts() const;
    std::vector<messages::ControlNode> control_nodes() const;

    NodeOptions options_;
    Outputs outputs_;
    BoundsReached bounds_;
    std::vector<std::string> log_;
    uint64_t disk_;
    consensus::HardState hard_state_;
    consensus::Replica replica_;
    ConfigurationService configurations_;
    RolloutService rollouts_;
    HostService hosts_;
    LeaseService lease_service_;
    ProxyDirectory proxies_;
    std::vector<std::pair<ConnectionId, leases::LeaseRequest>> waiting_requests_;   // until this node grants leases
    std::map<Endpoint, messages::ControlNode> control_nodes_;   // other control nodes by peer endpoint
    std::map<ConnectionId, PeerConnection> peer_connections_;   // accepted connections of other control nodes
    uint64_t applied_index_ = 0;                            // index of the newest committed entry that was published
    ConfigurationFanout fanout_;                            // of the newest configuration committed here
    std::vector<registry::Host> hosts_written_;             // as in the last write, which may still be in progress
    uint64_t hosts_write_ = 0;                              // number of that write
    std::set<consensus::ReplicaId> full_host_lists_from_;   // control nodes that have sent all hosts that they know
    // A write in progress, with the number that the replica gave it; 0 if it is not the replica's.
    struct PendingWrite {
        uint64_t number = 0, replica_write = 0;
    };
    std::deque<PendingWrite> pending_writes_;
    uint64_t next_write_ = 1;
    BarrierBatch new_subscriptions_;      // value: the configuration version that the proxy has
    BarrierBatch configuration_leases_;   // value: the number of the proxy's newest request
    Time next_hosts_write_ = long_ago;
    Time next_fleet_update_ = long_ago, next_proxies_update_ = long_ago, next_moves_ = long_ago;
    std::vector<std::string> sent_names_;   // names of own proxies as last sent
    Time next_names_update_ = long_ago;
    size_t sent_control_nodes_ = 0;
    bool sent_current_ = false;
};

}   // namespace myrtleroute::control
