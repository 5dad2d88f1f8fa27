// Rollout orders at a control node, and their stages.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "control_node.hpp"

using namespace myrtleroute;
using rollout::Stage;
using testing::Control;
using testing::document;

namespace {

constexpr double duration = 12;   // s

std::string rollout_order(const std::string& version, const std::string& service = "s") {
    return R"({"service":")" + service + R"(","targetVersion":")" + version + R"(","durationS":12})";
}

// A control node that leads alone, and a proxy that reports what it observes of candidates.
struct OrderedRollout {
    Control control{{}, document(3)};
    rollout::RolloutReport report;

    OrderedRollout() {
        control.subscribe();
        CHECK(order("v2") == 200);
        report.node = "edge-1";
        report.zone = "north";
        report.incarnation = 1;
        report.rollout = 1;
        report.routes = {{"r", {}, {{"new-1", {}}, {"new-2", {}}}}};
    }
    int order(const std::string& version) {
        return control.status(control.request("POST", "/rollouts", "", rollout_order(version)));
    }
    std::string state() {
        const auto read = control.request("GET", "/rollouts/s");
        CHECK(control.status(read) == 200);
        return nlohmann::json::parse(control.body(read)).at("state");
    }
    // Advances time while the proxy serves, and reports the stage that it acts on.
    void serve(Span span, bool candidates_fail) {
        for (const Time end = control.now + span; control.now < end; control.advance(Span{0.1})) {
            auto& route = report.routes[0];
            route.serving.requests += 10;
            for (auto& candidate : route.candidates) candidate.tally.add(candidates_fail);
            report.age += 0.1;
            report.stage = static_cast<uint64_t>(stage());
            ++report.sequence;
            control.node->received(Control::proxy_connection, report, control.now);
            control.carry_out();
        }
    }
    // The stage last sent to the proxy.
    Stage stage() {
        for (const auto& message : control.to_proxy)
            if (const auto* update = std::get_if<messages::RolloutsUpdate>(&message))
                if (!update->rollouts.all.empty()) stage_ = update->rollouts.all[0].stage;
        control.to_proxy.clear();
        return stage_;
    }

private:
    Stage stage_ = Stage::observing;
};

}   // namespace

TEST_CASE("a rollout order is acknowledged, and its state can be read") {
    Control control({}, document(3));
    CHECK(control.status(control.request("POST", "/rollouts", "", rollout_order("v2"))) == 200);
    const auto read = control.request("GET", "/rollouts/s");
    REQUIRE(control.status(read) == 200);
    const auto state = nlohmann::json::parse(control.body(read));
    CHECK(state.at("state") == "in_progress");
    CHECK(state.at("targetVersion") == "v2");
}

TEST_CASE("a repeated rollout order is acknowledged again, another one for the service meanwhile is refused") {
    OrderedRollout ordered;
    CHECK(ordered.order("v2") == 200);
    CHECK(ordered.order("v3") == 409);
    CHECK(ordered.state() == "in_progress");
}

TEST_CASE("an invalid rollout order is refused with the location of its fault") {
    Control control({}, document(3));
    const auto refused = [&](const std::string& body) {
        const auto request = control.request("POST", "/rollouts", "", body);
        CHECK(control.status(request) == 400);
        return control.body(request);
    };
    CHECK(refused("{").find("byte") != std::string::npos);
    CHECK(refused(R"({"service":"s","durationS":12})").find("required") != std::string::npos);
    CHECK(refused(R"({"service":"s","targetVersion":"v2","durationS":0})").find("/durationS") != std::string::npos);
    CHECK(refused(rollout_order("v2", "other")).find("/service") != std::string::npos);
    CHECK(control.status(control.request("GET", "/rollouts/s")) == 404);
    CHECK(control.status(control.request("DELETE", "/rollouts/s")) == 405);
    CHECK(control.status(control.request("GET", "/rollouts")) == 405);
}

TEST_CASE("a version whose candidates fail is rolled back within two seconds, and stays rolled back") {
    OrderedRollout ordered;
    ordered.serve(Span{1}, false);
    ordered.serve(Span{2}, true);
    CHECK(ordered.stage() == Stage::rolled_back);
    CHECK(ordered.state() == "rolled_back");
    ordered.serve(Span{duration}, false);
    CHECK(ordered.order("v2") == 200);   // the same order, sent again late
    CHECK(ordered.state() == "rolled_back");
}

TEST_CASE("a good version completes before its deadline, once no request is in progress at serving hosts") {
    OrderedRollout ordered;
    ordered.serve(Span{6.5}, false);
    CHECK(ordered.stage() == Stage::observing);
    ordered.report.open_at_serving = 1;
    ordered.serve(Span{2.5}, false);
    CHECK(ordered.stage() == Stage::moving);
    CHECK(ordered.state() == "in_progress");
    ordered.report.open_at_serving = 0;
    ordered.serve(Span{0.5}, false);
    CHECK(ordered.stage() == Stage::completed);
    CHECK(ordered.state() == "completed");
    CHECK(ordered.order("v2") == 200);
    CHECK(ordered.order("v3") == 200);
    CHECK(ordered.state() == "in_progress");
}

TEST_CASE("a version that turns bad after all requests have moved to it is still rolled back") {
    OrderedRollout ordered;
    ordered.serve(Span{7.6}, false);
    REQUIRE(ordered.stage() == Stage::moving);
    ordered.serve(Span{1.4}, true);
    CHECK(ordered.state() == "rolled_back");
}

TEST_CASE("a rollout without reports of proxies is rolled back, not completed") {
    OrderedRollout ordered;
    ordered.control.advance(Span{duration});
    CHECK(ordered.state() == "rolled_back");
}

TEST_CASE("a node that starts during a rollout learns its age from the proxies") {
    OrderedRollout ordered;
    ordered.report.age = 6;
    ordered.serve(Span{2}, false);
    CHECK(ordered.stage() == Stage::moving);
}

TEST_CASE("rollouts are sent to a proxy before the hosts that they concern") {
    Control control({}, document(3));
    control.request("POST", "/rollouts", "", rollout_order("v2"));
    control.subscribe();
    bool has_rollouts = false;
    for (const auto& message : control.to_proxy) {
        has_rollouts = has_rollouts || std::holds_alternative<messages::RolloutsUpdate>(message);
        if (std::holds_alternative<messages::HostsUpdate>(message)) CHECK(has_rollouts);
    }
    CHECK(has_rollouts);
}
