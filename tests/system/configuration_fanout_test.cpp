// Distribution of configurations: the copies' share of a machine's link, and that every subscriber receives the newest
// version.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "random_text.hpp"
#include "roles/control/configuration_fanout.hpp"

using namespace myrtleroute;
using control::ConfigurationFanout;
using control::ConnectionId;

namespace {

constexpr double slow_link_megabits = 10;   // Mbit/s
constexpr Span tick{0.1}, change_interval{0.06};

// A machine's link as a queue: each message waits until all earlier ones are sent.
struct Link {
    double megabits;
    Time empty_at = long_ago;

    void send(double bytes, Time now) { empty_at = std::max(empty_at, now) + Span{bytes * 8 / 1e6 / megabits}; }
    Span wait(Time now) const { return std::max(Span{}, empty_at - now); }
};

// A node with subscribers whose configuration changes continually.
struct RapidChanges {
    ConfigurationFanout fanout{slow_link_megabits};
    Link link{slow_link_megabits};
    std::string body;
    std::map<ConnectionId, uint64_t> held;
    uint64_t version = 0;
    double bytes = 0;
    Span longest_wait;         // of a response that is sent at any moment
    size_t most_at_once = 0;   // number of copies
    Time now{100};

    RapidChanges(size_t subscribers, size_t body_bytes) : body(testing::random_text(body_bytes)) {
        for (ConnectionId number = 1; number <= subscribers; ++number) {
            fanout.add_subscriber(number, 0);
            held[number] = 0;
        }
    }
    void send_due() {
        const auto due = fanout.take_due(now);
        most_at_once = std::max(most_at_once, due.size());
        for (const auto number : due) {
            CHECK(held[number] < fanout.version());
            held[number] = fanout.version();
            bytes += static_cast<double>(body.size());
            link.send(static_cast<double>(body.size()), now);
        }
        longest_wait = std::max(longest_wait, link.wait(now));
    }
    void change() { fanout.committed(++version, body, now); }
    // Runs with changes for `changes`, then without any for `after`.
    void play(Span changes, Span after) {
        const Time end = now + changes + after, last_change = now + changes;
        Time next_change = now, next_tick = now;
        for (; now < end; now = now + Span{0.01}) {
            if (now >= next_change && now < last_change) {
                change();
                next_change = next_change + change_interval;
                send_due();   // as a node does when an entry is committed
            }
            if (now < next_tick) continue;
            next_tick = next_tick + tick;
            send_due();
        }
    }
    bool all_have_the_newest() const {
        return std::all_of(held.begin(), held.end(), [this](const auto& known) { return known.second == version; });
    }
};

}   // namespace

TEST_CASE("during rapid changes copies use only their link share, and every subscriber has the newest soon after") {
    RapidChanges run(12, 27000);
    run.play(Span{20}, Span{});
    CHECK(run.bytes * 8 / 1e6 / 20 < 0.45 * slow_link_megabits);
    run.play(Span{}, Span{1});
    CHECK(run.all_have_the_newest());
}

TEST_CASE("a response on a small link waits behind a few copies at most, for any number of subscribers") {
    constexpr double lost_after = 0.2;   // seconds: a client counts a response as lost after this
    for (const size_t subscribers : {1, 15, 40, 300})
        for (const size_t body_bytes : {5000, 40000, 80000}) {
            CAPTURE(subscribers);
            CAPTURE(body_bytes);
            RapidChanges run(subscribers, body_bytes);
            run.play(Span{20}, Span{});
            CHECK(run.longest_wait.s < lost_after / 1.5);
            CHECK(run.bytes * 8 / 1e6 / 20 < 0.65 * slow_link_megabits);
            run.play(Span{},
                     Span{1 + static_cast<double>(subscribers * body_bytes) * 8 / 1e6 / (0.55 * slow_link_megabits)});
            CHECK(run.all_have_the_newest());
        }
}

TEST_CASE("copies are sent one at a time on a slow link, longest-waiting subscriber first") {
    ConfigurationFanout fanout(slow_link_megabits);
    constexpr ConnectionId subscribers = 6;
    for (ConnectionId link = 1; link <= subscribers; ++link) fanout.add_subscriber(link, 0);
    const std::string body = testing::random_text(40000);
    fanout.committed(1, body, Time{100});
    CHECK(fanout.take_due(Time{100}).size() == 1);
    std::vector<ConnectionId> order;
    uint64_t version = 1;
    for (Time now{100.05}; now < Time{101.5}; now = now + Span{0.05}) {
        fanout.committed(++version, body, now);   // no subscriber ever has the newest
        for (const auto link : fanout.take_due(now)) order.push_back(link);
    }
    REQUIRE(order.size() >= 2 * subscribers);
    // Every subscriber is sent a copy before any is sent a second one.
    for (size_t at = 0; at + subscribers <= order.size(); ++at) {
        std::vector<ConnectionId> turn(order.begin() + static_cast<std::ptrdiff_t>(at),
                                       order.begin() + static_cast<std::ptrdiff_t>(at + subscribers));
        std::sort(turn.begin(), turn.end());
        CHECK(std::adjacent_find(turn.begin(), turn.end()) == turn.end());
    }
}

TEST_CASE("a change after an idle period is sent at once, and on a link of unknown capacity all copies are") {
    ConfigurationFanout slow(slow_link_megabits);
    ConfigurationFanout unknown(0);
    for (ConnectionId link = 1; link <= 300; ++link) {
        slow.add_subscriber(link, 0);
        unknown.add_subscriber(link, 0);
    }
    for (auto* fanout : {&slow, &unknown}) fanout->committed(1, testing::random_text(27000), Time{100});
    CHECK_FALSE(slow.take_due(Time{100}).empty());
    CHECK(unknown.take_due(Time{100}).size() == 300);
}

TEST_CASE("a new subscriber is sent the newest configuration once, and an older one is never sent") {
    ConfigurationFanout fanout(slow_link_megabits);
    CHECK(fanout.committed(5, "five", Time{100}));
    CHECK_FALSE(fanout.committed(5, "other", Time{100}));
    CHECK_FALSE(fanout.committed(4, "four", Time{100}));
    fanout.add_subscriber(1, 5);
    CHECK(fanout.take_due(Time{101}).empty());
    fanout.add_subscriber(2, 3);
    CHECK(fanout.take_due(Time{102}) == std::vector<ConnectionId>{2});
    CHECK(fanout.take_due(Time{103}).empty());
    fanout.remove_subscriber(2);
    fanout.committed(6, "six", Time{104});
    CHECK(fanout.take_due(Time{104}) == std::vector<ConnectionId>{1});
}
