#include "roles/control/subscriber_balance.hpp"

#include <algorithm>
#include <cmath>

namespace myrtleroute::control {
namespace {

constexpr double tolerated_excess = 1.25;                // over a node's share, before it turns subscribers away
constexpr double surplus_part = 0.2, zone_part = 0.03;   // of a node's subscribers, that move at a time
constexpr size_t least_surplus_moves = 2, least_zone_moves = 1;
constexpr Span settled{3};   // an age of subscriptions from which on they move to their zone

// The nodes' shares of all subscribers.
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
    size_t most(const NodeLoad& node) const {
        return static_cast<size_t>(std::ceil(share(node) * tolerated_excess)) + 1;
    }
    bool is_over(const NodeLoad& node) const { return node.subscribers > most(node); }

private:
    double subscribers_, weight_;
};

size_t part_of(size_t subscribers, double part, size_t least) {
    return std::max(least, static_cast<size_t>(static_cast<double>(subscribers) * part));
}

// Room that is left at the other nodes, for this node's moves.
class Room {
public:
    Room(const NodeLoad& self, const std::vector<NodeLoad>& others) {
        const Shares shares(self, others);
        const auto over = std::count_if(others.begin(), others.end(), [&](const auto& o) { return shares.is_over(o); });
        const auto senders = static_cast<double>(over + 1);   // others fill what is free as well
        for (const auto& other : others) {
            const auto has = static_cast<double>(other.subscribers);
            const double most =
                static_cast<double>(shares.most(other)) - 1;   // a place stays for one that comes by itself
            left_.push_back({&other, places(most - has, senders), places(shares.share(other) - has, senders)});
        }
    }
    // A node of that zone with room, up to the excess that is tolerated; null: there is none.
    const NodeLoad* take_in(const std::string& zone) {
        return take(&Left::in_zone, [&](const Left& left) { return left.node->node.zone == zone; });
    }
    // Any node with room up to its share.
    const NodeLoad* take_any() {
        return take(&Left::up_to_share, [](const Left&) { return true; });
    }

private:
    struct Left {
        const NodeLoad* node;
        size_t in_zone, up_to_share;
    };
    static size_t places(double free, double senders) {
        return free < 1 ? 0 : static_cast<size_t>(std::max(1.0, free / senders));
    }
    template <class Suits>
    const NodeLoad* take(size_t Left::*places, Suits suits) {
        Left* best = nullptr;
        for (auto& left : left_)
            if (left.*places > 0 && suits(left) && (!best || left.*places > best->*places)) best = &left;
        if (!best) return nullptr;
        if (best->in_zone > 0) --best->in_zone;
        if (best->up_to_share > 0) --best->up_to_share;
        return best->node;
    }
    std::vector<Left> left_;
};

}   // namespace

std::vector<Move> plan_moves(const NodeLoad& self, const std::vector<NodeLoad>& others,
                             const std::vector<PlacedSubscriber>& subscribers) {
    std::vector<Move> moves;
    if (others.empty()) return moves;
    const size_t most = Shares(self, others).most(self);
    const size_t surplus = self.subscribers > most ? self.subscribers - most : 0;
    const size_t to_shed = std::min(surplus, part_of(self.subscribers, surplus_part, least_surplus_moves));
    const size_t to_zones = part_of(self.subscribers, zone_part, least_zone_moves);
    Room room(self, others);
    std::vector<const PlacedSubscriber*> stay;
    for (const auto& proxy : subscribers) {
        const bool may_move = moves.size() < to_shed || (proxy.age >= settled && moves.size() < to_zones);
        const auto* node = may_move && proxy.zone != self.node.zone ? room.take_in(proxy.zone) : nullptr;
        if (node)
            moves.push_back({proxy.connection, node->node});
        else
            stay.push_back(&proxy);
    }
    // Those of other zones first.
    std::stable_partition(stay.begin(), stay.end(), [&](const auto* proxy) { return proxy->zone != self.node.zone; });
    for (const auto* proxy : stay) {
        if (moves.size() >= to_shed) break;
        const auto* node = room.take_any();
        if (!node) break;
        moves.push_back({proxy->connection, node->node});
    }
    return moves;
}

}   // namespace myrtleroute::control
