#include "roles/control/configuration_fanout.hpp"

#include <algorithm>

namespace myrtleroute::control {
namespace {

constexpr double link_share = 0.35;   // of the machine's link; the rest is its proxy's, the log's and the hosts'
constexpr Span most_pause{0.8};       // a change must be in force everywhere soon after its acknowledgement
constexpr double bits_a_megabit = 1e6, bits_a_byte = 8;

}   // namespace

bool ConfigurationFanout::committed(uint64_t version, const std::string& body) {
    if (version <= version_) return false;
    version_ = version;
    body_ = body;
    return true;
}

bool ConfigurationFanout::take(LinkNumber link) {
    auto& held = held_[link];
    if (held >= version_) return false;
    held = version_;
    return true;
}

std::vector<LinkNumber> ConfigurationFanout::take_due(Time now) {
    std::vector<LinkNumber> due;
    if (now < next_) return due;
    for (auto& [link, held] : held_)
        if (take(link)) due.push_back(link);
    if (!due.empty()) next_ = now + pause_after(due.size());
    return due;
}

Span ConfigurationFanout::pause_after(size_t copies) const {
    if (link_megabits_ <= 0) return {};
    const double megabits = static_cast<double>(body_.size() * copies) * bits_a_byte / bits_a_megabit;
    return std::min(most_pause, Span{megabits / (link_megabits_ * link_share)});
}

}   // namespace myrtleroute::control
