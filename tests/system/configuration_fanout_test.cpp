// Copies of the configuration to subscribers: what they take of a machine's link, and that the newest comes to everybody.
#include <doctest/doctest.h>

#include <map>
#include <string>

#include "roles/control/configuration_fanout.hpp"

using namespace myrtleroute;
using control::ConfigurationFanout;

namespace {

constexpr double small_link = 10;   // Mbit/s
constexpr Span tick{0.1}, storm_gap{0.08};
constexpr size_t body_bytes = 27000;

}   // namespace

TEST_CASE("in a storm of changes copies take a part of the link only, and everybody has the newest soon after it") {
    ConfigurationFanout fanout(small_link);
    constexpr uint64_t subscribers = 12;
    for (uint64_t link = 1; link <= subscribers; ++link) fanout.subscribed(link, 0);
    double bytes = 0;
    std::map<uint64_t, uint64_t> held;
    uint64_t version = 0;
    const Time start{100};
    Time next_change = start;
    const Span storm{20};
    for (Time now = start; now < start + storm; now = now + Span{0.01}) {
        if (now >= next_change) {
            fanout.committed(++version, std::string(body_bytes, 'x'));
            next_change = next_change + storm_gap;
        }
        for (const auto link : fanout.take_due(now)) {
            CHECK(held[link] < fanout.version());
            held[link] = fanout.version();
            bytes += static_cast<double>(fanout.body().size());
        }
    }
    CHECK(bytes * 8 / 1e6 / storm.s < 0.45 * small_link);
    for (Time now = start + storm; now < start + storm + Span{1}; now = now + tick)
        for (const auto link : fanout.take_due(now)) held[link] = fanout.version();
    for (uint64_t link = 1; link <= subscribers; ++link) CHECK(held[link] == version);
}

TEST_CASE("a change after a quiet time is sent at once, and no pause is longer than a change may take to be in force") {
    ConfigurationFanout fanout(small_link);
    for (uint64_t link = 1; link <= 300; ++link) fanout.subscribed(link, 0);
    fanout.committed(1, std::string(body_bytes, 'x'));
    CHECK(fanout.take_due(Time{100}).size() == 300);
    fanout.committed(2, std::string(body_bytes, 'y'));
    CHECK(fanout.take_due(Time{100.5}).empty());
    CHECK(fanout.take_due(Time{101}).size() == 300);
    fanout.committed(3, "z");
    CHECK(fanout.take_due(Time{110}).size() == 300);
}

TEST_CASE("whoever subscribes is sent the newest once, and an older one is never sent") {
    ConfigurationFanout fanout(small_link);
    CHECK(fanout.committed(5, "five"));
    CHECK_FALSE(fanout.committed(5, "other"));
    CHECK_FALSE(fanout.committed(4, "four"));
    fanout.subscribed(1, 5);
    CHECK_FALSE(fanout.take(1));
    fanout.subscribed(2, 3);
    CHECK(fanout.take(2));
    CHECK_FALSE(fanout.take(2));
    CHECK(fanout.take_due(Time{100}).empty());
    fanout.left(2);
    fanout.committed(6, "six");
    CHECK(fanout.take_due(Time{100}) == std::vector<control::LinkNumber>{1});
}
