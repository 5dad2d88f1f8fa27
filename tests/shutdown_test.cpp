// What crosses on the way out: calls that come while it stops, what waits in queues, signals upon signals.
#include "loopback.hpp"

using namespace loopback;

namespace {

const std::string is_up = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

}  // namespace

TEST_CASE("however many connections wait when it stops listening, each is answered") {
    World w(1, 64, "\"sockets\":64", "\"sockets\":1024");
    w.signal(SIGTERM);
    REQUIRE(w.logs("is shutting down"));
    wait(0.2);
    std::vector<Wire> crowd;
    w.at_one_stroke([&] {
        for (int i = 0; i < 100; ++i) {
            crowd.push_back(w.client());
            crowd.back().send(is_up);
        }
        wait(0.5);   // beyond the moment at which it stops listening
    });
    for (auto& client : crowd) {
        const auto back = client.message();
        CHECK(status(back) == 200);
        CHECK(client.ends());
    }
    CHECK(w.exit_status() == 0);
}

TEST_CASE("the last answers are read, whatever lies unread behind their calls") {
    World w;
    auto client = w.client();
    client.send(request("book"));
    auto server = w.servers[0].accept();
    server.message();
    client.send(std::string(40 * 1024, 'x'));
    w.signal(SIGTERM);
    CHECK(status(client.message()) == 502);
    CHECK(server.ends());   // nothing is out for it any more
    CHECK(client.ends());
    CHECK_FALSE(client.breaks(0.4));
    client.close();
    CHECK(w.exit_status() == 0);
}

TEST_CASE("a call that comes while it stops is answered while it still runs, whatever time it has") {
    World w;
    auto client = w.client();
    w.signal(SIGTERM);
    REQUIRE(w.logs("is shutting down"));
    const double told = clock_now();
    client.send(request("read"));
    auto server = w.servers[0].accept();
    const auto call = server.message();
    CHECK(std::stod(call.substr(call.find("X-Timeout: ") + 11)) / 1e6 < 3.4);   // 5 s are the client's
    CHECK(status(client.message()) == 429);   // by the decisions, which know that a repeat is harmless
    CHECK(client.ends());
    client.close();
    CHECK(w.exit_status() == 0);
    CHECK(clock_now() - told < 3.7);
}

TEST_CASE("a resting connection is parted with, and what still comes on it is neither sent on nor reset at once") {
    const bool stops = GENERATE(false, true);
    World w;
    auto client = w.client();
    client.send(is_up);
    CHECK(status(client.message()) == 200);
    if (stops) w.signal(SIGTERM);
    CHECK(client.ends());
    client.send(request("read"));
    CHECK_FALSE(client.breaks(0.1));
    CHECK_FALSE(w.servers[0].called(0.1));
}

TEST_CASE("signals upon signals: told to stop again, or to read its file, it goes on stopping") {
    World w;
    auto client = w.client();
    client.send(request("book"));
    auto server = w.servers[0].accept();
    server.message();
    w.at_one_stroke([&] {
        w.signal(SIGHUP);
        w.signal(SIGTERM);
    });
    REQUIRE(w.logs("is shutting down"));
    const double told = clock_now();
    w.signal(SIGTERM);
    w.signal(SIGHUP);
    w.signal(SIGINT);
    wait(0.7);
    w.signal(SIGTERM);
    server.send(answer("x"));
    CHECK(status(client.message()) == 200);
    client.close();
    CHECK(w.exit_status() == 0);
    CHECK(clock_now() - told < 3);
}
