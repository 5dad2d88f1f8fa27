// Routes, keys, event streams, prompts, quotas and the retry budget, each beside a plain model or a bound.
#include <doctest/doctest.h>

#include <algorithm>
#include <deque>

#include "random.hpp"
#include "routing/event_stream.hpp"
#include "routing/prompt.hpp"
#include "routing/quota.hpp"
#include "routing/retry_budget.hpp"
#include "routing/route_table.hpp"

using namespace myrtleroute;
using namespace myrtleroute::routing;

TEST_CASE("the longest prefix wins, and the host's case and port don't matter") {
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

TEST_CASE("routes are found as a plain search finds them") {
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        Pcg chance(seed);
        const auto path = [&] {
            std::string text = "/";
            for (auto n = chance.next() % 4; n > 0; --n)
                text += std::string(1, static_cast<char>('a' + chance.next() % 3)) + "/";
            return text;
        };
        configuration::Configuration configuration;
        for (int i = 0; i < 20; ++i) {
            configuration::Route route;
            route.hostname = chance.next() % 2 ? "one" : "two";
            route.path_prefix = path();
            const auto same = [&](const auto& r) {
                return r.hostname == route.hostname && r.path_prefix == route.path_prefix;
            };
            if (std::none_of(configuration.routes.begin(), configuration.routes.end(), same))
                configuration.routes.push_back(route);
        }
        const RouteTable table(configuration);
        for (int i = 0; i < 50; ++i) {
            const std::string host = chance.next() % 2 ? "one" : "two", target = path() + "z";
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

TEST_CASE("backends share by weight, and one of weight 0 gets nothing") {
    configuration::Route route;
    route.backends = {{"none", 0}, {"three", 3}, {"one", 1}};
    int three = 0;
    for (int i = 0; i < 400; ++i) {
        const auto& name = pick_backend(route, i / 400.0);
        CHECK(name != "none");
        three += name == "three";
    }
    CHECK(three == 300);
    CHECK(pick_backend(route, 1.0) == "one");   // rounding never leaves it without one
}

TEST_CASE("events are passed on whole, wherever the bytes are cut") {
    const std::string stream = "id: 1\ndata: a\n\nversions: 2\nid:2\ndata: b\r\n\r\ndata: no id\n\nid: 3\ndata: half";
    for (size_t cut = 0; cut <= stream.size(); ++cut) {
        for (size_t second = cut; second <= stream.size(); second += 3) {
            EventStream events;
            auto whole = events.feed(stream.substr(0, cut));
            whole += events.feed(stream.substr(cut, second - cut));
            whole += events.feed(stream.substr(second));
            CHECK(whole + events.rest() == stream);
            CHECK(events.rest() == "id: 3\ndata: half");
            CHECK(events.last_id() == "2");
        }
    }
}

TEST_CASE("a stream that goes on elsewhere drops its half event and keeps its place") {
    EventStream events("4");
    CHECK(events.last_id() == "4");
    events.feed("id: 5\ndata: x\n\nid: 6\nda");
    events.restart();
    CHECK(events.last_id() == "5");
    CHECK(events.feed("id: 6\ndata: y\n\n") == "id: 6\ndata: y\n\n");
}

TEST_CASE("the shared part of a prompt is all but its last one, in order") {
    const auto prompt = read_prompt("1460,80", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    CHECK(prompt.tokens_in == 1460);
    CHECK(prompt.tokens_out == 80);
    CHECK(prompt.shared_tokens == 1210);
    CHECK(prompt.shared_key == read_prompt("", "5c1e07a2:1,91bd3f06:1,other:1").shared_key);
    CHECK(prompt.shared_key != read_prompt("", "91bd3f06:1,5c1e07a2:1,other:1").shared_key);
    CHECK(read_prompt("x", "only:5").shared_key == 0);
    CHECK(read_prompt("", "").tokens_in == 0);
}

namespace {

// Proxies that tell each other what they ask for, a moment late, before tenants whose demand is scripted.
struct QuotaFleet {
    size_t proxies = 12;
    static constexpr Span delay{0.5}, told_every{0.25};   // as the roles tell each other, at the slowest
    QuotaOptions options{140000, 0.1, Span{8}};
    double rate = 60000, burst = 90000;
    std::vector<Quotas> quotas = std::vector<Quotas>(proxies, Quotas(options));
    std::deque<std::pair<Time, std::map<std::string, QuotaRates>>> under_way;
    std::deque<std::pair<Time, double>> granted;
    struct Departed {
        std::map<std::string, QuotaRates> rates;
        Time until;
    };
    std::vector<Departed> departed;
    Pcg chance{5};
    Time now{100}, tell_at{100};
    double refused = 0, asked = 0, worst = 0;
    bool cut_off = false;
    std::vector<Time> down_until = std::vector<Time>(proxies, long_ago);
    double mean_cost = 9000;

    explicit QuotaFleet(size_t size = 12) : proxies(size) {}
    // Processes of these are killed: their clients go to others, and they come back knowing nothing but the fleet's sums.
    // The control role counts what they granted for a moment longer.
    void kill(size_t count, Span down) {
        for (size_t i = 0; i < count; ++i) {
            departed.push_back({quotas[i].own(now), now + Span{2}});
            quotas[i] = Quotas(options);
            down_until[i] = now + down;
        }
    }
    size_t running() const {
        return static_cast<size_t>(
            std::count_if(down_until.begin(), down_until.end(), [this](Time until) { return until <= now; }));
    }

    // `demand`: units a second of all proxies together, in requests of many sizes.
    void play(Span length, double demand) {
        constexpr Span step{0.01};
        for (const Time end = now + length; now < end; now = now + step) {
            if (now >= tell_at) tell();
            while (!cut_off && !under_way.empty() && under_way.front().first <= now) {
                for (auto& each : quotas) each.fleet(under_way.front().second, running(), now);
                under_way.pop_front();
            }
            for (double due = demand * step.s / mean_cost; due > chance.share(); due -= 1)
                request(mean_cost * (0.2 + 1.6 * chance.share()));
        }
    }
    void tell() {
        tell_at = now + told_every;
        std::map<std::string, QuotaRates> total;
        const auto add = [&](const std::map<std::string, QuotaRates>& told) {
            for (const auto& [tenant, rates] : told) {
                total[tenant].asked += rates.asked;
                total[tenant].granted += rates.granted;
            }
        };
        for (auto& each : quotas) add(each.own(now));
        for (const auto& left : departed)
            if (now < left.until) add(left.rates);
        under_way.emplace_back(now + delay, total);
    }
    void request(double cost) {
        asked += cost;
        auto number = chance.next() % proxies;
        while (down_until[number] > now) number = chance.next() % proxies;
        auto& at = quotas[number];
        if (!at.take("tenant", rate, burst, cost, now).granted) {
            refused += cost;
            return;
        }
        granted.emplace_back(now, cost);
        while (granted.front().first < now - options.window) granted.pop_front();
        double sum = 0;
        for (const auto& [when, units] : granted) sum += units;
        worst = std::max(worst, sum);
    }
    double limit() const { return (rate * options.window.s + burst) * (1 + options.over) + options.slack; }
};

}   // namespace

TEST_CASE("of demand of three quarters of the quota, in large requests, a twelfth is refused at the most") {
    QuotaFleet fleet;
    fleet.play(Span{5}, fleet.rate / 1.3);
    fleet.refused = fleet.asked = 0;
    fleet.play(Span{60}, fleet.rate / 1.3);
    MESSAGE("refused below the limit: " << fleet.refused / fleet.asked);
    CHECK(fleet.refused < fleet.asked / 12);
}

TEST_CASE("a tenant that asks for six times its usual stays within its quota in every window") {
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        QuotaFleet fleet;
        fleet.chance = Pcg(seed);
        fleet.play(Span{10}, fleet.rate / 1.3);
        fleet.play(Span{11}, 6 * fleet.rate / 1.3);
        fleet.play(Span{5}, fleet.rate / 1.3);
        fleet.play(Span{11}, 7.5 * fleet.rate / 1.3);
        CHECK(fleet.worst <= fleet.limit());
        CHECK(fleet.worst >= 0.8 * fleet.rate * fleet.options.window.s);   // and has the use of it
    }
}

TEST_CASE("a tenant over its quota stays within it while many proxies are killed and come back") {
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        QuotaFleet fleet(68);
        fleet.rate = 870000;
        fleet.burst = 1100000;
        fleet.chance = Pcg(seed);
        fleet.play(Span{10}, fleet.rate / 1.3);
        fleet.play(Span{5.5}, 6 * fleet.rate / 1.3);
        fleet.kill(28, Span{0.5});
        fleet.play(Span{6}, 6 * fleet.rate / 1.3);
        fleet.kill(40, Span{0.5});
        fleet.play(Span{6}, 6 * fleet.rate / 1.3);
        CHECK(fleet.worst <= fleet.limit());
    }
}

TEST_CASE("out of touch with the fleet the sum stays within the quota") {
    QuotaFleet fleet;
    fleet.play(Span{10}, fleet.rate / 1.3);
    fleet.cut_off = true;
    fleet.play(Span{20}, 6 * fleet.rate / 1.3);
    CHECK(fleet.worst <= fleet.limit());
}

TEST_CASE("a tenant without a rate has no limit") {
    Quotas quotas({});
    for (int i = 0; i < 1000; ++i) CHECK(quotas.take("tenant", 0, 0, 1e6, Time{1}).granted);
}

TEST_CASE("repeats of all proxies stay within the shared budget in every window") {
    constexpr size_t proxies = 9;
    constexpr RetryBudgetOptions options{0.2, Span{10}, 58};
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Pcg chance(seed);
        std::vector<RetryBudget> budgets(proxies, RetryBudget(options));
        std::deque<Time> requests, repeats;
        size_t allowed = 0;
        for (Time now{0}; now < Time{60}; now = now + Span{0.01}) {
            const bool burst = now > Time{20} && now < Time{24};
            for (int i = 0; i < (burst ? 3 : 1); ++i) {
                auto& budget = budgets[chance.next() % proxies];
                budget.request(now);
                requests.push_back(now);
                while (chance.next() % 3 && budget.take(now, proxies)) {
                    repeats.push_back(now);
                    ++allowed;
                }
            }
            while (requests.front() <= now - options.window) requests.pop_front();
            while (!repeats.empty() && repeats.front() <= now - options.window) repeats.pop_front();
            REQUIRE(repeats.size() <= options.ratio * requests.size() + options.slack);
        }
        CHECK(allowed > 300);
    }
}
