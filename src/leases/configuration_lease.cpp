#include "leases/configuration_lease.hpp"

#include <algorithm>

namespace myrtleroute::leases {
namespace {

// Fraction of the bound; the rest allows for steady clocks that run at slightly different rates.
constexpr double lease_fraction = 0.96;
constexpr double requests_per_lease = 6;
constexpr size_t max_pending = 16;   // unanswered requests, and confirmations of versions that are not in use yet

template <class Item>
void push_bounded(std::deque<Item>& items, Item item) {
    if (items.size() >= max_pending) items.pop_front();
    items.push_back(item);
}

}   // namespace

ConfigurationLease::ConfigurationLease(std::optional<Span> bound) {
    if (bound) duration_ = *bound * lease_fraction;
}

void ConfigurationLease::connected() {
    pending_requests_.clear();
    next_request_at_ = long_ago;
}

std::optional<ConfigurationLeaseRequest> ConfigurationLease::next_request(Time now) {
    if (!duration_ || now < next_request_at_) return {};
    next_request_at_ = now + *duration_ * (1 / requests_per_lease);
    push_bounded(pending_requests_, {++last_number_, now});
    return ConfigurationLeaseRequest{last_number_};
}

void ConfigurationLease::apply(const ConfigurationLeaseReply& reply) {
    const auto request = std::find_if(pending_requests_.begin(), pending_requests_.end(),
                                      [&](const PendingRequest& pending) { return pending.number == reply.number; });
    if (request == pending_requests_.end()) return;
    push_bounded(confirmations_, {reply.version, request->sent});
    pending_requests_.erase(pending_requests_.begin(), std::next(request));
    renew();
}

void ConfigurationLease::set_version(uint64_t version) {
    version_ = std::max(version_, version);
    renew();
}

void ConfigurationLease::renew() {
    std::erase_if(confirmations_, [this](const Confirmation& confirmation) {
        if (confirmation.version > version_) return false;
        began_ = std::max(began_, confirmation.requested);
        return true;
    });
}

}   // namespace myrtleroute::leases
