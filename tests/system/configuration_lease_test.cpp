// The configuration lease: the holder by itself and against a plain model, the control node's replies, and the proxy.
#include <doctest/doctest.h>

#include <map>
#include <vector>

#include "control_node.hpp"
#include "leases/configuration_lease.hpp"
#include "proxy_world.hpp"
#include "random.hpp"

using namespace myrtleroute;
using leases::ConfigurationLease;
using leases::ConfigurationLeaseReply;
using leases::ConfigurationLeaseRequest;
using testing::Control;
using testing::ProxyWorld;

namespace {

constexpr Span bound{5};

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

}   // namespace

TEST_CASE("without a bound the lease never ends and no request is sent") {
    ConfigurationLease lease({});
    CHECK(lease.is_valid(Time{100}));
    CHECK_FALSE(lease.next_request(Time{100}));
}

TEST_CASE("a lease begins when the request is sent, not when the reply arrives") {
    ConfigurationLease lease(bound);
    lease.set_version(7);
    CHECK_FALSE(lease.is_valid(Time{100}));
    const auto request = lease.next_request(Time{100});
    REQUIRE(request);
    CHECK_FALSE(lease.is_valid(Time{103}));
    lease.apply({request->number, 7});
    CHECK(lease.is_valid(Time{104}));
    CHECK(lease.is_valid(Time{104.7}));
    CHECK_FALSE(lease.is_valid(Time{105}));
}

TEST_CASE("a confirmation of a version that is not in use counts once that or a newer one is") {
    ConfigurationLease lease(bound);
    lease.set_version(7);
    const auto request = lease.next_request(Time{100});
    lease.apply({request->number, 8});
    CHECK_FALSE(lease.is_valid(Time{100.1}));
    lease.set_version(9);
    CHECK(lease.is_valid(Time{100.1}));
    CHECK_FALSE(lease.is_valid(Time{105}));
}

TEST_CASE("replies to requests of an earlier connection and unknown replies do not renew the lease") {
    ConfigurationLease lease(bound);
    lease.set_version(7);
    const auto first = lease.next_request(Time{100});
    lease.connected();
    const auto second = lease.next_request(Time{100});
    REQUIRE(second);
    CHECK(second->number > first->number);
    lease.apply({first->number, 7});
    lease.apply({second->number + 1, 7});
    CHECK_FALSE(lease.is_valid(Time{100}));
}

TEST_CASE("requests are spread over the lease, and one is sent at once on the next connection") {
    ConfigurationLease lease(bound);
    CHECK(lease.next_request(Time{100}));
    CHECK_FALSE(lease.next_request(Time{100.5}));
    CHECK(lease.next_request(Time{101}));
    lease.connected();
    CHECK(lease.next_request(Time{101}));
}

// Under any delay, loss or pause: while the lease is valid, no newer configuration was acknowledged longer ago than the
// bound.
TEST_CASE("random delays of replies and configurations never let a proxy accept a key beyond the bound") {
    Pcg random(5);
    size_t valid = 0, refused = 0;
    for (int day = 0; day < 200; ++day) {
        ConfigurationLease lease(bound);
        std::vector<Time> acknowledged{long_ago};   // by version
        uint64_t applied = 0;
        std::multimap<Time, ConfigurationLeaseReply> replies;
        std::multimap<Time, uint64_t> configurations;
        double delay = 0.1;
        for (Time now{100}; now < Time{140}; now = now + Span{0.05}) {
            if (random.uniform() < 0.01) delay = random.uniform() < 0.5 ? 0.1 : 6 * random.uniform();
            if (random.uniform() < 0.02) {
                acknowledged.push_back(now);
                configurations.emplace(now + Span{delay * 2 * random.uniform()}, acknowledged.size() - 1);
            }
            if (random.uniform() < 0.01) lease.connected();
            if (const auto request = lease.next_request(now)) {
                const Time handled = now + Span{delay * random.uniform()};
                // At least the newest version acknowledged when the request was sent.
                uint64_t newest = acknowledged.size() - 1;
                if (random.uniform() < 0.9) replies.emplace(handled, ConfigurationLeaseReply{request->number, newest});
            }
            for (; !replies.empty() && replies.begin()->first <= now; replies.erase(replies.begin()))
                lease.apply(replies.begin()->second);
            for (; !configurations.empty() && configurations.begin()->first <= now;
                 configurations.erase(configurations.begin())) {
                applied = std::max(applied, configurations.begin()->second);
                lease.set_version(applied);
            }
            const bool is_valid = lease.is_valid(now);
            (is_valid ? valid : refused) += 1;
            if (!is_valid || applied + 1 >= acknowledged.size()) continue;
            REQUIRE(now - acknowledged[applied + 1] <= bound);
        }
    }
    CHECK(valid > 1000);
    CHECK(refused > 1000);
}

TEST_CASE("a control node replies after a barrier with the newest version, and only to its subscribers") {
    Control control;
    REQUIRE(control.status(control.request("PUT", "/config", "0", testing::document(3))) == 200);
    control.node->received(Control::proxy_connection, ConfigurationLeaseRequest{1}, control.now);
    control.carry_out();
    CHECK(control.count_on<ConfigurationLeaseReply>(Control::proxy_connection) == 0);
    control.subscribe();
    control.node->received(Control::proxy_connection, ConfigurationLeaseRequest{2}, control.now);
    control.advance(Span{1});
    REQUIRE(control.count_on<ConfigurationLeaseReply>(Control::proxy_connection) == 1);
    const auto& sent = control.sent_on[Control::proxy_connection];
    const auto reply = std::find_if(sent.begin(), sent.end(), [](const auto& message) {
        return std::holds_alternative<ConfigurationLeaseReply>(message);
    });
    CHECK(std::get<ConfigurationLeaseReply>(*reply) == ConfigurationLeaseReply{2, 3});
}

