// Unit tests of the soak: fault plans, the checker and the quota check. Nothing here sleeps or opens a socket.
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
#include "soak/event_stream_check.hpp"
#include "soak/hosts.hpp"
#include "soak/operator.hpp"
#include "soak/plan.hpp"
#include "soak/quota_check.hpp"

using namespace myrtleroute;
using namespace myrtleroute::soak;

namespace {

constexpr uint64_t seed_count = 500;
constexpr double run_length = 30;

bool overlap(const Fault& a, const Fault& b) { return a.at < b.end() && b.at < a.end(); }

// Reference implementation: the highest share of the allowed cost, by summing each window that starts on a whole
// second.
double reference_peak_share(const std::vector<QuotaUse>& uses, const std::vector<QuotaLimit>& limits,
                            const QuotaBounds& bounds, int first, int last) {
    double max_share = 0;
    for (int from = first; from <= last; ++from) {
        double granted = 0, allowed = 0;
        const double until = from + bounds.window;
        for (const auto& use : uses)
            if (use.sent >= from && use.ran <= until) granted += use.cost;
        for (const auto& limit : limits)
            if (limit.from <= until && limit.until > from)
                allowed = std::max(allowed,
                                   (limit.rate * bounds.window + limit.burst) * (1 + bounds.tolerance) + bounds.slack);
        max_share = std::max(max_share, granted / std::max(allowed, 1.0));
    }
    return max_share;
}

bool has(const Checker& checker, Rule rule) {
    const auto& found = checker.violations();
    return std::any_of(found.begin(), found.end(), [&](const auto& violation) { return violation.rule == rule; });
}

const ReceivedResponse valid_response{200, "a", true, true};

}   // namespace

