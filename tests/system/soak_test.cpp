// Parts of the soak by themselves: its plan, its counting and judging. Nothing here sleeps or opens a socket.
#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>

#include "configuration/configuration.hpp"
#include "configuration/patch.hpp"
#include "lab/random_stream.hpp"
#include "soak/checker.hpp"
#include "soak/clients.hpp"
#include "soak/fleet.hpp"
#include "soak/hosts.hpp"
#include "soak/operator.hpp"
#include "soak/plan.hpp"
#include "soak/quota_check.hpp"

using namespace myrtleroute;
using namespace myrtleroute::soak;

namespace {

constexpr uint64_t many_seeds = 500;
constexpr double length = 30;

bool overlap(const Fault& a, const Fault& b) { return a.at < b.end() && b.at < a.end(); }

// The greatest share of what is allowed, by adding up each window that begins on the grid.
double slow_peak_share(const std::vector<QuotaUse>& uses, const std::vector<QuotaLimit>& limits,
                       const QuotaBounds& bounds, int first, int last) {
    double most = 0;
    for (int from = first; from <= last; ++from) {
        double granted = 0, allowed = 0;
        const double until = from + bounds.window;
        for (const auto& use : uses)
            if (use.sent >= from && use.ran <= until) granted += use.cost;
        for (const auto& limit : limits)
            if (limit.from <= until && limit.until > from)
                allowed =
                    std::max(allowed, (limit.rate * bounds.window + limit.burst) * (1 + bounds.over) + bounds.slack);
        most = std::max(most, granted / std::max(allowed, 1.0));
    }
    return most;
}

bool has(const Checker& checker, Rule rule) {
    const auto& found = checker.violations();
    return std::any_of(found.begin(), found.end(), [&](const auto& violation) { return violation.rule == rule; });
}

const Got sound_answer{200, "a", true, true};

}   // namespace

TEST_CASE("a process handles a signal that it catches, ignores or holds back, and no other") {
    const std::string before_main =
        "Name:\tmyrtlerouted\nSigQ:\t1/2\nSigBlk:\t0000000000000000\n"
        "SigIgn:\t0000000000000000\nSigCgt:\t0000000180000000\n";
    CHECK_FALSE(handles_signal(before_main, SIGHUP));
    CHECK_FALSE(handles_signal(before_main, SIGTERM));
    auto ignores = before_main, catches = before_main, holds = before_main;
    ignores.replace(ignores.find("SigIgn:\t") + 8, 16, "0000000000001001");
    catches.replace(catches.find("SigCgt:\t") + 8, 16, "0000000180004003");
    holds.replace(holds.find("SigBlk:\t") + 8, 16, "0000000000004001");
    CHECK(handles_signal(ignores, SIGHUP));
    CHECK_FALSE(handles_signal(ignores, SIGTERM));
    for (const auto& status : {catches, holds}) {
        CHECK(handles_signal(status, SIGHUP));
        CHECK(handles_signal(status, SIGTERM));
        CHECK_FALSE(handles_signal(status, SIGUSR1));
    }
    CHECK_FALSE(handles_signal("", SIGHUP));
}

TEST_CASE("a change of the tenants alone makes the whole of the next version") {
    Limits before, after;
    for (const auto& tenant : tenants()) {
        before[tenant.name] = tenant.limit;
        after[tenant.name] = {tenant.limit.rate / 2, tenant.limit.burst * 2};
    }
    const auto checked = configuration::apply_patch(configuration_text(3, before), patch_text(5, after));
    REQUIRE(checked.index() == 0);
    const auto& result = std::get<configuration::Patched>(checked);
    CHECK(nlohmann::json::parse(result.document) == nlohmann::json::parse(configuration_text(5, after)));
}

TEST_CASE("a seed gives one plan, another seed another") {
    CHECK(draw_plan(7, {}, length).faults == draw_plan(7, {}, length).faults);
    CHECK(draw_plan(7, {}, length).faults != draw_plan(8, {}, length).faults);
}

