// What crosses on the way to the application: clients that leave at any time, write in pieces, or rest.
#include "loopback.hpp"

using namespace loopback;

TEST_CASE("a client that leaves behind more than is read of it takes its call with it") {
    World w;
    auto client = w.client();
    client.send(request("book"));
    auto server = w.servers[0].accept();
    server.message();
    const std::string more(40 * 1024, 'x');   // beyond the ring, so that its end lies behind bytes that are not read
    client.send(more);
    client.close();
    CHECK(server.ends());
    CHECK(w.logs("client ended: peer_closed"));
    w.signal(SIGUSR1);
    CHECK(w.logs("shots_cancelled=1"));
}

TEST_CASE("a client that left in the round in which its attempt ended gets no further one") {
    World w;
    auto other = w.client();
    other.send(request("read"));
    auto server = w.servers[0].accept();
    server.message();
    server.send(answer("x"));
    CHECK(status(other.message()) == 200);
    wait(rested);
    auto client = w.client();   // younger than the connection that carries its call
    client.send(request("read"));
    server.message();
    w.at_one_stroke([&] {
        server.send(answer("", "500 No"));
        client.close();
    });
    CHECK(w.logs("client ended: peer_closed"));
    w.signal(SIGUSR1);
    CHECK(w.logs(" counts: "));
    CHECK(w.log().find("shots_sent=2 ") != std::string::npos);
}

TEST_CASE("a client that is gone before its call is read has nothing sent") {
    const bool resets = GENERATE(false, true);
    World w;
    w.at_one_stroke([&] {
        auto client = w.client();
        client.send(request("read"));
        if (resets) client.reset();
        else client.close();
    });
    CHECK(w.logs(resets ? "client ended: peer_reset" : "client ended: peer_closed"));
    CHECK_FALSE(w.servers[0].called(0.2));
}

TEST_CASE("a call that is written slowly on a connection that has rested gets its answer") {
    World w;
    auto client = w.client();
    client.send(request("book"));
    auto server = w.servers[0].accept();
    server.message();
    server.send(answer("x"));
    CHECK(status(client.message()) == 200);
    const auto text = request("book", "slowly");
    wait(1.5);
    client.send(text.substr(0, 20));
    wait(1.6);   // 3.1 s after the last answer, 1.6 s after its own begin
    client.send(text.substr(20));
    server.message();
    server.send(answer("y"));
    CHECK(status(client.message()) == 200);
}
