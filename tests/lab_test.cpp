// Tests of the lab itself: its network behaves as TCP does to programs, runs are reproducible, scenario files are read
// strictly, and the oracle detects each broken rule.
#include <catch2/catch.hpp>
#include <cerrno>
#include <cstdio>
#include <fstream>

#include "lab/net.hpp"
#include "lab/play.hpp"
#include "lab/world.hpp"

using namespace myrtleroute;
using namespace myrtleroute::lab;

namespace {

struct CountingObserver : SocketObserver {
    int calls = 0;
    void socket_changed(Socket&) override { ++calls; }
};

// Two machines, a listener on the second, and one stream between them.
struct Stream {
    Queue queue{Time{1}};
    Net net{queue, 7};
    Machine near{1}, far{2};
    CountingObserver observer;
    Handle listener = net.listen(far, observer, 99), client = net.connect(near, observer, 99), server;
    Stream() {
        run(0.1);
        server = net.accept(*listener);
    }
    void run(double seconds) {
        const Time until = queue.now() + Span{seconds};
        while (queue.step(until)) {}
    }
    std::string read(Socket& s) {   // the bytes, "end", "again" or the error
        char bytes[100];
        const auto n = net.read(s, bytes, sizeof bytes);
        if (n > 0) return std::string(bytes, static_cast<size_t>(n));
        return n == 0 ? "end" : errno == EAGAIN ? "again" : errno == ECONNRESET ? "reset" : errno == ECONNREFUSED ? "refused" : "?";
    }
};

// A temporary file, removed at the end of the test.
struct File {
    std::string path = "lab-test-" + std::to_string(reinterpret_cast<uintptr_t>(this)) + ".toml";
    explicit File(const std::string& text) { std::ofstream(path) << text; }
    ~File() { std::remove(path.c_str()); }
};

}  // namespace

TEST_CASE("the virtual network behaves as TCP does to programs") {
    Stream s;
    REQUIRE(s.server);
    REQUIRE(s.read(*s.server) == "again");
    SECTION("bytes arrive in order, then the end; a half-close leaves the other direction open") {
        s.net.write(*s.client, "one");
        s.net.write(*s.client, "two");
        s.net.shutdown_write(*s.client);
        s.run(1);
        CHECK(s.read(*s.server) == "onetwo");
        CHECK(s.read(*s.server) == "end");
        s.net.write(*s.server, "back");
        s.run(1);
        CHECK(s.read(*s.client) == "back");
    }
    SECTION("a close with unread input sends a reset") {
        s.net.write(*s.client, "unread");
        s.run(1);
        s.net.close(*s.server);
        s.run(1);
        CHECK(s.read(*s.client) == "reset");
        CHECK(s.read(*s.client) == "end");
    }
    SECTION("data for a closed socket is reset; what arrived before can still be read") {
        s.net.write(*s.server, "last");
        s.net.close(*s.server);
        s.run(1);
        s.net.write(*s.client, "late");
        s.run(1);
        CHECK(s.read(*s.client) == "last");
        CHECK(s.read(*s.client) == "reset");
    }
    SECTION("a connect without a listener is refused") {
        const auto refused = s.net.connect(s.near, s.observer, 98);
        s.run(1);
        CHECK(s.read(*refused) == "refused");
    }
    SECTION("an unreachable machine is silent, and what was sent arrives when it is back") {
        s.far.unreachable_until = s.queue.now() + Span{5};
        s.net.write(*s.client, "held");
        const auto pending = s.net.connect(s.near, s.observer, 99);
        s.run(4);
        CHECK(s.read(*s.server) == "again");
        CHECK(pending->state == Socket::State::connecting);
        s.run(2);
        CHECK(s.read(*s.server) == "held");
        CHECK(pending->state == Socket::State::established);
    }
    SECTION("a machine that has lost its connections answers data with a reset") {
        s.net.vanish(*s.server);
        s.run(1);
        CHECK(s.read(*s.client) == "again");
        s.net.write(*s.client, "hello?");
        s.run(1);
        CHECK(s.read(*s.client) == "reset");
    }
    SECTION("a full window refuses writes until the peer reads") {
        s.net.window = 10;
        CHECK(s.net.write(*s.client, "0123456789abcdef") == 10);
        CHECK(s.net.write(*s.client, "abcdef") == -1);
        s.run(1);
        CHECK(s.read(*s.server) == "0123456789");
        CHECK(s.net.write(*s.client, "abcdef") == 6);
    }
    SECTION("a connect to a full backlog waits until there is room") {
        s.listener->max_backlog = 0;
        const auto pending = s.net.connect(s.near, s.observer, 99);
        s.run(0.5);
        CHECK(pending->state == Socket::State::connecting);
        s.listener->max_backlog = 1;
        s.run(2);
        CHECK(pending->state == Socket::State::established);
    }
}

