// Behavior of bounded tables when they are full, one case for each line of docs/bounds.md.
#include <doctest/doctest.h>

#include <asio.hpp>
#include <string>
#include <vector>

#include "base/metrics.hpp"
#include "control_node.hpp"
#include "leases/allocator.hpp"
#include "leases/holder.hpp"
#include "proxy_world.hpp"
#include "random_text.hpp"
#include "roles/control/node_metrics.hpp"
#include "roles/control/peer_network.hpp"
#include "roles/proxy/request_table.hpp"
#include "routing/fleet_size.hpp"

using namespace myrtleroute;
using testing::Control;
using testing::document;
using testing::other_connection;
using testing::other_node;
using testing::ProxyWorld;

namespace {

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

std::string bound(const std::string& table) { return "myrtleroute_bound_reached_total{table=\"" + table + "\"}"; }

// A control node's metrics as rendered at its metrics address.
std::string rendered_metrics(const Control& control) {
    metrics::Registry registry;
    control::NodeMetrics shown(registry);
    shown.update(control.node->state(control.now));
    return registry.render();
}

}   // namespace

// Proxy.

TEST_CASE("requests and the bytes of their bodies are bounded, and their ends make room again") {
    metrics::Registry registry;
    Invariants invariants(registry, [](const std::string&) {});
    proxy::RequestTable table({3, 1000}, registry, invariants);
    std::vector<proxy::Request*> held;
    const auto hold = [&](size_t body) {
        auto request = std::make_unique<proxy::Request>();
        request->id = table.next_number();
        request->body.assign(body, 'x');
        request->open_attempts = 1;
        held.push_back(&table.hold(std::move(request)));
    };
    CHECK(table.has_room(1000));
    CHECK_FALSE(table.has_room(1001));
    hold(600);
    CHECK_FALSE(table.has_room(401));
    CHECK(table.has_room(400));
    hold(0);
    hold(400);
    CHECK_FALSE(table.has_room(0));
    CHECK(contains(registry.render(), bound("requests") + " 3\n"));
    held[0]->open_attempts = 0;
    table.remove_if_over(*held[0]);
    CHECK(table.size() == 2);
    CHECK(table.has_room(600));
}

TEST_CASE("a request beyond the bounds gets 503 with Retry-After, and reaches no host") {
    ProxyWorld world(1, [](auto& settings) { settings.memory_megabytes = 1; });
    world.configure(ProxyWorld::route("idempotent"));
    const std::string large(200 * 1024, 'b');
    world.client().send(ProxyWorld::request("idempotent", "r1", large));
    world.advance(Span{0.2});
    auto& second_client = world.client();
    second_client.send(ProxyWorld::request("idempotent", "r2", large));
    world.advance(Span{0.2});
    const auto refusal = second_client.take();
    CHECK(contains(refusal, "HTTP/1.1 503 "));
    CHECK(contains(refusal, "Retry-After: "));
    CHECK(world.arrivals("r2") == 0);
    CHECK(world.metric(bound("requests")) == "1");
}

namespace {

// Responds to every request that has reached a host; returns their number.
int answer_all(ProxyWorld& world) {
    int answered = 0;
    for (auto& host : world.hosts)
        for (auto& end : host->ends) {
            if (end->received.empty()) continue;
            const auto received = end->take();
            const auto at = received.find("X-Request-Id: r") + 14;
            end->send(ProxyWorld::answer(received.substr(at, received.find('\r', at) - at), "one"));
            ++answered;
        }
    return answered;
}

// A host of the requested service, with capacity for all requests that a test sends at once.
registry::Host roomy_host(int number, registry::HostState state, uint64_t sequence) {
    const auto n = std::to_string(number);
    return {"i-" + n, "s", "10.9.0." + std::to_string(number + 1) + ":80", "north", 64, state, sequence};
}

std::vector<testing::ScriptedEnd*> send_at_once(ProxyWorld& world, int requests) {
    std::vector<testing::ScriptedEnd*> clients;
    for (int n = 0; n < requests; ++n) clients.push_back(&world.client());
    for (int n = 0; n < requests; ++n)
        clients[static_cast<size_t>(n)]->send(ProxyWorld::request("idempotent", "r" + std::to_string(n)));
    world.advance(Span{0.2});
    return clients;
}

int open_ends(const testing::ScriptedListener& host) {
    int open = 0;
    for (const auto& end : host.ends) open += !end->ended && !end->broken;
    return open;
}

}   // namespace

TEST_CASE("the number of idle connections to a host is bounded") {
    constexpr int at_once = 30, kept = 24;
    ProxyWorld world(1);
    world.configure(ProxyWorld::route("idempotent"));
    world.send_control(messages::HostsUpdate{{roomy_host(0, registry::HostState::ready, 2)}});
    send_at_once(world, at_once);
    REQUIRE(open_ends(*world.hosts[0]) == at_once);
    CHECK(answer_all(world) == at_once);
    world.advance(Span{0.2});
    CHECK(open_ends(*world.hosts[0]) == kept);
    CHECK(world.metric(bound("idle_connections_of_a_host")) == std::to_string(at_once - kept));
}

