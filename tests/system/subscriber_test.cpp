// Where proxies subscribe: a single proxy that chooses, changes and keeps its control node, and many proxies
// balanced over control nodes.
#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "random.hpp"
#include "roles/control/proxy_directory.hpp"
#include "roles/proxy/subscriber.hpp"

using namespace myrtleroute;
using namespace myrtleroute::proxy;

namespace {

messages::ControlNode node(int number, const std::string& zone = "north") {
    const auto address = "10.0." + std::to_string(number / 250) + "." + std::to_string(1 + number % 250);
    return {{address, 7500}, {address, 8367}, zone};
}

messages::FleetStatus fleet(bool current, bool elsewhere = false) {
    messages::FleetStatus update;
    update.current = current;
    update.current_elsewhere = elsewhere;
    return update;
}

// A subscriber whose connections are established immediately.
struct World {
    Subscriber subscriber{{"edge-1", "10.9.9.9", "north", 7}};
    Time now{100};
    std::vector<Endpoint> opened;
    size_t closed = 0;

    explicit World(const std::vector<messages::ControlNode>& seeds) {
        subscriber.add_seeds(seeds);
        step(Span{});
    }
    void execute_outputs() {
        for (auto outputs = subscriber.take_outputs(); !outputs.empty(); outputs = subscriber.take_outputs())
            for (const auto& output : outputs) {
                closed += std::holds_alternative<CloseConnection>(output);
                if (const auto* open = std::get_if<OpenConnection>(&output)) {
                    opened.push_back(open->to);
                    subscriber.opened(0, now);
                }
            }
    }
    void step(Span span) {
        now = now + span;
        subscriber.tick(now);
        execute_outputs();
    }
    void receive(const messages::FleetStatus& update) {
        subscriber.received(update, now);
        execute_outputs();
    }
    // Receives the message several times a second for that time.
    void receive_for(const messages::FleetStatus& update, Span span) {
        for (const Time end = now + span; now < end;) {
            receive(update);
            step(Span{0.2});
        }
    }
};

}   // namespace

TEST_CASE("a control node without a quorum is not left while no other one is known to have one") {
    World world({node(1), node(2), node(3)});
    REQUIRE(world.opened.size() == 1);
    world.receive_for(fleet(true), Span{1});
    world.receive_for(fleet(false), Span{20});
    CHECK(world.opened.size() == 1);
    CHECK(world.closed == 0);
}

TEST_CASE("a control node without a quorum is left for another one that may have one, with a growing delay") {
    World world({node(1), node(2), node(3)});
    world.receive_for(fleet(true), Span{1});
    world.receive_for(fleet(false, true), Span{1});
    CHECK(world.opened.size() == 2);
    world.receive_for(fleet(false, true), Span{20});
    CHECK(world.opened.size() >= 6);    // it tries further nodes
    CHECK(world.opened.size() <= 14);   // and does not alternate rapidly between them
    const auto before = world.opened.size();
    world.receive_for(fleet(true), Span{2});
    CHECK(world.opened.size() == before);
    world.receive_for(fleet(false, true), Span{1});
    CHECK(world.opened.size() == before + 1);   // as soon as the first time
}

// During a partition all four control nodes of a zone were in the minority. Proxies of that zone tried them one
// after the other (moves at 12.96, 13.96, 15.97 and 17.98 s), over 4 s before they tried a node of another zone,
// and kept an old configuration meanwhile: a confirmed change was applied too late.
TEST_CASE("a proxy whose zone is partitioned tries a control node of another zone at its first move") {
    const auto south = node(5, "south");
    World world({node(1), node(2), node(3), node(4), south});
    REQUIRE(world.subscriber.at() != south.peer);   // own zone first
    world.receive_for(fleet(true), Span{1});
    world.receive_for(fleet(false, true), Span{1});
    CHECK(world.opened.size() == 2);
    CHECK(world.subscriber.at() == south.peer);
}

TEST_CASE("a connection attempt to an unresponsive control node times out soon, and later after each failure") {
    Subscriber subscriber({"edge-1", "10.0.0.9", "north", 1});
    subscriber.add_seeds({{{"10.0.0.1", 7500}, {"10.0.0.1", 8367}, ""}});
    std::vector<double> opened;
    for (Time now{100}; now < Time{106}; now = now + Span{0.05}) {
        subscriber.tick(now);
        for (const auto& output : subscriber.take_outputs())
            if (std::holds_alternative<OpenConnection>(output)) opened.push_back((now - Time{100}).s);
    }
    REQUIRE(opened.size() >= 5);
    CHECK(opened[1] - opened[0] < 0.3);
    CHECK(opened[2] - opened[1] > opened[1] - opened[0]);
    CHECK(opened.back() - opened[opened.size() - 2] <= 1.1);
}

