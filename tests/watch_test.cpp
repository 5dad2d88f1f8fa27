// What crosses on the way to discovery: watches that fall silent, connections that never come up, lists that break off.
#include <set>

#include "loopback.hpp"

using namespace loopback;

TEST_CASE("a watch that has fallen silent is opened anew before what it misses counts as told") {
    World w(1, 64, "\"AskWithinS\":10", "\"AskWithinS\":1");
    auto silent = w.discovery.accept();
    const double hold = hold_of(silent.message(), "5");
    CHECK((hold >= 0.7 && hold <= 1));
    const double asked = clock_now();
    auto next = w.discovery.accept();
    CHECK(hold_of(next.message(), "5") > 0);
    CHECK(clock_now() - asked < hold + 2);   // as long as that may take, answer and all
    CHECK(silent.ends());
    CHECK(w.logs("discovery ended: answer_timed_out"));
}

TEST_CASE("a connection to discovery that does not come up is given up, whatever the call would wait") {
    World w;
    auto watch = w.discovery.accept();
    watch.message();
    const auto crowd = w.discovery.deafen();
    watch.send(answer(list(6, false, ""), "200 OK", "Connection: close\r\n"));
    CHECK(watch.ends());
    CHECK(w.logs("discovery ended: connect_timed_out"));
}

TEST_CASE("watches that began together do not end together") {
    World w;
    auto discovery = w.discovery.accept();
    std::set<double> holds;
    for (int rev = 5; rev < 13; ++rev) {
        holds.insert(hold_of(discovery.message(), std::to_string(rev)));
        discovery.send(answer(list(rev + 1, false, "")));
    }
    CHECK(*holds.begin() >= 7);
    CHECK(*holds.rbegin() <= 10);
    CHECK(holds.size() >= 6);
}