TEST_CASE("when descriptors run out, a new host connection replaces an idle one") {
    constexpr int at_once = 20;
    ProxyWorld world(2, [](auto& settings) { settings.max_descriptors = 64; });   // connections of every kind
    world.configure(ProxyWorld::route("idempotent"));
    world.send_control(messages::HostsUpdate{
        {roomy_host(0, registry::HostState::ready, 2), roomy_host(1, registry::HostState::gone, 2)}});
    send_at_once(world, at_once);
    CHECK(answer_all(world) == at_once);
    world.advance(Span{0.2});
    REQUIRE(open_ends(*world.hosts[0]) == at_once);   // idle, while their clients stay connected
    auto other = roomy_host(1, registry::HostState::ready, 1);
    other.id = "i-anew";
    world.send_control(messages::HostsUpdate{{roomy_host(0, registry::HostState::draining, 3), other}});
    world.advance(Span{0.1});
    const auto clients = send_at_once(world, at_once - 2);   // 38 clients, 18 connections to the other host
    CHECK(answer_all(world) == at_once - 2);
    world.advance(Span{0.2});
    for (auto* client : clients) CHECK(contains(client->take(), "HTTP/1.1 200 "));
    const int ended = at_once - open_ends(*world.hosts[0]);
    for (auto* client : clients) client->close();
    world.advance(Span{0.2});
    CHECK(ended > 0);
    CHECK(world.metric(bound("connections")) == std::to_string(ended));
}

TEST_CASE("a tenant beyond the table, and a request beyond the waiting queue, are refused with their cause") {
    leases::Holder holder({"edge-1", 1}, {}, Time{100});
    holder.connected(true);
    for (int n = 0; n < 8192; ++n) {
        const auto ticket = static_cast<uint64_t>(n) + 1;
        CHECK(holder.acquire("t" + std::to_string(n), 1, ticket, Span{0.1}, Time{100}).verdict ==
              leases::Verdict::waiting);
    }
    const auto further = holder.acquire("another", 1, 9000, Span{0.1}, Time{100});
    CHECK(further.verdict == leases::Verdict::refused);
    CHECK(further.cause == leases::RefusalCause::no_room);
    CHECK(further.retry_after > Span{});
    for (int n = 1; n < 64; ++n) {
        const auto ticket = static_cast<uint64_t>(n) + 10000;
        CHECK(holder.acquire("t0", 1, ticket, Span{0.1}, Time{100}).verdict == leases::Verdict::waiting);
    }
    const auto crowded = holder.acquire("t0", 1, 20000, Span{0.1}, Time{100});
    CHECK(crowded.verdict == leases::Verdict::refused);
    CHECK(crowded.cause == leases::RefusalCause::no_room);
}

TEST_CASE("the first thousand fleet sizes of half a minute are kept, so the maximum is never too small") {
    routing::FleetSize size;
    constexpr size_t words = 3000;
    for (size_t n = 0; n < words; ++n) size.update(words - n, Time{100 + static_cast<double>(n) / words});
    CHECK(size.maximum(Time{101}) == words);
    CHECK(size.maximum(Time{200}) >= 1);
    size.update(5, Time{201});
    CHECK(size.maximum(Time{240}) == 5);
}

// Control node.

TEST_CASE("the queue of orders is bounded, and a further one gets 503 and all others their responses") {
    Control control;
    control.request("PUT", "/config", "0", document(1));
    control.disk_works = false;
    std::vector<control::RequestId> orders;
    for (int n = 0; n < 70; ++n) orders.push_back(control.request("PUT", "/config", "1", document(2 + n)));
    size_t refused = 0;
    for (const auto order : orders) refused += control.status(order) == 503;
    CHECK(refused == 5);   // one is in progress, 64 wait
    CHECK(contains(rendered_metrics(control), bound("orders") + " 5\n"));
    control.disk_works = true;
    control.advance(Span{0.5});
    for (const auto order : orders) CHECK(control.status(order) != 0);
    CHECK(control.status(orders[0]) == 200);
    CHECK(control.status(orders[1]) == 412);
}

TEST_CASE("the last thousand accepted configurations are recognized when they are sent again") {
    Control control;
    constexpr int kept = 1024, accepted = kept + 3;
    for (int version = 1; version <= accepted; ++version) {
        const auto on = std::to_string(version - 1);
        REQUIRE(control.status(control.request("PUT", "/config", on, document(version))) == 200);
    }
    CHECK(control.status(control.request("PUT", "/config", "0", document(1))) == 412);
    CHECK(control.status(control.request("PUT", "/config", "2", document(3))) == 412);
    CHECK(control.status(control.request("PUT", "/config", "3", document(4))) == 200);
    CHECK(control.status(control.request("PUT", "/config", std::to_string(accepted - 1), document(accepted))) == 200);
    CHECK(contains(rendered_metrics(control), bound("accepted_digests") + " 3\n"));
}

