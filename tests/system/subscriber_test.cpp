// Where proxies subscribe.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "roles/proxy/subscriber.hpp"

using namespace myrtleroute;
using namespace myrtleroute::proxy;

TEST_CASE("while no other control node is better off, one that is out of touch is not left") {
    Subscriber subscriber({"edge-1", "10.9.9.9", "north", 7});
    std::vector<messages::ControlNode> seeds;
    for (int number = 1; number <= 3; ++number) {
        const std::string address = "10.0.0." + std::to_string(number);
        seeds.push_back({{address, 7500}, {address, 8367}, ""});
    }
    subscriber.add_seeds(seeds);
    size_t opened = 0;
    for (Time now{100}; now < Time{120}; now = now + Span{0.2}) {
        subscriber.tick(now);
        for (const auto& output : subscriber.take_outputs()) {
            if (!std::holds_alternative<OpenLink>(output)) continue;
            ++opened;
            subscriber.opened(0, now);
        }
        subscriber.received(messages::FleetTold{}, now);
        subscriber.take_outputs();
    }
    CHECK(opened == 1);
}