TEST_CASE("the same seed gives the same run, another seed a different one") {
    const auto once = run_scenario(draw_scenario(3)), again = run_scenario(draw_scenario(3)),
               other = run_scenario(draw_scenario(4));
    CHECK(once.digest == again.digest);
    CHECK(once.steps == again.steps);
    CHECK(once.digest != other.digest);
    uint64_t lines = 0;   // reading the trace doesn't change the run
    CHECK(run_scenario(draw_scenario(3), 0, [&](const std::string&) { ++lines; }).digest == once.digest);
    CHECK(lines > 1000);
    CHECK(run_scenario(draw_scenario(3), 500).steps == 500);
}

TEST_CASE("a scenario that is written and read again is unchanged") {
    for (uint64_t seed = 0; seed < 40; ++seed) {
        auto s = draw_scenario(seed);
        s.omitted_calls = {{3, 9}, {call_numbers_per_proxy + 1, call_numbers_per_proxy + 1}};
        const File file(write_scenario(s));
        CHECK(write_scenario(read_scenario(file.path)) == write_scenario(s));
    }
}

TEST_CASE("an invalid scenario file gives one line with file, position and key") {
    const auto [text, place, what] = GENERATE(table<std::string, std::string, std::string>({
        {"", ":1:1: ", "seed must be"},
        {"seed = -1", ":1:8: ", "seed must be"},
        {"seed = 1\nspeed = 2", ":2:1: ", "speed is no key"},
        {"seed = 1\nservers = 0", ":2:11: ", "servers must be a number between 1 and 256"},
        {"seed = 1\nservers = 2.5", ":2:11: ", "servers must be whole"},
        {"seed = 1\nlasts_s = \"long\"", ":2:11: ", "lasts_s must be a number"},
        {"seed = 1\nleft_out = [[5, 4]]", ":2:13: ", "[first, last]"},
        {"seed = 1\n[[fault]]\nkind = \"earthquake\"", ":3:8: ", "kind must name a fault"},
        {"seed = 1\n[[fault]]\nkind = \"slow\"\nwho = 8", ":4:7: ", "who must be a number between 0 and 7"},
        {"seed = 1\n[[fault]]\nkind = \"slow\"\nhow = nan", ":4:7: ", "how must be a number between 0 and 1"},
        {"seed = ", ":1:", ""},
    }));
    const File file(text);
    std::string message;
    try {
        read_scenario(file.path);
    } catch (const ScenarioError& error) {
        message = error.what();
    }
    CAPTURE(text, message);
    CHECK(message.starts_with(file.path + place));
    CHECK(message.find(what) != message.npos);
    CHECK(message.find('\n') == message.npos);
}