TEST_CASE("a proxy follows its control node's redirect, unless the target has just failed") {
    World world({node(1)});
    world.receive(fleet(true));
    auto update = fleet(true);
    update.move_to = node(2);
    world.receive(update);
    CHECK(world.closed == 1);
    CHECK(world.subscriber.at() == node(2).peer);
    CHECK(world.subscriber.is_open());
    world.subscriber.failed(world.now);   // the connection to the new node breaks
    world.step(Span{0.2});
    CHECK(world.subscriber.at() == node(1).peer);   // the node that was left does not count as failed
    world.receive(update);
    CHECK(world.subscriber.at() == node(1).peer);
    world.receive_for(fleet(true), Span{3});
    world.receive(update);
    CHECK(world.subscriber.at() == node(2).peer);
}

TEST_CASE("the table of control nodes is bounded: it keeps the most recently mentioned ones and the connected one") {
    World world({node(0)});
    auto update = fleet(true);
    for (int number = 1; number <= 300; ++number) {
        update.control_nodes = {node(number)};
        world.receive(update);
    }
    CHECK(world.subscriber.nodes() == Subscriber::max_nodes);
    CHECK(world.subscriber.evicted() == 301 - Subscriber::max_nodes);
    CHECK(world.opened.size() == 1);
    std::set<Endpoint> tried;   // no node responds any more
    for (int i = 0; i < 400; ++i) {
        world.subscriber.failed(world.now);
        world.step(Span{0.2});
        tried.insert(world.subscriber.at());
    }
    CHECK(tried.size() == Subscriber::max_nodes);
    CHECK(tried.count(node(300).peer) == 1);
    CHECK(tried.count(node(1).peer) == 0);
    // Settings with ever new seeds don't exceed the bound either.
    for (int number = 301; number <= 600; ++number) world.subscriber.add_seeds({node(number)});
    CHECK(world.subscriber.nodes() == Subscriber::max_nodes);
}

// Balancing many proxies over control nodes.

namespace {

using control::ConnectionId;
using control::Move;
using control::NodeLoad;

struct Spread {
    struct Node {
        NodeLoad load;
        std::map<ConnectionId, std::string> subscribers;   // zones of the subscribers
    };
    std::vector<Node> nodes;
    size_t moves = 0;

    void add_node(const std::string& zone, double weight) {
        Node fresh;
        fresh.load.node = node(static_cast<int>(nodes.size()) + 1, zone);
        fresh.load.weight = weight;
        nodes.push_back(fresh);
    }
    // One second of balancing: all nodes plan their moves at the same time, from the loads of the second before.
    void second(Span age = Span{10}) {
        for (auto& each : nodes) each.load.subscribers = each.subscribers.size();
        std::vector<std::pair<size_t, Move>> planned;
        for (size_t i = 0; i < nodes.size(); ++i) {
            std::vector<NodeLoad> others;
            for (size_t j = 0; j < nodes.size(); ++j)
                if (j != i) others.push_back(nodes[j].load);
            std::vector<control::PlacedSubscriber> subscribers;
            for (const auto& [link, zone] : nodes[i].subscribers) subscribers.push_back({link, zone, age});
            for (const auto& move : control::plan_moves(nodes[i].load, others, subscribers))
                planned.push_back({i, move});
        }
        for (const auto& [from, move] : planned) {
            auto subscriber = nodes[from].subscribers.extract(move.connection);
            REQUIRE_FALSE(subscriber.empty());
            for (auto& to : nodes)
                if (to.load.node == move.to) to.subscribers.insert(std::move(subscriber));
            ++moves;
        }
    }
    size_t foreign_zone_proxies() const {   // proxies connected to a node of another zone
        size_t count = 0;
        for (const auto& each : nodes)
            for (const auto& [link, zone] : each.subscribers) count += zone != each.load.node.zone;
        return count;
    }
};

std::string zone_of(size_t number) { return "zone-" + std::to_string(number); }

}   // namespace

TEST_CASE("proxies that all connect to one control node are balanced within seconds, and then stay") {
    Spread spread;
    constexpr size_t zones = 7, proxies = 300;
    for (size_t i = 0; i < zones; ++i) spread.add_node(zone_of(i), 100);
    for (ConnectionId link = 1; link <= proxies; ++link) spread.nodes[0].subscribers[link] = zone_of(link % zones);
    for (int s = 0; s < 12; ++s) spread.second();
    for (const auto& each : spread.nodes) CHECK(each.subscribers.size() <= 56);
    for (int s = 0; s < 90; ++s) spread.second();
    for (const auto& each : spread.nodes) {
        CHECK(each.subscribers.size() >= 38);
        CHECK(each.subscribers.size() <= 56);
    }
    CHECK(spread.foreign_zone_proxies() == 0);
    CHECK(spread.moves <= 2 * proxies);
    const auto before = spread.moves;
    for (int s = 0; s < 60; ++s) spread.second();
    CHECK(spread.moves == before);
}