TEST_CASE("every kind of fault is drawn, most overlap, and none outlasts the run") {
    std::vector<size_t> drawn(static_cast<size_t>(FaultKind::kinds));
    size_t faults = 0, overlapping = 0;
    for (uint64_t seed = 1; seed <= many_seeds; ++seed) {
        const auto plan = draw_plan(seed, {}, length);
        for (const auto& fault : plan.faults) {
            ++drawn[static_cast<size_t>(fault.kind)];
            ++faults;
            overlapping += std::any_of(plan.faults.begin(), plan.faults.end(),
                                       [&](const Fault& other) { return &other != &fault && overlap(fault, other); });
            CHECK(fault.end() <= length);
            CHECK(fault.span > 0);
            CHECK(std::all_of(fault.machines.begin(), fault.machines.end(), [](size_t m) { return m < 8; }));
        }
    }
    CHECK(*std::min_element(drawn.begin(), drawn.end()) > many_seeds / 10);
    CHECK(overlapping > faults * 2 / 3);
}

TEST_CASE("a disk is lost only while the other control nodes are well and have caught up") {
    for (uint64_t seed = 1; seed <= many_seeds; ++seed) {
        const auto plan = draw_plan(seed, {}, length);
        for (const auto& wipe : plan.faults) {
            if (wipe.kind != FaultKind::wipe_control) continue;
            CHECK(wipe.machines.size() == 1);
            for (const auto& other : plan.faults) {
                const bool near = other.at < wipe.end() + catch_up && wipe.at < other.end() + catch_up;
                CHECK_FALSE((&other != &wipe && near && strikes_control(other, FleetSize{}.controls)));
            }
        }
    }
}

TEST_CASE("planned work is stops one after the other, that overlap, and reloads; the same for a seed") {
    constexpr FleetSize size{4, 8};
    CHECK(draw_planned_work(7, size, length).faults == draw_planned_work(7, size, length).faults);
    for (uint64_t seed = 1; seed <= many_seeds; ++seed) {
        CAPTURE(seed);
        const auto faults = draw_planned_work(seed, size, length).faults;
        size_t proxies = 0, controls = 0, reloads = 0;
        for (const auto& fault : faults) {
            proxies += fault.kind == FaultKind::stop_proxies;
            controls += fault.kind == FaultKind::stop_controls;
            reloads += fault.kind == FaultKind::hang_up_every_process;
            if (fault.kind == FaultKind::stop_controls) CHECK(fault.machines.size() == 1);
            if (fault.kind == FaultKind::hang_up_every_process) CHECK(fault.machines.size() == size.proxies);
            for (const auto machine : fault.machines)
                CHECK(machine < (fault.kind == FaultKind::stop_controls ? size.controls : size.proxies));
        }
        CHECK(proxies + controls + reloads == faults.size());
        CHECK(proxies >= 3);
        CHECK(controls >= 1);
        CHECK(reloads >= 2);
    }
}

TEST_CASE("a cut holds up what passes between its machines and the others, on its sides") {
    const Link in{false, 0, 1}, out{false, 1, 0}, beside{false, 2, 3}, of_proxy{true, 1, 0}, own_proxy{true, 1, 1};
    const Fault machines{FaultKind::cut_machines, 0, 1, {1}, CutSide::both};
    for (const auto& link : {in, out, of_proxy}) {
        CHECK(blocks(machines, link, Way::there));
        CHECK(blocks(machines, link, Way::back));
    }
    CHECK_FALSE(blocks(machines, beside, Way::there));
    CHECK_FALSE(blocks(machines, own_proxy, Way::there));
    const Fault inward{FaultKind::cut_machines, 0, 1, {1}, CutSide::inward};
    CHECK(blocks(inward, in, Way::there));
    CHECK_FALSE(blocks(inward, in, Way::back));
    CHECK_FALSE(blocks(inward, out, Way::there));
    CHECK(blocks(inward, out, Way::back));
    const Fault controls{FaultKind::cut_controls, 0, 1, {1}, CutSide::both};
    CHECK(blocks(controls, in, Way::there));
    CHECK_FALSE(blocks(controls, of_proxy, Way::there));
    const Fault every{FaultKind::cut_every_control, 0, 1, {0, 1, 2, 3}, CutSide::both};
    CHECK(blocks(every, beside, Way::back));
    CHECK_FALSE(blocks(every, of_proxy, Way::there));
    const Fault proxies{FaultKind::cut_proxies, 0, 1, {1}, CutSide::outward};
    CHECK(blocks(proxies, own_proxy, Way::there));
    CHECK_FALSE(blocks(proxies, own_proxy, Way::back));
    CHECK_FALSE(blocks(proxies, in, Way::there));
    CHECK_FALSE(blocks(Fault{FaultKind::kill_proxies, 0, 1, {1}, CutSide::both}, in, Way::there));
}

