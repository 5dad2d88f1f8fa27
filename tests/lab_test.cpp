// The lab itself: its network behaves as TCP does to programs, its days replay, its files are read strictly.
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

struct Deaf : SocketObserver {
    int heard_of = 0;
    void socket_changed(Socket&) override { ++heard_of; }
};

// Two machines, a listener on the second, and one stream between them.
struct Stream {
    Queue queue{Time{1}};
    Net net{queue, 7};
    Machine near{1}, far{2};
    Deaf observer;
    Handle listener = net.listen(far, observer, 99), client = net.connect(near, observer, 99), server;
    Stream() {
        run(0.1);
        server = net.accept(*listener);
    }
    void run(double seconds) {
        const Time until = queue.now() + Span{seconds};
        while (queue.step(until)) {}
    }
    std::string read(Socket& s) {   // bytes, "end", "again", or the error
        char bytes[100];
        const auto n = net.read(s, bytes, sizeof bytes);
        if (n > 0) return std::string(bytes, static_cast<size_t>(n));
        return n == 0 ? "end" : errno == EAGAIN ? "again" : errno == ECONNRESET ? "reset" : errno == ECONNREFUSED ? "refused" : "?";
    }
};

// A file that is gone with the case.
struct File {
    std::string path = "lab-test-" + std::to_string(reinterpret_cast<uintptr_t>(this)) + ".toml";
    explicit File(const std::string& text) { std::ofstream(path) << text; }
    ~File() { std::remove(path.c_str()); }
};

}  // namespace

