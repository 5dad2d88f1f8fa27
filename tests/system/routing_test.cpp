// Routes, event streams, prompts and the retry budget, checked against a simple model or a bound.
#include <doctest/doctest.h>

#include <algorithm>
#include <deque>

#include "random.hpp"
#include "routing/event_stream.hpp"
#include "routing/fleet_size.hpp"
#include "routing/prompt.hpp"
#include "routing/retry_budget.hpp"
#include "routing/route_table.hpp"

using namespace myrtleroute;
using namespace myrtleroute::routing;

TEST_CASE("the longest path prefix wins, and the host's case and port are ignored") {
    configuration::Configuration configuration;
    for (const auto* prefix : {"/", "/a/", "/a/b/"}) {
        configuration::Route route;
        route.name = prefix;
        route.hostname = "H.example";
        route.path_prefix = prefix;
        configuration.routes.push_back(route);
    }
    const RouteTable table(configuration);
    CHECK(table.find("h.EXAMPLE:80", "/a/b/c")->name == "/a/b/");
    CHECK(table.find("h.example", "/a/b")->name == "/a/");
    CHECK(table.find("h.example", "/a/?x=/a/b/")->name == "/a/");
    CHECK(table.find("h.example", "/b")->name == "/");
    CHECK(table.find("other.example", "/a/") == nullptr);
}

TEST_CASE("route lookup finds the same route as a linear search") {
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        Pcg rng(seed);
        const auto path = [&] {
            std::string text = "/";
            for (auto n = rng.next() % 4; n > 0; --n)
                text += std::string(1, static_cast<char>('a' + rng.next() % 3)) + "/";
            return text;
        };
        configuration::Configuration configuration;
        for (int i = 0; i < 20; ++i) {
            configuration::Route route;
            route.hostname = rng.next() % 2 ? "one" : "two";
            route.path_prefix = path();
            const auto same = [&](const auto& r) {
                return r.hostname == route.hostname && r.path_prefix == route.path_prefix;
            };
            if (std::none_of(configuration.routes.begin(), configuration.routes.end(), same))
                configuration.routes.push_back(route);
        }
        const RouteTable table(configuration);
        for (int i = 0; i < 50; ++i) {
            const std::string host = rng.next() % 2 ? "one" : "two", target = path() + "z";
            const configuration::Route* best = nullptr;
            for (const auto& route : configuration.routes)
                if (route.hostname == host && target.starts_with(route.path_prefix) &&
                    (!best || route.path_prefix.size() > best->path_prefix.size()))
                    best = &route;
            const auto* found = table.find(host, target);
            REQUIRE((found == nullptr) == (best == nullptr));
            if (best) CHECK(found->path_prefix == best->path_prefix);
        }
    }
}

TEST_CASE("backends are chosen by weight, and one of weight 0 never") {
    configuration::Route route;
    route.backends = {{"none", 0}, {"three", 3}, {"one", 1}};
    int three = 0;
    for (int i = 0; i < 400; ++i) {
        const auto& name = pick_backend(route, i / 400.0);
        CHECK(name != "none");
        three += name == "three";
    }
    CHECK(three == 300);
    CHECK(pick_backend(route, 1.0) == "one");   // rounding never leaves the choice empty
}

TEST_CASE("only whole events are forwarded, wherever reads split the bytes") {
    const std::string stream = "id: 1\ndata: a\n\nversions: 2\nid:2\ndata: b\r\n\r\ndata: no id\n\nid: 3\ndata: half";
    for (size_t cut = 0; cut <= stream.size(); ++cut) {
        for (size_t second = cut; second <= stream.size(); second += 3) {
            EventStream events;
            auto whole = events.feed(stream.substr(0, cut));
            whole += events.feed(stream.substr(cut, second - cut));
            whole += events.feed(stream.substr(second));
            CHECK(whole + events.partial_event() == stream);
            CHECK(events.partial_event() == "id: 3\ndata: half");
            CHECK(events.last_id() == "2");
        }
    }
}

TEST_CASE("a stream resumed at another host discards its partial event and keeps the last event id") {
    EventStream events("4");
    CHECK(events.last_id() == "4");
    events.feed("id: 5\ndata: x\n\nid: 6\nda");
    events.discard_partial_event();
    CHECK(events.last_id() == "5");
    CHECK(events.feed("id: 6\ndata: y\n\n") == "id: 6\ndata: y\n\n");
}

