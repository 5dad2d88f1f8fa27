// The control role as one state machine: replicated configuration, hosts, proxies. It knows no socket and no clock.
//
// What it says rests on contact with a majority of the voters: orders and readings on the leader's log and barriers, a
// new subscription on a barrier and on the hosts that a majority of the voters knows of, drains on a majority's disks.
// docs/control-safety.md has the argument.
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
#include "roles/control/lending_service.hpp"
#include "roles/control/node_metrics.hpp"
#include "roles/control/outputs.hpp"
#include "roles/control/proxy_directory.hpp"
#include "roles/control/rollout_service.hpp"

namespace myrtleroute::control {

struct NodeOptions {
    messages::ControlNode self;
    std::vector<messages::ControlNode> seeds;   // their zones are not known
    bool may_vote = false;                      // this machine counts for the quorum
    consensus::ReplicaOptions replica;
    registry::HostTableOptions hosts;
    leases::LimitRule limit_rule;
    double link_megabits = 0;   // Mbit/s of this machine's own link; 0 = not known
    uint64_t seed = 1;
};

// What a start finds on disk, or makes there.
struct StoredState {
    uint64_t disk = 0;   // identity of the disk
    consensus::HardState hard_state;
    std::optional<consensus::Entry> entry;
    std::vector<registry::Host> hosts;   // as they were known
};

struct HttpRequest {
    RequestId number = 0;
    std::string method, path, if_match, body;
};

class Node {
public:
    Node(NodeOptions options, StoredState stored, Time now);

    void request(const HttpRequest& request, Time now);
    void connected(const Endpoint& peer, Time now);   // the connection that this node keeps to a peer is up
    void received(ConnectionId link, const messages::Message& message, Time now);
    void connection_closed(ConnectionId link, Time now);
    void persisted(uint64_t number, Time now);   // the writes up to that number are safe
    void tick(Time now);
    void start_shutdown(Time now);   // hands leadership over, or tells the leader that this node leaves
    bool may_shut_down() const;      // once it is stopping: it does not lead, and others hold what it holds

    Outputs take_outputs() { return std::exchange(outputs_, {}); }
    std::vector<Endpoint> peers() const;   // to keep connections to
    const consensus::Replica& replica() const { return replica_; }
    const LendingService& lending() const { return lending_; }
    NodeState state(Time now) const;                                          // for the figures
    std::vector<std::string> take_log() { return std::exchange(log_, {}); }   // lines since the last call

private:
    struct Link {
        consensus::ReplicaId replica;
        Endpoint peer;
        bool may_vote = false;
    };
    void handle(ConnectionId link, const messages::PeerHello& hello, Time now);
    void handle(ConnectionId link, const messages::ConsensusMessage& message, Time now);
    void handle(ConnectionId link, const messages::HostsUpdate& hosts, Time now);
    void handle(ConnectionId link, const messages::HostsConfirmation& confirmed, Time now);
    void handle(ConnectionId link, const messages::HostHeartbeats& heard, Time now);
    void handle(ConnectionId link, const messages::ProxiesStatus& proxies, Time now);
    void handle(ConnectionId link, const messages::Subscribe& subscribe, Time now);
    void handle(ConnectionId link, const leases::LeaseRequest& ask, Time now);
    void handle(ConnectionId link, const leases::LeaseReply& reply, Time now);
    void handle(ConnectionId link, const leases::ConfigurationLeaseRequest& ask, Time now);
    void handle(ConnectionId, const leases::ConfigurationLeaseReply&, Time) {}   // for proxies only
    void handle(ConnectionId, const messages::ConfigurationUpdate&, Time) {}
    void handle(ConnectionId, const messages::FleetStatus&, Time) {}
    void handle(ConnectionId, const messages::RolloutsUpdate&, Time) {}
    void handle(ConnectionId link, const rollout::RolloutReport& ballot, Time now);

    void configuration_request(const HttpRequest& request, Time now);
    void rollout_request(const HttpRequest& request, Time now);
    // Sends the caller to the leader, where that is known.
    void redirect_to_leader(const HttpRequest& request, Time now);
    RolloutService::Fleet rollout_fleet();
    void instance_request(const HttpRequest& request, Time now);
    void leadership_lost();
    void committed_here(const consensus::Committed& committed, Time now);
    void lend(Time now);   // where this node leads
    void answer_waiting_asks(Time now);
    void tell_all(const messages::Message& message);
    void tell_hosts(const std::vector<registry::Host>& hosts);
    messages::FleetStatus fleet_for(ConnectionId link, const std::vector<std::string>& names, Time now) const;
    void end_subscription(ConnectionId link);
    bool may_be_current_elsewhere(Time now) const;
    bool is_isolated(Time now) const;   // it hears no majority of the voters
    void tell_own_proxies(Time now);
    void move_subscribers(Time now);
    void note_control_node(const messages::ControlNode& node);
    void tell_configuration(Time now);
    void tell_rollouts(Time now);         // of the last entry, where it is committed
    void begin_subscriptions(Time now);   // of proxies that wait for proof of contact
    void begin_subscription(ConnectionId link, const Proven& proven, Time now);
    void renew_configuration_leases(Time now);
    messages::ProxiesStatus own_proxies(bool with_names, Time now) const;
    void carry_out(Time now);   // what the replica asks for
    void barrier_passed(const consensus::BarrierPassed& passed, Time now);
    void write(const consensus::Persist& persist);
    uint64_t write_hosts();   // the number of the write that holds the hosts as known now
    void write(const messages::Record& change, uint64_t replica_write);
    messages::Record whole_record() const;
    bool is_majority(const std::set<consensus::ReplicaId>& present) const;
    bool knows_hosts() const;
    std::vector<messages::ControlNode> controls() const;

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
    LendingService lending_;
    ProxyDirectory proxies_;
    std::vector<std::pair<ConnectionId, leases::LeaseRequest>> waiting_asks_;   // until this node lends
    std::map<Endpoint, messages::ControlNode> known_;   // control nodes, by peer endpoint; not this one
    std::map<ConnectionId, Link> links_;                // of other control nodes
    uint64_t told_index_ = 0;                           // of the newest committed entry that was looked at whole
    ConfigurationFanout fanout_;                        // of the last configuration that was committed here
    std::vector<registry::Host> hosts_written_;         // or being written
    uint64_t hosts_write_ = 0;                          // the write that holds them
    std::set<consensus::ReplicaId> hosts_from_;         // control nodes that have told all the hosts they know of
    // Writes under way, with the number by which the replica knows its own.
    struct PendingWrite {
        uint64_t number = 0, replica_write = 0;
    };
    std::deque<PendingWrite> pending_writes_;
    uint64_t next_write_ = 1;
    BarrierBatch new_subscriptions_;      // with the version that each proxy has
    BarrierBatch configuration_leases_;   // with the number of each proxy's newest ask
    Time hosts_at_ = long_ago;
    Time fleet_at_ = long_ago, proxies_at_ = long_ago, moves_at_ = long_ago;
    std::vector<std::string> names_told_;   // of own proxies, last
    Time names_at_ = long_ago;
    size_t known_told_ = 0;
    bool current_told_ = false;
};

}   // namespace myrtleroute::control
