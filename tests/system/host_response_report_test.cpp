// What operators see of how the responses of hosts end.
#include <doctest/doctest.h>

#include "proxy_world.hpp"

using namespace myrtleroute;
using testing::ProxyWorld;

TEST_CASE("the metrics tell how hosts end their responses, and that one goes on at another host") {
    ProxyWorld world(2);
    world.configure(ProxyWorld::route("streaming", 3, true));
    auto& client = world.client();
    client.send(ProxyWorld::request("streaming", "r1"));
    world.advance(Span{0.05});
    auto* first = world.pending_host();
    REQUIRE(first);
    first->take();
    first->send(ProxyWorld::stream_head("r1") + ProxyWorld::event(1));
    world.advance(Span{0.05});
    first->reset();
    world.advance(Span{0.5});
    auto* second = world.pending_host();
    REQUIRE(second);
    second->take();
    second->send(ProxyWorld::stream_head("r1") + ProxyWorld::event(2) + "0\r\n\r\n");
    world.advance(Span{0.1});
    CHECK(world.metric("myrtleroute_host_responses_total{end=\"broken_off\"}") == "1");
    CHECK(world.metric("myrtleroute_host_responses_total{end=\"framed\"}") == "1");
    CHECK(world.metric("myrtleroute_host_responses_total{end=\"connection_closed\"}") == "0");
    CHECK(world.metric("myrtleroute_responses_resumed_total") == "1");
}
