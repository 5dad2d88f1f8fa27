#include "leases/configuration_lease.hpp"

#include <algorithm>

namespace myrtleroute::leases {
namespace {

constexpr double leased_part = 0.96;   // of the bound; the rest is for steady clocks that don't run quite alike
constexpr double asks_in_a_lease = 6;
constexpr size_t most_open = 16;   // asks without an answer, and proofs of versions that are not in use yet

template <class Item>
void push_bounded(std::deque<Item>& items, Item item) {
    if (items.size() >= most_open) items.pop_front();
    items.push_back(item);
}

}   // namespace

ConfigurationLease::ConfigurationLease(std::optional<Span> bound) {
    if (bound) length_ = *bound * leased_part;
}

void ConfigurationLease::connected() {
    asks_.clear();
    next_ask_ = long_ago;
}

std::optional<ConfigurationLeaseRequest> ConfigurationLease::next_request(Time now) {
    if (!length_ || now < next_ask_) return {};
    next_ask_ = now + *length_ * (1 / asks_in_a_lease);
    push_bounded(asks_, {++numbers_, now});
    return ConfigurationLeaseRequest{numbers_};
}

void ConfigurationLease::apply(const ConfigurationLeaseReply& reply) {
    const auto asked =
        std::find_if(asks_.begin(), asks_.end(), [&](const Ask& ask) { return ask.number == reply.number; });
    if (asked == asks_.end()) return;
    push_bounded(proofs_, {reply.version, asked->sent});
    asks_.erase(asks_.begin(), std::next(asked));
    renew();
}

void ConfigurationLease::set_version(uint64_t version) {
    version_ = std::max(version_, version);
    renew();
}

void ConfigurationLease::renew() {
    std::erase_if(proofs_, [this](const Proof& proof) {
        if (proof.version > version_) return false;
        began_ = std::max(began_, proof.asked);
        return true;
    });
}

}   // namespace myrtleroute::leases
