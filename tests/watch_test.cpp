// Failures between the proxy and discovery: watches that stop responding and connects that never complete.
#include <set>

#include "loopback.hpp"

using namespace loopback;

TEST_CASE("a watch that stopped responding is replaced before a missed change counts as announced") {
    ProxyProcess proxy(1, 64, "\"AskWithinS\":10", "\"AskWithinS\":1");
    auto silent = proxy.discovery.accept();
    const double hold = hold_of(silent.message(), "5");
    CHECK((hold >= 0.7 && hold <= 1));
    const double asked = clock_now();
    auto next = proxy.discovery.accept();
    CHECK(hold_of(next.message(), "5") > 0);
    CHECK(clock_now() - asked < hold + 2);   // within which the replacement must be answered, too
    CHECK(silent.is_closed());
    CHECK(proxy.wait_for_log("discovery ended: answer_timed_out"));
}

TEST_CASE("a connect to discovery times out, however long the request would be held") {
    ProxyProcess proxy;
    auto watch = proxy.discovery.accept();
    watch.message();
    const auto connections = proxy.discovery.fill_queue();
    watch.send(answer(list(6, false, ""), "200 OK", "Connection: close\r\n"));
    CHECK(watch.is_closed());
    CHECK(proxy.wait_for_log("discovery ended: connect_timed_out"));
}

TEST_CASE("watches that began together end at different times") {
    ProxyProcess proxy;
    auto discovery = proxy.discovery.accept();
    std::set<double> holds;
    for (int rev = 5; rev < 13; ++rev) {
        holds.insert(hold_of(discovery.message(), std::to_string(rev)));
        discovery.send(answer(list(rev + 1, false, "")));
    }
    CHECK(*holds.begin() >= 7);
    CHECK(*holds.rbegin() <= 10);
    CHECK(holds.size() >= 6);
}
