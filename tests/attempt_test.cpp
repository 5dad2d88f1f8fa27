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
