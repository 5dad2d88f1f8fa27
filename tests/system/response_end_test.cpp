// How the responses of hosts end: what the proxy may pass on as complete, and what may continue a response.
#include <doctest/doctest.h>

#include "proxy_world.hpp"

using namespace myrtleroute;
using testing::ProxyWorld;
using testing::ScriptedEnd;

namespace {

const std::string resumable = ProxyWorld::route("streaming", 3, true);
const std::string not_resumable = ProxyWorld::route("streaming", 3, false);
const std::string plain = ProxyWorld::route("idempotent") + "," + ProxyWorld::route("non_idempotent");
const std::string last_chunk = "0\r\n\r\n";

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

// Sends a request of that kind and returns the connection on which a host has received it.
ScriptedEnd& send(ProxyWorld& world, ScriptedEnd& client, const std::string& kind) {
    client.send(ProxyWorld::request(kind, "r1"));
    world.advance(Span{0.05});
    auto* host = world.pending_host();
    REQUIRE(host);
    return *host;
}

// A stream without a length of which two events have arrived; returns the host's listener.
testing::ScriptedListener& begin_unframed_stream(ProxyWorld& world, ScriptedEnd& client, const std::string& more = {}) {
    auto& host = send(world, client, "streaming");
    auto* listener = world.pending_listener();
    host.take();
    host.send(ProxyWorld::unframed_head("r1") + ProxyWorld::event_text(1) + ProxyWorld::event_text(2) + more);
    world.advance(Span{0.05});
    return *listener;
}

}   // namespace

TEST_CASE("a stream without a length isn't ended as complete when its host is killed") {
    ProxyWorld world(2);
    world.configure(not_resumable);
    auto& client = world.client();
    begin_unframed_stream(world, client).kill();
    world.advance(Span{3});
    const auto answer = client.take();
    CHECK(contains(answer, "data: e2"));
    CHECK_FALSE(contains(answer, last_chunk));
    CHECK((client.ended || client.broken));
    CHECK(world.arrivals("r1") == 0);
}

TEST_CASE("a resumable stream without a length goes on at another host when its host is killed") {
    ProxyWorld world(2);
    world.configure(resumable);
    auto& client = world.client();
    begin_unframed_stream(world, client).kill();
    world.advance(Span{1});
    auto* second = world.pending_host();
    REQUIRE(second);
    CHECK(contains(second->take(), "Last-Event-Id: 2\r\n"));
    second->send(ProxyWorld::stream_head("r1") + ProxyWorld::event(3) + last_chunk);
    world.advance(Span{0.1});
    const auto answer = client.take();
    CHECK(contains(answer, "data: e3"));
    CHECK(contains(answer, last_chunk));
}

