// The proxies of the fleet, each one's place among them, and what tenants ask of all of them together.
#pragma once
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "roles/control/outputs.hpp"
#include "time.hpp"

namespace myrtleroute::control {

class ProxyDirectory {
public:
    // A proxy that subscribes here; one that does so again has only its newest subscription.
    void subscribed(LinkNumber link, const std::string& node);
    // Its process may have ended: what it granted last has not been counted by all, so it counts on for a moment.
    void left(LinkNumber link, Time now);
    void demanded(LinkNumber link, messages::Demand demand);
    // Proxies that subscribe at another control node.
    void told(const Endpoint& by, messages::ProxiesTold proxies, Time now);
    void tick(Time now);

    bool is_subscriber(LinkNumber link) const { return subscribers_.count(link) > 0; }
    std::vector<LinkNumber> subscribers() const;
    messages::ProxiesTold own() const;

    // Sorted names of all proxies, the same at every control node that has heard of the same ones.
    std::vector<std::string> names() const;
    messages::Demand total_demand() const;
    const std::string& name(LinkNumber link) const { return subscribers_.at(link).node; }

private:
    struct Subscriber {
        std::string node;
        messages::Demand demand;
    };
    struct Elsewhere {
        messages::ProxiesTold proxies;
        Time told;
    };
    struct Departed {
        std::string node;
        messages::Demand demand;
        Time until;
    };
    std::map<LinkNumber, Subscriber> subscribers_;
    std::deque<Departed> departed_;
    std::map<Endpoint, Elsewhere> elsewhere_;
};

}   // namespace myrtleroute::control
