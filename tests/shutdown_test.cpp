// Races at shutdown: calls that arrive meanwhile, connections in the listen queue, repeated signals.
#include "loopback.hpp"

using namespace loopback;

namespace {

const std::string health_check = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

}  // namespace

TEST_CASE("every connection that is queued when the proxy stops listening is answered") {
    ProxyProcess proxy(1, 64, "\"sockets\":64", "\"sockets\":1024");
    proxy.signal(SIGTERM);
    REQUIRE(proxy.wait_for_log("is shutting down"));
    wait(0.2);
    std::vector<Socket> connections;
    proxy.while_stopped([&] {
        for (int i = 0; i < 100; ++i) {
            connections.push_back(proxy.client());
            connections.back().send(health_check);
        }
        wait(0.5);   // until after the time at which the proxy stops listening
    });
    for (auto& client : connections) {
        const auto back = client.message();
        CHECK(status(back) == 200);
        CHECK(client.is_closed());
    }
    CHECK(proxy.exit_status() == 0);
}

TEST_CASE("the last responses can be read, whatever unread bytes follow their calls") {
    ProxyProcess proxy;
    auto client = proxy.client();
    client.send(request("book"));
    auto server = proxy.servers[0].accept();
    server.message();
    client.send(std::string(40 * 1024, 'x'));
    proxy.signal(SIGTERM);
    CHECK(status(client.message()) == 502);
    CHECK(server.is_closed());   // the attempt has been cancelled
    CHECK(client.is_closed());
    CHECK_FALSE(client.is_reset(0.4));
    client.close();
    CHECK(proxy.exit_status() == 0);
}

TEST_CASE("a call that arrives during the shutdown is answered before the exit, whatever its timeout") {
    ProxyProcess proxy;
    auto client = proxy.client();
    proxy.signal(SIGTERM);
    REQUIRE(proxy.wait_for_log("is shutting down"));
    const double told = clock_now();
    client.send(request("read"));
    auto server = proxy.servers[0].accept();
    const auto call = server.message();
    CHECK(std::stod(call.substr(call.find("X-Timeout: ") + 11)) / 1e6 < 3.4);   // the client's timeout is 5 s
    CHECK(status(client.message()) == 429);   // by the balancer, since a retry of an idempotent call is harmless
    CHECK(client.is_closed());
    client.close();
    CHECK(proxy.exit_status() == 0);
    CHECK(clock_now() - told < 3.7);
}

TEST_CASE("bytes that arrive on an idle connection that is being closed are neither forwarded nor reset immediately") {
    const bool stops = GENERATE(false, true);
    ProxyProcess proxy;
    auto client = proxy.client();
    client.send(health_check);
    CHECK(status(client.message()) == 200);
    if (stops) proxy.signal(SIGTERM);
    CHECK(client.is_closed());
    client.send(request("read"));
    CHECK_FALSE(client.is_reset(0.1));
    CHECK_FALSE(proxy.servers[0].connection_pending(0.1));
}

TEST_CASE("repeated SIGTERM, SIGINT or SIGHUP during a shutdown does not disturb it") {
    ProxyProcess proxy;
    auto client = proxy.client();
    client.send(request("book"));
    auto server = proxy.servers[0].accept();
    server.message();
    proxy.while_stopped([&] {
        proxy.signal(SIGHUP);
        proxy.signal(SIGTERM);
    });
    REQUIRE(proxy.wait_for_log("is shutting down"));
    const double told = clock_now();
    proxy.signal(SIGTERM);
    proxy.signal(SIGHUP);
    proxy.signal(SIGINT);
    wait(0.7);
    proxy.signal(SIGTERM);
    server.send(answer("x"));
    CHECK(status(client.message()) == 200);
    client.close();
    CHECK(proxy.exit_status() == 0);
    CHECK(clock_now() - told < 3);
}
