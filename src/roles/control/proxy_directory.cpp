#include "roles/control/proxy_directory.hpp"

#include <algorithm>
#include <utility>

namespace myrtleroute::control {
namespace {

constexpr Span stale{3};   // what another control node told longer ago no longer counts
// A proxy's rates are averaged over a second and told within half of one: so much of what it granted is still to be
// counted by the others when it ends.
constexpr Span counts_on{2};
constexpr size_t most_departed = 1024;

void add(messages::Demand& total, const messages::Demand& demand) {
    for (const auto& [tenant, rates] : demand) {
        total[tenant].asked += rates.asked;
        total[tenant].granted += rates.granted;
    }
}

void at_least(messages::Demand& demand, const messages::Demand& before) {
    for (const auto& [tenant, rates] : before) {
        auto& now = demand[tenant];
        now.asked = std::max(now.asked, rates.asked);
        now.granted = std::max(now.granted, rates.granted);
    }
}

}   // namespace

void ProxyDirectory::subscribed(LinkNumber link, const std::string& node) {
    std::erase_if(subscribers_, [&](const auto& known) { return known.second.node == node; });
    subscribers_[link] = {node, {}};
}

void ProxyDirectory::left(LinkNumber link, Time now) {
    auto left = subscribers_.extract(link);
    if (left.empty() || left.mapped().demand.empty() || departed_.size() >= most_departed) return;
    departed_.push_back({left.mapped().node, std::move(left.mapped().demand), now + counts_on});
}

void ProxyDirectory::demanded(LinkNumber link, messages::Demand demand) {
    if (const auto it = subscribers_.find(link); it != subscribers_.end()) it->second.demand = std::move(demand);
}

void ProxyDirectory::told(const Endpoint& by, messages::ProxiesTold proxies, Time now) {
    elsewhere_[by] = {std::move(proxies), now};
}

void ProxyDirectory::tick(Time now) {
    std::erase_if(elsewhere_, [&](const auto& known) { return now - known.second.told > stale; });
    while (!departed_.empty() && departed_.front().until <= now) departed_.pop_front();
}

std::vector<LinkNumber> ProxyDirectory::subscribers() const {
    std::vector<LinkNumber> links;
    for (const auto& [link, subscriber] : subscribers_) links.push_back(link);
    return links;
}

messages::ProxiesTold ProxyDirectory::own() const {
    messages::ProxiesTold told;
    for (const auto& [link, subscriber] : subscribers_) told.proxies[subscriber.node] = subscriber.demand;
    for (const auto& departed : departed_) told.departed[departed.node] = departed.demand;
    return told;
}

std::vector<std::string> ProxyDirectory::names() const {
    std::set<std::string> sorted;
    for (const auto& [link, subscriber] : subscribers_) sorted.insert(subscriber.node);
    for (const auto& [by, known] : elsewhere_)
        for (const auto& [node, demand] : known.proxies.proxies) sorted.insert(node);
    return {sorted.begin(), sorted.end()};
}

// A proxy that has just moved may be told of by two control nodes; its own subscription here counts.
messages::Demand ProxyDirectory::total_demand() const {
    std::map<std::string, const messages::Demand*> by_node;
    for (const auto& [by, known] : elsewhere_)
        for (const auto& [node, demand] : known.proxies.proxies) by_node[node] = &demand;
    for (const auto& [link, subscriber] : subscribers_) by_node[subscriber.node] = &subscriber.demand;
    // One that has left may only have moved, or have been started again: what is more of before and now counts.
    std::map<std::string, messages::Demand> counted;
    for (const auto& [node, demand] : by_node) counted[node] = *demand;
    for (const auto& departed : departed_) at_least(counted[departed.node], departed.demand);
    for (const auto& [by, known] : elsewhere_)
        for (const auto& [node, demand] : known.proxies.departed) at_least(counted[node], demand);
    messages::Demand total;
    for (const auto& [node, demand] : counted) add(total, demand);
    return total;
}

}   // namespace myrtleroute::control