TEST_CASE("the oracle detects each broken rule") {
    // The test writes what a proxy that breaks the rule would write.
    Queue queue{Time{1}};
    Trace trace;
    Scenario scenario;
    Net net(queue, 1);
    Oracle oracle(queue, trace, scenario);
    net.set_tap(oracle);
    CountingObserver observer;
    Machine proxy{0, true}, client_machine{300}, server_machine{100};
    const auto run = [&](double seconds) {
        const Time until = queue.now() + Span{seconds};
        while (queue.step(until)) {}
    };
    std::vector<Oracle::ListedServer> list;
    for (int i = 0; i < scenario.servers; ++i) list.push_back({i, "s" + std::to_string(i), true, long_ago});
    oracle.proxy_started(0, list);
    const auto proxy_listener = net.listen(proxy, observer, address_of(proxy_ip + 1, port));
    std::vector<Handle> server_listeners;
    for (uint32_t i = 0; i < 3; ++i)
        server_listeners.push_back(net.listen(server_machine, observer, address_of(server_ip + 1 + i, port)));
    const auto client = net.connect(client_machine, observer, address_of(proxy_ip + 1, port));
    run(0.1);
    const auto at_proxy = net.accept(*proxy_listener);
    const auto call = [&](uint64_t number, int product) {
        net.write(*client, "the call itself");
        oracle.call_sent(number, 0, product, *client);
        run(0.1);
        net.read_all(*at_proxy);
    };
    std::vector<Handle> connections;   // kept open, as a proxy does
    const auto send_attempt = [&](uint64_t number, uint32_t server) {
        connections.push_back(net.connect(proxy, observer, address_of(server_ip + 1 + server, port)));
        run(0.1);
        net.write(*connections.back(), "POST /api HTTP/1.1\r\nHost: api\r\nX-Request-ID: " + std::to_string(number) +
                                           "\r\nX-Timeout: 900000u\r\nContent-Length: 0\r\n\r\n");
        return connections.back();
    };
    const auto answer = [&](int status) {
        net.write(*at_proxy, "HTTP/1.1 " + std::to_string(status) + " So\r\nContent-Length: 0\r\n\r\n");
    };
    const auto check_violation = [&](Rule rule) {
        CAPTURE(oracle.violation() ? name_of(oracle.violation()->rule) : "none");
        CHECK((oracle.violation() && oracle.violation()->rule == rule));
    };
    constexpr int look = 0, hold = 2, book = 3;   // idempotent, deduplicated by zone, non-idempotent
    SECTION("one attempt and one answer break no rule") {
        call(1, book);
        send_attempt(1, 0);
        oracle.executed(1, 0);
        answer(200);
        run(5);
        CHECK_FALSE(oracle.violation());
    }
    SECTION("no answer") { call(1, look); run(3); check_violation(Rule::in_time); }
    SECTION("two answers") { call(1, look); answer(429); answer(429); check_violation(Rule::one_answer); }
    SECTION("a close without an answer") { call(1, look); net.close(*at_proxy); check_violation(Rule::one_answer); }
    SECTION("an attempt after the answer") {
        call(1, look);
        answer(429);
        send_attempt(1, 0);
        check_violation(Rule::no_shot_after);
    }
    SECTION("a 200 for a call that never ran") {
        call(1, look);
        send_attempt(1, 0);
        answer(200);
        check_violation(Rule::right_answer);
    }
    SECTION("the answer of another call") {
        call(1, look);
        oracle.response_read(1, 200, "done 2 by s0");
        check_violation(Rule::right_answer);
    }
    SECTION("two open attempts") {
        call(1, look);
        send_attempt(1, 0);
        send_attempt(1, 1);
        check_violation(Rule::no_second_copy);
    }
    SECTION("a second attempt of a non-idempotent call that may have run") {
        call(1, book);
        net.close(*send_attempt(1, 0));
        send_attempt(1, 1);
        check_violation(Rule::no_effect_twice);
    }
    SECTION("a second attempt of a deduplicated call in another zone or after its window") {
        const auto [elsewhere, wait] = GENERATE(table<uint32_t, double>({{1, 0.0}, {2, 3.1}}));
        call(1, hold);
        net.close(*send_attempt(1, 0));
        oracle.proxy_paused(0, queue.now(), queue.now() + Span{10});   // so that the answer is not late
        run(wait);
        send_attempt(1, elsewhere);
        check_violation(Rule::no_effect_twice);
    }
    SECTION("a second effect") {
        call(1, book);
        oracle.executed(1, 0);
        oracle.executed(1, 1);
        check_violation(Rule::no_effect_twice);
    }
    SECTION("a rate-limit reply for a call that may have run") {
        call(1, book);
        net.close(*send_attempt(1, 0));
        answer(429);
        check_violation(Rule::no_false_promise);
    }
    SECTION("an attempt after the grace period of a drain") {
        list[1].ready = false;
        oracle.list_received(0, false, {list[1]});
        run(3.1);
        call(1, look);
        send_attempt(1, 1);
        check_violation(Rule::drains);
    }
    SECTION("the list is not requested in time") { run(12); check_violation(Rule::listens); }
    SECTION("a malformed answer") {
        call(1, look);
        net.write(*at_proxy, "\r\nwhat?\r\n");
        check_violation(Rule::sound);
    }
}
