// Protocol rules that no other test covers: keys and tenants, priorities, bodies, limits on client input.
#include <doctest/doctest.h>

#include <string>

#include "proxy_world.hpp"

using namespace myrtleroute;
using testing::ProxyWorld;

namespace {

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

// A configuration with two tenants, one of them with its own priority, a public route and low request limits.
messages::ConfigurationUpdate with_tenants() {
    return {
        1,
        R"({"version":1,"routes":[)"
        R"({"hostname":"h.example","pathPrefix":"/a/","kind":"idempotent","timeoutMs":6000,"service":"s","priority":4},)"
        R"({"hostname":"h.example","pathPrefix":"/open/","kind":"idempotent","timeoutMs":6000,"service":"s","public":true},)"
        R"({"hostname":"h.example","pathPrefix":"/events/","kind":"streaming","timeoutMs":6000,"service":"s",)"
        R"("resumable":true}],"services":[{"name":"s"}],)"
        R"("tenants":[{"name":"acme","apiKeys":["key-one","key-two"],"priority":1},{"name":"plain","apiKeys":["key-three"]}],)"
        R"("limits":{"maxHeaderBytes":2048,"maxBodyBytes":5000,"headerTimeoutMs":1000,"idleTimeoutMs":15000}})"};
}

struct Fleet {
    ProxyWorld world{1};

