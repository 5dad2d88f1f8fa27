#include "roles/control/proxy_directory.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace myrtleroute::control {
namespace {

constexpr Span update_expiry{3};   // an older update of another control node is dropped
constexpr Span recent{0.8};        // a node whose last update is older may be unreachable
constexpr Span move_grace{1};      // for which a moving proxy still counts at the node that it has left

}   // namespace

std::optional<std::vector<ConnectionId>> ProxyDirectory::add_subscriber(ConnectionId connection,
                                                                        const messages::Subscribe& subscribe,
                                                                        Time now) {
    std::vector<ConnectionId> earlier;
    for (const auto& [known, subscriber] : subscribers_) {
        if (subscriber.node != subscribe.node || known == connection) continue;
        if (known > connection) return {};
        earlier.push_back(known);
    }
    for (const auto known : earlier) subscribers_.erase(known);
    moved_.erase(subscribe.node);
    subscribers_[connection] = {subscribe.node, subscribe.zone, now};
    return earlier;
}

void ProxyDirectory::remove_subscriber(ConnectionId connection, Time now) {
    const auto subscriber = subscribers_.extract(connection);
    const auto moving = moving_.extract(connection);
    if (subscriber.empty() || moving.empty() || now - moving.mapped() > move_grace) return;
    moved_[subscriber.mapped().node] = now;
}

void ProxyDirectory::update_peer(const Endpoint& by, messages::ProxiesStatus proxies, Time now) {
    auto& known = peers_[by];
    if (proxies.proxies) {
        known.names = std::move(*proxies.proxies);
        known.names_at = now;
    }
    proxies.proxies.reset();
    known.update = std::move(proxies);
    known.at = now;
}

void ProxyDirectory::tick(Time now) {
    std::erase_if(peers_, [&](const auto& known) { return now - known.second.at > update_expiry; });
    for (auto& [by, known] : peers_)
        if (now - known.names_at > update_expiry) known.names.clear();
    std::erase_if(moved_, [&](const auto& known) { return now - known.second > move_grace; });
    std::erase_if(moving_, [&](const auto& known) { return now - known.second > move_grace; });
}

std::vector<ConnectionId> ProxyDirectory::subscribers() const {
    std::vector<ConnectionId> connections;
    for (const auto& [connection, subscriber] : subscribers_) connections.push_back(connection);
    return connections;
}

std::optional<ConnectionId> ProxyDirectory::connection_of(const std::string& node) const {
    const auto is_it = [&](const auto& known) {
        return known.second.node == node;
    };
    const auto known = std::find_if(subscribers_.begin(), subscribers_.end(), is_it);
    return known == subscribers_.end() ? std::nullopt : std::optional(known->first);
}

std::vector<std::string> ProxyDirectory::own_names() const {
    std::vector<std::string> names;
    for (const auto& [connection, subscriber] : subscribers_) names.push_back(subscriber.node);
    for (const auto& [node, left] : moved_) names.push_back(node);
    return names;
}

std::vector<std::string> ProxyDirectory::names() const {
    const auto own = own_names();
    std::set<std::string> sorted(own.begin(), own.end());
    for (const auto& [by, known] : peers_) sorted.insert(known.names.begin(), known.names.end());
    return {sorted.begin(), sorted.end()};
}

bool ProxyDirectory::has_recent_update(const Endpoint& peer, Time now) const {
    const auto known = peers_.find(peer);
    return known != peers_.end() && now - known->second.at < recent;
}

bool ProxyDirectory::is_current(const Endpoint& peer, Time now) const {
    return has_recent_update(peer, now) && peers_.at(peer).update.current;
}

bool ProxyDirectory::any_current(Time now) const {
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& known) { return is_current(known.first, now); });
}

std::vector<Move> ProxyDirectory::plan_moves(NodeLoad self, const std::map<Endpoint, messages::ControlNode>& nodes,
                                             Time now) {
    self.subscribers = subscribers_.size();
    std::vector<NodeLoad> others;
    for (const auto& [peer, node] : nodes)
        if (is_current(peer, now)) {
            const auto& update = peers_.at(peer).update;
            others.push_back({node, update.weight, update.subscribers});
        }
    std::vector<PlacedSubscriber> proxies;
    for (const auto& [connection, subscriber] : subscribers_)
        proxies.push_back({connection, subscriber.zone, now - subscriber.since});
    auto moves = control::plan_moves(self, others, proxies);
    for (const auto& move : moves) moving_[move.connection] = now;
    return moves;
}

}   // namespace myrtleroute::control