TEST_CASE("subscribers are balanced in proportion to link capacity, also those of a zone without a control node") {
    Spread spread;
    for (size_t i = 0; i < 5; ++i) spread.add_node(zone_of(i), 100);
    for (size_t i = 3; i < 5; ++i) spread.add_node(zone_of(i), 10);   // the small machines of two zones
    Pcg rng(3);
    for (ConnectionId link = 1; link <= 68; ++link)
        spread.nodes[static_cast<size_t>(rng.uniform() * 7)].subscribers[link] = zone_of(link % 6);
    for (int s = 0; s < 60; ++s) spread.second();
    for (size_t i = 0; i < 5; ++i) CHECK(spread.nodes[i].subscribers.size() <= 18);
    for (size_t i = 5; i < 7; ++i) CHECK(spread.nodes[i].subscribers.size() <= 3);
    const auto before = spread.moves;
    for (int s = 0; s < 60; ++s) spread.second();
    CHECK(spread.moves == before);
}

TEST_CASE("no proxy moves to its own zone before its subscription is old enough, nor if there is no other node") {
    Spread spread;
    spread.add_node(zone_of(0), 100);
    for (ConnectionId link = 1; link <= 10; ++link) spread.nodes[0].subscribers[link] = zone_of(1);
    for (int s = 0; s < 10; ++s) spread.second();
    CHECK(spread.moves == 0);
    spread.add_node(zone_of(1), 100);
    for (ConnectionId link = 11; link <= 18; ++link) spread.nodes[1].subscribers[link] = zone_of(0);
    for (int s = 0; s < 10; ++s) spread.second(Span{1});
    CHECK(spread.moves == 0);
    for (int s = 0; s < 30; ++s) spread.second();
    CHECK(spread.moves > 0);
}

TEST_CASE("for random sizes and starts all nodes end within their shares, and moves cease") {
    for (uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        Pcg rng(seed);
        Spread spread;
        const auto below = [&](size_t most) {
            return static_cast<size_t>(rng.uniform() * static_cast<double>(most));
        };
        const size_t zones = 1 + below(8), nodes = 1 + below(12), proxies = 1 + below(400);
        for (size_t i = 0; i < nodes; ++i) spread.add_node(zone_of(i % zones), rng.uniform() < 0.3 ? 10 : 100);
        for (ConnectionId link = 1; link <= proxies; ++link)
            spread.nodes[below(nodes)].subscribers[link] = zone_of(below(zones));
        for (int s = 0; s < 150; ++s) spread.second();
        double weights = 0;
        size_t kept = 0;
        for (const auto& each : spread.nodes) {
            weights += each.load.weight;
            kept += each.subscribers.size();
        }
        CHECK(kept == proxies);
        for (const auto& each : spread.nodes) {
            const double share = static_cast<double>(proxies) * each.load.weight / weights;
            CHECK(static_cast<double>(each.subscribers.size()) <= share * 1.25 + 2);
        }
        const auto before = spread.moves;
        for (int s = 0; s < 60; ++s) spread.second();
        CHECK(spread.moves - before <= 60 * nodes);
    }
}

TEST_CASE("a proxy that moves to another control node is counted exactly once meanwhile") {
    control::ProxyDirectory directory;
    const Endpoint other{"10.0.0.2", 7500};
    Time now{100};
    messages::ProxiesStatus update;
    update.current = true;
    update.weight = 100;
    update.proxies = {"edge-9"};
    directory.update_peer(other, update, now);
    for (ConnectionId link = 1; link <= 8; ++link)
        directory.add_subscriber(link, {"edge-" + std::to_string(link), 0, "south"}, now);
    CHECK(directory.names().size() == 9);
    now = now + Span{5};
    update.subscribers = 1;
    directory.update_peer(other, update, now);
    const auto moves =
        directory.plan_moves({node(1, "north"), 100, 0}, {{other, {other, {"10.0.0.2", 8367}, "south"}}}, now);
    REQUIRE_FALSE(moves.empty());
    directory.remove_subscriber(moves[0].connection, now + Span{0.01});
    CHECK(directory.names().size() == 9);   // it is moving
    CHECK_FALSE(directory.is_subscriber(moves[0].connection));
    update.proxies->push_back("edge-" + std::to_string(moves[0].connection));
    directory.update_peer(other, update, now + Span{0.3});
    directory.tick(now + Span{2});
    CHECK(directory.names().size() == 9);
    CHECK(directory.own_names().size() == 7);
    // A proxy that disconnects without a move is removed.
    const auto still = directory.subscribers();
    directory.remove_subscriber(still.back(), now + Span{2});
    CHECK(directory.own_names().size() == 6);
}