TEST_CASE("the virtual network gives what TCP gives") {
    Stream s;
    REQUIRE(s.server);
    REQUIRE(s.read(*s.server) == "again");
    SECTION("bytes come in order, then the end; a half-close leaves the other way open") {
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
    SECTION("a close with bytes unread resets") {
        s.net.write(*s.client, "unread");
        s.run(1);
        s.net.close(*s.server);
        s.run(1);
        CHECK(s.read(*s.client) == "reset");
        CHECK(s.read(*s.client) == "end");
    }
    SECTION("bytes for a closed end are reset, what came before can still be read") {
        s.net.write(*s.server, "last");
        s.net.close(*s.server);
        s.run(1);
        s.net.write(*s.client, "late");
        s.run(1);
        CHECK(s.read(*s.client) == "last");
        CHECK(s.read(*s.client) == "reset");
    }
    SECTION("nobody listens: refused") {
        const auto lost = s.net.connect(s.near, s.observer, 98);
        s.run(1);
        CHECK(s.read(*lost) == "refused");
    }
    SECTION("a machine cut off says nothing, and what was sent comes when it is back") {
        s.far.unreachable_until = s.queue.now() + Span{5};
        s.net.write(*s.client, "held");
        const auto waits = s.net.connect(s.near, s.observer, 99);
        s.run(4);
        CHECK(s.read(*s.server) == "again");
        CHECK(waits->state == Socket::State::connecting);
        s.run(2);
        CHECK(s.read(*s.server) == "held");
        CHECK(waits->state == Socket::State::up);
    }
    SECTION("a machine that has forgotten resets") {
        s.net.vanish(*s.server);
        s.run(1);
        CHECK(s.read(*s.client) == "again");
        s.net.write(*s.client, "hello?");
        s.run(1);
        CHECK(s.read(*s.client) == "reset");
    }
    SECTION("a window holds, and there is room again once it is read") {
        s.net.window = 10;
        CHECK(s.net.write(*s.client, "0123456789abcdef") == 10);
        CHECK(s.net.write(*s.client, "abcdef") == -1);
        s.run(1);
        CHECK(s.read(*s.server) == "0123456789");
        CHECK(s.net.write(*s.client, "abcdef") == 6);
    }
    SECTION("a full queue of connections is not heard until there is room") {
        s.listener->most_waiting = 0;
        const auto waits = s.net.connect(s.near, s.observer, 99);
        s.run(0.5);
        CHECK(waits->state == Socket::State::connecting);
        s.listener->most_waiting = 1;
        s.run(2);
        CHECK(waits->state == Socket::State::up);
    }
}

TEST_CASE("the same seed gives the same day, and another another") {
    const auto once = play(draw(3)), again = play(draw(3)), other = play(draw(4));
    CHECK(once.digest == again.digest);
    CHECK(once.steps == again.steps);
    CHECK(once.digest != other.digest);
    uint64_t lines = 0;   // reading the trace changes nothing
    CHECK(play(draw(3), 0, [&](const std::string&) { ++lines; }).digest == once.digest);
    CHECK(lines > 1000);
    CHECK(play(draw(3), 500).steps == 500);
}

TEST_CASE("a scenario is written and read again as it was") {
    for (uint64_t seed = 0; seed < 40; ++seed) {
        auto s = draw(seed);
        s.left_out = {{3, 9}, {calls_a_proxy + 1, calls_a_proxy + 1}};
        const File file(write_scenario(s));
        CHECK(write_scenario(read_scenario(file.path)) == write_scenario(s));
    }
}

TEST_CASE("a bad scenario: one line with file, place and key") {
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
    std::string said;
    try {
        read_scenario(file.path);
    } catch (const ScenarioError& fault) {
        said = fault.what();
    }
    CAPTURE(text, said);
    CHECK(said.starts_with(file.path + place));
    CHECK(said.find(what) != said.npos);
    CHECK(said.find('\n') == said.npos);
}

TEST_CASE("the oracle sees each rule broken") {
    // It is told what a proxy that breaks the rule would write.
    Queue queue{Time{1}};
    Trace trace;
    Scenario scenario;
    Net net(queue, 1);
    Oracle oracle(queue, trace, scenario);
    net.tapped_by(oracle);
    Deaf observer;
    Machine proxy{0, true}, client_machine{300}, server_machine{100};
    const auto run = [&](double seconds) {
        const Time until = queue.now() + Span{seconds};
        while (queue.step(until)) {}
    };
    std::vector<Oracle::Told> list;
    for (int i = 0; i < scenario.servers; ++i) list.push_back({i, "s" + std::to_string(i), true, long_ago});
    oracle.starts(0, list);
    const auto door = net.listen(proxy, observer, address_of(proxy_ip + 1, port));
    std::vector<Handle> farms;
    for (uint32_t i = 0; i < 3; ++i) farms.push_back(net.listen(server_machine, observer, address_of(server_ip + 1 + i, port)));
    const auto client = net.connect(client_machine, observer, address_of(proxy_ip + 1, port));
    run(0.1);
    const auto at_proxy = net.accept(*door);
    const auto call = [&](uint64_t number, int product) {
        net.write(*client, "the call itself");
        oracle.sent(number, 0, product, *client);
        run(0.1);
        net.read_all(*at_proxy);
    };
    std::vector<Handle> lines;   // held, as a proxy would
    const auto shot = [&](uint64_t number, uint32_t server) {
        lines.push_back(net.connect(proxy, observer, address_of(server_ip + 1 + server, port)));
        run(0.1);
        net.write(*lines.back(), "POST /api HTTP/1.1\r\nHost: api\r\nX-Request-ID: " + std::to_string(number) + "\r\nX-Timeout: 900000u\r\nContent-Length: 0\r\n\r\n");
        return lines.back();
    };
    const auto answer = [&](int status) {
        net.write(*at_proxy, "HTTP/1.1 " + std::to_string(status) + " So\r\nContent-Length: 0\r\n\r\n");
    };
    const auto breaks = [&](Rule rule) {
        CAPTURE(oracle.broken() ? name_of(oracle.broken()->rule) : "none");
        CHECK((oracle.broken() && oracle.broken()->rule == rule));
    };
    constexpr int look = 0, hold = 2, book = 3;   // idempotent, deduplicated by zone, non-idempotent
    SECTION("one shot, one answer: none") {
        call(1, book);
        shot(1, 0);
        oracle.executed(1, 0);
        answer(200);
        run(5);
        CHECK_FALSE(oracle.broken());
    }
    SECTION("no answer") { call(1, look); run(3); breaks(Rule::in_time); }
    SECTION("two answers") { call(1, look); answer(429); answer(429); breaks(Rule::one_answer); }
    SECTION("a close without one") { call(1, look); net.close(*at_proxy); breaks(Rule::one_answer); }
    SECTION("a shot after it") { call(1, look); answer(429); shot(1, 0); breaks(Rule::no_shot_after); }
    SECTION("fulfilled, but never run") { call(1, look); shot(1, 0); answer(200); breaks(Rule::right_answer); }
    SECTION("another's answer") { call(1, look); oracle.answered(1, 200, "done 2 by s0"); breaks(Rule::right_answer); }
    SECTION("two shots out") { call(1, look); shot(1, 0); shot(1, 1); breaks(Rule::no_second_copy); }
    SECTION("a booking that may have run, again") {
        call(1, book);
        net.close(*shot(1, 0));
        shot(1, 1);
        breaks(Rule::no_effect_twice);
    }
    SECTION("a keyed call that may have run, outside of its group, or of its window") {
        const auto [elsewhere, wait] = GENERATE(table<uint32_t, double>({{1, 0.0}, {2, 3.1}}));
        call(1, hold);
        net.close(*shot(1, 0));
        oracle.paused(0, queue.now(), queue.now() + Span{10});   // so that it is not late
        run(wait);
        shot(1, elsewhere);
        breaks(Rule::no_effect_twice);
    }
    SECTION("an effect, and again") { call(1, book); oracle.executed(1, 0); oracle.executed(1, 1); breaks(Rule::no_effect_twice); }
    SECTION("rate-limited, though it may have run") { call(1, book); net.close(*shot(1, 0)); answer(429); breaks(Rule::no_false_promise); }
    SECTION("a shot beyond the grace of a drain") {
        list[1].ready = false;
        oracle.list_told(0, false, {list[1]});
        run(3.1);
        call(1, look);
        shot(1, 1);
        breaks(Rule::drains);
    }
    SECTION("the list not asked for") { run(12); breaks(Rule::listens); }
    SECTION("what can't be read") { call(1, look); net.write(*at_proxy, "\r\nwhat?\r\n"); breaks(Rule::sound); }
}
