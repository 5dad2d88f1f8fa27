// Requests around a proxy's SIGTERM: none is read without a response, and none is started that the process can't
// finish.
#include <doctest/doctest.h>

#include "proxy_world.hpp"

using namespace myrtleroute;
using testing::ProxyWorld;

namespace {

// A route whose streams may last longer than a stopping process.
const std::string long_stream =
    R"({"hostname":"h.example","pathPrefix":"/long/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":1000,)"
    R"("service":"s","maxAttempts":3,"resumable":true})";
const std::string routes = ProxyWorld::route("idempotent") + "," + ProxyWorld::route("non_idempotent") + "," +
                           ProxyWorld::route("streaming", 3, true) + "," + long_stream;

constexpr Span response_time{0.05};

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

std::string stream_request(const std::string& id, int deadline_ms = 12000) {
    return "POST /long/a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\nContent-Length: 1\r\n\r\nx";
}

// The host that received the request starts the stream after `first` and finishes it after `rest`.
void serve_stream(ProxyWorld& world, const std::string& id, Span first, Span rest) {
    auto* host = world.pending_host();
    REQUIRE(host);
    host->take();
    world.advance(first);
    host->send(ProxyWorld::stream_head(id) + ProxyWorld::event(1));
    world.advance(rest);
    host->send(ProxyWorld::event(2) + "0\r\n\r\n");
    world.advance(response_time);
}

}   // namespace

TEST_CASE(
    "a request that crosses the close of its connection is reset unread, so that its client knows it was not "
    "executed") {
    for (const bool idle_for_long : {false, true}) {
        CAPTURE(idle_for_long);
        ProxyWorld world;
        world.configure(routes);
        auto& client = world.client();
        if (idle_for_long) {
            world.advance(Span{90});   // the idle timeout has passed
        } else {
            world.signal(SIGTERM);
            world.advance(Span{2.4});   // the listeners are closed, and the idle connection with them
        }
        REQUIRE(client.ended);
        client.send(ProxyWorld::request("idempotent", "r1"));
        world.advance(Span{1.5});
        CHECK(client.broken);   // reset because of unread bytes
        CHECK(client.take().empty());
        CHECK(world.arrivals("r1") == 0);
    }
}

TEST_CASE("after SIGTERM a request that could outlast the process is refused at once, and a shorter one is served") {
    ProxyWorld world;
    world.configure(routes);
    world.signal(SIGTERM);
    world.advance(Span{2.2});   // more than five seconds are left
    auto& longer = world.client();
    longer.send(stream_request("r1"));
    world.advance(response_time);
    const auto refusal = longer.take();
    CHECK(contains(refusal, "HTTP/1.1 503 "));
    CHECK(contains(refusal, "Retry-After: "));
    CHECK(contains(refusal, "Connection: close"));
    CHECK(world.arrivals("r1") == 0);
    auto& shorter = world.client();
    shorter.send(stream_request("r2", 5000));
    world.advance(response_time);
    serve_stream(world, "r2", Span{0.5}, Span{1});
    CHECK(contains(shorter.take(), "0\r\n\r\n"));
}

TEST_CASE("near the end of the grace period waiting requests get an error, and a stream may still finish") {
    ProxyWorld world;
    world.configure(routes);
    auto& waits = world.client();
    waits.send(stream_request("r1"));
    world.advance(response_time);
    REQUIRE(world.pending_host());
    world.pending_host()->take();   // the host does not respond
    auto& streams = world.client();
    streams.send(stream_request("r2"));
    world.advance(response_time);
    auto* host = world.pending_host();
    REQUIRE(host);
    host->take();
    host->send(ProxyWorld::stream_head("r2") + ProxyWorld::event(1));
    world.signal(SIGTERM);
    world.advance(Span{7.6});
    const auto answer = waits.take();
    CHECK((contains(answer, "HTTP/1.1 502 ") || contains(answer, "HTTP/1.1 504 ")));
    host->send(ProxyWorld::event(2) + "0\r\n\r\n");
    world.advance(response_time);
    CHECK(contains(streams.take(), "0\r\n\r\n"));
    world.advance(Span{0.3});
    CHECK(world.is_over());
}

TEST_CASE("the rest of a request that is refused early is read, so that its client receives the response") {
    ProxyWorld world;
    world.configure(routes);
    auto& client = world.client();
    client.send("POST /idempotent/a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 99999999\r\n\r\n");
    world.advance(response_time);
    client.send(std::string(100 * 1024, 'b'));
    world.advance(Span{1.5});
    CHECK(contains(client.take(), "HTTP/1.1 413 "));
    CHECK(client.ended);
    CHECK_FALSE(client.broken);
}
