#include "roles/proxy/subscriber.hpp"

#include <algorithm>

namespace myrtleroute::proxy {
namespace {

constexpr Span silent_after{1.2};   // control nodes send several messages a second
// Connect timeout, doubled after each failure. A powered-off machine, or one that starts slightly later than this
// one, does not respond, and the kernel retries only after a second.
constexpr Span least_open_within{0.2}, most_open_within{1};
// A node without a quorum is left after this time if another one may have one; doubled each time until a node has a
// quorum.
constexpr Span least_patience{0.5}, most_patience{2};
constexpr double longer = 2;
constexpr Span suspected{5};   // how long a zone is avoided after one of its nodes had no quorum
constexpr Span avoided{2.5};   // time until a failed node is tried again, unless all have failed

}   // namespace

Subscriber::Subscriber(SubscriberOptions options)
    : options_(std::move(options)),
      chance_(options_.seed),
      open_within_(least_open_within),
      patience_(least_patience) {}

void Subscriber::add_seeds(const std::vector<messages::ControlNode>& seeds) {
    for (const auto& seed : seeds) know(seed);
}

Subscriber::Node& Subscriber::know(const messages::ControlNode& told) {
    if (nodes_.size() >= most_nodes && !nodes_.count(told.peer)) forget_one();
    auto& known = nodes_[told.peer];
    if (!told.zone.empty() || known.node.zone.empty()) known.node = told;   // seeds have no zone
    known.named = ++words_;
    return known;
}

// Evicts the node whose last mention is oldest, but not the current one.
void Subscriber::forget_one() {
    auto oldest = nodes_.end();
    for (auto it = nodes_.begin(); it != nodes_.end(); ++it) {
        if (link_ != Link::none && it->first == at_) continue;
        if (oldest == nodes_.end() || it->second.named < oldest->second.named) oldest = it;
    }
    nodes_.erase(oldest);
    ++forgotten_;
}

void Subscriber::opened(uint64_t version, Time now) {
    if (link_ != Link::opening) return;
    link_ = Link::open;
    open_within_ = least_open_within;
    heard_ = now;
    outputs_.push_back(SendOnLink{messages::Subscribe{options_.node, version, options_.zone}});
}

void Subscriber::failed(Time now) {
    if (link_ == Link::none) return;
    link_ = Link::none;
    nodes_[at_].failed = now;
    out_of_touch_since_ = long_ago;
}

void Subscriber::leave(memory::Why why, Time now) {
    outputs_.push_back(CloseLink{why});
    failed(now);
}

void Subscriber::received(const messages::Message& message, Time now) {
    if (link_ != Link::open) return;
    heard_ = now;
    outputs_.push_back(MessageReceived{message});
    const auto* fleet = std::get_if<messages::FleetStatus>(&message);
    if (!fleet) return;
    hear_contact(*fleet, now);
    for (const auto& node : fleet->control_nodes) know(node);
    if (fleet->move_to) move(*fleet->move_to, now);
}

void Subscriber::hear_contact(const messages::FleetStatus& fleet, Time now) {
    if (fleet.current) patience_ = least_patience;
    if (fleet.current || !fleet.current_elsewhere)
        out_of_touch_since_ = long_ago;
    else if (out_of_touch_since_ <= long_ago)
        out_of_touch_since_ = now;
}

// The node that is left is not marked as failed.
void Subscriber::move(const messages::ControlNode& to, Time now) {
    const auto& node = know(to);
    if (to.peer == at_ || now - node.failed < avoided) return;
    outputs_.push_back(CloseLink{memory::Why::told_to_close});
    out_of_touch_since_ = long_ago;
    open(to.peer, now);
}

void Subscriber::tick(Time now) {
    if (link_ == Link::opening && now - heard_ > open_within_) {
        open_within_ = std::min(open_within_ * longer, most_open_within);
        leave(memory::Why::silent, now);
    }
    if (link_ == Link::open && now - heard_ > silent_after) leave(memory::Why::silent, now);
    const bool out_of_touch = out_of_touch_since_ > long_ago && now - out_of_touch_since_ > patience_;
    if (link_ != Link::none && out_of_touch) {
        nodes_[at_].failed = nodes_[at_].out_of_touch = now;
        const auto* other = choose(now);
        if (other && other->node.peer != at_) {
            patience_ = std::min(patience_ * longer, most_patience);
            leave(memory::Why::told_to_close, now);
        }
    }
    if (link_ != Link::none) return;
    if (const auto* node = choose(now)) open(node->node.peer, now);
}

void Subscriber::open(const Endpoint& to, Time now) {
    link_ = Link::opening;
    at_ = to;
    heard_ = now;
    outputs_.push_back(OpenLink{at_});
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
        return node.node.zone == zone && now - node.out_of_touch < suspected;
    });
}

// The nearest node that has not failed recently; if all have, the one whose failure is oldest.
Subscriber::Node* Subscriber::choose(Time now) {
    Node* best = nullptr;
    std::pair<double, double> least;
    for (auto& [endpoint, node] : nodes_) {
        const bool failed = now - node.failed < avoided;
        const std::pair<double, double> cost{failed ? 10 + node.failed.s : distance(node, now), chance_.uniform()};
        if (best && cost >= least) continue;
        best = &node;
        least = cost;
    }
    return best;
}

}   // namespace myrtleroute::proxy
