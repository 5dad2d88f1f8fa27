#include "roles/control/node.hpp"

#include <algorithm>
#include <utility>

#include "wire/text.hpp"

namespace myrtleroute::control {
namespace {

constexpr Span fleet_interval{0.25}, proxies_interval{0.25}, names_interval{1}, hosts_interval{1}, moves_interval{1};
// Barriers for new subscriptions are requested at once, since traffic waits for them; leases are renewed well before
// they expire, so their barriers can wait for the next heartbeat.
constexpr BarrierBatchOptions subscription_barriers{consensus::BarrierRound::at_once, Span{0.2}, Span{}};
constexpr BarrierBatchOptions lease_barriers{consensus::BarrierRound::next_heartbeat, Span{0.5}, Span{0.25}};
constexpr size_t max_control_nodes = 64;   // other control nodes that this node connects to
constexpr size_t max_waiting_requests = 4096;
// Time from a proxy's request to the start of its subscription; a longer wait is logged.
constexpr Span slow_subscription{0.5};
constexpr size_t max_log_lines = 64;             // buffered between two calls of take_log
constexpr double default_link_megabits = 1000;   // Mbit/s, for a link of unknown capacity
constexpr std::string_view instances = "/instances/", rollouts = "/rollouts", rollout_of = "/rollouts/";

}   // namespace

Node::Node(NodeOptions options, StoredState stored, Time now)
    : options_(std::move(options)),
      disk_(stored.disk),
      hard_state_(stored.hard_state),
      replica_({options_.self.peer, stored.disk}, stored.hard_state, std::move(stored.entry), options_.replica,
               options_.seed, now),
      configurations_(replica_, outputs_, bounds_),
      rollouts_(replica_, outputs_, bounds_, rollout_fleet_view()),
      hosts_(options_.hosts, outputs_, bounds_,
             {[this](const messages::Message& message) { send_to_peers(message); },
              [this](const std::vector<registry::Host>& hosts) { send_hosts(hosts); },
              [this](const std::set<consensus::ReplicaId>& present) { return is_majority(present); },
              [this] { return write_hosts(); },
              [this](const consensus::ReplicaId& to, const messages::Message& message) {
                  outputs_.push_back(SendToPeer{to.endpoint, message});
              }},
             replica_.self()),
      lease_service_(replica_, options_.limit_rule, bounds_),
      fanout_(options_.link_megabits),
      new_subscriptions_(replica_, subscription_barriers),
      configuration_leases_(replica_, lease_barriers) {
    hosts_.restore(stored.hosts, now);
    for (const auto& seed : options_.seeds)
        if (seed.peer != options_.self.peer) control_nodes_[seed.peer] = seed;
}

RolloutService::FleetView Node::rollout_fleet_view() {
    return {[this] { return proxies_.names().size(); },
            [this](const std::string& service) { return hosts_.ready_by_version(service); },
            [this](const std::string& line) {
                if (log_.size() < max_log_lines) log_.push_back(line);
            }};
}

NodeState Node::state(Time now) const {
    NodeState state;
    state.proxies = proxies_.names().size();
    state.subscribers = proxies_.subscribers().size();
    state.leads = replica_.role() == consensus::Role::leader;
    state.is_current = replica_.is_current(now);
    state.term = replica_.term();
    state.grants_leases = lease_service_.grants_leases();
    state.lease_violations = lease_service_.violations();
    state.last_lease_violation = lease_service_.last_violation();
    state.bounds = bounds_;
    state.bounds.hosts = hosts_.evicted();
    return state;
}

std::vector<Endpoint> Node::peers() const {
    std::vector<Endpoint> endpoints;
    for (const auto& [endpoint, node] : control_nodes_) endpoints.push_back(endpoint);
    return endpoints;
}

std::vector<messages::ControlNode> Node::control_nodes() const {
    std::vector<messages::ControlNode> nodes{options_.self};
    for (const auto& [endpoint, node] : control_nodes_) nodes.push_back(node);
    return nodes;
}

// HTTP.

void Node::request(const HttpRequest& request, Time now) {
    if (request.path == "/config")
        configuration_request(request, now);
    else if (request.path.starts_with(instances))
        instance_request(request, now);
    else if (request.path == rollouts || request.path.starts_with(rollout_of))
        rollout_request(request, now);
    else
        outputs_.push_back(error_response(request.number, 404, "there is /config, /rollouts and /instances/ID"));
    process_replica_outputs(now);
}

void Node::configuration_request(const HttpRequest& request, Time now) {
    const bool reads = request.method == "GET", patches = request.method == "PATCH";
    if (!reads && !patches && request.method != "PUT") {
        outputs_.push_back(error_response(request.number, 405, "GET, PUT and PATCH are served here"));
        return;
    }
    if (replica_.role() == consensus::Role::leader) {
        if (reads) return configurations_.get(request.number, now);
        const auto if_match = wire::parse_integer<uint64_t>(wire::trim(request.if_match));
        if (patches) return configurations_.patch(request.number, if_match, request.body, now);
        return configurations_.put(request.number, if_match, request.body, now);
    }
    redirect_to_leader(request, now);
}

// A redirect repeats the path exactly as the caller sent it.
void Node::rollout_request(const HttpRequest& request, Time now) {
    const bool orders = request.method == "POST" && request.path == rollouts;
    const bool reads = request.method == "GET" && request.path.size() > rollout_of.size();
    if (!orders && !reads)
        outputs_.push_back(
            error_response(request.number, 405, "POST /rollouts and GET /rollouts/SERVICE are served here"));
    else if (replica_.role() != consensus::Role::leader)
        redirect_to_leader(request, now);
    else if (orders)
        rollouts_.handle_order(request.number, request.body, now);
    else
        rollouts_.handle_read(request.number, request.path.substr(rollout_of.size()), now);
}

void Node::redirect_to_leader(const HttpRequest& request, Time now) {
    const auto leader = replica_.is_current(now) ? replica_.leader() : std::nullopt;
    const auto known = leader ? control_nodes_.find(leader->endpoint) : control_nodes_.end();
    if (known == control_nodes_.end()) {
        outputs_.push_back(error_response(request.number, 503, "no leader is known, try again"));
        return;
    }
    outputs_.push_back(
        HttpResponse{request.number, 307, "{}", "http://" + known->second.control.text() + request.path});
}

void Node::instance_request(const HttpRequest& request, Time now) {
    const auto id = request.path.substr(instances.size());
    if (id.empty())
        outputs_.push_back(error_response(request.number, 404, "the path must end with a host's id"));
    else if (request.method == "PUT")
        hosts_.heartbeat(request.number, id, request.body, replica_.is_current(now), now);
    else if (request.method == "DELETE")
        hosts_.deregister(request.number, id, now);
    else
        outputs_.push_back(error_response(request.number, 405, "PUT and DELETE are served here"));
}

// Other processes.

void Node::connected(const Endpoint& peer, Time now) {
    outputs_.push_back(
        SendToPeer{peer, messages::PeerHello{replica_.self(), options_.self, options_.may_vote, control_nodes()}});
    outputs_.push_back(SendToPeer{peer, messages::HostsUpdate{hosts_.all(), 0, true}});
    outputs_.push_back(SendToPeer{peer, own_proxies(true, now)});
}

void Node::received(ConnectionId connection, const messages::Message& message, Time now) {
    if (const auto from = peer_connections_.find(connection); from != peer_connections_.end())
        replica_.peer_reachable(from->second.replica, from->second.may_vote, now);
    std::visit([&](const auto& typed) { handle(connection, typed, now); }, message);
    process_replica_outputs(now);
}

void Node::connection_closed(ConnectionId connection, Time now) {
    if (const auto from = peer_connections_.extract(connection); !from.empty())
        replica_.peer_disconnected(from.mapped().replica, now);
    proxies_.remove_subscriber(connection, now);
    end_subscription(connection);
}

void Node::end_subscription(ConnectionId connection) {
    new_subscriptions_.remove(connection);
    configuration_leases_.remove(connection);
    fanout_.remove_subscriber(connection);
}

void Node::handle(ConnectionId connection, const messages::PeerHello& hello, Time now) {
    peer_connections_[connection] = {hello.replica, hello.node.peer, hello.may_vote};
    control_nodes_[hello.node.peer] = hello.node;
    for (const auto& node : hello.known) add_control_node(node);
    replica_.peer_connected(hello.replica, hello.may_vote, now);
}

void Node::add_control_node(const messages::ControlNode& node) {
    if (node.peer == options_.self.peer) return;
    if (const auto known = control_nodes_.find(node.peer); known != control_nodes_.end()) {
        if (known->second.zone.empty()) known->second = node;
        return;
    }
    if (control_nodes_.size() < max_control_nodes)
        control_nodes_[node.peer] = node;
    else
        ++bounds_.control_nodes;
}

void Node::handle(ConnectionId connection, const messages::ConsensusMessage& message, Time now) {
    const auto from = peer_connections_.find(connection);
    if (from == peer_connections_.end() || message.to_disk != disk_) return;
    replica_.receive(from->second.replica, message.message, now);
}

void Node::handle(ConnectionId connection, const messages::HostsUpdate& hosts, Time now) {
    const auto from = peer_connections_.find(connection);
    if (from == peer_connections_.end()) return;
    hosts_.apply_update(from->second.replica, hosts, now);
    if (hosts.complete) full_host_lists_from_.insert(from->second.replica);
}

void Node::handle(ConnectionId connection, const messages::HostsConfirmation& confirmed, Time) {
    if (const auto from = peer_connections_.find(connection); from != peer_connections_.end())
        hosts_.confirmed(from->second.replica, confirmed.confirmation_id);
}

void Node::handle(ConnectionId, const messages::HostHeartbeats& heartbeats, Time now) {
    hosts_.apply_heartbeats(heartbeats, now);
}

void Node::handle(ConnectionId connection, const messages::ProxiesStatus& proxies, Time now) {
    if (const auto from = peer_connections_.find(connection); from != peer_connections_.end())
        proxies_.update_peer(from->second.peer, proxies, now);
}

void Node::handle(ConnectionId connection, const messages::Subscribe& subscribe, Time now) {
    const auto earlier = proxies_.add_subscriber(connection, subscribe, now);
    if (!earlier) return;
    for (const auto ended : *earlier) end_subscription(ended);
    auto fleet = fleet_for(connection, proxies_.names(), now);
    fleet.control_nodes = control_nodes();
    outputs_.push_back(SendToConnection{connection, std::move(fleet)});
    new_subscriptions_.add(connection, subscribe.version, now);
    fanout_.remove_subscriber(connection);   // until the subscription starts
    begin_subscriptions(now);
}

// A proxy may have no configuration yet, or may come from a node that knew a newer one. It is sent this node's state
// only once a barrier shows that this is the newest, and once this node has received the hosts that a majority of the
// voters knows.
void Node::begin_subscriptions(Time now) {
    new_subscriptions_.tick(now);
    if (!knows_hosts()) return;
    const auto proven = new_subscriptions_.take_passed(applied_index_);
    for (const auto& [connection, waited] : proven) begin_subscription(connection, waited, now);
    if (!proven.empty()) publish_configuration(now);
}

void Node::begin_subscription(ConnectionId connection, const BarrierWaiter& proven, Time now) {
    if (!proxies_.is_subscriber(connection)) return;
    if (const Span waited = now - proven.since; waited > slow_subscription && log_.size() < max_log_lines)
        log_.push_back("subscription of " + proxies_.name(connection) + " started after " + std::to_string(waited.s) +
                       " s and " + std::to_string(proven.barriers) + " barriers");
    fanout_.add_subscriber(connection, proven.value);
    outputs_.push_back(SendToConnection{connection, messages::RolloutsUpdate{rollouts_.rollouts()}});
    outputs_.push_back(SendToConnection{connection, messages::HostsUpdate{hosts_.all(), 0, true}});
}

void Node::handle(ConnectionId connection, const leases::ConfigurationLeaseRequest& request, Time now) {
    if (!proxies_.is_subscriber(connection)) return;
    configuration_leases_.add(connection, request.number, now);
    renew_configuration_leases(now);
}

// The version in the reply includes everything committed when the barrier was requested, which was after the lease
// request arrived.
void Node::renew_configuration_leases(Time now) {
    configuration_leases_.tick(now);
    for (const auto& [connection, proven] : configuration_leases_.take_passed(applied_index_))
        outputs_.push_back(
            SendToConnection{connection, leases::ConfigurationLeaseReply{proven.value, fanout_.version()}});
}

bool Node::knows_hosts() const {
    auto known = full_host_lists_from_;
    known.insert(replica_.self());
    return is_majority(known);
}

// Forwards the request to the leader, which grants leases; the reply returns through the control node that the proxy
// subscribes to.
void Node::handle(ConnectionId connection, const leases::LeaseRequest& request, Time now) {
    const auto from = peer_connections_.find(connection);
    if (auto reply = lease_service_.handle(request, now)) {
        if (from != peer_connections_.end())
            outputs_.push_back(SendToPeer{from->second.peer, std::move(*reply)});
        else
            outputs_.push_back(SendToConnection{connection, std::move(*reply)});
    } else if (replica_.role() == consensus::Role::leader) {
        if (waiting_requests_.size() < max_waiting_requests)
            waiting_requests_.emplace_back(connection, request);
        else
            ++bounds_.lease_asks;
    } else if (from == peer_connections_.end() && replica_.leader()) {
        outputs_.push_back(SendToPeer{replica_.leader()->endpoint, request});
    }
}

// Handles requests that arrived before this node granted leases, or before their senders were admitted.
void Node::answer_waiting_requests(Time now) {
    if (replica_.role() == consensus::Role::leader && !lease_service_.grants_leases()) return;
    for (const auto& [connection, request] : std::exchange(waiting_requests_, {})) handle(connection, request, now);
}

void Node::handle(ConnectionId, const leases::LeaseReply& reply, Time) {
    if (const auto connection = proxies_.connection_of(reply.holder.node))
        outputs_.push_back(SendToConnection{*connection, reply});
}

// Forwards reports of proxies to the leader, which evaluates them.
void Node::handle(ConnectionId connection, const rollout::RolloutReport& report, Time now) {
    rollouts_.add_report(report, now);
    const bool is_from_proxy = peer_connections_.count(connection) == 0;
    if (is_from_proxy && replica_.role() != consensus::Role::leader && replica_.leader())
        outputs_.push_back(SendToPeer{replica_.leader()->endpoint, report});
}

void Node::send_to_peers(const messages::Message& message) {
    for (const auto& [endpoint, node] : control_nodes_) outputs_.push_back(SendToPeer{endpoint, message});
}

void Node::send_hosts(const std::vector<registry::Host>& hosts) {
    for (const auto connection : proxies_.subscribers())
        if (!new_subscriptions_.is_waiting(connection))
            outputs_.push_back(SendToConnection{connection, messages::HostsUpdate{hosts, 0, false}});
}

messages::FleetStatus Node::fleet_for(ConnectionId connection, const std::vector<std::string>& names, Time now) const {
    messages::FleetStatus fleet;
    fleet.current = replica_.is_current(now);
    fleet.current_elsewhere = !fleet.current && may_be_current_elsewhere(now);
    const auto at = std::lower_bound(names.begin(), names.end(), proxies_.name(connection));
    fleet.proxy_index = static_cast<size_t>(at - names.begin());
    fleet.proxy_count = std::max<size_t>(1, names.size());
    return fleet;
}

// Without a leader no node is current, and a proxy that searched for another node would only lose time.
bool Node::may_be_current_elsewhere(Time now) const { return proxies_.any_current(now) || is_isolated(now); }

bool Node::is_isolated(Time now) const {
    if (!replica_.entry()) return true;
    const auto& voters = replica_.entry()->state.voters;
    const auto reachable = std::count_if(voters.begin(), voters.end(), [&](const auto& voter) {
        return voter.endpoint == options_.self.peer || proxies_.has_recent_update(voter.endpoint, now);
    });
    return 2 * static_cast<size_t>(reachable) <= voters.size();
}

messages::ProxiesStatus Node::own_proxies(bool with_names, Time now) const {
    messages::ProxiesStatus status;
    if (with_names) status.proxies = proxies_.own_names();
    status.subscribers = proxies_.subscriber_count();
    status.current = replica_.is_current(now);
    status.weight = options_.link_megabits > 0 ? options_.link_megabits : default_link_megabits;
    return status;
}

// Sends the own subscribers to the other control nodes; the names only after a change and every names_interval.
void Node::send_own_proxies(Time now) {
    auto names = proxies_.own_names();
    const bool with_names = now >= next_names_update_ || names != sent_names_;
    if (with_names) next_names_update_ = now + names_interval;
    sent_names_ = std::move(names);
    send_to_peers(own_proxies(with_names, now));
}

void Node::move_subscribers(Time now) {
    const NodeLoad self{options_.self, own_proxies(false, now).weight, 0};
    const auto names = proxies_.names();
    for (const auto& move : proxies_.plan_moves(self, control_nodes_, now)) {
        auto fleet = fleet_for(move.connection, names, now);
        fleet.move_to = move.to;
        outputs_.push_back(SendToConnection{move.connection, std::move(fleet)});
    }
}

// Subscribers are sent a configuration only once it is committed, and never an older one afterwards. The replica's last
// entry may be replaced by an uncommitted one, so the committed configuration is stored separately.
void Node::publish_configuration(Time now) {
    const auto& entry = replica_.entry();
    if (entry && entry->position.index <= replica_.committed()) {
        applied_index_ = std::max(applied_index_, entry->position.index);
        if (fanout_.committed(entry->state.version, entry->state.configuration, now))
            lease_service_.set_configuration(fanout_.body());
    }
    publish_rollouts(now);
    for (const auto connection : fanout_.take_due(now))
        outputs_.push_back(SendToConnection{connection, fanout_.message()});
}

void Node::publish_rollouts(Time now) {
    const auto& entry = replica_.entry();
    if (!entry || entry->position.index > replica_.committed()) return;
    if (!rollouts_.set_committed(entry->state.rollouts, now)) return;
    for (const auto connection : proxies_.subscribers())
        if (!new_subscriptions_.is_waiting(connection))
            outputs_.push_back(SendToConnection{connection, messages::RolloutsUpdate{rollouts_.rollouts()}});
}

// The replica.

void Node::persisted(uint64_t number, Time now) {
    uint64_t replica_write = 0;
    while (!pending_writes_.empty() && pending_writes_.front().number <= number) {
        replica_write = std::max(replica_write, pending_writes_.front().replica_write);
        pending_writes_.pop_front();
    }
    if (replica_write) replica_.persisted(replica_write, now);
    hosts_.written(number);
    process_replica_outputs(now);
}

void Node::process_replica_outputs(Time now) {
    // Processing an output may produce further ones.
    for (auto replica_outputs = replica_.take_outputs(); !replica_outputs.empty();
         replica_outputs = replica_.take_outputs())
        for (auto& output : replica_outputs) {
            if (auto* message = std::get_if<consensus::SendTo>(&output))
                outputs_.push_back(SendToPeer{
                    message->to.endpoint, messages::ConsensusMessage{message->to.disk, std::move(message->message)}});
            else if (const auto* persist = std::get_if<consensus::Persist>(&output))
                write(*persist);
            else if (const auto* committed = std::get_if<consensus::Committed>(&output))
                committed_here(*committed, now);
            else if (const auto* barrier = std::get_if<consensus::BarrierPassed>(&output))
                barrier_passed(*barrier, now);
            else if (!std::get<consensus::LeadershipChanged>(output).leads)
                leadership_lost();
        }
}

void Node::leadership_lost() {
    configurations_.leadership_lost();
    rollouts_.leadership_lost();
}

void Node::committed_here(const consensus::Committed& committed, Time now) {
    publish_configuration(now);
    begin_subscriptions(now);
    renew_configuration_leases(now);
    configurations_.committed(committed.position.index, now);
    rollouts_.entry_committed(committed.position.index);
    grant_leases(now);
}

void Node::grant_leases(Time now) {
    lease_service_.tick(now);
    answer_waiting_requests(now);
}

void Node::barrier_passed(const consensus::BarrierPassed& passed, Time now) {
    if (new_subscriptions_.barrier_passed(passed)) return begin_subscriptions(now);
    if (configuration_leases_.barrier_passed(passed)) return renew_configuration_leases(now);
    if (rollouts_.barrier_passed(passed.number)) return;
    configurations_.barrier_passed(passed.number, now);
}

void Node::write(const consensus::Persist& persist) {
    if (persist.hard_state) hard_state_ = *persist.hard_state;
    write({disk_, persist.hard_state, persist.entry, std::nullopt}, persist.number);
}

void Node::write(const messages::Record& change, uint64_t replica_write) {
    auto whole = whole_record();
    if (change.entry) whole.entry = change.entry;
    const auto number = next_write_++;
    pending_writes_.push_back({number, replica_write});
    outputs_.push_back(Write{number, change, std::move(whole)});
}

messages::Record Node::whole_record() const { return {disk_, hard_state_, replica_.entry(), hosts_written_}; }

// Writes the known hosts, including those that are gone: a late heartbeat must not restore one after a restart.
uint64_t Node::write_hosts() {
    auto hosts = hosts_.all();
    std::erase_if(hosts, [](const auto& host) { return host.state == registry::HostState::lost; });
    for (auto& host : hosts) host.sequence = 0;   // it changes with every heartbeat, and would cause a write each time
    if (hosts == hosts_written_) return hosts_write_;
    hosts_written_ = std::move(hosts);
    hosts_write_ = next_write_;
    write({disk_, std::nullopt, std::nullopt, hosts_written_}, 0);
    return hosts_write_;
}

bool Node::is_majority(const std::set<consensus::ReplicaId>& present) const {
    if (!replica_.entry()) return false;
    const auto& voters = replica_.entry()->state.voters;
    const auto count = std::count_if(voters.begin(), voters.end(), [&](const auto& v) { return present.count(v) > 0; });
    return 2 * static_cast<size_t>(count) > voters.size();
}

void Node::start_shutdown(Time now) {
    replica_.depart(now);
    process_replica_outputs(now);
}

bool Node::may_shut_down() const {
    return replica_.role() != consensus::Role::leader && replica_.is_fully_replicated();
}

void Node::tick(Time now) {
    replica_.tick(now);
    const bool current = replica_.is_current(now);
    configurations_.tick(now);
    rollouts_.tick(now);
    hosts_.tick(now, current);
    proxies_.tick(now);
    publish_configuration(now);
    lease_service_.tick(now);
    answer_waiting_requests(now);
    begin_subscriptions(now);
    renew_configuration_leases(now);
    if (now >= next_proxies_update_) {
        next_proxies_update_ = now + proxies_interval;
        send_own_proxies(now);
    }
    if (current && now >= next_moves_) {
        next_moves_ = now + moves_interval;
        move_subscribers(now);
    }
    if (now >= next_fleet_update_ || current != sent_current_) {
        next_fleet_update_ = now + fleet_interval;
        const bool with_control_nodes =
            std::exchange(sent_control_nodes_, control_nodes_.size()) != control_nodes_.size();
        sent_current_ = current;
        const auto names = proxies_.names();
        for (const auto connection : proxies_.subscribers()) {
            auto fleet = fleet_for(connection, names, now);
            if (with_control_nodes) fleet.control_nodes = control_nodes();
            outputs_.push_back(SendToConnection{connection, std::move(fleet)});
        }
    }
    if (now >= next_hosts_write_) {
        next_hosts_write_ = now + hosts_interval;
        write_hosts();
    }
    process_replica_outputs(now);
}

}   // namespace myrtleroute::control
