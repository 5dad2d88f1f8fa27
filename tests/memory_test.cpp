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

TEST_CASE("a ring buffer returns bytes in order, across its end and while it grows") {
    const size_t limit = GENERATE(1, 5, 4096, 10000);
    ByteRing ring(limit);
    Pcg random(limit);
    std::string in, out;
    char next = 0;
    for (int i = 0; i < 3000; ++i) {
        std::string bytes(random.next() % (limit + 2), '\0');
        for (char& c : bytes) c = next++;
        if (random.next() % 2) {
            if (ring.push(bytes)) in += bytes;
            else CHECK(bytes.size() > limit - ring.size());
        } else if (!ring.full()) {
            const auto parts = ring.writable_parts();
            REQUIRE(parts[0].iov_len > 0);
            size_t n = 0;
            for (const auto& part : parts)
                for (size_t k = 0; k < part.iov_len && n < bytes.size(); ++k, ++n)
                    static_cast<char*>(part.iov_base)[k] = bytes[n];
            ring.commit(n);
            in += bytes.substr(0, n);
        }
        const auto held = ring.readable_parts();
        REQUIRE(held[0].iov_len + held[1].iov_len == ring.size());
        CHECK(ring.size() <= limit);
        const size_t n = std::min<size_t>(ring.front().size(), random.next() % (limit + 1));
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

TEST_CASE("timers expire in order, also after being changed and cleared") {
    Timers timers;
    std::deque<Timer> all(200);
    Pcg random(3);
    for (int i = 0; i < 2000; ++i) {
        auto& t = all[random.next() % all.size()];
        if (random.next() % 3) timers.set(t, Time{random.uniform()});
        else timers.clear(t);
    }
    const auto set = std::count_if(all.begin(), all.end(), [](const Timer& t) { return t.set(); });
    Time last = long_ago;
    int expired = 0;
    for (; !timers.empty(); ++expired) {
        auto& first = timers.first();
        CHECK(first.at() >= last);
        last = first.at();
        timers.clear(first);
        CHECK_FALSE(first.set());
    }
    CHECK(expired == set);
}

TEST_CASE("a server has the same id at every balancer, whatever was listed before") {
    Servers first_balancer, second_balancer;
    for (const char* uid : {"s-1", "s-2", "s-3"}) first_balancer.find_or_add(uid);
    for (const char* uid : {"s-3", "s-9", "s-1"}) second_balancer.find_or_add(uid);
    CHECK(first_balancer.find_or_add("s-1").id == second_balancer.find_or_add("s-1").id);
    CHECK(first_balancer.find_or_add("s-3").id == second_balancer.find_or_add("s-3").id);
    CHECK(first_balancer.find_or_add("s-1").id != first_balancer.find_or_add("s-2").id);
    CHECK(first_balancer.find(first_balancer.find_or_add("s-2").id) == &first_balancer.find_or_add("s-2"));
    CHECK(first_balancer.find(second_balancer.find_or_add("s-9").id) == nullptr);
}

TEST_CASE("a server that is gone is erased once it has no connections") {
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

TEST_CASE("a call is kept until it has its response and its last attempt has ended") {
    struct Case { bool client; int out; bool pending; };
    const auto c = GENERATE(Case{true, 0, true}, Case{true, 1, true}, Case{false, 1, true}, Case{false, 0, false});
    Calls calls;
    Connection* some_client = reinterpret_cast<Connection*>(&calls);
    ApiRequest request;
    request.id = "9b1f";
    auto& call = calls.add(request);
    const auto id = call.id;
    call.client = c.client ? some_client : nullptr;
    call.open_attempts = c.out;
    calls.erase_if_finished(call);
    CHECK((calls.find(id) != nullptr) == c.pending);
    CHECK(calls.size() == (c.pending ? 1 : 0));
    CHECK(calls.open("9b1f") == c.pending);
    CHECK(calls.add({}).id != id);   // ids are not reused
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