TEST_CASE("a stream without a length isn't ended as complete by a new process at its host's address") {
    for (const bool names_itself : {true, false}) {
        CAPTURE(names_itself);
        ProxyWorld world(2);
        world.configure(not_resumable);
        auto& client = world.client();
        auto& host = begin_unframed_stream(world, client);
        for (auto& end : host.ends) end->close();
        world.advance(Span{0.05});
        auto* check = world.pending_host();
        REQUIRE(check);
        CHECK(contains(check->received, "X-Expected-Instance: i-"));
        if (names_itself)
            REQUIRE(world.answer_health_check("i-another"));
        else
            check->send("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
        world.advance(Span{0.1});
        CHECK_FALSE(contains(client.take(), last_chunk));
        CHECK((client.ended || client.broken));
    }
}

TEST_CASE("a stream that ends inside an event isn't ended as complete") {
    for (const bool framed : {false, true}) {
        CAPTURE(framed);
        ProxyWorld world(2);
        world.configure(not_resumable);
        auto& client = world.client();
        if (framed) {
            auto& host = send(world, client, "streaming");
            host.take();
            host.send(ProxyWorld::stream_head("r1") + ProxyWorld::event(1) + "8\r\nid: 2\nda\r\n");
            world.advance(Span{0.05});
            host.close();
        } else {
            auto& host = begin_unframed_stream(world, client, "id: 3\nda");
            for (auto& end : host.ends) end->close();
        }
        world.advance(Span{0.05});
        world.answer_health_check("i-0") || world.answer_health_check("i-1");
        world.advance(Span{2});
        const auto answer = client.take();
        CHECK(contains(answer, "data: e1"));
        CHECK_FALSE(contains(answer, last_chunk));
        CHECK((client.ended || client.broken));
    }
}

TEST_CASE("a plain response without a length isn't passed on as complete when its host is killed") {
    for (const std::string kind : {"idempotent", "non_idempotent"}) {
        CAPTURE(kind);
        ProxyWorld world(2);
        world.configure(plain);
        auto& client = world.client();
        auto& host = send(world, client, kind);
        auto* listener = world.pending_listener();
        host.take();
        host.send(ProxyWorld::unframed_head("r1") + "half");
        world.advance(Span{0.05});
        listener->kill();
        world.advance(Span{1});
        CHECK_FALSE(contains(client.received, "half"));
        if (kind == "non_idempotent") {
            CHECK(contains(client.received, "HTTP/1.1 502 "));
            CHECK(world.arrivals("r1") == 0);
            continue;
        }
        auto* second = world.pending_host();
        REQUIRE(second);
        second->send(ProxyWorld::answer("r1", "whole"));
        world.advance(Span{0.1});
        CHECK(contains(client.take(), "whole"));
    }
}

TEST_CASE("a stream that has begun isn't ended as complete by another host's 404") {
    ProxyWorld world(2);
    world.configure(resumable);
    auto& client = world.client();
    auto& first = send(world, client, "streaming");
    first.take();
    first.send(ProxyWorld::stream_head("r1") + ProxyWorld::event(1));
    world.advance(Span{0.05});
    first.reset();
    world.advance(Span{0.5});
    auto* second = world.pending_host();
    REQUIRE(second);
    second->send(ProxyWorld::answer("r1", "no such model", "404 Not Found"));
    world.advance(Span{2});
    const auto answer = client.take();
    CHECK(contains(answer, "data: e1"));
    CHECK_FALSE(contains(answer, last_chunk));
    CHECK((client.ended || client.broken));
}

TEST_CASE("a stream that can't be resumed isn't continued by a second run, though its request wasn't sent in full") {
    ProxyWorld world(2);
    world.configure(not_resumable);
    auto& client = world.client();
    world.net.window = 64 * 1024;
    client.send(ProxyWorld::request("streaming", "r1", std::string(300 * 1024, 'b')));
    ScriptedEnd* first = nullptr;
    for (int step = 0; step < 100 && !first; ++step) {
        world.advance(Span{0.001});
        for (auto& host : world.hosts)
            if (!host->ends.empty()) first = &host->last();
    }
    REQUIRE(first);
    first->reads = false;   // the rest of the request stays in the proxy's buffer
    world.advance(Span{0.3});
    first->send(ProxyWorld::stream_head("r1") + ProxyWorld::event(1));
    world.advance(Span{0.1});
    REQUIRE(contains(client.received, "data: e1"));
    first->reset();
    world.advance(Span{1});
    CHECK(world.hosts[0]->ends.size() + world.hosts[1]->ends.size() == 1);
    CHECK((client.ended || client.broken));
    CHECK_FALSE(contains(client.take(), last_chunk));
}

TEST_CASE("a long plain response that breaks off isn't continued with another host's") {
    ProxyWorld world(2);
    world.configure(plain);
    auto& client = world.client();
    auto& first = send(world, client, "idempotent");
    first.take();
    const std::string long_body(400 * 1024, 'a');
    const auto answer = ProxyWorld::answer("r1", long_body);
    first.send(answer.substr(0, answer.size() - 1000));
    world.advance(Span{0.5});
    REQUIRE(contains(client.received, "aaaa"));
    first.reset();
    world.advance(Span{1});
    CHECK(world.arrivals("r1") == 0);
    CHECK_FALSE(contains(client.take(), last_chunk));
    CHECK((client.ended || client.broken));
}

TEST_CASE("a response without a length keeps its end when its client reads slowly") {
    ProxyWorld world(1);
    world.configure(plain);
    auto& client = world.client();
    auto& host = send(world, client, "idempotent");
    host.take();
    client.reads = false;
    const std::string body = std::string(1500 * 1024, 'a') + "the end";
    host.send(ProxyWorld::unframed_head("r1") + body);
    host.close();
    world.advance(Span{1});
    client.read_on();
    for (int step = 0; step < 50; ++step) {
        world.advance(Span{0.05});
        world.answer_health_check("i-0");
    }
    CHECK(contains(client.received, "the end"));
    CHECK(contains(client.received, last_chunk));
}

TEST_CASE("a response without a length is passed on as complete once its host has answered a health check") {
    ProxyWorld world(1);
    world.configure(not_resumable);
    auto& client = world.client();
    auto& host = begin_unframed_stream(world, client);
    for (auto& end : host.ends) end->close();
    world.advance(Span{0.05});
    CHECK_FALSE(contains(client.received, last_chunk));
    REQUIRE(world.answer_health_check("i-0"));
    world.advance(Span{0.1});
    const auto answer = client.take();
    CHECK(contains(answer, "data: e2"));
    CHECK(contains(answer, last_chunk));
    CHECK_FALSE(client.broken);
    CHECK(world.arrivals("r1") == 0);
}

TEST_CASE("a response without a length is passed on as complete if its host keeps a health check waiting") {
    ProxyWorld world(1);
    world.configure(plain);
    auto& client = world.client();
    auto& host = send(world, client, "non_idempotent");
    host.take();
    host.send(ProxyWorld::unframed_head("r1") + "whole");
    host.close();
    world.advance(Span{0.5});
    CHECK(client.received.empty());
    auto* check = world.pending_host();
    REQUIRE(check);
    world.advance(Span{0.7});
    CHECK(contains(client.take(), "whole"));
    CHECK(check->ended);
}

TEST_CASE("a truncated response to an HTTP/1.0 client ends with a reset") {
    ProxyWorld world(1);
    world.configure(not_resumable);
    auto& client = world.client();
    client.send("POST /streaming/a HTTP/1.0\r\nHost: h.example\r\nX-Request-Id: r1\r\nContent-Length: 1\r\n\r\nx");
    world.advance(Span{0.05});
    auto* host = world.pending_host();
    REQUIRE(host);
    host->take();
    host->send(ProxyWorld::stream_head("r1") + ProxyWorld::event(1));
    world.advance(Span{0.05});
    REQUIRE(contains(client.received, "data: e1"));
    host->reset();
    world.advance(Span{0.5});
    CHECK(client.broken);
}

TEST_CASE("a response that doesn't fit into its client's buffer is cut, and never passed on with a gap") {
    for (const bool streamed : {true, false}) {
        CAPTURE(streamed);
        ProxyWorld world(1);
        world.configure(not_resumable + "," + plain);
        auto& client = world.client();
        client.reads = false;
        auto& host = send(world, client, streamed ? "streaming" : "non_idempotent");
        host.take();
        const std::string large(3 << 20, 'a');
        const std::string event = "id: 1\ndata: " + large + "\n\n";
        if (streamed)
            host.send(ProxyWorld::unframed_head("r1") + event + ProxyWorld::event_text(2));
        else
            host.send(ProxyWorld::answer("r1", large, "404 Not Found"));
        world.advance(Span{2});
        client.read_on();
        world.advance(Span{2});
        CHECK_FALSE(contains(client.received, "data: e2"));
        CHECK_FALSE(contains(client.received, last_chunk));
        CHECK((client.ended || client.broken));
        CHECK(world.metric("myrtleroute_bound_reached_total{table=\"client_output\"}") == "1");
    }
}