TEST_CASE("the number of lease requests that wait for a leader is bounded") {
    Control control;
    control.disk_works = false;   // the leader's state is not committed, so it does not lend yet
    control.request("PUT", "/config", "0", document(1));
    constexpr int kept = 4096, sent = kept + 10;
    for (int n = 0; n < sent; ++n) {
        leases::LeaseRequest request;
        request.holder = {"edge-" + std::to_string(n), 1};
        request.number = 1;
        control.node->received(100 + static_cast<control::ConnectionId>(n), request, control.now);
    }
    const auto text = rendered_metrics(control);
    CAPTURE(text.substr(0, 600));
    CHECK(contains(text, bound("lease_asks") + " 10\n"));
}

TEST_CASE("the number of lease holders is bounded, and known holders are still served") {
    leases::Allocator allocator({});
    constexpr int most = 4096;
    std::set<std::string> nodes;
    for (int n = 0; n <= most; ++n) nodes.insert("edge-" + std::to_string(n));
    allocator.set_limits({{"t", {1e6, 1e6}}}, Time{100});
    allocator.begin(1, nodes, Time{100});
    allocator.admit(nodes);
    const auto send_request = [&](int n, uint64_t number) {
        leases::LeaseRequest request;
        request.holder = {"edge-" + std::to_string(n), 1};
        request.number = number;
        return allocator.handle(request, Time{100});
    };
    for (int n = 0; n < most; ++n) CHECK(send_request(n, 1));
    CHECK(allocator.is_full_for({"edge-" + std::to_string(most), 1}));
    CHECK_FALSE(send_request(most, 1));
    CHECK(send_request(0, 2));
}

TEST_CASE("the number of pending confirmations to another node is bounded") {
    Control control({"10.0.0.2"});
    control.node->received(other_connection, messages::PeerHello{{other_node.peer, 0}, other_node, true, {}},
                           control.now);
    control.disk_works = false;
    constexpr uint64_t owed = 1024, sent = owed + 7;
    for (uint64_t number = 1; number <= sent; ++number) {
        messages::HostsUpdate update;
        update.hosts.push_back(
            {"i-" + std::to_string(number), "s", "10.9.0.1:80", "north", 8, registry::HostState::draining, 1});
        update.confirmation_id = number;
        control.node->received(other_connection, update, control.now);
    }
    control.carry_out();
    CHECK(contains(rendered_metrics(control), bound("confirmations") + " 7\n"));
    control.to_peers.clear();
    control.disk_works = true;
    control.advance(Span{0.3});
    size_t confirmed = 0;
    for (const auto& message : control.to_peers)
        confirmed += std::holds_alternative<messages::HostsConfirmation>(message);
    CHECK(confirmed == owed);
}

TEST_CASE("the number of control nodes to connect to is bounded") {
    Control control;
    messages::PeerHello hello{{other_node.peer, 0}, other_node, false, {}};
    for (int n = 0; n < 100; ++n) {
        const std::string address = "10.1.0." + std::to_string(n + 1);
        hello.known.push_back({{address, 7500}, {address, 8367}, "north"});
    }
    control.node->received(other_connection, hello, control.now);
    CHECK(control.node->peers().size() == 64);
    CHECK(contains(rendered_metrics(control), bound("control_nodes") + " 37\n"));
}

TEST_CASE("a peer that reads too slowly is disconnected and counted") {
    asio::io_context context;
    size_t closed = 0;
    control::PeerNetwork network(
        context, {[](control::ConnectionId, const messages::Message&, std::chrono::steady_clock::time_point) {},
                  [&](control::ConnectionId) { ++closed; },
                  [](const Endpoint&) {
                  }});
    asio::ip::tcp::acceptor free_port(context, {asio::ip::make_address("127.0.0.1"), 0});
    const auto at = free_port.local_endpoint();
    free_port.close();
    network.listen({"127.0.0.1", at.port()});
    // Reads a quarter of what it is sent. A peer that reads nothing would also be closed by the kernel's TCP
    // timeout, and which of the two happens first would depend on how fast 40 MB are encoded here.
    asio::ip::tcp::socket reader(context);
    reader.connect(at);
    reader.non_blocking(true);
    std::string read(256 * 1024, ' ');
    const messages::ConfigurationUpdate update{1, testing::random_text(1 << 20)};
    constexpr size_t most_sent = 200;
    size_t sent = 0;
    for (; sent < most_sent && network.slow_readers() == 0; ++sent) {
        context.run_for(std::chrono::milliseconds(1));
        network.send(control::ConnectionId{1}, update);
        asio::error_code nothing_there;
        reader.read_some(asio::buffer(read), nothing_there);
    }
    CHECK(sent >= 40);   // the queue limit, plus what the kernel buffers
    CHECK(sent < most_sent);
    CHECK(network.slow_readers() == 1);
    CHECK(closed == 1);
}
