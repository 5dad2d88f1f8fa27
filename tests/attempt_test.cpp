// What crosses on the way to servers and back: resets, connections that come up late, ends at the same time.
#include "loopback.hpp"

using namespace loopback;

TEST_CASE("an answer without a length is whole when its connection ends, and is not when that is reset") {
    struct Case { const char* product; bool resets; int status; };
    const auto c = GENERATE(Case{"read", false, 200}, Case{"book", false, 200}, Case{"read", true, 200}, Case{"book", true, 502});
    World w;
    auto client = w.client();
    client.send(request(c.product));
    auto server = w.servers[0].accept();
    server.message();
    w.at_one_stroke([&] {
        server.send("HTTP/1.1 200 OK\r\n\r\nhalf");
        if (c.resets) server.reset();
        else server.close();
    });
    if (c.resets && c.status == 200) {   // may run again, and does
        server = w.servers[0].accept();
        server.message();
        server.send(answer("whole"));
    }
    const auto back = client.message();
    CHECK(status(back) == c.status);
    CHECK((back.find("half") != back.npos) == !c.resets);
}

namespace {

// A server whose connections come up only when `let_up` is called: until then its queue is full.
struct Late {
    explicit Late(Listener& at) : server(at), crowd(at.deafen()) {}
    void let_up() {   // the system asks again within a second or so
        for (auto& one : crowd) one.close();
        while (server.called(0.05)) server.accept();
    }
    Listener& server;
    std::vector<Wire> crowd;
};

const std::string slow_connects = "\"ConnectTimeoutS\":4";

}  // namespace

TEST_CASE("a connection that comes up late tells its server the time that is left then") {
    World w(1, 64, "\"ConnectTimeoutS\":0.25", slow_connects);
    Late late(w.servers[0]);
    auto client = w.client();
    const double sent = clock_now();
    client.send(request("book", "", "4000m"));
    wait(0.5);
    const double before = clock_now();
    late.let_up();
    auto server = w.servers[0].accept();
    const auto call = server.message();
    const auto told = call.find("\r\nX-Timeout: ");
    REQUIRE(told != call.npos);
    CHECK(std::stod(call.substr(told + 13)) / 1e6 < 4 - (before - sent));
    server.send(answer("x"));
    CHECK(status(client.message()) == 200);
}

TEST_CASE("nothing goes to a server that began to drain while the connection to it was coming up") {
    World w(2, 64, "\"ConnectTimeoutS\":0.25", slow_connects);
    auto discovery = w.discovery.accept();
    discovery.message();
    discovery.send(answer(list(6, true, entry(0, w.servers[0].endpoint))));
    discovery.message();
    Late late(w.servers[0]);
    auto client = w.client();
    client.send(request("book"));
    wait(0.1);
    discovery.send(answer(list(7, false, entry(0, w.servers[0].endpoint, "DRAINING") + "," + entry(1, w.servers[1].endpoint))));
    discovery.message();
    late.let_up();
    auto other = w.servers[1].accept();   // it never ran there, so another may have it
    other.message();
    other.send(answer("x"));
    CHECK(status(client.message()) == 200);
    while (w.servers[0].called(0.1)) CHECK_FALSE(w.servers[0].accept().more(0.1));
}

TEST_CASE("a client that leaves while a connection is coming up has nothing sent") {
    World w(1, 64, "\"ConnectTimeoutS\":0.25", slow_connects);
    Late late(w.servers[0]);
    auto client = w.client();
    client.send(request("book"));
    wait(0.1);
    client.close();
    CHECK(w.logs("ended: cancelled"));
    late.let_up();
    while (w.servers[0].called(1.5)) CHECK_FALSE(w.servers[0].accept().more(0.1));
    w.signal(SIGUSR1);
    CHECK(w.logs("shots_never_sent=1"));
}
