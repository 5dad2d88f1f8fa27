// Races between the proxy and its servers: resets, connects that complete late, simultaneous closes.
#include "loopback.hpp"

using namespace loopback;

TEST_CASE("a response without a length is complete when its connection ends, but not when it is reset") {
    struct Case { const char* product; bool resets; int status; };
    const auto c = GENERATE(Case{"read", false, 200}, Case{"book", false, 200}, Case{"read", true, 200}, Case{"book", true, 502});
    ProxyProcess proxy;
    auto client = proxy.client();
    client.send(request(c.product));
    auto server = proxy.servers[0].accept();
    server.message();
    proxy.while_stopped([&] {
        server.send("HTTP/1.1 200 OK\r\n\r\nhalf");
        if (c.resets) server.reset();
        else server.close();
    });
    if (c.resets && c.status == 200) {   // idempotent, so it is retried
        server = proxy.servers[0].accept();
        server.message();
        server.send(answer("whole"));
    }
    const auto back = client.message();
    CHECK(status(back) == c.status);
    CHECK((back.find("half") != back.npos) == !c.resets);
}

namespace {

// A server whose connects complete only after `accept_connects`: until then its listen queue is full.
struct DelayedServer {
    explicit DelayedServer(Listener& at) : server(at), connections(at.fill_queue()) {}
    void accept_connects() {   // the system repeats a connect within about a second
        for (auto& one : connections) one.close();
        while (server.connection_pending(0.05)) server.accept();
    }
    Listener& server;
    std::vector<Socket> connections;
};

const std::string long_connect_timeout = "\"ConnectTimeoutS\":4";

}  // namespace

TEST_CASE("a connection that is established late sends the time left at that moment") {
    ProxyProcess proxy(1, 64, "\"ConnectTimeoutS\":0.25", long_connect_timeout);
    DelayedServer delayed(proxy.servers[0]);
    auto client = proxy.client();
    const double sent = clock_now();
    client.send(request("book", "", "4000m"));
    wait(0.5);
    const double before = clock_now();
    delayed.accept_connects();
    auto server = proxy.servers[0].accept();
    const auto call = server.message();
    const auto told = call.find("\r\nX-Timeout: ");
    REQUIRE(told != call.npos);
    CHECK(std::stod(call.substr(told + 13)) / 1e6 < 4 - (before - sent));
    server.send(answer("x"));
    CHECK(status(client.message()) == 200);
}

TEST_CASE("no call is sent to a server that began to drain while the connection to it was being established") {
    ProxyProcess proxy(2, 64, "\"ConnectTimeoutS\":0.25", long_connect_timeout);
    auto discovery = proxy.discovery.accept();
    discovery.message();
    discovery.send(answer(list(6, true, entry(0, proxy.servers[0].endpoint))));
    discovery.message();
    DelayedServer delayed(proxy.servers[0]);
    auto client = proxy.client();
    client.send(request("book"));
    wait(0.1);
    discovery.send(answer(list(7, false, entry(0, proxy.servers[0].endpoint, "DRAINING") + "," +
                                             entry(1, proxy.servers[1].endpoint))));
    discovery.message();
    delayed.accept_connects();
    auto other = proxy.servers[1].accept();   // not executed by the first server, so it may be sent to another
    other.message();
    other.send(answer("x"));
    CHECK(status(client.message()) == 200);
    while (proxy.servers[0].connection_pending(0.1)) CHECK_FALSE(proxy.servers[0].accept().receive(0.1));
}

TEST_CASE("no call is sent for a client that disconnects while the connection is being established") {
    ProxyProcess proxy(1, 64, "\"ConnectTimeoutS\":0.25", long_connect_timeout);
    DelayedServer delayed(proxy.servers[0]);
    auto client = proxy.client();
    client.send(request("book"));
    wait(0.1);
    client.close();
    CHECK(proxy.wait_for_log("ended: cancelled"));
    delayed.accept_connects();
    while (proxy.servers[0].connection_pending(1.5)) CHECK_FALSE(proxy.servers[0].accept().receive(0.1));
    proxy.signal(SIGUSR1);
    CHECK(proxy.wait_for_log("shots_never_sent=1"));
}
