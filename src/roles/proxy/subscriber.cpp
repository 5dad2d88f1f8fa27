#include "roles/proxy/subscriber.hpp"

#include <algorithm>

namespace myrtleroute::proxy {
namespace {

constexpr Span silence_timeout{1.2};   // control nodes send several messages a second
// Connect timeout, doubled after each failure. A powered-off machine, or one that starts slightly later than this
// one, does not respond, and the kernel retries only after a second.
constexpr Span min_connect_timeout{0.2}, max_connect_timeout{1};
// A node without a quorum is left after this time if another one may have one; doubled each time until a node has a
// quorum.
constexpr Span min_no_quorum_timeout{0.5}, max_no_quorum_timeout{2};
constexpr double backoff_factor = 2;
constexpr Span zone_suspect_time{5};      // how long a zone is avoided after one of its nodes had no quorum
constexpr Span failed_retry_after{2.5};   // time until a failed node is tried again, unless all have failed

}   // namespace

Subscriber::Subscriber(SubscriberOptions options)
    : options_(std::move(options)),
      rng_(options_.seed),
      connect_timeout_(min_connect_timeout),
      no_quorum_timeout_(min_no_quorum_timeout) {}

void Subscriber::add_seeds(const std::vector<messages::ControlNode>& seeds) {
    for (const auto& seed : seeds) add_or_update(seed);
}

Subscriber::Node& Subscriber::add_or_update(const messages::ControlNode& info) {
    if (nodes_.size() >= max_nodes && !nodes_.count(info.peer)) evict_oldest();
    auto& known = nodes_[info.peer];
    if (!info.zone.empty() || known.node.zone.empty()) known.node = info;   // seeds have no zone
    known.last_mention = ++mention_count_;
    return known;
}

// Evicts the node whose last mention is oldest, but not the current one.
void Subscriber::evict_oldest() {
    auto oldest = nodes_.end();
    for (auto it = nodes_.begin(); it != nodes_.end(); ++it) {
        if (state_ != ConnectionState::none && it->first == at_) continue;
        if (oldest == nodes_.end() || it->second.last_mention < oldest->second.last_mention) oldest = it;
    }
    nodes_.erase(oldest);
    ++evicted_;
}

void Subscriber::opened(uint64_t version, Time now) {
    if (state_ != ConnectionState::opening) return;
    state_ = ConnectionState::open;
    connect_timeout_ = min_connect_timeout;
    last_received_ = now;
    outputs_.push_back(SendMessage{messages::Subscribe{options_.node, version, options_.zone}});
}

void Subscriber::failed(Time now) {
    if (state_ == ConnectionState::none) return;
    state_ = ConnectionState::none;
    nodes_[at_].failed = now;
    no_quorum_since_ = long_ago;
}

void Subscriber::leave(memory::CloseReason why, Time now) {
    outputs_.push_back(CloseConnection{why});
    failed(now);
}

void Subscriber::received(const messages::Message& message, Time now) {
    if (state_ != ConnectionState::open) return;
    last_received_ = now;
    outputs_.push_back(MessageReceived{message});
    const auto* fleet = std::get_if<messages::FleetStatus>(&message);
    if (!fleet) return;
    track_quorum(*fleet, now);
    for (const auto& node : fleet->control_nodes) add_or_update(node);
    if (fleet->move_to) move(*fleet->move_to, now);
}

void Subscriber::track_quorum(const messages::FleetStatus& fleet, Time now) {
    if (fleet.current) no_quorum_timeout_ = min_no_quorum_timeout;
    if (fleet.current || !fleet.current_elsewhere)
        no_quorum_since_ = long_ago;
    else if (no_quorum_since_ <= long_ago)
        no_quorum_since_ = now;
}

// The node that is left is not marked as failed.
void Subscriber::move(const messages::ControlNode& to, Time now) {
    const auto& node = add_or_update(to);
    if (to.peer == at_ || now - node.failed < failed_retry_after) return;
    outputs_.push_back(CloseConnection{memory::CloseReason::told_to_close});
    no_quorum_since_ = long_ago;
    open(to.peer, now);
}

void Subscriber::tick(Time now) {
    if (state_ == ConnectionState::opening && now - last_received_ > connect_timeout_) {
        connect_timeout_ = std::min(connect_timeout_ * backoff_factor, max_connect_timeout);
        leave(memory::CloseReason::silent, now);
    }
    if (state_ == ConnectionState::open && now - last_received_ > silence_timeout)
        leave(memory::CloseReason::silent, now);
    const bool without_quorum = no_quorum_since_ > long_ago && now - no_quorum_since_ > no_quorum_timeout_;
    if (state_ != ConnectionState::none && without_quorum) {
        nodes_[at_].failed = nodes_[at_].lost_quorum_at = now;
        const auto* other = choose(now);
        if (other && other->node.peer != at_) {
            no_quorum_timeout_ = std::min(no_quorum_timeout_ * backoff_factor, max_no_quorum_timeout);
            leave(memory::CloseReason::told_to_close, now);
        }
    }
    if (state_ != ConnectionState::none) return;
    if (const auto* node = choose(now)) open(node->node.peer, now);
}

void Subscriber::open(const Endpoint& to, Time now) {
    state_ = ConnectionState::opening;
    at_ = to;
    last_received_ = now;
    outputs_.push_back(OpenConnection{at_});
}

// Prefers the own machine, then the own zone, to keep traffic within zones. A partition that separates one node
// from the quorum may separate its whole zone, so such a zone comes last for a while; otherwise a proxy would try
// its nodes one after the other.
int Subscriber::distance(const Node& node, Time now) const {
    enum { own_machine, own_zone, other_zone, suspected_zone };
    if (is_suspected(node.node.zone, now)) return suspected_zone;
    if (node.node.peer.address == options_.address) return own_machine;
    return node.node.zone == options_.zone ? own_zone : other_zone;
}

bool Subscriber::is_suspected(const std::string& zone, Time now) const {
    return std::any_of(nodes_.begin(), nodes_.end(), [&](const auto& known) {
        const auto& node = known.second;
        return node.node.zone == zone && now - node.lost_quorum_at < zone_suspect_time;
    });
}

// The nearest node that has not failed recently; if all have, the one whose failure is oldest.
Subscriber::Node* Subscriber::choose(Time now) {
    Node* best = nullptr;
    std::pair<double, double> least;
    for (auto& [endpoint, node] : nodes_) {
        const bool failed = now - node.failed < failed_retry_after;
        const std::pair<double, double> cost{failed ? 10 + node.failed.s : distance(node, now), rng_.uniform()};
        if (best && cost >= least) continue;
        best = &node;
        least = cost;
    }
    return best;
}

}   // namespace myrtleroute::proxy
