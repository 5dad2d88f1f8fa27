#include "roles/control/node.hpp"

#include <algorithm>
#include <utility>

#include "wire/text.hpp"

namespace myrtleroute::control {
namespace {

constexpr Span fleet_every{0.25}, proxies_every{0.25}, names_every{1}, hosts_every{1}, moves_every{1};
// New subscriptions wait for traffic; leases are asked for well before they end.
constexpr BarrierBatchOptions subscription_barriers{consensus::BarrierRound::at_once, Span{0.2}, Span{}};
constexpr BarrierBatchOptions lease_barriers{consensus::BarrierRound::next_heartbeat, Span{0.5}, Span{0.25}};
constexpr size_t most_known = 64;   // control nodes
constexpr size_t most_waiting_asks = 4096;
constexpr Span long_wait{0.5};            // of a subscription until it begins; a longer one is logged
constexpr size_t most_log_lines = 64;     // between two calls for them
constexpr double weight_unknown = 1000;   // Mbit/s, of a link of which nothing is known
constexpr std::string_view instances = "/instances/", rollouts = "/rollouts", rollout_of = "/rollouts/";

}   // namespace

Node::Node(NodeOptions options, StoredState stored, Time now)
    : options_(std::move(options)),
      disk_(stored.disk),
      hard_state_(stored.hard_state),
      replica_({options_.self.peer, stored.disk}, stored.hard_state, std::move(stored.entry), options_.replica,
               options_.seed, now),
      configurations_(replica_, outputs_, bounds_),
      rollouts_(replica_, outputs_, bounds_, rollout_fleet()),
      hosts_(options_.hosts, outputs_, bounds_,
             {[this](const messages::Message& message) { tell_all(message); },
              [this](const std::vector<registry::Host>& hosts) { tell_hosts(hosts); },
              [this](const std::set<consensus::ReplicaId>& present) { return is_majority(present); },
              [this] { return write_hosts(); },
              [this](const consensus::ReplicaId& to, const messages::Message& message) {
                  outputs_.push_back(SendToPeer{to.endpoint, message});
              }},
             replica_.self()),
      lending_(replica_, options_.limit_rule, bounds_),
      fanout_(options_.link_megabits),
      new_subscriptions_(replica_, subscription_barriers),
      configuration_leases_(replica_, lease_barriers) {
    hosts_.remember(stored.hosts, now);
    for (const auto& seed : options_.seeds)
        if (seed.peer != options_.self.peer) known_[seed.peer] = seed;
}

RolloutService::Fleet Node::rollout_fleet() {
    return {[this] { return proxies_.names().size(); },
            [this](const std::string& service) { return hosts_.versions(service); },
            [this](const std::string& line) {
                if (log_.size() < most_log_lines) log_.push_back(line);
            }};
}

NodeState Node::state(Time now) const {
    NodeState state;
    state.proxies = proxies_.names().size();
    state.subscribers = proxies_.subscribers().size();
    state.leads = replica_.role() == consensus::Role::leader;
    state.is_current = replica_.is_current(now);
    state.term = replica_.term();
    state.lends = lending_.lends();
    state.lending_violations = lending_.violations();
    state.last_lending_violation = lending_.last_violation();
    state.bounds = bounds_;
    state.bounds.hosts = hosts_.evicted();
    return state;
}

std::vector<Endpoint> Node::peers() const {
    std::vector<Endpoint> endpoints;
    for (const auto& [endpoint, node] : known_) endpoints.push_back(endpoint);
    return endpoints;
}

std::vector<messages::ControlNode> Node::controls() const {
    std::vector<messages::ControlNode> nodes{options_.self};
    for (const auto& [endpoint, node] : known_) nodes.push_back(node);
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
        outputs_.push_back(refusal(request.number, 404, "there is /config, /rollouts and /instances/ID"));
    carry_out(now);
}

void Node::configuration_request(const HttpRequest& request, Time now) {
    const bool reads = request.method == "GET", patches = request.method == "PATCH";
    if (!reads && !patches && request.method != "PUT") {
        outputs_.push_back(refusal(request.number, 405, "GET, PUT and PATCH are served here"));
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

// The path is named again as the caller wrote it.
void Node::rollout_request(const HttpRequest& request, Time now) {
    const bool orders = request.method == "POST" && request.path == rollouts;
    const bool reads = request.method == "GET" && request.path.size() > rollout_of.size();
    if (!orders && !reads)
        outputs_.push_back(refusal(request.number, 405, "POST /rollouts and GET /rollouts/SERVICE are served here"));
    else if (replica_.role() != consensus::Role::leader)
        redirect_to_leader(request, now);
    else if (orders)
        rollouts_.order(request.number, request.body, now);
    else
        rollouts_.read(request.number, request.path.substr(rollout_of.size()), now);
}

void Node::redirect_to_leader(const HttpRequest& request, Time now) {
    const auto leader = replica_.is_current(now) ? replica_.leader() : std::nullopt;
    const auto known = leader ? known_.find(leader->endpoint) : known_.end();
    if (known == known_.end()) {
        outputs_.push_back(refusal(request.number, 503, "no leader is known, try again"));
        return;
    }
    outputs_.push_back(
        HttpResponse{request.number, 307, "{}", "http://" + known->second.control.text() + request.path});
}

void Node::instance_request(const HttpRequest& request, Time now) {
    const auto id = request.path.substr(instances.size());
    if (id.empty())
        outputs_.push_back(refusal(request.number, 404, "the path must end with a host's id"));
    else if (request.method == "PUT")
        hosts_.heartbeat(request.number, id, request.body, replica_.is_current(now), now);
    else if (request.method == "DELETE")
        hosts_.leave(request.number, id, now);
    else
        outputs_.push_back(refusal(request.number, 405, "PUT and DELETE are served here"));
}

// Other processes.

void Node::connected(const Endpoint& peer, Time now) {
    outputs_.push_back(
        SendToPeer{peer, messages::PeerHello{replica_.self(), options_.self, options_.may_vote, controls()}});
    outputs_.push_back(SendToPeer{peer, messages::HostsUpdate{hosts_.all(), 0, true}});
    outputs_.push_back(SendToPeer{peer, own_proxies(true, now)});
}

void Node::received(ConnectionId link, const messages::Message& message, Time now) {
    if (const auto from = links_.find(link); from != links_.end())
        replica_.peer_reachable(from->second.replica, from->second.may_vote, now);
    std::visit([&](const auto& typed) { handle(link, typed, now); }, message);
    carry_out(now);
}

void Node::connection_closed(ConnectionId link, Time now) {
    if (const auto from = links_.extract(link); !from.empty()) replica_.peer_disconnected(from.mapped().replica, now);
    proxies_.remove_subscriber(link, now);
    end_subscription(link);
}

void Node::end_subscription(ConnectionId link) {
    new_subscriptions_.remove(link);
    configuration_leases_.remove(link);
    fanout_.left(link);
}

void Node::handle(ConnectionId link, const messages::PeerHello& hello, Time now) {
    links_[link] = {hello.replica, hello.node.peer, hello.may_vote};
    known_[hello.node.peer] = hello.node;
    for (const auto& node : hello.known) note_control_node(node);
    replica_.peer_connected(hello.replica, hello.may_vote, now);
}

void Node::note_control_node(const messages::ControlNode& node) {
    if (node.peer == options_.self.peer) return;
    if (const auto known = known_.find(node.peer); known != known_.end()) {
        if (known->second.zone.empty()) known->second = node;
        return;
    }
    if (known_.size() < most_known)
        known_[node.peer] = node;
    else
        ++bounds_.control_nodes;
}

void Node::handle(ConnectionId link, const messages::ConsensusMessage& message, Time now) {
    const auto from = links_.find(link);
    if (from == links_.end() || message.to_disk != disk_) return;
    replica_.receive(from->second.replica, message.message, now);
}

void Node::handle(ConnectionId link, const messages::HostsUpdate& hosts, Time now) {
    const auto from = links_.find(link);
    if (from == links_.end()) return;
    hosts_.told(from->second.replica, hosts, now);
    if (hosts.complete) hosts_from_.insert(from->second.replica);
}

void Node::handle(ConnectionId link, const messages::HostsConfirmation& confirmed, Time) {
    if (const auto from = links_.find(link); from != links_.end())
        hosts_.confirmed(from->second.replica, confirmed.confirmation_id);
}

void Node::handle(ConnectionId, const messages::HostHeartbeats& heard, Time now) { hosts_.heard(heard, now); }

void Node::handle(ConnectionId link, const messages::ProxiesStatus& proxies, Time now) {
    if (const auto from = links_.find(link); from != links_.end())
        proxies_.update_peer(from->second.peer, proxies, now);
}

void Node::handle(ConnectionId link, const messages::Subscribe& subscribe, Time now) {
    const auto earlier = proxies_.add_subscriber(link, subscribe, now);
    if (!earlier) return;
    for (const auto ended : *earlier) end_subscription(ended);
    auto fleet = fleet_for(link, proxies_.names(), now);
    fleet.control_nodes = controls();
    outputs_.push_back(SendToConnection{link, std::move(fleet)});
    new_subscriptions_.add(link, subscribe.version, now);
    fanout_.left(link);   // until the subscription has begun
    begin_subscriptions(now);
}

// A proxy may have no configuration yet, or come from a node that knew a newer one: it is told what this node knows
// once a majority has shown that this is the newest, and once this node has heard what a majority knows of the hosts.
void Node::begin_subscriptions(Time now) {
    new_subscriptions_.tick(now);
    if (!knows_hosts()) return;
    const auto proven = new_subscriptions_.take_proven(told_index_);
    for (const auto& [link, waited] : proven) begin_subscription(link, waited, now);
    if (!proven.empty()) tell_configuration(now);
}

void Node::begin_subscription(ConnectionId link, const Proven& proven, Time now) {
    if (!proxies_.is_subscriber(link)) return;
    if (const Span waited = now - proven.since; waited > long_wait && log_.size() < most_log_lines)
        log_.push_back("the subscription of " + proxies_.name(link) + " began after " + std::to_string(waited.s) +
                       " s and " + std::to_string(proven.asked) + " barriers");
    fanout_.subscribed(link, proven.value);
    outputs_.push_back(SendToConnection{link, messages::RolloutsUpdate{rollouts_.known()}});
    outputs_.push_back(SendToConnection{link, messages::HostsUpdate{hosts_.all(), 0, true}});
}

void Node::handle(ConnectionId link, const leases::ConfigurationLeaseRequest& ask, Time now) {
    if (!proxies_.is_subscriber(link)) return;
    configuration_leases_.add(link, ask.number, now);
    renew_configuration_leases(now);
}

// The version that is named holds whatever was committed when the barrier was asked for, which was after the ask came.
void Node::renew_configuration_leases(Time now) {
    configuration_leases_.tick(now);
    for (const auto& [link, proven] : configuration_leases_.take_proven(told_index_))
        outputs_.push_back(SendToConnection{link, leases::ConfigurationLeaseReply{proven.value, fanout_.version()}});
}

bool Node::knows_hosts() const {
    auto known = hosts_from_;
    known.insert(replica_.self());
    return is_majority(known);
}

// To the leader, which lends; back by way of the control node that the proxy subscribes to.
void Node::handle(ConnectionId link, const leases::LeaseRequest& ask, Time now) {
    const auto from = links_.find(link);
    if (auto reply = lending_.ask(ask, now)) {
        if (from != links_.end())
            outputs_.push_back(SendToPeer{from->second.peer, std::move(*reply)});
        else
            outputs_.push_back(SendToConnection{link, std::move(*reply)});
    } else if (replica_.role() == consensus::Role::leader) {
        if (waiting_asks_.size() < most_waiting_asks)
            waiting_asks_.emplace_back(link, ask);
        else
            ++bounds_.lease_asks;
    } else if (from == links_.end() && replica_.leader()) {
        outputs_.push_back(SendToPeer{replica_.leader()->endpoint, ask});
    }
}

// Those that came before this node lent, or before their senders were admitted.
void Node::answer_waiting_asks(Time now) {
    if (replica_.role() == consensus::Role::leader && !lending_.lends()) return;
    for (const auto& [link, ask] : std::exchange(waiting_asks_, {})) handle(link, ask, now);
}

void Node::handle(ConnectionId, const leases::LeaseReply& reply, Time) {
    if (const auto link = proxies_.link_of(reply.holder.node)) outputs_.push_back(SendToConnection{*link, reply});
}

// To the leader, which judges.
void Node::handle(ConnectionId link, const rollout::RolloutReport& ballot, Time now) {
    rollouts_.ballot(ballot, now);
    const bool is_from_proxy = links_.count(link) == 0;
    if (is_from_proxy && replica_.role() != consensus::Role::leader && replica_.leader())
        outputs_.push_back(SendToPeer{replica_.leader()->endpoint, ballot});
}

void Node::tell_all(const messages::Message& message) {
    for (const auto& [endpoint, node] : known_) outputs_.push_back(SendToPeer{endpoint, message});
}

void Node::tell_hosts(const std::vector<registry::Host>& hosts) {
    for (const auto link : proxies_.subscribers())
        if (!new_subscriptions_.is_waiting(link))
            outputs_.push_back(SendToConnection{link, messages::HostsUpdate{hosts, 0, false}});
}

messages::FleetStatus Node::fleet_for(ConnectionId link, const std::vector<std::string>& names, Time now) const {
    messages::FleetStatus fleet;
    fleet.current = replica_.is_current(now);
    fleet.current_elsewhere = !fleet.current && may_be_current_elsewhere(now);
    const auto at = std::lower_bound(names.begin(), names.end(), proxies_.name(link));
    fleet.proxy_index = static_cast<size_t>(at - names.begin());
    fleet.proxy_count = std::max<size_t>(1, names.size());
    return fleet;
}

// While nobody leads, no node is current, and a proxy that looked for another one would only lose time.
bool Node::may_be_current_elsewhere(Time now) const { return proxies_.hears_any_current(now) || is_isolated(now); }

bool Node::is_isolated(Time now) const {
    if (!replica_.entry()) return true;
    const auto& voters = replica_.entry()->state.voters;
    const auto heard = std::count_if(voters.begin(), voters.end(), [&](const auto& voter) {
        return voter.endpoint == options_.self.peer || proxies_.hears(voter.endpoint, now);
    });
    return 2 * static_cast<size_t>(heard) <= voters.size();
}

messages::ProxiesStatus Node::own_proxies(bool with_names, Time now) const {
    messages::ProxiesStatus told;
    if (with_names) told.proxies = proxies_.own_names();
    told.subscribers = proxies_.subscriber_count();
    told.current = replica_.is_current(now);
    told.weight = options_.link_megabits > 0 ? options_.link_megabits : weight_unknown;
    return told;
}

// To the other control nodes; the names where they have changed, and now and then.
void Node::tell_own_proxies(Time now) {
    auto names = proxies_.own_names();
    const bool with_names = now >= names_at_ || names != names_told_;
    if (with_names) names_at_ = now + names_every;
    names_told_ = std::move(names);
    tell_all(own_proxies(with_names, now));
}

void Node::move_subscribers(Time now) {
    const NodeLoad self{options_.self, own_proxies(false, now).weight, 0};
    const auto names = proxies_.names();
    for (const auto& move : proxies_.plan_moves(self, known_, now)) {
        auto fleet = fleet_for(move.connection, names, now);
        fleet.move_to = move.to;
        outputs_.push_back(SendToConnection{move.connection, std::move(fleet)});
    }
}

// Subscribers are told a configuration once it is committed, and never an older one. The entry may be replaced by one that is
// not committed yet, so what was committed is kept apart.
void Node::tell_configuration(Time now) {
    const auto& entry = replica_.entry();
    if (entry && entry->position.index <= replica_.committed()) {
        told_index_ = std::max(told_index_, entry->position.index);
        if (fanout_.committed(entry->state.version, entry->state.configuration, now))
            lending_.configured(fanout_.body());
    }
    tell_rollouts(now);
    for (const auto link : fanout_.take_due(now)) outputs_.push_back(SendToConnection{link, fanout_.told()});
}

void Node::tell_rollouts(Time now) {
    const auto& entry = replica_.entry();
    if (!entry || entry->position.index > replica_.committed()) return;
    if (!rollouts_.committed(entry->state.rollouts, now)) return;
    for (const auto link : proxies_.subscribers())
        if (!new_subscriptions_.is_waiting(link))
            outputs_.push_back(SendToConnection{link, messages::RolloutsUpdate{rollouts_.known()}});
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
    carry_out(now);
}

void Node::carry_out(Time now) {
    // What is carried out may ask for more.
    for (auto asked = replica_.take_outputs(); !asked.empty(); asked = replica_.take_outputs())
        for (auto& output : asked) {
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
    tell_configuration(now);
    begin_subscriptions(now);
    renew_configuration_leases(now);
    configurations_.committed(committed.position.index, now);
    rollouts_.committed_index(committed.position.index);
    lend(now);
}

void Node::lend(Time now) {
    lending_.tick(now);
    answer_waiting_asks(now);
}

void Node::barrier_passed(const consensus::BarrierPassed& passed, Time now) {
    if (new_subscriptions_.passed(passed)) return begin_subscriptions(now);
    if (configuration_leases_.passed(passed)) return renew_configuration_leases(now);
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

// The hosts as known, with those that are gone: a late heartbeat must not bring one back after a restart.
uint64_t Node::write_hosts() {
    auto hosts = hosts_.all();
    std::erase_if(hosts, [](const auto& host) { return host.state == registry::HostState::lost; });
    for (auto& host : hosts) host.sequence = 0;   // changes with every heartbeat
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
    carry_out(now);
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
    tell_configuration(now);
    lending_.tick(now);
    answer_waiting_asks(now);
    begin_subscriptions(now);
    renew_configuration_leases(now);
    if (now >= proxies_at_) {
        proxies_at_ = now + proxies_every;
        tell_own_proxies(now);
    }
    if (current && now >= moves_at_) {
        moves_at_ = now + moves_every;
        move_subscribers(now);
    }
    if (now >= fleet_at_ || current != current_told_) {
        fleet_at_ = now + fleet_every;
        const bool with_controls = std::exchange(known_told_, known_.size()) != known_.size();
        current_told_ = current;
        const auto names = proxies_.names();
        for (const auto link : proxies_.subscribers()) {
            auto fleet = fleet_for(link, names, now);
            if (with_controls) fleet.control_nodes = controls();
            outputs_.push_back(SendToConnection{link, std::move(fleet)});
        }
    }
    if (now >= hosts_at_) {
        hosts_at_ = now + hosts_every;
        write_hosts();
    }
    carry_out(now);
}

}   // namespace myrtleroute::control
