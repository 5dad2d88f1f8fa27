#include "roles/control/configuration_fanout.hpp"

#include <algorithm>

namespace myrtleroute::control {
namespace {

// Shares of the machine's link; the rest is for its proxy, the replicated log and the hosts.
constexpr double usual_link_share = 0.35, max_link_share = 0.6;
constexpr Span distribution_target{0.8};   // a change must take effect at all proxies soon after it is acknowledged
constexpr Span max_catch_up{0.1};   // a call may come this much later than a copy was due; the delay is made up for
constexpr double bits_a_megabit = 1e6, bits_a_byte = 8;

}   // namespace

bool ConfigurationFanout::committed(uint64_t version, const PackedText& body, Time now) {
    if (version <= version_) return false;
    for (auto& [connection, subscriber] : subscribers_)
        if (subscriber.version == version_) subscriber.out_of_date_since = now;
    version_ = version;
    body_ = body;
    return true;
}

std::vector<ConnectionId> ConfigurationFanout::out_of_date() const {
    std::vector<ConnectionId> connections;
    for (const auto& [connection, subscriber] : subscribers_)
        if (subscriber.version < version_) connections.push_back(connection);
    std::stable_sort(connections.begin(), connections.end(), [this](auto a, auto b) {
        return subscribers_.at(a).out_of_date_since < subscribers_.at(b).out_of_date_since;
    });
    return connections;
}

std::vector<ConnectionId> ConfigurationFanout::take_due(Time now) {
    next_copy_at_ = std::max(next_copy_at_, was_idle_ ? now : now - max_catch_up);
    auto waiting = out_of_date();
    size_t taken = 0;
    for (; taken < waiting.size() && next_copy_at_ <= now; ++taken) {
        next_copy_at_ = next_copy_at_ + interval(waiting.size() - taken);
        subscribers_[waiting[taken]].version = version_;
    }
    was_idle_ = taken == waiting.size();
    waiting.resize(taken);
    return waiting;
}

Span ConfigurationFanout::interval(size_t waiting) const {
    if (link_megabits_ <= 0) return {};
    const Span copy{static_cast<double>(body_.encoded_size()) * bits_a_byte / bits_a_megabit / link_megabits_};
    const Span for_all = distribution_target * (1.0 / static_cast<double>(waiting));
    return std::clamp(for_all, copy * (1 / max_link_share), copy * (1 / usual_link_share));
}

}   // namespace myrtleroute::control
