// Responses at the metrics address: the handler shared by both roles, and the proxy's listener on a simulated
// network.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "base/metrics.hpp"
#include "proxy_world.hpp"
#include "roles/metrics_answer.hpp"

using namespace myrtleroute;
using testing::ProxyWorld;

namespace {

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

std::string get(const std::string& path) { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n"; }

constexpr const char* tenant_document =
    R"({"version":2,"routes":[{"hostname":"h.example","pathPrefix":"/a/","timeoutMs":6000,"service":"s"}],)"
    R"("services":[{"name":"s","healthCheck":"/health"}],"tenants":[)"
    R"({"name":"acme","apiKeys":["limited"],"ratePerS":10,"burst":1},{"name":"zeta","apiKeys":["unlimited"]}]})";

std::string request_with(const std::string& key) {
    return "POST /a/b HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token " + key + "\r\nContent-Length: 0\r\n\r\n";
}

}   // namespace

TEST_CASE("a GET of the metrics path returns the text, anything else 404") {
    const auto status = [](const std::string& method, const std::string& target) {
        return respond_to_scrape(method, target, "/figures", [] { return "text"; }).status;
    };
    CHECK(status("GET", "/figures") == 200);
    CHECK(status("GET", "/figures?all") == 200);
    CHECK(status("GET", "/figures/") == 404);
    CHECK(status("GET", "/") == 404);
    CHECK(status("GET", "") == 404);
    CHECK(status("POST", "/figures") == 404);
    CHECK(status("get", "/figures") == 404);
    CHECK(respond_to_scrape("GET", "/figures", "/figures", [] { return "text"; }).body == "text");
}

TEST_CASE("the proxy serves its metrics at a separate port") {
    ProxyWorld world;
    auto& reader = world.client(ProxyWorld::metrics_port);
    reader.send(get("/figures"));
    world.advance(Span{0.1});
    CHECK(reader.ended);
    const auto answer = reader.take();
    CHECK(contains(answer, "HTTP/1.1 200 OK\r\nContent-Type: text/plain; version=0.0.4; charset=utf-8\r\n"));
    CHECK(contains(answer, "myrtleroute_fleet_told_age_seconds +Inf\n"));
    const auto length = answer.size() - answer.find("\r\n\r\n") - 4;
    CHECK(contains(answer, "Content-Length: " + std::to_string(length) + "\r\nConnection: close\r\n\r\n"));
}

TEST_CASE("the metrics port serves nothing else, and the client port does not serve metrics") {
    ProxyWorld world;
    world.configure(ProxyWorld::route("idempotent"));
    for (const std::string& request :
         {get("/"), get("/ready"), get("/idempotent/a"), std::string("POST /figures HTTP/1.1\r\nHost: x\r\n\r\n"),
          std::string("no request\r\n\r\n"), ProxyWorld::request("idempotent", "r1")}) {
        CAPTURE(request);
        auto& reader = world.client(ProxyWorld::metrics_port);
        reader.send(request);
        world.advance(Span{0.1});
        CHECK(contains(reader.take(), "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n"));
        CHECK(reader.ended);
    }
    CHECK(world.arrivals("r1") == 0);
    auto& client = world.client();
    client.send(get("/figures"));
    world.advance(Span{0.1});
    CHECK(contains(client.take(), "HTTP/1.1 404 "));
}

TEST_CASE("silent connections to the metrics port time out, and later ones are served") {
    ProxyWorld world;
    std::vector<testing::ScriptedEnd*> silent;
    for (int i = 0; i < 20; ++i) silent.push_back(&world.client(ProxyWorld::metrics_port));
    auto& reader = world.client(ProxyWorld::metrics_port);
    reader.send(get("/figures"));
    world.advance(Span{1});
    CHECK(reader.received.empty());   // only a few connections are open at a time
    world.advance(Span{16});
    CHECK(contains(reader.take(), "HTTP/1.1 200 OK\r\n"));
    for (auto* end : silent) CHECK((end->ended || end->broken));
}

namespace {

// The last lease request that a proxy has sent to its control node.
std::optional<leases::LeaseRequest> last_request(const std::string& received) {
    messages::FrameReader reader;
    reader.feed(received);
    std::optional<leases::LeaseRequest> last;
    while (const auto json = reader.next()) {
        const auto message = messages::decode(*json);
        REQUIRE(message);
        if (const auto* request = std::get_if<leases::LeaseRequest>(&*message)) last = *request;
    }
    return last;
}

// The allocator leases nothing in reply to a proxy's first request.
void answer_first_request(ProxyWorld& world) {
    const auto request = last_request(world.control.last().take());
    REQUIRE(request);
    CHECK(request->tenants.empty());
    world.send_control(leases::LeaseReply{request->holder, request->number, 1, false, {}});
}

void tell_tenants(ProxyWorld& world) {
    messages::FleetStatus fleet;
    fleet.current = true;
    fleet.proxy_count = 3;
    world.send_control(messages::ConfigurationUpdate{2, tenant_document});
    world.send_control(messages::HostsUpdate{});
    world.send_control(fleet);
    world.advance(Span{0.1});
}

}   // namespace

TEST_CASE("a proxy's metrics show granted and refused quota units and the reported fleet state") {
    ProxyWorld world;
    answer_first_request(world);
    tell_tenants(world);
    auto& limited = world.client();
    limited.send(request_with("limited"));
    world.client().send(request_with("unlimited"));
    world.advance(Span{0.05});
    CHECK(limited.received.empty());   // it waits for the reply to a lease request, and none comes
    world.advance(Span{0.3});
    CHECK(contains(limited.take(), "HTTP/1.1 429 "));
    auto& reader = world.client(ProxyWorld::metrics_port);
    reader.send(get("/figures"));
    world.advance(Span{0.1});
    const auto text = reader.take();
    CAPTURE(text);
    CHECK(contains(text, "myrtleroute_quota_granted_units_total{tenant=\"acme\"} 0\n"));
    CHECK_FALSE(contains(text, "tenant=\"zeta\""));   // it has no limit
    CHECK(contains(text, "myrtleroute_quota_refused_units_total{tenant=\"acme\"} 1\n"));
    CHECK(contains(text, "myrtleroute_quota_refused_requests_total{tenant=\"acme\",cause=\"out_of_touch\"} 1\n"));
    CHECK(contains(text, "myrtleroute_quota_held_units{tenant=\"acme\"} 0\n"));
    CHECK(contains(text, "myrtleroute_quota_overload_ratio{tenant=\"acme\"} 0\n"));
    CHECK(contains(text, "myrtleroute_fleet_proxies 3\n"));
}

TEST_CASE("a request of a limited tenant is refused at once while no allocator responds") {
    ProxyWorld world;
    tell_tenants(world);
    world.advance(Span{2});   // just after a start an allocator may still respond
    auto& limited = world.client();
    limited.send(request_with("limited"));
    world.advance(Span{0.02});
    CHECK(contains(limited.take(), "HTTP/1.1 429 "));
}

TEST_CASE("a request of a limited tenant proceeds as soon as units are leased, and the next ones don't wait") {
    ProxyWorld world;
    answer_first_request(world);
    tell_tenants(world);
    world.control.last().take();
    auto& limited = world.client();
    limited.send(request_with("limited"));
    world.advance(Span{0.02});
    const auto request = last_request(world.control.last().take());
    REQUIRE(request);
    CHECK(request->holder.node == "edge-1");
    CHECK(request->tenants.at("acme").needed == 1);
    leases::LeaseReply reply{request->holder, request->number, 1, false, {}};
    reply.tenants["acme"].granted = 2;
    reply.tenants["acme"].target = 2;
    world.send_control(reply);
    world.advance(Span{0.01});
    limited.send(request_with("limited"));
    world.advance(Span{0.01});
    auto& reader = world.client(ProxyWorld::metrics_port);
    reader.send(get("/figures"));
    world.advance(Span{0.05});
    const auto text = reader.take();
    CAPTURE(text);
    CHECK(contains(text, "myrtleroute_quota_granted_units_total{tenant=\"acme\"} 2\n"));
    CHECK_FALSE(contains(limited.take(), "HTTP/1.1 429 "));
}