TEST_CASE("a process survives a signal only if it catches, ignores or blocks it") {
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

TEST_CASE("a patch of the tenants gives the same document as the whole next version") {
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

TEST_CASE("the same seed gives the same fault plan, another seed a different one") {
    CHECK(generate_plan(7, {}, run_length).faults == generate_plan(7, {}, run_length).faults);
    CHECK(generate_plan(7, {}, run_length).faults != generate_plan(8, {}, run_length).faults);
}

TEST_CASE("plans contain every kind of fault, most faults overlap, and none outlasts the run") {
    std::vector<size_t> drawn(static_cast<size_t>(FaultKind::kinds));
    size_t faults = 0, overlapping = 0;
    for (uint64_t seed = 1; seed <= seed_count; ++seed) {
        const auto plan = generate_plan(seed, {}, run_length);
        for (const auto& fault : plan.faults) {
            ++drawn[static_cast<size_t>(fault.kind)];
            ++faults;
            overlapping += std::any_of(plan.faults.begin(), plan.faults.end(),
                                       [&](const Fault& other) { return &other != &fault && overlap(fault, other); });
            CHECK(fault.end() <= run_length);
            CHECK(fault.duration > 0);
            CHECK(std::all_of(fault.machines.begin(), fault.machines.end(), [](size_t m) { return m < 8; }));
        }
    }
    CHECK(*std::min_element(drawn.begin(), drawn.end()) > seed_count / 10);
    CHECK(overlapping > faults * 2 / 3);
}

TEST_CASE("a data directory is erased only while the other control nodes have no fault and have caught up") {
    for (uint64_t seed = 1; seed <= seed_count; ++seed) {
        const auto plan = generate_plan(seed, {}, run_length);
        for (const auto& wipe : plan.faults) {
            if (wipe.kind != FaultKind::wipe_control) continue;
            CHECK(wipe.machines.size() == 1);
            for (const auto& other : plan.faults) {
                const bool near = other.at < wipe.end() + catch_up_time && wipe.at < other.end() + catch_up_time;
                CHECK_FALSE((&other != &wipe && near && affects_control(other, FleetSize{}.controls)));
            }
        }
    }
}

TEST_CASE("planned work consists of stops in series and reloads only, and is the same for the same seed") {
    constexpr FleetSize size{4, 8};
    CHECK(generate_planned_work(7, size, run_length).faults == generate_planned_work(7, size, run_length).faults);
    for (uint64_t seed = 1; seed <= seed_count; ++seed) {
        CAPTURE(seed);
        const auto faults = generate_planned_work(seed, size, run_length).faults;
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

TEST_CASE("a cut blocks bytes between its machines and the others, only in its directions") {
    const InternalConnection in{false, 0, 1}, out{false, 1, 0}, beside{false, 2, 3}, of_proxy{true, 1, 0},
        own_proxy{true, 1, 1};
    const Fault machines{FaultKind::cut_machines, 0, 1, {1}, CutSide::both};
    for (const auto& connection : {in, out, of_proxy}) {
        CHECK(blocks(machines, connection, Direction::forward));
        CHECK(blocks(machines, connection, Direction::backward));
    }
    CHECK_FALSE(blocks(machines, beside, Direction::forward));
    CHECK_FALSE(blocks(machines, own_proxy, Direction::forward));
    const Fault inward{FaultKind::cut_machines, 0, 1, {1}, CutSide::inward};
    CHECK(blocks(inward, in, Direction::forward));
    CHECK_FALSE(blocks(inward, in, Direction::backward));
    CHECK_FALSE(blocks(inward, out, Direction::forward));
    CHECK(blocks(inward, out, Direction::backward));
    const Fault controls{FaultKind::cut_controls, 0, 1, {1}, CutSide::both};
    CHECK(blocks(controls, in, Direction::forward));
    CHECK_FALSE(blocks(controls, of_proxy, Direction::forward));
    const Fault every{FaultKind::cut_every_control, 0, 1, {0, 1, 2, 3}, CutSide::both};
    CHECK(blocks(every, beside, Direction::backward));
    CHECK_FALSE(blocks(every, of_proxy, Direction::forward));
    const Fault proxies{FaultKind::cut_proxies, 0, 1, {1}, CutSide::outward};
    CHECK(blocks(proxies, own_proxy, Direction::forward));
    CHECK_FALSE(blocks(proxies, own_proxy, Direction::backward));
    CHECK_FALSE(blocks(proxies, in, Direction::forward));
    CHECK_FALSE(blocks(Fault{FaultKind::kill_proxies, 0, 1, {1}, CutSide::both}, in, Direction::forward));
}

TEST_CASE("the peak usage equals that of the reference implementation") {
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
            const double from = chance.below(40) + 0.5;   // not a whole second, where either result would be right
            limits.push_back({1.0 + chance.below(12), 4, from, from + chance.below(20)});
        }
        const auto peak = peak_usage(uses, limits, bounds);
        CHECK(peak.share() == doctest::Approx(reference_peak_share(uses, limits, bounds, -20, 60)));
    }
}

TEST_CASE("a request sent before a window or run after it does not count in it") {
    const QuotaBounds bounds{8, 0, 0};
    const std::vector<QuotaLimit> limits{{1, 0, 0, 1000}};
    CHECK_FALSE(peak_usage({{10, 19, 100}}, limits, bounds).is_exceeded());
    CHECK(peak_usage({{10, 18, 9}}, limits, bounds).is_exceeded());
    CHECK_FALSE(peak_usage({{10, 11, 8}, {19, 19, 8}}, limits, bounds).is_exceeded());
    CHECK(peak_usage({{10, 11, 5}, {18, 18, 4}}, limits, bounds).is_exceeded());
}

TEST_CASE("a lowered limit is enforced only from when every proxy must have it") {
    Checker checker({8, 0, 0});
    const auto play = [&](const std::string& id, double at, double cost) {
        checker.request_sent({id, "t", cost, true}, at);
        checker.request_ran(id, "t", at);
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

TEST_CASE("a configuration is in force once no fault has been active for a while after its acknowledgement") {
    const std::vector<std::pair<double, double>> disturbances{{4, 9}, {8, 10}, {20, 21}};
    CHECK(stable_since(disturbances, 5, 3, 100) == 13);
    CHECK(stable_since(disturbances, 14, 3, 100) == 14);
    CHECK(stable_since(disturbances, 21, 3, 100) == 24);
    CHECK_FALSE(stable_since(disturbances, 21, 3, 23));
}

TEST_CASE("the checker reports requests that run twice, run after a refusal or were never sent, and wrong responses") {
    Checker checker({8, 0, 1000});
    checker.configuration_sent(1, {{"t", {100, 0}}}, 0);
    checker.request_sent({"a", "t", 10, false}, 1);
    SUBCASE("a correct response") {
        checker.request_ran("a", "t", 1);
        checker.response_received("a", valid_response, 2);
        checker.finish();
        CHECK(checker.violations().empty());
        CHECK(checker.served_share("t", 0, 2, 1) == 1);
    }
    SUBCASE("a request that must not be repeated runs twice") {
        checker.request_ran("a", "t", 1), checker.request_ran("a", "t", 2);
        CHECK(has(checker, Rule::twice));
    }
    SUBCASE("a request that may be repeated runs twice") {
        checker.request_sent({"b", "t", 10, true}, 1);
        checker.request_ran("b", "t", 1), checker.request_ran("b", "t", 2);
        CHECK(checker.violations().empty());
    }
    SUBCASE("a refused request runs") {
        checker.response_received("a", {429, "", false, false}, 2);
        checker.request_ran("a", "t", 3);
        checker.finish();
        CHECK(has(checker, Rule::refused));
    }
    SUBCASE("the response belongs to another request") {
        checker.request_ran("a", "t", 1);
        checker.response_received("a", {200, "b", true, true}, 2);
        CHECK(has(checker, Rule::mixed));
    }
    SUBCASE("the body is incomplete") {
        checker.request_ran("a", "t", 1);
        checker.response_received("a", {200, "a", true, false}, 2);
        CHECK(has(checker, Rule::mixed));
    }
    SUBCASE("the response has no host signature") {
        checker.request_ran("a", "t", 1);
        checker.response_received("a", {200, "a", false, true}, 2);
        CHECK(has(checker, Rule::mixed));
    }
    SUBCASE("a request has a response but no host has run it") {
        checker.response_received("a", valid_response, 2);
        CHECK(has(checker, Rule::mixed));
    }
    SUBCASE("a request runs as one of another tenant") {
        checker.request_ran("a", "u", 1);
        CHECK(has(checker, Rule::unasked));
    }
    SUBCASE("a request runs that no client has sent") {
        checker.request_ran("c", "t", 1);
        CHECK(has(checker, Rule::unasked));
    }
}

TEST_CASE(
    "under planned work a request that was read but not answered is lost, and so is one left unread that has run") {
    for (const bool planned : {false, true}) {
        CAPTURE(planned);
        for (const std::string how : {"answered", "cut", "unread", "unread and run"}) {
            CAPTURE(how);
            Checker checker({8, 0, 1000}, planned);
            checker.request_sent({"a", "t", 10, true}, 1);
            if (how != "unread") checker.request_ran("a", "t", 1);
            if (how == "answered") checker.response_received("a", valid_response, 2);
            if (how == "cut") checker.response_cut("a", "with no response", 2);
            if (how.starts_with("unread")) checker.request_unread("a", 2);
            CHECK(has(checker, Rule::lost) == (planned && (how == "cut" || how == "unread and run")));
            CHECK(checker.cuts() == (how == "cut"));
            CHECK(checker.left_unread() == how.starts_with("unread"));
        }
    }
}

TEST_CASE("counters of invariant violations are found by name if they are above 0") {
    const std::string text =
        "# TYPE quota_violations_total counter\nquota_violations_total{tenant=\"a b\"} 0\nrequests_total 7\n"
        "order_violations_total 2\nquota_violations_total{tenant=\"c\"} 1.0\n";
    const std::vector<std::string> expected{"order_violations_total 2", "quota_violations_total{tenant=\"c\"} 1.0"};
    CHECK(violated_counters(text) == expected);
    CHECK(violated_counters("").empty());
}

TEST_CASE("the operator's configurations are valid") {
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

TEST_CASE("a body is accepted only if it is complete and belongs to the request") {
    CHECK(is_plain_body("r end\n", "r"));
    CHECK_FALSE(is_plain_body("r en", "r"));
    const auto is_complete_stream = [](const std::string& events, const std::string& request) {
        return check_stream(events, {request, "sig", false, 0}, true).violation.empty();
    };
    std::string events;
    for (int number = 1; number <= events_per_stream; ++number) {
        CHECK_FALSE(is_complete_stream(events, "r"));
        events += stream_event("r", "sig", number);
    }
    CHECK(is_complete_stream(events, "r"));
    CHECK_FALSE(is_complete_stream(events, "s"));
    CHECK_FALSE(is_complete_stream(events + events, "r"));
    CHECK_FALSE(is_complete_stream(events + "id: 13\n", "r"));
    CHECK_FALSE(is_complete_stream(events.substr(0, events.size() - 1), "r"));
}

TEST_CASE("a stream that was cut off may lack its end, but not an event before it") {
    const auto violates = [](const std::string& events) {
        return !check_stream(events, {"r", "sig", false, 0}, false).violation.empty();
    };
    const auto first = stream_event("r", "sig", 1), second = stream_event("r", "sig", 2);
    const auto third = stream_event("r", "sig", 3);
    CHECK_FALSE(violates(""));
    CHECK_FALSE(violates(first + second));
    CHECK_FALSE(violates(first + second.substr(0, 7)));
    CHECK(violates(first + third));
    CHECK(violates(first + second + second));
    CHECK(violates(second));
    CHECK(violates(first + first));
    CHECK(check_stream(first + second + third.substr(0, 9), {"r", "sig", false, 0}, false).last_event == 2);
}

TEST_CASE("only a resumable stream may contain events of a second run, and it starts with the signed one") {
    const auto violates = [](const std::string& events, bool resumable, int resumed_after = 0) {
        return !check_stream(events, {"r", "sig", resumable, resumed_after}, false).violation.empty();
    };
    const auto joined = stream_event("r", "sig", 1) + stream_event("r", "other", 2);
    CHECK(violates(joined, false));
    CHECK_FALSE(violates(joined, true));
    CHECK(violates(stream_event("r", "other", 1), true));
    CHECK_FALSE(violates(stream_event("r", "sig", 5), true, 4));
    CHECK(violates(stream_event("r", "sig", 4), true, 4));
    CHECK(violates(stream_event("r", "sig", 6), true, 4));
}

TEST_CASE("wrong events of a stream are a violation of the order") {
    Checker checker({});
    checker.request_sent({"a", "t", 1, false, 0}, 1);
    checker.stream_violated("a", "event 2 was expected", 2);
    CHECK(has(checker, Rule::order));
}
