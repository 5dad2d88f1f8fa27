// Tests of the running program on loopback. The test cases act as its clients, servers and discovery.
#include "loopback.hpp"

using namespace loopback;

TEST_CASE("a call is forwarded to a server unchanged, and the response to the client") {
    ProxyProcess proxy;
    auto client = proxy.client();
    client.send("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(status(client.message()) == 200);
    client.send(request("book", "two seats", "99999999m"));   // capped at the client timeout of its product
    auto server = proxy.servers[0].accept();
    const auto first = server.message();
    CHECK(first.find("POST /api?day=1 HTTP/1.1\r\n") == 0);
    CHECK(first.find("\r\nX-Request-ID: 9b1f03aa-") != first.npos);
    CHECK(first.substr(first.size() - 9) == "two seats");
    const auto told = first.find("\r\nX-Timeout: ");
    REQUIRE(told != first.npos);
    const double left = std::stod(first.substr(told + 13));
    CHECK((left <= 5e6 && left > 4e6));
    CHECK(first.substr(first.find("\r\n", told + 2) - 1, 1) == "u");
    server.send(answer("booked", "200 OK", "Content-Type: text/plain\r\nX-Server-Load: TEXT queue=1\r\n"));
    const auto back = client.message();
    CHECK(status(back) == 200);
    CHECK(back.substr(back.size() - 10) == "\r\n\r\nbooked");
    CHECK(back.find("Content-Type: text/plain\r\n") != back.npos);
    wait(reuse_delay);
    client.send(request("read"));
    CHECK(server.message().find("GET /api?day=1") == 0);   // on the same connection
    server.send(answer("x"));
    CHECK(status(client.message()) == 200);
    proxy.signal(SIGUSR1);
    CHECK(proxy.wait_for_log("calls_taken=2 calls_fulfilled=2 "));
    CHECK(proxy.wait_for_log("load_reports=1"));
}

TEST_CASE("a call is forwarded once its last byte has arrived, and a connection carries one at a time") {
    ProxyProcess proxy;
    auto client = proxy.client();
    const auto text = request("book", "abc");
    for (size_t i = 0; i + 1 < text.size(); ++i) client.send(text.substr(i, 1));
    CHECK_FALSE(proxy.servers[0].connection_pending(0.1));
    client.send(text.substr(text.size() - 1));
    auto server = proxy.servers[0].accept();
    CHECK(server.message().find("POST") == 0);
    client.send(request("read"));   // before the response to the first
    CHECK_FALSE(server.ready(0.1));
    server.send(answer("first"));
    const auto back = client.message();
    CHECK(back.find("first") != back.npos);
    CHECK(back.find("Connection: close\r\n") != back.npos);
    CHECK(client.is_closed());
    CHECK_FALSE(server.ready(0.1));
}

TEST_CASE("a request sent while a response is being written ends the connection after that response") {
    ProxyProcess proxy;
    auto client = proxy.client();
    const std::string body(64 * 1024, 'b');
    client.send(request("read"));
    auto server = proxy.servers[0].accept();
    int answers = 0;
    for (; server.ready(0.5) && answers < 400; ++answers) {   // until the socket buffers of the system are full
        server.message();
        server.send(answer(body));
        wait(reuse_delay);
        client.send(request("read"));
    }
    REQUIRE(answers < 400);
    for (int i = 0; i < answers; ++i) REQUIRE(status(client.message()) == 200);
    const double had_all = clock_now();
    CHECK(client.is_closed());
    CHECK(clock_now() - had_all < 1);
}

TEST_CASE("the id of a call in progress is rejected for another call") {
    ProxyProcess proxy;
    auto first = proxy.client(), second = proxy.client();
    const auto text = request("book");
    first.send(text);
    auto server = proxy.servers[0].accept();
    server.message();
    second.send(text);
    CHECK(status(second.message()) == 409);
    CHECK(second.is_closed());
    CHECK_FALSE(server.ready(0.1));
    server.send(answer("x"));
    CHECK(status(first.message()) == 200);
}

TEST_CASE("a client gets a response or a close within 3 s, whatever it sends or withholds") {
    struct Case { const char* text; bool asked; int status; };
    const auto c = GENERATE(Case{"", false, 0}, Case{"", true, 0}, Case{"GET /api HTTP/1.1\r\nHost: ", false, 408},
                            Case{"POST /api HTTP/1.1\r\nHost: ", true, 408});
    ProxyProcess proxy;
    auto client = proxy.client();
    if (c.asked) {
        client.send(request("read"));
        auto server = proxy.servers[0].accept();
        server.message();
        server.send(answer("x"));
        CHECK(status(client.message()) == 200);
    }
    const double since = clock_now();
    client.send(c.text);
    while (!client.ready(0.2) && clock_now() < since + time_limit)
        if (*c.text) client.send("x");   // a slow trickle does not extend the deadline
    CHECK(status(client.message()) == c.status);
    CHECK(client.is_closed());
    CHECK(clock_now() - since < 3);
    CHECK(clock_now() - since > 1.9);
}

TEST_CASE("an oversized body is rejected without being read") {
    ProxyProcess proxy;
    auto client = proxy.client();
    client.send("POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n");
    const std::string part(64 * 1024, 'x');
    size_t taken = 0;
    while (taken < 60000000 && client.send_some(part)) taken += part.size();
    CHECK(taken < 40000000);   // at most what the socket buffers of the system hold
    CHECK(status(client.message()) == 413);
    proxy.signal(SIGUSR1);
    CHECK(proxy.wait_for_log("calls_malformed=1"));
}

TEST_CASE("responses and retries after a failed attempt") {
    // `read_again`, `book_again`: whether the call gets another attempt; if not, the client gets a 502.
    struct Case { const char* name; std::string reply; bool closes, read_again, book_again; };
    const auto c = GENERATE_COPY(
        Case{"turned away", answer("", "503 Full", "X-Not-Processed: 1\r\n"), false, true, true},
        Case{"over", answer("", "504 Over", "X-Not-Processed: 1\r\n"), false, true, true},
        Case{"503 alone", answer("", "503 Full"), false, true, false}, Case{"500", answer("", "500 No"), false, true, false},
        Case{"429", answer("", "429 Slow down", "Retry-After: 1\r\n"), false, true, false},
        Case{"no answer", "", true, true, false}, Case{"short", answer("long").substr(0, 40), true, true, false},
        Case{"stops short", answer("long").substr(0, 40), false, true, false},
        Case{"head without end", "HTTP/1.1 200 OK\r\nContent-Len", false, true, false},
        Case{"nonsense", "\x15\x03\x01 what?\r\n", false, true, false},
        Case{"too long", "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n", false, true, false});
    for (const std::string product : {"read", "book"}) {
        INFO(c.name << ' ' << product);
        ProxyProcess proxy;
        auto client = proxy.client();
        client.send(request(product));
        auto server = proxy.servers[0].accept();
        server.message();
        server.send(c.reply);
        if (c.closes) server.close();
        const bool again = product == "read" ? c.read_again : c.book_again;
        if (!again) {
            CHECK(status(client.message()) == 502);   // unlike 429 and 503 no promise that nothing was executed
            continue;
        }
        if (!server.open() || !server.receive(0.2)) server = proxy.servers[0].accept();
        CHECK(server.message().find("X-Request-ID: 9b1f03aa") != std::string::npos);
        server.send(answer("good"));
        CHECK(status(client.message()) == 200);
    }
}

TEST_CASE("a call for which no server can be reached is reported as not executed") {
    struct Case { bool listens; const char* reason; };
    const auto c = GENERATE(Case{false, "ended: nobody_listens"}, Case{true, "ended: connect_timed_out"});
    ProxyProcess proxy(1, 0);
    std::vector<Socket> connections;   // fills the listen queue, so that no further connect completes
    if (!c.listens) proxy.servers[0].close();
    for (int i = 0; c.listens && i < 8; ++i) connections.push_back(connect(proxy.servers[0].endpoint, SOCK_NONBLOCK));
    auto client = proxy.client();
    client.send(request("book"));
    const auto back = client.message();
    CHECK(status(back) == 429);
    CHECK(back.find("Retry-After: 1.5\r\n") != back.npos);
    CHECK(proxy.wait_for_log(c.reason));
}

TEST_CASE("calls are answered immediately if no server can be reached") {
    ProxyProcess proxy;
    proxy.servers[0].close();
    auto client = proxy.client();
    const double sent = clock_now();
    for (int i = 0; i < 4; ++i) {
        client.send(request(i % 2 ? "read" : "book"));
        CHECK(status(client.message()) == 429);
    }
    CHECK(clock_now() - sent < 0.2);   // less than the next timer of the balancer
}

TEST_CASE("an unresponsive server is answered for within the client's timeout, and no attempt stays open") {
    const std::string product = GENERATE("read", "book");
    ProxyProcess proxy;
    auto client = proxy.client();
    const double sent = clock_now();
    client.send(request(product, "", "1500000u"));
    auto server = proxy.servers[0].accept();
    server.message();
    CHECK(status(client.message()) == (product == "read" ? 429 : 502));
    CHECK(clock_now() - sent < 1.55);
    CHECK(server.is_closed());
}

TEST_CASE("the attempt of a client that disconnects is cancelled") {
    ProxyProcess proxy;
    auto client = proxy.client();
    client.send(request("book"));
    auto server = proxy.servers[0].accept();
    server.message();
    if (GENERATE(true, false)) client.close();
    else client.half_close();
    CHECK(server.is_closed());
    proxy.signal(SIGTERM);
    CHECK(proxy.exit_status() == 0);
    CHECK(proxy.wait_for_log("calls_left_by_client=1"));
    CHECK(proxy.wait_for_log("shots_cancelled=1"));
    CHECK(proxy.wait_for_log("calls_errored=0"));
}

TEST_CASE("an idle connection that the server has closed or sent on is not reused") {
    ProxyProcess proxy;
    auto client = proxy.client();
    client.send(request("book"));
    auto server = proxy.servers[0].accept();
    server.message();
    server.send(answer("x") + (GENERATE(true, false) ? "more than was asked" : ""));
    CHECK(status(client.message()) == 200);
    server.close();
    client.send(request("book"));   // is not retried, so it would fail on the old connection
    auto next = proxy.servers[0].accept();
    next.message();
    next.send(answer("y"));
    CHECK(status(client.message()) == 200);
}

TEST_CASE("a second response right behind the first is not taken for the next call's response") {
    // For a short time after its response a connection is not reused, so the next call takes a new connection. If the
    // machine delays this process for longer than that, the case is repeated.
    constexpr int most_tries = 20;
    for (int tries = 1;; ++tries) {
        REQUIRE(tries <= most_tries);
        ProxyProcess proxy;
        auto client = proxy.client();
        client.send(request("book"));
        auto server = proxy.servers[0].accept();
        server.message();
        server.send(answer("first"));
        CHECK(client.message().find("first") != std::string::npos);
        client.send(request("book"));
        if (!proxy.servers[0].connection_pending(0.5)) continue;
        auto next = proxy.servers[0].accept();
        server.send(answer("first"));
        next.message();
        next.send(answer("second"));
        CHECK(client.message().find("second") != std::string::npos);
        CHECK(server.is_closed());
        CHECK(proxy.wait_for_log("server s-0 ended: bad_answer"));
        return;
    }
}

TEST_CASE("idle connections to a server that stopped responding are not reused") {
    ProxyProcess proxy;
    std::vector<Socket> clients(2), connections(2);
    for (auto& client : clients) client = proxy.client();
    for (int i = 0; i < 30; ++i) {   // until the balancer admits two calls to the server at a time
        wait(0.02);
        clients[0].send(request("read"));
        if (i == 0) connections[0] = proxy.servers[0].accept();
        connections[0].message();
        connections[0].send(answer("x"));
        clients[0].message();
    }
    wait(reuse_delay);
    for (auto& client : clients) client.send(request("read"));
    connections[1] = proxy.servers[0].accept();
    for (size_t i = 0; i < 2; ++i) {
        connections[i].message();
        connections[i].send(answer("x"));
    }
    for (auto& client : clients) CHECK(status(client.message()) == 200);
    wait(reuse_delay);
    clients[0].send(request("read", "", "500m"));
    CHECK(status(clients[0].message()) == 429);
    CHECK(connections[0].is_closed());
    CHECK(connections[1].is_closed());
    CHECK(proxy.wait_for_log("server s-0 ended: silent"));
}

TEST_CASE("the largest bodies pass in both directions to and from slow peers") {
    ProxyProcess proxy;
    auto client = proxy.client();
    const std::string body(64 * 1024, 'b');
    client.send(request("book", body));
    auto server = proxy.servers[0].accept();
    wait(0.1);
    const auto came = server.message();
    CHECK(came.substr(came.size() - body.size()) == body);
    const auto reply = answer(body, "200 OK", "Content-Type: text/" + std::string(8000, 'c') + "\r\n");
    for (size_t at = 0; at < reply.size(); at += 9000) server.send(reply.substr(at, 9000));
    wait(0.1);
    const auto back = client.message();
    CHECK(status(back) == 200);
    CHECK(back.size() > body.size());
    client.send(request("book", body + "b"));
    CHECK(status(client.message()) == 413);
    CHECK(client.is_closed());
}

TEST_CASE("a malformed request is answered and its connection closed, and other clients are still served") {
    struct Case { std::string text; int status; };
    const auto c = GENERATE_COPY(Case{"\x16\x03\x01\n", 400}, Case{"DELETE /api HTTP/1.1\r\n\r\n", 405},
                                 Case{"GET /" + std::string(50000, 'x'), 431},
                                 Case{"GET /api HTTP/1.1\r\nHost: a\r\n\r\n", 400},
                                 Case{"POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                                      "Transfer-Encoding: chunked\r\n\r\n" + request("read"), 400},
                                 Case{with(request("read"), "GET", "POST"), 405}, Case{with(request("book"), "POST", "GET"), 405},
                                 Case{with(request("book"), "Content-Length: 0\r\n", ""), 411},
                                 Case{with(request("book"), "Length: 0", "Length: -1"), 400},
                                 Case{with(request("book"), "Length: 0", "Length: 0\r\nContent-Length: 0"), 400},
                                 Case{with(request("read"), "5000m", "0m"), 400}, Case{with(request("read"), "5000m", "1e9m"), 400},
                                 Case{with(request("read"), "5000m", "soon"), 400}, Case{with(request("read"), "5000m", "nanm"), 400},
                                 Case{with(request("read"), "Class: read", "Class: none"), 400},
                                 Case{with(request("read"), "\r\n\r\n", "\r\nContent-Length: 1\r\n\r\nx"), 400},
                                 Case{request("read") + request("read"), 400}, Case{request("book") + "x", 400});
    ProxyProcess proxy;
    auto other = proxy.client(), bad = proxy.client();
    bad.send(c.text);
    CHECK(status(bad.message()) == c.status);
    CHECK(bad.is_closed());
    CHECK_FALSE(proxy.servers[0].connection_pending(0));
    other.send("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(status(other.message()) == 200);
    CHECK(proxy.wait_for_log("ended: bad_call"));
}

TEST_CASE("updates of the server list are applied") {
    ProxyProcess proxy(4);
    const auto at = [&](int i) { return proxy.servers[static_cast<size_t>(i)].endpoint; };
    auto discovery = proxy.discovery.accept();
    const auto asked_from = [&](const std::string& rev) {
        const double hold = hold_of(discovery.message(), rev);
        return hold >= 7 && hold <= 10;
    };
    // Checks that calls go only to this server; a connection that is open may be reused.
    std::vector<Socket> connections(4);
    const auto goes_to = [&](int only) {
        auto client = proxy.client();
        for (int n = 0; n < 6; ++n) {
            client.send(request("read"));
            auto& line = connections[static_cast<size_t>(only)];
            if (!line.open() || !line.receive(0.3)) line = proxy.servers[static_cast<size_t>(only)].accept();
            if (line.message().empty()) return false;
            line.send(answer("x"));
            if (status(client.message()) != 200) return false;
        }
        return true;
    };
    CHECK(asked_from("5"));
    discovery.send(answer(list(6, false, entry(0, at(0), "DRAINING") + "," + entry(2, at(2), "DELETED") + "," +
                                             entry(3, "", "DELETED"))));
    const double told = clock_now();
    CHECK(asked_from("6"));
    CHECK(clock_now() - told < 0.2);
    CHECK(goes_to(1));
    discovery.send(answer(list(7, false, entry(1, at(2)))));   // its address has changed
    CHECK(asked_from("7"));
    CHECK(connections[1].is_closed());
    CHECK(goes_to(2));
    discovery.send(answer(list(8, true, entry(3, at(3)))));    // a complete list: the others are gone
    CHECK(asked_from("8"));
    CHECK(goes_to(3));
    proxy.signal(SIGUSR1);
    CHECK(proxy.wait_for_log(" servers_known=2 "));   // servers that are gone are kept while they have connections
    discovery.send(answer(list(9, false, entry(3, at(3)))));
    CHECK(asked_from("9"));
    proxy.signal(SIGUSR1);
    CHECK(proxy.wait_for_log(" servers_known=1 "));
    for (const auto& trouble : {answer("", "503 Busy"), answer("<html>"), answer(list(10, true, "{}")), std::string("?\r\n")}) {
        discovery.send(trouble);   // fails this request only
        discovery = proxy.discovery.accept();
        CHECK(asked_from("9"));
    }
    CHECK(goes_to(3));
    discovery.send(answer(list(10, false, ""), "200 OK", "Connection: close\r\n"));
    discovery = proxy.discovery.accept();
    CHECK(asked_from("10"));
    discovery.send(answer(list(11, false, "")));
    CHECK(asked_from("11"));
    const double closed = clock_now();
    discovery.close();             // between two requests: not a failure
    discovery = proxy.discovery.accept();
    CHECK(clock_now() - closed < 0.2);
    CHECK(asked_from("11"));
    CHECK(goes_to(3));
}

TEST_CASE("discovery that does not hold requests is not polled without a pause") {
    ProxyProcess proxy;
    auto discovery = proxy.discovery.accept();
    int asked = 0;
    for (const double until = clock_now() + 1; clock_now() < until; ++asked) {
        if (discovery.message().empty()) break;
        discovery.send(answer(list(5, false, "")));
    }
    CHECK(asked >= 4);
    CHECK(asked <= 12);
}

TEST_CASE("a reloaded configuration switches to another discovery with its own revisions") {
    ProxyProcess proxy(2);
    Listener next;
    const auto known = list(7, true, entry(0, proxy.servers[0].endpoint));   // older than the current list
    auto old = proxy.discovery.accept();
    CHECK(old.message().find("?from=5&") != std::string::npos);
    auto client = proxy.client();
    client.send(request("book"));
    Socket busy;
    for (auto& server : proxy.servers)
        if (server.connection_pending(0.2)) busy = server.accept();
    busy.message();
    proxy.configure(config(proxy.listen, next.endpoint, known));
    auto discovery = next.accept();
    CHECK(discovery.message().find("GET /discovery/hosts HTTP/1.1") == 0);
    CHECK(old.is_closed());
    discovery.send(answer(list(1, true, entry(1, proxy.servers[1].endpoint))));
    CHECK(discovery.message().find("?from=1&") != std::string::npos);
    busy.send(answer("taken before"));
    CHECK(status(client.message()) == 200);
    busy.close();
    struct Case { const char *key, *from, *to; };
    for (const auto& c : {Case{"discovery", "\"discovery\":", "\"discover\":"}, Case{"seed", "8c1f", "xyz"},
                          Case{"limits.sockets", "\"sockets\":64", "\"sockets\":3"}}) {
        auto text = config(proxy.listen, proxy.discovery.endpoint, known);
        text.replace(text.find(c.from), std::string(c.from).size(), c.to);
        proxy.configure(text);
        CHECK(proxy.wait_for_log(std::string("error configuration: ") + c.key + " "));
    }
    CHECK_FALSE(discovery.ready(0.1));
    CHECK_FALSE(proxy.discovery.connection_pending(0));
    client.send(request("book"));
    auto server = proxy.servers[1].accept();
    server.message();
    server.send(answer("x"));
    CHECK(status(client.message()) == 200);
}

TEST_CASE("on SIGTERM the proxy serves new clients for a while, answers all calls and exits") {
    ProxyProcess proxy(4);
    auto idle = proxy.client(), busy = proxy.client();
    idle.send("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(status(idle.message()) == 200);
    const auto taken_by = [&](Socket* before = nullptr) {
        for (const double until = clock_now() + time_limit; clock_now() < until;) {
            if (before && before->ready(0)) return std::move(*before);
            for (auto& server : proxy.servers)
                if (server.connection_pending(0.01)) return server.accept();
        }
        return Socket();
    };
    busy.send(request("book"));
    auto slow = taken_by();
    slow.message();
    proxy.signal(SIGTERM);
    wait(0.25);
    auto late = proxy.client();
    late.send(request("book"));
    auto quick = taken_by();
    quick.message();
    quick.send(answer("late"));
    CHECK(status(late.message()) == 200);
    wait(0.3);
    late.send(request("book"));   // after the listener was closed, on a recently used connection
    quick = taken_by(&quick);     // on the same connection or at another server
    quick.message();
    quick.send(answer("later"));
    CHECK(late.message().find("Connection: close\r\n") != std::string::npos);
    CHECK(late.is_closed());
    CHECK(idle.is_closed());
    CHECK_FALSE(proxy.client().open());
    wait(0.5);
    slow.send(answer("slow"));
    const auto back = busy.message();
    CHECK(status(back) == 200);
    CHECK(back.find("Connection: close\r\n") != back.npos);
    busy.close();
    CHECK(proxy.exit_status() == 0);
}

TEST_CASE("on SIGTERM calls that no server answers are failed before the proxy is killed") {
    ProxyProcess proxy;
    auto client = proxy.client();
    client.send(request("book"));
    auto server = proxy.servers[0].accept();
    server.message();
    proxy.signal(SIGTERM);
    const double told = clock_now();
    CHECK(status(client.message()) == 502);
    CHECK(proxy.exit_status() == 0);
    CHECK(clock_now() - told < 3.7);   // 0.7 s after the longest client timeout, which counts as 3 s at most
    CHECK(clock_now() - told > 3);
}

TEST_CASE("with few descriptors left, idle connections are closed first") {
    ProxyProcess proxy;
    auto client = proxy.client();
    client.send(request("book"));
    auto server = proxy.servers[0].accept();
    server.message();
    std::vector<Socket> connections;
    for (int i = 0; i < 150; ++i) {   // more than twice the descriptor limit
        connections.push_back(proxy.client());
        connections.back().send("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
        CHECK(status(connections.back().message()) == 200);
    }
    CHECK(connections.front().is_closed());
    CHECK(proxy.wait_for_log("ended: shed"));
    server.send(answer("held on to"));
    CHECK(status(client.message()) == 200);
    wait(reuse_delay);
    client.send(request("book"));
    server.message();
    server.send(answer("still served"));
    CHECK(status(client.message()) == 200);
}

TEST_CASE("with many idle connections, an answered one is closed immediately") {
    ProxyProcess proxy;
    std::vector<Socket> kept;
    Socket server;
    for (int i = 0; i < 13; ++i) {   // with 64 descriptors ten may be idle
        auto client = proxy.client();
        client.send(request("read"));
        if (!server.open()) server = proxy.servers[0].accept();
        server.message();
        server.send(answer("x"));
        const auto back = client.message();
        CHECK(status(back) == 200);
        CHECK((back.find("Connection: close\r\n") != back.npos) == (i >= 10));
        CHECK((i < 10 || client.is_closed()));
        kept.push_back(std::move(client));
        wait(reuse_delay);
    }
}

TEST_CASE("a connection with an unread call is not closed, however few descriptors are left") {
    ProxyProcess proxy;
    auto client = proxy.client();
    client.send("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(status(client.message()) == 200);
    wait(0.6);
    proxy.stop();
    client.send(request("book"));   // on the connection that has been idle longest
    std::vector<Socket> connections;
    for (int i = 0; i < 100; ++i) connections.push_back(proxy.client());
    proxy.signal(SIGCONT);
    auto server = proxy.servers[0].accept();
    server.message();
    server.send(answer("x"));
    CHECK(status(client.message()) == 200);
    wait(reuse_delay);
    connections.front().send(request("book"));   // a connection opened just now, with its call in flight
    server.message();
    server.send(answer("y"));
    CHECK(status(connections.front().message()) == 200);
}

TEST_CASE("an invalid configuration fails with one line that names the key") {
    struct Case { const char *key, *from, *to; };
    const auto c = GENERATE(
        Case{"BALANCER_CONFIG", "{\"name\"", "[\"name\""}, Case{"listen", "\"listen\":\"127", "\"listen\":\"x127"},
        Case{"discovery", "\"discovery\":", "\"discover\":"}, Case{"seed", "8c1f", "xyz"},
        Case{"limits.sockets", "\"sockets\":64", "\"sockets\":3"}, Case{"limits.sockets", "\"sockets\":64", "\"sockets\":\"x\""},
        Case{"limits.memory_mb", "\"memory_mb\":192", "\"memory_mb\":-1"}, Case{"known.uid", "\"uid\":\"s-0\"", "\"uid\":7"},
        Case{"known.rev", "\"rev\":5,", ""}, Case{"settings", "\"settings\":", "\"set\":"},
        Case{"Products.1.LatencySloS", "\"book\",\"BilledValue\":1,\"LatencySloS\":4", "\"book\",\"BilledValue\":1"},
        Case{"Limits.MaxShots", "\"MaxShots\":3", "\"MaxShots\":2.5"}, Case{"Limits.Cancel", "\"Cancel\":true", "\"Cancel\":1"},
        Case{"Limits.ConnectTimeoutS", "\"ConnectTimeoutS\":0.25", "\"ConnectTimeoutS\":0"},
        Case{"log_level", "{\"name\"", "{\"log_level\":\"loud\",\"name\""},
        Case{"setting Weights", "\"Balancers\":1", "\"Weights\":\"heavy\",\"Balancers\":1"},
        Case{"ObjectiveMix.BorneMisses", "\"Balancers\":1", "\"ObjectiveMix\":{\"BorneMisses\":1.5},\"Balancers\":1"},
        Case{"ObjectiveMix.Tail", "\"Balancers\":1", "\"ObjectiveMix\":{\"Tail\":-1},\"Balancers\":1"},
        Case{"Weights is live", "\"Balancers\":1", "\"Weights\":\"live\",\"Balancers\":1"},   // another kind
        Case{"Feedback.Via is answers", "\"Balancers\":1", "\"Feedback\":{\"Via\":\"answers\"},\"Balancers\":1"},
        Case{"Family is proxy", "\"Balancers\":1", "\"Family\":\"proxy\",\"Balancers\":1"},
        Case{"Limits.MayTell is true", "\"Probing\":true", "\"MayTell\":true,\"Probing\":true"},
        Case{"Family is mesh", "\"on_request\"", "\"pushed\",\"Family\":\"mesh\""},
        Case{"Weights is rough", "\"on_request\"", "\"pushed\",\"Weights\":\"rough\""});
    auto text = config("127.0.0.1:5000", "127.0.0.1:8500", list(5, true, entry(0, "127.0.0.1:1")));
    const auto at = text.find(c.from);
    REQUIRE(at != text.npos);
    text.replace(at, std::string(c.from).size(), c.to);
    const auto unset = [](const char*) -> const char* { return nullptr; };
    try {
        myrtleroute::run::read_config(text, unset);
        FAIL("accepted without " << c.key);
    } catch (const myrtleroute::run::ConfigError& bad) {
        const std::string line = bad.what();
        CHECK(line.find(c.key) != line.npos);
        CHECK(line.find('\n') == line.npos);
    }
    MisconfiguredProxy proxy(text);
    CHECK(proxy.exit_status() == 1);
    const auto log = proxy.log();
    CHECK(std::count(log.begin(), log.end(), '\n') == 1);
    CHECK(log.find(c.key) != log.npos);
}

TEST_CASE("each kind of deployment starts, watches the server list and serves") {
    struct Case { const char* settings; const char* from; };
    const auto c = GENERATE(
        Case{"\"on_request\",\"Family\":\"mesh\",\"Weights\":\"rough\",\"Unheard\":[1,{\"of\":2}]", "\"on_request\""},
        Case{"\"pushed\",\"Family\":\"proxy\",\"Weights\":\"live\",\"Feedback\":{\"Via\":\"answers\"},"
             "\"ObjectiveMix\":{\"Tail\":0.4,\"BorneMisses\":0.02}", "\"on_request\""});
    ProxyProcess proxy(1, 64, c.from, c.settings);
    auto discovery = proxy.discovery.accept();
    const double hold = hold_of(discovery.message(), "5");
    CHECK((hold >= 7 && hold <= 10));
    discovery.close();                                 // the watch fails and is repeated
    discovery = proxy.discovery.accept();
    CHECK(discovery.message().find("GET /discovery/hosts?from=5") == 0);
    discovery.send(answer(list(6, false, entry(1, proxy.servers[0].endpoint))));
    auto client = proxy.client();
    client.send(request("read"));
    auto server = proxy.servers[0].accept();
    CHECK_FALSE(server.message().empty());
    server.send(answer("served"));
    CHECK(status(client.message()) == 200);
}

TEST_CASE("configuration: nested settings are flattened, the environment overrides, defaults apply") {
    const auto text = config("127.0.0.1:5000", "127.0.0.1:8500", list(5, true, entry(0, "127.0.0.1:1")));
    const auto c = myrtleroute::run::read_config(text, [](const char* name) -> const char* {
        return std::string(name) == "BALANCER_LISTEN" ? "127.0.0.2:6000" : nullptr;
    });
    CHECK(ntohs(c.listen.sin_port) == 6000);
    CHECK(ntohs(c.discovery.sin_port) == 8500);
    CHECK(c.seed == 0x8c1f30d27a5be964ULL);
    CHECK(c.sockets == 64);
    CHECK(c.settings.products.at(1).name == "book");
    CHECK(c.settings.zones == std::vector<std::string>{"north_hall", "yard"});
    CHECK(c.settings.max_attempts == 3);
    CHECK(c.settings.connect_timeout.s == 0.25);
    CHECK(c.log_level == myrtleroute::run::Level::info);
}
