#include "roles/control/proxy_directory.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace myrtleroute::control {
namespace {

constexpr Span stale{3};        // what another control node told longer ago no longer counts
constexpr Span heard{0.8};      // a node that told of itself longer ago may be away
constexpr Span move_grace{1};   // in which a proxy that moves is counted at the node that it has left

}   // namespace

std::optional<std::vector<ConnectionId>> ProxyDirectory::add_subscriber(ConnectionId link,
                                                                        const messages::Subscribe& subscribe,
                                                                        Time now) {
    std::vector<ConnectionId> earlier;
    for (const auto& [known, subscriber] : subscribers_) {
        if (subscriber.node != subscribe.node || known == link) continue;
        if (known > link) return {};
        earlier.push_back(known);
    }
    for (const auto known : earlier) subscribers_.erase(known);
    moved_.erase(subscribe.node);
    subscribers_[link] = {subscribe.node, subscribe.zone, now};
    return earlier;
}

void ProxyDirectory::remove_subscriber(ConnectionId link, Time now) {
    const auto subscriber = subscribers_.extract(link);
    const auto moving = moving_.extract(link);
    if (subscriber.empty() || moving.empty() || now - moving.mapped() > move_grace) return;
    moved_[subscriber.mapped().node] = now;
}

void ProxyDirectory::update_peer(const Endpoint& by, messages::ProxiesStatus proxies, Time now) {
    auto& known = elsewhere_[by];
    if (proxies.proxies) {
        known.names = std::move(*proxies.proxies);
        known.names_at = now;
    }
    proxies.proxies.reset();
    known.told = std::move(proxies);
    known.at = now;
}

void ProxyDirectory::tick(Time now) {
    std::erase_if(elsewhere_, [&](const auto& known) { return now - known.second.at > stale; });
    for (auto& [by, known] : elsewhere_)
        if (now - known.names_at > stale) known.names.clear();
    std::erase_if(moved_, [&](const auto& known) { return now - known.second > move_grace; });
    std::erase_if(moving_, [&](const auto& known) { return now - known.second > move_grace; });
}

std::vector<ConnectionId> ProxyDirectory::subscribers() const {
    std::vector<ConnectionId> links;
    for (const auto& [link, subscriber] : subscribers_) links.push_back(link);
    return links;
}

std::optional<ConnectionId> ProxyDirectory::link_of(const std::string& node) const {
    const auto is_it = [&](const auto& known) {
        return known.second.node == node;
    };
    const auto known = std::find_if(subscribers_.begin(), subscribers_.end(), is_it);
    return known == subscribers_.end() ? std::nullopt : std::optional(known->first);
}

std::vector<std::string> ProxyDirectory::own_names() const {
    std::vector<std::string> names;
    for (const auto& [link, subscriber] : subscribers_) names.push_back(subscriber.node);
    for (const auto& [node, left] : moved_) names.push_back(node);
    return names;
}

std::vector<std::string> ProxyDirectory::names() const {
    const auto own = own_names();
    std::set<std::string> sorted(own.begin(), own.end());
    for (const auto& [by, known] : elsewhere_) sorted.insert(known.names.begin(), known.names.end());
    return {sorted.begin(), sorted.end()};
}

bool ProxyDirectory::hears(const Endpoint& peer, Time now) const {
    const auto known = elsewhere_.find(peer);
    return known != elsewhere_.end() && now - known->second.at < heard;
}

bool ProxyDirectory::hears_current(const Endpoint& peer, Time now) const {
    return hears(peer, now) && elsewhere_.at(peer).told.current;
}

bool ProxyDirectory::hears_any_current(Time now) const {
    return std::any_of(elsewhere_.begin(), elsewhere_.end(),
                       [&](const auto& known) { return hears_current(known.first, now); });
}

std::vector<Move> ProxyDirectory::plan_moves(NodeLoad self, const std::map<Endpoint, messages::ControlNode>& nodes,
                                             Time now) {
    self.subscribers = subscribers_.size();
    std::vector<NodeLoad> others;
    for (const auto& [peer, node] : nodes)
        if (hears_current(peer, now)) {
            const auto& told = elsewhere_.at(peer).told;
            others.push_back({node, told.weight, told.subscribers});
        }
    std::vector<PlacedSubscriber> proxies;
    for (const auto& [link, subscriber] : subscribers_)
        proxies.push_back({link, subscriber.zone, now - subscriber.since});
    auto moves = control::plan_moves(self, others, proxies);
    for (const auto& move : moves) moving_[move.connection] = now;
    return moves;
}

}   // namespace myrtleroute::control
