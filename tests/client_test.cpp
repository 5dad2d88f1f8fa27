// Races between the proxy and its clients: clients that disconnect at any time, write in pieces or are idle.
#include "loopback.hpp"

using namespace loopback;

TEST_CASE("the attempt of a client that disconnects behind unread bytes is cancelled") {
    ProxyProcess proxy;
    auto client = proxy.client();
    client.send(request("book"));
    auto server = proxy.servers[0].accept();
    server.message();
    const std::string extra(40 * 1024, 'x');   // beyond the ring buffer: the end of stream is behind unread bytes
    client.send(extra);
    client.close();
    CHECK(server.is_closed());
    CHECK(proxy.wait_for_log("client ended: peer_closed"));
    proxy.signal(SIGUSR1);
    CHECK(proxy.wait_for_log("shots_cancelled=1"));
}

TEST_CASE("a client that disconnects in the iteration in which its attempt ended gets no further attempt") {
    ProxyProcess proxy;
    auto other = proxy.client();
    other.send(request("read"));
    auto server = proxy.servers[0].accept();
    server.message();
    server.send(answer("x"));
    CHECK(status(other.message()) == 200);
    wait(reuse_delay);
    auto client = proxy.client();   // newer than the connection that carries its call
    client.send(request("read"));
    server.message();
    proxy.while_stopped([&] {
        server.send(answer("", "500 No"));
        client.close();
    });
    CHECK(proxy.wait_for_log("client ended: peer_closed"));
    proxy.signal(SIGUSR1);
    CHECK(proxy.wait_for_log(" counts: "));
    CHECK(proxy.log().find("shots_sent=2 ") != std::string::npos);
}

TEST_CASE("no call is sent for a client that disconnects before its call is read") {
    const bool resets = GENERATE(false, true);
    ProxyProcess proxy;
    proxy.while_stopped([&] {
        auto client = proxy.client();
        client.send(request("read"));
        if (resets) client.reset();
        else client.close();
    });
    CHECK(proxy.wait_for_log(resets ? "client ended: peer_reset" : "client ended: peer_closed"));
    CHECK_FALSE(proxy.servers[0].connection_pending(0.2));
}

TEST_CASE("a call that is written slowly on a previously idle connection is answered") {
    ProxyProcess proxy;
    auto client = proxy.client();
    client.send(request("book"));
    auto server = proxy.servers[0].accept();
    server.message();
    server.send(answer("x"));
    CHECK(status(client.message()) == 200);
    const auto text = request("book", "slowly");
    wait(1.5);
    client.send(text.substr(0, 20));
    wait(1.6);   // 3.1 s after the last response, 1.6 s after the call's first byte
    client.send(text.substr(20));
    server.message();
    server.send(answer("y"));
    CHECK(status(client.message()) == 200);
}
