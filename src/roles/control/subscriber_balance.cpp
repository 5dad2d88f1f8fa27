#include "roles/control/subscriber_balance.hpp"

#include <algorithm>
#include <cmath>

namespace myrtleroute::control {
namespace {

constexpr double max_overload = 1.25;   // multiple of a node's share up to which it keeps its subscribers
constexpr double surplus_fraction = 0.2, zone_fraction = 0.03;   // of a node's subscribers that move at a time
constexpr size_t min_surplus_moves = 2, min_zone_moves = 1;
constexpr Span min_zone_move_age{3};   // younger subscriptions move to their zone only as part of a surplus

// Each node's share of all subscribers, by weight.
class Shares {
public:
    Shares(const NodeLoad& self, const std::vector<NodeLoad>& others)
        : subscribers_(static_cast<double>(self.subscribers)), weight_(self.weight) {
        for (const auto& other : others) {
            subscribers_ += static_cast<double>(other.subscribers);
            weight_ += other.weight;
        }
    }
    double share(const NodeLoad& node) const { return weight_ > 0 ? subscribers_ * node.weight / weight_ : 0; }
    size_t max_subscribers(const NodeLoad& node) const {
        return static_cast<size_t>(std::ceil(share(node) * max_overload)) + 1;
    }
    bool is_over(const NodeLoad& node) const { return node.subscribers > max_subscribers(node); }

private:
    double subscribers_, weight_;
};

size_t fraction_of(size_t subscribers, double fraction, size_t minimum) {
    return std::max(minimum, static_cast<size_t>(static_cast<double>(subscribers) * fraction));
}

// Free places at the other nodes for this node's moves.
class FreeCapacity {
public:
    FreeCapacity(const NodeLoad& self, const std::vector<NodeLoad>& others) {
        const Shares shares(self, others);
        const auto over = std::count_if(others.begin(), others.end(), [&](const auto& o) { return shares.is_over(o); });
        const auto senders = static_cast<double>(over + 1);   // other overloaded nodes fill the free places as well
        for (const auto& other : others) {
            const auto has = static_cast<double>(other.subscribers);
            // One place stays free for a proxy that subscribes without being moved.
            const double max_subscribers = static_cast<double>(shares.max_subscribers(other)) - 1;
            remaining_.push_back(
                {&other, places(max_subscribers - has, senders), places(shares.share(other) - has, senders)});
        }
    }
    // Takes a place at a node of that zone, up to the tolerated overload; null if there is none.
    const NodeLoad* take_in_zone(const std::string& zone) {
        return take(&Remaining::in_zone, [&](const Remaining& remaining) { return remaining.node->node.zone == zone; });
    }
    // Takes a place at any node, up to its share; null if there is none.
    const NodeLoad* take_any() {
        return take(&Remaining::up_to_share, [](const Remaining&) { return true; });
    }

private:
    struct Remaining {
        const NodeLoad* node;
        size_t in_zone, up_to_share;
    };
    static size_t places(double free, double senders) {
        return free < 1 ? 0 : static_cast<size_t>(std::max(1.0, free / senders));
    }
    template <class Predicate>
    const NodeLoad* take(size_t Remaining::*places, Predicate matches) {
        Remaining* best = nullptr;
        for (auto& remaining : remaining_)
            if (remaining.*places > 0 && matches(remaining) && (!best || remaining.*places > best->*places))
                best = &remaining;
        if (!best) return nullptr;
        if (best->in_zone > 0) --best->in_zone;
        if (best->up_to_share > 0) --best->up_to_share;
        return best->node;
    }
    std::vector<Remaining> remaining_;
};

}   // namespace

std::vector<Move> plan_moves(const NodeLoad& self, const std::vector<NodeLoad>& others,
                             const std::vector<PlacedSubscriber>& subscribers) {
    std::vector<Move> moves;
    if (others.empty()) return moves;
    const size_t max_subscribers = Shares(self, others).max_subscribers(self);
    const size_t surplus = self.subscribers > max_subscribers ? self.subscribers - max_subscribers : 0;
    const size_t to_shed = std::min(surplus, fraction_of(self.subscribers, surplus_fraction, min_surplus_moves));
    const size_t to_zones = fraction_of(self.subscribers, zone_fraction, min_zone_moves);
    FreeCapacity capacity(self, others);
    std::vector<const PlacedSubscriber*> stay;
    for (const auto& proxy : subscribers) {
        const bool may_move = moves.size() < to_shed || (proxy.age >= min_zone_move_age && moves.size() < to_zones);
        const auto* node = may_move && proxy.zone != self.node.zone ? capacity.take_in_zone(proxy.zone) : nullptr;
        if (node)
            moves.push_back({proxy.connection, node->node});
        else
            stay.push_back(&proxy);
    }
    // Proxies of other zones move first.
    std::stable_partition(stay.begin(), stay.end(), [&](const auto* proxy) { return proxy->zone != self.node.zone; });
    for (const auto* proxy : stay) {
        if (moves.size() >= to_shed) break;
        const auto* node = capacity.take_any();
        if (!node) break;
        moves.push_back({proxy->connection, node->node});
    }
    return moves;
}

}   // namespace myrtleroute::control
