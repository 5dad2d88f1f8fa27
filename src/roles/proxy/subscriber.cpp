#include "roles/proxy/subscriber.hpp"

namespace myrtleroute::proxy {
namespace {

constexpr Span silent_after{1.2};   // control nodes speak several times a second
constexpr Span open_within{0.6};
constexpr Span out_of_touch_after{0.5};   // a node without a majority is left then, if there is another one to try
constexpr Span avoided{2.5};              // a node that failed is tried again after this, or when all have failed
constexpr size_t most_nodes = 64;

}   // namespace

void Subscriber::add_seeds(const std::vector<messages::ControlNode>& seeds) {
    for (const auto& seed : seeds) nodes_.try_emplace(seed.peer, Node{seed, long_ago});
}

void Subscriber::opened(uint64_t version, Time now) {
    if (link_ != Link::opening) return;
    link_ = Link::open;
    heard_ = now;
    outputs_.push_back(SendOnLink{messages::Subscribe{options_.node, version}});
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
    if (const auto* fleet = std::get_if<messages::FleetTold>(&message)) {
        if (fleet->current)
            out_of_touch_since_ = long_ago;
        else if (out_of_touch_since_ <= long_ago)
            out_of_touch_since_ = now;
        for (const auto& node : fleet->controls)
            if (nodes_.size() < most_nodes || nodes_.count(node.peer)) nodes_[node.peer].node = node;
    }
    outputs_.push_back(Told{message});
}

void Subscriber::tick(Time now) {
    if (link_ != Link::none && now - heard_ > (link_ == Link::opening ? open_within : silent_after))
        leave(memory::Why::silent, now);
    const bool out_of_touch = out_of_touch_since_ > long_ago && now - out_of_touch_since_ > out_of_touch_after;
    if (link_ != Link::none && out_of_touch) {
        nodes_[at_].failed = now;
        const auto* other = choose(now);
        if (other && other->node.peer != at_) leave(memory::Why::told_to_close, now);
    }
    if (link_ == Link::none) {
        const auto* node = choose(now);
        if (!node) return;
        link_ = Link::opening;
        at_ = node->node.peer;
        heard_ = now;
        outputs_.push_back(OpenLink{at_});
    }
}

// Own machine, own zone, others; so that little crosses zones.
int Subscriber::distance(const Node& node) const {
    if (node.node.peer.address == options_.address) return 0;
    return node.node.zone == options_.zone ? 1 : 2;
}

// The nearest of those that have not failed lately; where all have, the one whose failure is the longest ago.
Subscriber::Node* Subscriber::choose(Time now) {
    Node* best = nullptr;
    std::pair<double, double> least;
    for (auto& [endpoint, node] : nodes_) {
        const bool failed = now - node.failed < avoided;
        const std::pair<double, double> cost{failed ? 10 + node.failed.s : distance(node), chance_.share()};
        if (best && cost >= least) continue;
        best = &node;
        least = cost;
    }
    return best;
}

}   // namespace myrtleroute::proxy