TEST_CASE("the count of windows agrees with adding each of them up") {
    lab::RandomStream chance(1, 1);
    const QuotaBounds bounds{8, 0.1, 3};
    for (int round = 0; round < 300; ++round) {
        std::vector<QuotaUse> uses;
        for (int i = 0; i < 30; ++i) {
            const double sent = chance.below(40);
            uses.push_back({sent, sent + chance.below(12), 1.0 + chance.below(9)});
        }
        std::vector<QuotaLimit> limits{{5, 4, -100, 100}};
        for (int i = 0; i < 3; ++i) {
            const double from = chance.below(40) + 0.5;   // off the grid: at a moment itself either side would do
            limits.push_back({1.0 + chance.below(12), 4, from, from + chance.below(20)});
        }
        const auto peak = peak_use(uses, limits, bounds);
        CHECK(peak.share() == doctest::Approx(slow_peak_share(uses, limits, bounds, -20, 60)));
    }
}

TEST_CASE("what was sent before a window or runs after it does not count in it") {
    const QuotaBounds bounds{8, 0, 0};
    const std::vector<QuotaLimit> limits{{1, 0, 0, 1000}};
    CHECK_FALSE(peak_use({{10, 19, 100}}, limits, bounds).broken());
    CHECK(peak_use({{10, 18, 9}}, limits, bounds).broken());
    CHECK_FALSE(peak_use({{10, 11, 8}, {19, 19, 8}}, limits, bounds).broken());
    CHECK(peak_use({{10, 11, 5}, {18, 18, 4}}, limits, bounds).broken());
}

TEST_CASE("the higher limit holds until every proxy must have the lower one") {
    Checker checker({8, 0, 0});
    const auto play = [&](const std::string& id, double at, double cost) {
        checker.sent({id, "t", cost, true}, at);
        checker.ran(id, "t", at);
    };
    checker.configuration_sent(1, {{"t", {100, 0}}}, 0);
    checker.configuration_in_force(1, 2);
    checker.configuration_sent(2, {{"t", {10, 0}}}, 20);
    checker.configuration_in_force(2, 30);
    play("a", 29, 800);
    SUBCASE("within") { play("b", 40, 80); }
    SUBCASE("over") {
        play("b", 40, 81);
        checker.finish();
        REQUIRE(has(checker, Rule::quota));
        CHECK(checker.peaks().at("t").from >= 30);
        return;
    }
    checker.finish();
    CHECK_FALSE(has(checker, Rule::quota));
}

TEST_CASE("a configuration is in force once all has been calm since its acknowledgement") {
    const std::vector<std::pair<double, double>> troubles{{4, 9}, {8, 10}, {20, 21}};
    CHECK(calm_since(troubles, 5, 3, 100) == 13);
    CHECK(calm_since(troubles, 14, 3, 100) == 14);
    CHECK(calm_since(troubles, 21, 3, 100) == 24);
    CHECK_FALSE(calm_since(troubles, 21, 3, 23));
}

