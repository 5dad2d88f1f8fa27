// Orders of rollouts at a control node, and their stages.
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

// A control node that leads alone, and a proxy that tells it what it sees of candidates.
struct OrderedRollout {
    Control control{{}, document(3)};
    rollout::RolloutReport ballot;

    OrderedRollout() {
        control.subscribe();
        CHECK(order("v2") == 200);
        ballot.node = "edge-1";
        ballot.zone = "north";
        ballot.incarnation = 1;
        ballot.rollout = 1;
        ballot.routes = {{"r", {}, {{"new-1", {}}, {"new-2", {}}}}};
    }
    int order(const std::string& version) {
        return control.status(control.request("POST", "/rollouts", "", rollout_order(version)));
    }
    std::string state() {
        const auto read = control.request("GET", "/rollouts/s");
        CHECK(control.status(read) == 200);
        return nlohmann::json::parse(control.body(read)).at("state");
    }
    // Time passes in which the proxy serves, and tells by which stage it acts.
    void serve(Span span, bool candidates_fail) {
        for (const Time end = control.now + span; control.now < end; control.advance(Span{0.1})) {
            auto& route = ballot.routes[0];
            route.serving.requests += 10;
            for (auto& candidate : route.candidates) candidate.tally.add(candidates_fail);
            ballot.age += 0.1;
            ballot.stage = static_cast<uint64_t>(stage());
            ++ballot.sequence;
            control.node->received(Control::proxy_connection, ballot, control.now);
            control.carry_out();
        }
    }
    // As the proxy was told last.
    Stage stage() {
        for (const auto& message : control.to_proxy)
            if (const auto* told = std::get_if<messages::RolloutsUpdate>(&message))
                if (!told->rollouts.all.empty()) told_ = told->rollouts.all[0].stage;
        control.to_proxy.clear();
        return told_;
    }

private:
    Stage told_ = Stage::observing;
};

}   // namespace

TEST_CASE("an order of a rollout is acknowledged, and its state is told") {
    Control control({}, document(3));
    CHECK(control.status(control.request("POST", "/rollouts", "", rollout_order("v2"))) == 200);
    const auto read = control.request("GET", "/rollouts/s");
    REQUIRE(control.status(read) == 200);
    const auto state = nlohmann::json::parse(control.body(read));
    CHECK(state.at("state") == "in_progress");
    CHECK(state.at("targetVersion") == "v2");
}

TEST_CASE("an order of a rollout sent again is acknowledged again, another one for the service meanwhile is not") {
    OrderedRollout ordered;
    CHECK(ordered.order("v2") == 200);
    CHECK(ordered.order("v3") == 409);
    CHECK(ordered.state() == "in_progress");
}

TEST_CASE("an unsound order of a rollout is refused with the place of its fault") {
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

TEST_CASE("a version whose candidates fail is rolled back within two seconds, and stays so") {
    OrderedRollout ordered;
    ordered.serve(Span{1}, false);
    ordered.serve(Span{2}, true);
    CHECK(ordered.stage() == Stage::rolled_back);
    CHECK(ordered.state() == "rolled_back");
    ordered.serve(Span{duration}, false);
    CHECK(ordered.order("v2") == 200);   // the same order, sent again late
    CHECK(ordered.state() == "rolled_back");
}

TEST_CASE("a sound version completes before its deadline, once no request is under way at hosts that served") {
    OrderedRollout ordered;
    ordered.serve(Span{6.5}, false);
    CHECK(ordered.stage() == Stage::observing);
    ordered.ballot.open_at_serving = 1;
    ordered.serve(Span{2.5}, false);
    CHECK(ordered.stage() == Stage::moving);
    CHECK(ordered.state() == "in_progress");
    ordered.ballot.open_at_serving = 0;
    ordered.serve(Span{0.5}, false);
    CHECK(ordered.stage() == Stage::completed);
    CHECK(ordered.state() == "completed");
    CHECK(ordered.order("v2") == 200);
    CHECK(ordered.order("v3") == 200);
    CHECK(ordered.state() == "in_progress");
}

TEST_CASE("a version that turns bad once all requests have moved to it is still rolled back") {
    OrderedRollout ordered;
    ordered.serve(Span{7.6}, false);
    REQUIRE(ordered.stage() == Stage::moving);
    ordered.serve(Span{1.4}, true);
    CHECK(ordered.state() == "rolled_back");
}

TEST_CASE("a rollout of which no proxy tells anything is rolled back, not completed") {
    OrderedRollout ordered;
    ordered.control.advance(Span{duration});
    CHECK(ordered.state() == "rolled_back");
}

TEST_CASE("a node that starts in the middle of a rollout learns from the proxies how long it has taken") {
    OrderedRollout ordered;
    ordered.ballot.age = 6;
    ordered.serve(Span{2}, false);
    CHECK(ordered.stage() == Stage::moving);
}

TEST_CASE("rollouts are told to a proxy before the hosts that they are about") {
    Control control({}, document(3));
    control.request("POST", "/rollouts", "", rollout_order("v2"));
    control.subscribe();
    bool rollouts_told = false;
    for (const auto& message : control.to_proxy) {
        rollouts_told = rollouts_told || std::holds_alternative<messages::RolloutsUpdate>(message);
        if (std::holds_alternative<messages::HostsUpdate>(message)) CHECK(rollouts_told);
    }
    CHECK(rollouts_told);
}