TEST_CASE("a control node without a majority answers no lease request") {
    Control control({"10.0.0.2", "10.0.0.3"}, testing::document(3));
    control.subscribe();
    control.node->received(Control::proxy_connection, ConfigurationLeaseRequest{1}, control.now);
    control.advance(Span{5});
    CHECK(control.count_on<ConfigurationLeaseReply>(Control::proxy_connection) == 0);
}

namespace {

// A proxy with a public route and one that requires a key.
struct KeyedProxy {
    ProxyWorld world;

    explicit KeyedProxy(bool with_bound)
        : world(1, [with_bound](configuration::NodeSettings& settings) {
              if (with_bound) settings.revocation_bound = bound;
          }) {
        messages::FleetStatus fleet;
        fleet.current = true;
        world.send_control(fleet);
        const std::string route = R"("timeoutMs":6000,"kind":"idempotent","service":"s","hostname":"h.example")";
        world.send_control(messages::ConfigurationUpdate{
            1, R"({"version":1,"services":[{"name":"s","healthCheck":"/health"}],"routes":[{"pathPrefix":"/a/",)" +
                   route + R"(},{"pathPrefix":"/open/","public":true,)" + route +
                   R"(}],"tenants":[{"name":"acme","apiKeys":["key-one"]}]})"});
        world.send_control(
            messages::HostsUpdate{{{"i-0", "s", "10.9.0.1:80", "north", 8, registry::HostState::ready, 1}}, 0, true});
        world.advance(Span{0.1});
    }
    // The number of the newest request that the control node has received; 0 if there is none.
    uint64_t newest_request() {
        uint64_t newest = 0;
        reader.feed(world.control.last().take());
        while (const auto json = reader.next())
            if (const auto message = messages::decode(*json))
                if (const auto* request = std::get_if<ConfigurationLeaseRequest>(&*message)) newest = request->number;
        return newest;
    }
    void renew_lease() {
        world.send_control(ConfigurationLeaseReply{newest_request(), 1});
        world.advance(Span{0.05});
    }
    void wait(Span span) {   // the control node stays in contact, but sends nothing about the configuration
        for (double passed = 0; passed < span.s; passed += 0.5) {
            messages::FleetStatus fleet;
            fleet.current = true;
            world.send_control(fleet);
            world.advance(Span{0.5});
        }
    }
    std::string response_to(testing::ScriptedEnd& client, const std::string& path) {
        const auto id = "r" + std::to_string(++requests);
        client.send("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id +
                    "\r\nAuthorization: Token key-one\r\nX-Deadline-Ms: 5000\r\nContent-Length: 1\r\n\r\nx");
        world.advance(Span{0.05});
        if (auto* host = world.pending_host()) {
            host->take();
            host->send(ProxyWorld::answer(id, "one"));
            world.advance(Span{0.05});
        }
        return client.take();
    }

    messages::FrameReader reader;
    int requests = 0;
};

}   // namespace

TEST_CASE("keys are refused with 503 before the first lease and after a lease ends, also on open connections") {
    KeyedProxy fleet(true);
    auto& client = fleet.world.client();
    const auto before = fleet.response_to(client, "/a/b");
    CHECK(contains(before, "HTTP/1.1 503 "));
    CHECK(contains(before, "Retry-After: "));
    fleet.renew_lease();
    CHECK(contains(fleet.response_to(client, "/a/b"), "HTTP/1.1 200 OK"));
    fleet.wait(Span{3});
    CHECK(contains(fleet.response_to(client, "/a/b"), "HTTP/1.1 200 OK"));
    fleet.wait(Span{2});
    CHECK(contains(fleet.response_to(client, "/a/b"), "HTTP/1.1 503 "));
    CHECK(contains(fleet.response_to(client, "/open/b"), "HTTP/1.1 200 OK"));
    CHECK(fleet.world.metric("myrtleroute_refused_without_configuration_lease_total") == "2");
    fleet.renew_lease();
    CHECK(contains(fleet.response_to(client, "/a/b"), "HTTP/1.1 200 OK"));
}

TEST_CASE("a proxy without a lease is not ready") {
    KeyedProxy fleet(true);
    const auto is_ready = [&] {
        auto& probe = fleet.world.client(ProxyWorld::ready_port);
        probe.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        fleet.world.advance(Span{0.05});
        return contains(probe.take(), " 200 ");
    };
    CHECK_FALSE(is_ready());
    fleet.renew_lease();
    CHECK(is_ready());
    fleet.wait(Span{5.5});
    CHECK_FALSE(is_ready());
}

TEST_CASE("without a bound, keys are accepted as long as the proxy runs") {
    KeyedProxy fleet(false);
    fleet.wait(Span{20});
    CHECK(fleet.newest_request() == 0);
    auto& client = fleet.world.client();
    CHECK(contains(fleet.response_to(client, "/a/b"), "HTTP/1.1 200 OK"));
}