TEST_CASE("requests are judged by what hosts have run and what clients have got") {
    Checker checker({8, 0, 1000});
    checker.configuration_sent(1, {{"t", {100, 0}}}, 0);
    checker.sent({"a", "t", 10, false}, 1);
    SUBCASE("sound") {
        checker.ran("a", "t", 1);
        checker.got("a", sound_answer, 2);
        checker.finish();
        CHECK(checker.violations().empty());
        CHECK(checker.served_share("t", 0, 2, 1) == 1);
    }
    SUBCASE("it runs twice") {
        checker.ran("a", "t", 1), checker.ran("a", "t", 2);
        CHECK(has(checker, Rule::twice));
    }
    SUBCASE("a request that may be repeated runs twice") {
        checker.sent({"b", "t", 10, true}, 1);
        checker.ran("b", "t", 1), checker.ran("b", "t", 2);
        CHECK(checker.violations().empty());
    }
    SUBCASE("it is refused and runs") {
        checker.got("a", {429, "", false, false}, 2);
        checker.ran("a", "t", 3);
        checker.finish();
        CHECK(has(checker, Rule::refused));
    }
    SUBCASE("the answer is another request's") {
        checker.ran("a", "t", 1);
        checker.got("a", {200, "b", true, true}, 2);
        CHECK(has(checker, Rule::mixed));
    }
    SUBCASE("the body is not whole") {
        checker.ran("a", "t", 1);
        checker.got("a", {200, "a", true, false}, 2);
        CHECK(has(checker, Rule::mixed));
    }
    SUBCASE("no host has signed it") {
        checker.ran("a", "t", 1);
        checker.got("a", {200, "a", false, true}, 2);
        CHECK(has(checker, Rule::mixed));
    }
    SUBCASE("no host has run it") {
        checker.got("a", sound_answer, 2);
        CHECK(has(checker, Rule::mixed));
    }
    SUBCASE("it runs as another tenant's") {
        checker.ran("a", "u", 1);
        CHECK(has(checker, Rule::unasked));
    }
    SUBCASE("nobody has sent it") {
        checker.ran("c", "t", 1);
        CHECK(has(checker, Rule::unasked));
    }
}

TEST_CASE("under planned work alone a request that was read is answered, and one that was left unread has not run") {
    for (const bool planned : {false, true}) {
        CAPTURE(planned);
        for (const std::string how : {"answered", "cut", "unread", "unread and run"}) {
            CAPTURE(how);
            Checker checker({8, 0, 1000}, planned);
            checker.sent({"a", "t", 10, true}, 1);
            if (how != "unread") checker.ran("a", "t", 1);
            if (how == "answered") checker.got("a", sound_answer, 2);
            if (how == "cut") checker.cut("a", "with no answer", 2);
            if (how.starts_with("unread")) checker.unread("a", 2);
            CHECK(has(checker, Rule::lost) == (planned && (how == "cut" || how == "unread and run")));
            CHECK(checker.cuts() == (how == "cut"));
            CHECK(checker.left_unread() == how.starts_with("unread"));
        }
    }
}

TEST_CASE("counters of broken invariants are found by their names") {
    const std::string text =
        "# TYPE quota_violations_total counter\nquota_violations_total{tenant=\"a b\"} 0\nrequests_total 7\n"
        "order_violations_total 2\nquota_violations_total{tenant=\"c\"} 1.0\n";
    const std::vector<std::string> expected{"order_violations_total 2", "quota_violations_total{tenant=\"c\"} 1.0"};
    CHECK(violated_counters(text) == expected);
    CHECK(violated_counters("").empty());
}

TEST_CASE("the operator's configurations are sound") {
    Limits limits;
    for (const auto& tenant : tenants()) limits[tenant.name] = tenant.limit;
    const auto checked = configuration::read_configuration(configuration_text(3, limits));
    REQUIRE(checked.index() == 0);
    const auto& read = std::get<0>(checked);
    CHECK(read.version == 3);
    CHECK(read.tenants.size() == tenants().size());
    CHECK(read.routes.size() == std::size(routes));
    for (size_t i = 0; i < read.routes.size(); ++i) CHECK(read.routes[i].is_retryable() == routes[i].repeatable);
}

TEST_CASE("a body is a host's only if it is whole and of the request") {
    CHECK(is_whole_body("r end\n", "r", false));
    CHECK_FALSE(is_whole_body("r en", "r", false));
    std::string events;
    for (int number = 1; number <= events_of_stream; ++number) {
        CHECK_FALSE(is_whole_body(events, "r", true));
        events += "id: " + std::to_string(number) + "\ndata: r\n\n";
    }
    CHECK(is_whole_body(events, "r", true));
    CHECK_FALSE(is_whole_body(events, "s", true));
    CHECK_FALSE(is_whole_body(events + events, "r", true));
}