    Fleet() {
        messages::FleetStatus fleet;
        fleet.current = true;
        world.send_control(fleet);
        world.send_control(with_tenants());
        world.send_control(
            messages::HostsUpdate{{{"i-0", "s", "10.9.0.1:80", "north", 8, registry::HostState::ready, 1}}});
        world.advance(Span{0.1});
    }
    static std::string request(const std::string& path, const std::string& fields, const std::string& body = "x") {
        return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\n" + fields +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    // The bytes of the request that reach a host; empty if none do.
    std::string at_host(const std::string& text) {
        world.client().send(text);
        world.advance(Span{0.05});
        auto* host = world.pending_host();
        return host ? host->take() : "";
    }
    // The response that the client gets immediately.
    std::string answer_to(const std::string& text) {
        auto& client = world.client();
        client.send(text);
        world.advance(Span{0.05});
        return client.take();
    }
};

}   // namespace

TEST_CASE("a host receives the tenant of the client's key, not the client's X-Tenant-Id, and never the key") {
    Fleet fleet;
    for (const std::string key : {"key-one", "key-two"}) {
        const auto seen =
            fleet.at_host(Fleet::request("/a/b", "Authorization: Token " + key + "\r\nX-Tenant-Id: plain\r\n"));
        CHECK(contains(seen, "\r\nX-Tenant-Id: acme\r\n"));
        CHECK_FALSE(contains(seen, "plain"));
        CHECK_FALSE(contains(seen, key));
        CHECK_FALSE(contains(seen, "Authorization"));
    }
}

TEST_CASE("a request without a valid key gets 401, or on a public route no tenant") {
    Fleet fleet;
    for (const std::string fields : {"", "Authorization: Token other\r\n", "Authorization: Token \r\n",
                                     "Authorization: Bearer key-one\r\n", "X-Tenant-Id: acme\r\n"}) {
        CAPTURE(fields);
        CHECK(contains(fleet.answer_to(Fleet::request("/a/b", fields)), "HTTP/1.1 401 "));
    }
    CHECK(fleet.world.arrivals("r1") == 0);
    const auto seen = fleet.at_host(Fleet::request("/open/b", "X-Tenant-Id: acme\r\n"));
    CHECK(contains(seen, "POST /open/b HTTP/1.1\r\n"));
    CHECK_FALSE(contains(seen, "X-Tenant-Id"));
}

TEST_CASE("request limits are those of the configuration when the request starts, also on older connections") {
    ProxyWorld world(1);
    auto& client = world.client();   // before any configuration
    world.send_control(with_tenants());
    world.send_control(messages::HostsUpdate{{{"i-0", "s", "10.9.0.1:80", "north", 8, registry::HostState::ready, 1}}});
    world.advance(Span{0.1});
    const auto answer_to = [&](size_t body) {
        client.send(Fleet::request("/open/b", "", std::string(body, 'b')));
        world.advance(Span{0.05});
        if (auto* host = world.pending_host()) {
            host->take();
            host->send(ProxyWorld::answer("r1", "one"));
            world.advance(Span{0.05});
        }
        return client.take();
    };
    CHECK(contains(answer_to(4000), "HTTP/1.1 200 "));
    auto wider = with_tenants();
    wider.version = 2;
    std::string text = wider.body;
    text.replace(text.find("\"version\":1"), 11, "\"version\":2");
    text.replace(text.find("\"maxBodyBytes\":5000"), 19, "\"maxBodyBytes\":500000");
    wider.body = std::move(text);
    world.send_control(wider);
    world.advance(Span{0.1});
    CHECK(contains(answer_to(100000), "HTTP/1.1 200 "));
    CHECK(contains(answer_to(500001), "HTTP/1.1 413 "));
}

TEST_CASE("a request's priority is its tenant's, else its route's, never the client's") {
    Fleet fleet;
    const auto of_tenant = fleet.at_host(Fleet::request("/a/b", "Authorization: Token key-one\r\nPriority: 0\r\n"));
    CHECK(contains(of_tenant, "\r\nPriority: 1\r\n"));
    const auto of_route = fleet.at_host(Fleet::request("/a/b", "Authorization: Token key-three\r\n"));
    CHECK(contains(of_route, "\r\nPriority: 4\r\n"));
    CHECK(of_route.find("Priority", of_route.find("Priority") + 1) == std::string::npos);
}

TEST_CASE("method, path, query and body reach the host unchanged, also from chunks, but hop-by-hop fields do not") {
    Fleet fleet;
    const auto whole = fleet.at_host(
        "PATCH /open/b%20c?d=1&e HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nX-Other: "
        "kept\r\nConnection: X-Hop\r\nKeep-Alive: timeout=5\r\n"
        "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n7\r\n second\r\n0\r\n\r\n");
    CHECK(contains(whole, "PATCH /open/b%20c?d=1&e HTTP/1.1\r\n"));
    CHECK(contains(whole, "\r\nX-Other: kept\r\n"));
    CHECK(contains(whole, "\r\nContent-Length: 12\r\n"));
    CHECK(contains(whole, "\r\n\r\nfirst second"));
    CHECK_FALSE(contains(whole, "Keep-Alive"));
    CHECK_FALSE(contains(whole, "Transfer-Encoding"));
}

TEST_CASE("a client's Last-Event-Id is forwarded once") {
    Fleet fleet;
    const auto seen =
        fleet.at_host(Fleet::request("/events/b", "Authorization: Token key-one\r\nLast-Event-Id: 12\r\n"));
    CHECK(contains(seen, "\r\nLast-Event-Id: 12\r\n"));
    CHECK(seen.find("Last-Event-Id", seen.find("Last-Event-Id") + 1) == std::string::npos);
}

TEST_CASE("header size, body size and header time are limited by the configuration") {
    Fleet fleet;
    const std::string large_field = "X-Large: " + std::string(4000, 'x') + "\r\n";
    CHECK(contains(fleet.answer_to(Fleet::request("/open/b", large_field)), "HTTP/1.1 431 "));
    CHECK(contains(fleet.answer_to(Fleet::request("/open/b", "", std::string(5001, 'b'))), "HTTP/1.1 413 "));
    auto& slow = fleet.world.client();
    slow.send("POST /open/b HTTP/1.1\r\nHost: h.exa");
    fleet.world.advance(Span{0.9});
    CHECK(slow.received.empty());
    fleet.world.advance(Span{0.2});
    CHECK(contains(slow.take(), "HTTP/1.1 408 "));
    CHECK(fleet.world.arrivals("r1") == 0);
    CHECK_FALSE(fleet.at_host(Fleet::request("/open/b", "", std::string(5000, 'b'))).empty());
}

TEST_CASE("a request without a route gets 404, and one with smuggling header fields gets 400") {
    Fleet fleet;
    CHECK(contains(fleet.answer_to(Fleet::request("/none/b", "Authorization: Token key-one\r\n")), "HTTP/1.1 404 "));
    CHECK(contains(fleet.answer_to(Fleet::request("/ope", "")), "HTTP/1.1 404 "));
    for (const std::string fields :
         {"Content-Length: 1\r\nContent-Length: 2\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n",
          "Transfer-Encoding: x, chunked\r\n", "Content-Length: +1\r\n"}) {
        CAPTURE(fields);
        const auto answer =
            fleet.answer_to("POST /open/b HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\n" + fields + "\r\nx");
        CHECK(contains(answer, "HTTP/1.1 400 "));
        CHECK(contains(answer, "Connection: close"));
    }
    CHECK(fleet.world.arrivals("r1") == 0);
}
