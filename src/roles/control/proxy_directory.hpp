// The proxies of the fleet and each one's place among them; which of them subscribe to this control node, and how many to
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
    // A proxy that subscribes here. One that does so again has only its newest subscription: the links of earlier ones are
    // returned. Nothing: there is a newer one already.
    std::optional<std::vector<ConnectionId>> add_subscriber(ConnectionId link, const messages::Subscribe& subscribe,
                                                            Time now);
    void remove_subscriber(ConnectionId link, Time now);
    // What another control node tells of its subscribers and itself.
    void update_peer(const Endpoint& by, messages::ProxiesStatus proxies, Time now);
    void tick(Time now);

    bool is_subscriber(ConnectionId link) const { return subscribers_.count(link) > 0; }
    std::vector<ConnectionId> subscribers() const;
    std::optional<ConnectionId> link_of(const std::string& node) const;
    size_t subscriber_count() const { return subscribers_.size(); }
    // Names of the subscribers here, and of those that have just been moved to another node and are not known there yet.
    std::vector<std::string> own_names() const;

    // Sorted names of all proxies, the same at every control node that has heard of the same ones.
    std::vector<std::string> names() const;
    const std::string& name(ConnectionId link) const { return subscribers_.at(link).node; }

    // Whether that node has told of itself lately; and that it is current.
    bool hears(const Endpoint& peer, Time now) const;
    bool hears_current(const Endpoint& peer, Time now) const;
    bool hears_any_current(Time now) const;

    // Which subscribers are to move where. `self` has no count yet; `nodes`: the other control nodes that there are.
    std::vector<Move> plan_moves(NodeLoad self, const std::map<Endpoint, messages::ControlNode>& nodes, Time now);

private:
    struct Subscriber {
        std::string node, zone;
        Time since;
    };
    struct Elsewhere {
        std::vector<std::string> names;
        messages::ProxiesStatus told;
        Time at, names_at;
    };
    std::map<ConnectionId, Subscriber> subscribers_;
    std::map<std::string, Time> moved_;     // by name: when a proxy that was told to move has left
    std::map<ConnectionId, Time> moving_;   // when they were told to
    std::map<Endpoint, Elsewhere> elsewhere_;
};

}   // namespace myrtleroute::control
