// The proxies of the fleet in sorted order; which of them subscribe to this control node, and how many subscribe to
// others.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "roles/control/outputs.hpp"
#include "roles/control/subscriber_balance.hpp"
#include "time.hpp"

namespace myrtleroute::control {

class ProxyDirectory {
public:
    // Adds the subscription of a proxy. A proxy has only its newest subscription: the connections of earlier ones are
    // returned. nullopt if there is a newer one already.
    std::optional<std::vector<ConnectionId>> add_subscriber(ConnectionId connection,
                                                            const messages::Subscribe& subscribe, Time now);
    void remove_subscriber(ConnectionId connection, Time now);
    // Applies another control node's update on its subscribers and itself.
    void update_peer(const Endpoint& by, messages::ProxiesStatus proxies, Time now);
    void tick(Time now);

    bool is_subscriber(ConnectionId connection) const { return subscribers_.count(connection) > 0; }
    std::vector<ConnectionId> subscribers() const;
    std::optional<ConnectionId> connection_of(const std::string& node) const;
    size_t subscriber_count() const { return subscribers_.size(); }
    // Names of the subscribers here, and of those that were just moved to another node and may not be known there yet.
    std::vector<std::string> own_names() const;

    // Sorted names of all known proxies; the same at every control node that knows the same proxies.
    std::vector<std::string> names() const;
    const std::string& name(ConnectionId connection) const { return subscribers_.at(connection).node; }

    // Whether that node has sent an update recently, and whether the update said that the node is current.
    bool has_recent_update(const Endpoint& peer, Time now) const;
    bool is_current(const Endpoint& peer, Time now) const;
    bool any_current(Time now) const;

    // Moves of subscribers to other nodes. `self.subscribers` is filled in here; `nodes`: the other known control
    // nodes.
    std::vector<Move> plan_moves(NodeLoad self, const std::map<Endpoint, messages::ControlNode>& nodes, Time now);

private:
    struct Subscriber {
        std::string node, zone;
        Time since;
    };
    struct Peer {
        std::vector<std::string> names;
        messages::ProxiesStatus update;
        Time at, names_at;
    };
    std::map<ConnectionId, Subscriber> subscribers_;
    std::map<std::string, Time> moved_;     // by name: when a proxy that was asked to move disconnected
    std::map<ConnectionId, Time> moving_;   // when the subscriber was asked to move
    std::map<Endpoint, Peer> peers_;
};

}   // namespace myrtleroute::control
