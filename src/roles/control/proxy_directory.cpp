#include "roles/control/proxy_directory.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace myrtleroute::control {
namespace {

constexpr Span stale{3};   // what another control node told longer ago no longer counts

}   // namespace

void ProxyDirectory::subscribed(LinkNumber link, const std::string& node) {
    std::erase_if(subscribers_, [&](const auto& known) { return known.second == node; });
    subscribers_[link] = node;
}

void ProxyDirectory::told(const Endpoint& by, messages::ProxiesTold proxies, Time now) {
    elsewhere_[by] = {std::move(proxies), now};
}

void ProxyDirectory::tick(Time now) {
    std::erase_if(elsewhere_, [&](const auto& known) { return now - known.second.told > stale; });
}

std::vector<LinkNumber> ProxyDirectory::subscribers() const {
    std::vector<LinkNumber> links;
    for (const auto& [link, node] : subscribers_) links.push_back(link);
    return links;
}

std::optional<LinkNumber> ProxyDirectory::link_of(const std::string& node) const {
    const auto is_it = [&](const auto& known) {
        return known.second == node;
    };
    const auto known = std::find_if(subscribers_.begin(), subscribers_.end(), is_it);
    return known == subscribers_.end() ? std::nullopt : std::optional(known->first);
}

messages::ProxiesTold ProxyDirectory::own() const {
    messages::ProxiesTold told;
    for (const auto& [link, node] : subscribers_) told.proxies.push_back(node);
    return told;
}

std::vector<std::string> ProxyDirectory::names() const {
    std::set<std::string> sorted;
    for (const auto& [link, node] : subscribers_) sorted.insert(node);
    for (const auto& [by, known] : elsewhere_)
        sorted.insert(known.proxies.proxies.begin(), known.proxies.proxies.end());
    return {sorted.begin(), sorted.end()};
}

}   // namespace myrtleroute::control
