#include "roles/control/configuration_fanout.hpp"

#include <algorithm>

namespace myrtleroute::control {
namespace {

constexpr double usual_share = 0.35,
                 most_share = 0.6;   // of the machine's link; the rest is its proxy's, the log's, the hosts'
constexpr Span all_within{0.8};      // a change must be in force everywhere soon after its acknowledgement
constexpr Span unused_pace{0.1};     // that is made up for: a call may come so much later than a copy was due
constexpr double bits_a_megabit = 1e6, bits_a_byte = 8;

}   // namespace

bool ConfigurationFanout::committed(uint64_t version, const PackedText& body, Time now) {
    if (version <= version_) return false;
    for (auto& [link, held] : held_)
        if (held.version == version_) held.out_of_date_since = now;
    version_ = version;
    body_ = body;
    return true;
}

std::vector<ConnectionId> ConfigurationFanout::out_of_date() const {
    std::vector<ConnectionId> links;
    for (const auto& [link, held] : held_)
        if (held.version < version_) links.push_back(link);
    std::stable_sort(links.begin(), links.end(),
                     [this](auto a, auto b) { return held_.at(a).out_of_date_since < held_.at(b).out_of_date_since; });
    return links;
}

std::vector<ConnectionId> ConfigurationFanout::take_due(Time now) {
    next_ = std::max(next_, was_idle_ ? now : now - unused_pace);
    auto waiting = out_of_date();
    size_t taken = 0;
    for (; taken < waiting.size() && next_ <= now; ++taken) {
        next_ = next_ + pause(waiting.size() - taken);
        held_[waiting[taken]].version = version_;
    }
    was_idle_ = taken == waiting.size();
    waiting.resize(taken);
    return waiting;
}

Span ConfigurationFanout::pause(size_t waiting) const {
    if (link_megabits_ <= 0) return {};
    const Span copy{static_cast<double>(body_.encoded_size()) * bits_a_byte / bits_a_megabit / link_megabits_};
    const Span for_all = all_within * (1.0 / static_cast<double>(waiting));
    return std::clamp(for_all, copy * (1 / most_share), copy * (1 / usual_share));
}

}   // namespace myrtleroute::control