TEST_CASE("a stream whose last event has data and no id has no position to resume from") {
    EventStream events;
    CHECK(events.has_position());
    events.feed("id: 1\ndata: a\n\n");
    CHECK(events.has_position());
    events.feed("versions: 2\r\nid: 2\r\ndata: b\r\n\r\n");
    CHECK(events.has_position());
    events.feed(": a comment\n\n");
    CHECK(events.has_position());
    events.feed("data: c\n\nid: 3\n");
    CHECK_FALSE(events.has_position());
    events.feed("data: d\n\n");
    CHECK(events.has_position());
}

TEST_CASE("the shared prefix of a prompt is all its parts but the last, in order") {
    const auto prompt = read_prompt("1460,80", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    CHECK(prompt.tokens_in == 1460);
    CHECK(prompt.tokens_out == 80);
    CHECK(prompt.shared_tokens == 1210);
    CHECK(prompt.shared_key == read_prompt("", "5c1e07a2:1,91bd3f06:1,other:1").shared_key);
    CHECK(prompt.shared_key != read_prompt("", "91bd3f06:1,5c1e07a2:1,other:1").shared_key);
    CHECK(read_prompt("x", "only:5").shared_key == 0);
    CHECK(read_prompt("", "").tokens_in == 0);
}

TEST_CASE("retries of all proxies stay within the shared budget in every window") {
    constexpr size_t proxies = 9;
    constexpr RetryBudgetOptions options{0.2, Span{10}, 58};
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Pcg rng(seed);
        std::vector<RetryBudget> budgets(proxies, RetryBudget(options, Time{-60}));
        std::deque<Time> requests, retries;
        size_t allowed = 0;
        for (Time now{0}; now < Time{60}; now = now + Span{0.01}) {
            const bool burst = now > Time{20} && now < Time{24};
            for (int i = 0; i < (burst ? 3 : 1); ++i) {
                auto& budget = budgets[rng.next() % proxies];
                budget.count_request(now);
                requests.push_back(now);
                while (rng.next() % 3 && budget.try_take(now, proxies)) {
                    retries.push_back(now);
                    ++allowed;
                }
            }
            while (requests.front() <= now - options.window) requests.pop_front();
            while (!retries.empty() && retries.front() <= now - options.window) retries.pop_front();
            REQUIRE(retries.size() <= options.ratio * requests.size() + options.slack);
        }
        CHECK(allowed > 300);
    }
}

namespace {

// Proxies that retry everything; records by how much their retries exceed the budget of any window.
struct RepeatingFleet {
    static constexpr RetryBudgetOptions options{0.2, Span{10}, 60};
    std::vector<RetryBudget> budgets;
    std::vector<FleetSize> sizes;
    std::deque<Time> requests, retries;
    double max_over = -1e9;   // retries beyond the budget

    RepeatingFleet(size_t proxies, Time started) : budgets(proxies, RetryBudget(options, started)), sizes(proxies) {}
    void step(Time now, size_t reported) {
        for (size_t i = 0; i < budgets.size(); ++i) {
            sizes[i].update(reported, now);
            if (static_cast<int>(now.s * 10) % static_cast<int>(budgets.size()) == static_cast<int>(i)) {
                budgets[i].count_request(now);
                requests.push_back(now);
            }
            while (budgets[i].try_take(now, sizes[i].maximum(now))) retries.push_back(now);
        }
        while (!requests.empty() && requests.front() <= now - options.window) requests.pop_front();
        while (!retries.empty() && retries.front() <= now - options.window) retries.pop_front();
        const double allowed = options.ratio * static_cast<double>(requests.size()) + options.slack;
        max_over = std::max(max_over, static_cast<double>(retries.size()) - allowed);
    }
};

}   // namespace

TEST_CASE("retries stay within the budget while each side of a partition sees only its own proxies") {
    RepeatingFleet fleet(12, Time{-60});
    for (Time now{0}; now < Time{60}; now = now + Span{0.1}) fleet.step(now, now > Time{20} && now < Time{40} ? 6 : 12);
    CHECK(fleet.max_over <= 0);
}

TEST_CASE("retries stay within the budget when all proxies start together and learn of each other one by one") {
    RepeatingFleet fleet(12, Time{0});
    for (Time now{0}; now < Time{30}; now = now + Span{0.1})
        fleet.step(now, std::min<size_t>(12, 1 + static_cast<size_t>(now.s * 10)));
    CHECK(fleet.max_over <= 0);
}

TEST_CASE("the fleet size is the largest one reported recently, and falls later") {
    FleetSize size;
    CHECK(size.maximum(Time{0}) == 1);
    size.update(12, Time{1});
    size.update(5, Time{2});
    CHECK(size.maximum(Time{30}) == 12);
    size.update(6, Time{30});
    CHECK(size.maximum(Time{32}) == 6);
    size.update(20, Time{33});
    CHECK(size.maximum(Time{33}) == 20);
}
