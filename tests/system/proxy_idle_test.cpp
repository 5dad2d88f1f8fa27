// Idle client connections: the proxy announces an idle timeout and closes a connection later than that, so that no
// request crosses the close, even if packets are delayed on a congested link.
#include <doctest/doctest.h>

#include "proxy_world.hpp"

using namespace myrtleroute;
using testing::ProxyWorld;

namespace {

const std::string routes = ProxyWorld::route("idempotent") + "," + ProxyWorld::route("streaming", 3, true);
constexpr Span response_time{0.05};
constexpr Span congestion_delay{2};   // delay of a request or a close on a congested link

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

std::string with_idle_limit(int ms) {
    return routes + R"(],"limits":{"idleTimeoutMs":)" + std::to_string(ms) + R"(},"tenants":[)";
}

// Sends a request, lets its host respond, and returns the response.
std::string serve(ProxyWorld& world, testing::ScriptedEnd& client, const std::string& id) {
    client.send(ProxyWorld::request("idempotent", id));
    world.advance(response_time);
    auto* host = world.pending_host();
    REQUIRE(host);
    host->take();
    host->send(ProxyWorld::answer(id, "body"));
    world.advance(response_time);
    return client.take();
}

// The idle timeout that a response announces, in seconds; 0 = none.
int announced_idle(const std::string& answer) {
    const std::string field = "Keep-Alive: timeout=";
    const auto at = answer.find(field);
    return at == std::string::npos ? 0 : std::stoi(answer.substr(at + field.size()));
}

// A streamed response announces the timeout as well; a response that closes its connection does not.
void check_streams_and_last_answers() {
    ProxyWorld world;
    world.configure(with_idle_limit(7000));
    auto& client = world.client();
    client.send(ProxyWorld::request("streaming", "r1"));
    world.advance(response_time);
    auto* host = world.pending_host();
    REQUIRE(host);
    host->take();
    host->send(ProxyWorld::stream_head("r1") + ProxyWorld::event(1) + ProxyWorld::event(2) + "0\r\n\r\n");
    world.advance(response_time);
    CHECK(announced_idle(client.take()) == 7);
    world.signal(SIGTERM);
    world.advance(response_time);
    const auto last = serve(world, client, "r2");
    CHECK(contains(last, "Connection: close"));
    CHECK(announced_idle(last) == 0);
}

}   // namespace

TEST_CASE("a client that reuses its connection within the announced timeout is served even if its request is delayed") {
    for (const int limit_ms : {1000, 4500, 15000}) {
        CAPTURE(limit_ms);
        ProxyWorld world;
        world.configure(with_idle_limit(limit_ms));
        auto& client = world.client();
        const int announced = announced_idle(serve(world, client, "r1"));
        CHECK(announced == (limit_ms + 999) / 1000);
        world.advance(Span{double(announced)} + congestion_delay - response_time * 2);
        CHECK_FALSE(client.ended);
        CHECK(contains(serve(world, client, "r2"), "HTTP/1.1 200 OK"));
    }
    check_streams_and_last_answers();
}

TEST_CASE(
    "a lower idle timeout applies from the next response on, and no connection is closed before the announced one") {
    ProxyWorld world;
    world.configure(with_idle_limit(9000));
    auto& before = world.client();
    CHECK(announced_idle(serve(world, before, "r1")) == 9);
    world.configure(with_idle_limit(2000), 2);
    auto& after = world.client();
    CHECK(announced_idle(serve(world, after, "r2")) == 2);
    world.advance(Span{8.5});
    CHECK_FALSE(before.ended);
    CHECK(after.ended);
    CHECK(announced_idle(serve(world, before, "r3")) == 2);
    world.advance(Span{8.5});
    CHECK(before.ended);
}

TEST_CASE("a request that crosses the close of an idle connection is reset on arrival, not a second later") {
    for (const bool stops : {false, true}) {
        CAPTURE(stops);
        ProxyWorld world;
        world.configure(with_idle_limit(1000));
        auto& client = world.client();
        serve(world, client, "r1");
        if (stops) world.signal(SIGTERM);
        while (!client.ended) world.advance(response_time);
        client.send(ProxyWorld::request("idempotent", "r2"));
        world.advance(response_time);
        CHECK(client.broken);
        CHECK(client.take().empty());
        CHECK(world.arrivals("r2") == 0);
    }
}
