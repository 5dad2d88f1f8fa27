// The proxies of the fleet and each one's place among them.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "roles/control/outputs.hpp"
#include "time.hpp"

namespace myrtleroute::control {

class ProxyDirectory {
public:
    // A proxy that subscribes here; one that does so again has only its newest subscription.
    void subscribed(LinkNumber link, const std::string& node);
    void left(LinkNumber link) { subscribers_.erase(link); }
    // Proxies that subscribe at another control node.
    void told(const Endpoint& by, messages::ProxiesTold proxies, Time now);
    void tick(Time now);

    bool is_subscriber(LinkNumber link) const { return subscribers_.count(link) > 0; }
    std::vector<LinkNumber> subscribers() const;
    std::optional<LinkNumber> link_of(const std::string& node) const;
    messages::ProxiesTold own() const;

    // Sorted names of all proxies, the same at every control node that has heard of the same ones.
    std::vector<std::string> names() const;
    const std::string& name(LinkNumber link) const { return subscribers_.at(link); }

private:
    struct Elsewhere {
        messages::ProxiesTold proxies;
        Time told;
    };
    std::map<LinkNumber, std::string> subscribers_;   // node names
    std::map<Endpoint, Elsewhere> elsewhere_;
};

}   // namespace myrtleroute::control
