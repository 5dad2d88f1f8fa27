#include <catch2/catch.hpp>
#include <algorithm>
#include <deque>
#include <sstream>
#include <string>

#include "memory/byte_ring.hpp"
#include "memory/calls.hpp"
#include "memory/counters.hpp"
#include "memory/servers.hpp"
#include "memory/timers.hpp"
#include "random.hpp"

using namespace myrtleroute;
using namespace myrtleroute::memory;

TEST_CASE("a ring gives back what was put in, round its end and while it grows") {
    const size_t limit = GENERATE(1, 5, 4096, 10000);
    ByteRing ring(limit);
    Pcg chance(limit);
    std::string in, out;
    char next = 0;
    for (int i = 0; i < 3000; ++i) {
        std::string some(chance.next() % (limit + 2), '\0');
        for (char& c : some) c = next++;
        if (chance.next() % 2) {
            if (ring.push(some)) in += some;
            else CHECK(some.size() > limit - ring.size());
        } else if (!ring.full()) {
            const auto parts = ring.writable_parts();
            REQUIRE(parts[0].iov_len > 0);
            size_t n = 0;
            for (const auto& part : parts)
                for (size_t k = 0; k < part.iov_len && n < some.size(); ++k, ++n)
                    static_cast<char*>(part.iov_base)[k] = some[n];
            ring.commit(n);
            in += some.substr(0, n);
        }
        const auto held = ring.readable_parts();
        REQUIRE(held[0].iov_len + held[1].iov_len == ring.size());
        CHECK(ring.size() <= limit);
        const size_t n = std::min<size_t>(ring.front().size(), chance.next() % (limit + 1));
        out += ring.front().substr(0, n);
        ring.drop(n);
    }
    while (!ring.empty()) {
        out += ring.front();
        ring.drop(ring.front().size());
    }
    CHECK(out == in);
    CHECK(ring.front().data() == nullptr);   // an empty ring holds no memory
}

TEST_CASE("timers come in order, also when moved and taken out") {
    Timers timers;
    std::deque<Timer> all(200);
    Pcg chance(3);
    for (int i = 0; i < 2000; ++i) {
        auto& t = all[chance.next() % all.size()];
        if (chance.next() % 3) timers.set(t, Time{chance.uniform()});
        else timers.clear(t);
    }
    const auto set = std::count_if(all.begin(), all.end(), [](const Timer& t) { return t.set(); });
    Time last = long_ago;
    int came = 0;
    for (; !timers.empty(); ++came) {
        auto& first = timers.first();
        CHECK(first.at() >= last);
        last = first.at();
        timers.clear(first);
        CHECK_FALSE(first.set());
    }
    CHECK(came == set);
}

TEST_CASE("a server has the same id at every balancer, whatever it heard of before") {
    Servers one, other;
    for (const char* uid : {"s-1", "s-2", "s-3"}) one.find_or_add(uid);
    for (const char* uid : {"s-3", "s-9", "s-1"}) other.find_or_add(uid);
    CHECK(one.find_or_add("s-1").id == other.find_or_add("s-1").id);
    CHECK(one.find_or_add("s-3").id == other.find_or_add("s-3").id);
    CHECK(one.find_or_add("s-1").id != one.find_or_add("s-2").id);
    CHECK(one.find(one.find_or_add("s-2").id) == &one.find_or_add("s-2"));
    CHECK(one.find(other.find_or_add("s-9").id) == nullptr);
}

TEST_CASE("a server that is gone is forgotten once no connection leads to it") {
    struct Case { bool gone; int lines; bool known; };
    const auto c = GENERATE(Case{false, 0, true}, Case{true, 1, true}, Case{true, 0, false});
    Servers servers;
    servers.find_or_add("s-1");
    auto& server = servers.find_or_add("s-2");
    const auto id = server.id;
    server.gone = c.gone;
    server.connections = c.lines;
    servers.erase_gone(Time{0});
    CHECK((servers.find(id) != nullptr) == c.known);
    CHECK(servers.size() == (c.known ? 2 : 1));
    CHECK(servers.find_or_add("s-2").id == id);
}

TEST_CASE("a call is held until it has its answer and its last shot has ended") {
    struct Case { bool client; int out; bool held; };
    const auto c = GENERATE(Case{true, 0, true}, Case{true, 1, true}, Case{false, 1, true}, Case{false, 0, false});
    Calls calls;
    Connection* somebody = reinterpret_cast<Connection*>(&calls);
    ApiRequest ask;
    ask.id = "9b1f";
    auto& call = calls.take(ask);
    const auto id = call.id;
    call.client = c.client ? somebody : nullptr;
    call.open_attempts = c.out;
    calls.erase_if_finished(call);
    CHECK((calls.find(id) != nullptr) == c.held);
    CHECK(calls.size() == (c.held ? 1 : 0));
    CHECK(calls.open("9b1f") == c.held);
    CHECK(calls.take({}).id != id);   // never used again
}

TEST_CASE("counters are printed by name") {
    Counters counters;
    counters.add(Count::calls_taken);
    counters.add(Count::calls_taken);
    counters.add(Count::load_reports_bad);
    std::ostringstream out;
    counters.print(out);
    CHECK(out.str().find("calls_taken=2 calls_fulfilled=0 ") == 0);
    CHECK(out.str().find("load_reports_bad=1") != std::string::npos);
}
