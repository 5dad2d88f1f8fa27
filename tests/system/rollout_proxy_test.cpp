// A proxy during a rollout of a new version of its hosts.
#include <doctest/doctest.h>

#include <set>
#include <string>

#include "proxy_world.hpp"

using namespace myrtleroute;
using rollout::Rollout;
using rollout::Rollouts;
using rollout::Stage;
using testing::ProxyWorld;

namespace {

// The first half of the hosts serves, the other half are candidates.
class RolloutWorld {
public:
    explicit RolloutWorld(size_t each) : each_(each), world(2 * each) {
        messages::FleetStatus fleet;
        fleet.current = true;
        world.send_control(fleet);
        world.send_control(
            messages::ConfigurationUpdate{1, R"({"version":1,"routes":[)" + ProxyWorld::route("idempotent") +
                                                 R"(],"services":[{"name":"s","healthCheck":"/health"}]})"});
    }
    void set_stage(Stage stage) {
        Rollouts rollouts{++revision_, {}};
        rollouts.all.push_back({1, "s", "v2", 12, stage, {}});
        if (stage == Stage::rolled_back) rollouts.all[0].rejected = {"v2"};
        world.send_control(messages::RolloutsUpdate{rollouts});
        world.advance(Span{0.1});
    }
    // Reports the first `count` hosts; those reported before are not repeated.
    void report_hosts(size_t count) {
        messages::HostsUpdate update;
        for (size_t i = std::exchange(reported_hosts_, count); i < count; ++i)
            update.hosts.push_back({"i-" + std::to_string(i), "s", "10.9.0." + std::to_string(i + 1) + ":80", "north",
                                    8, registry::HostState::ready, 1, i < each_ ? "v1" : "v2"});
        world.send_control(update);
        advance(Span{1.5});
    }
    // Advances time while the control node reports its quorum.
    void advance(Span span) {
        for (double passed = 0; passed < span.s; passed += 0.25) {
            messages::FleetStatus fleet;
            fleet.current = has_quorum;
            world.send_control(fleet);
            world.advance(Span{0.25});
        }
    }
    // Sends that many requests one after the other; candidates respond with the given status.
    void serve(size_t requests, const std::string& of_candidates = "200 OK") {
        at_candidates = 0;
        for (size_t i = 0; i < requests; ++i) {
            const auto id = "r" + std::to_string(++request_);
            auto& client = world.client();
            client.send(ProxyWorld::request("idempotent", id));
            world.advance(Span{0.02});
            for (int attempt = 0; attempt < 3; ++attempt) answer(id, of_candidates);
            client.close();
            if (i % 5 == 0) advance(Span{0.25});
        }
    }
    std::optional<rollout::RolloutReport> last_report() {
        messages::FrameReader reader;
        reader.feed(world.control.last().received);
        std::optional<rollout::RolloutReport> last;
        while (const auto json = reader.next())
            if (const auto message = messages::decode(*json))
                if (const auto* report = std::get_if<rollout::RolloutReport>(&*message)) last = *report;
        return last;
    }

private:
    void answer(const std::string& id, const std::string& of_candidates) {
        for (size_t host = 0; host < world.hosts.size(); ++host)
            for (auto& end : world.hosts[host]->ends) {
                if (end->received.find("X-Request-Id: " + id) == std::string::npos) continue;
                end->take();
                const bool is_candidate = host >= each_;
                at_candidates += is_candidate;
                if (is_candidate) candidates_used.insert(host);
                end->send(ProxyWorld::answer(id, "ok", is_candidate ? of_candidates : "200 OK"));
                world.advance(Span{0.02});
            }
    }
    size_t each_;
    uint64_t revision_ = 0;
    size_t reported_hosts_ = 0;   // hosts reported so far
    size_t request_ = 0;

public:
    bool has_quorum = true;     // whether the control node reports a quorum
    size_t at_candidates = 0;   // requests of the last `serve` that reached candidates
    std::set<size_t> candidates_used;
    ProxyWorld world;
};

}   // namespace

TEST_CASE("while candidates are observed they get at most a fourteenth of the requests") {
    RolloutWorld rollout(60);
    rollout.set_stage(Stage::observing);
    rollout.report_hosts(120);
    rollout.serve(400);
    CHECK(rollout.at_candidates >= 20);
    CHECK(rollout.at_candidates <= 29);
    CHECK(rollout.candidates_used.size() >= 4);
}

TEST_CASE("hosts without updates for a long time still count as ready") {
    RolloutWorld rollout(60);
    rollout.set_stage(Stage::observing);
    rollout.report_hosts(119);
    rollout.advance(Span{8});
    rollout.report_hosts(120);
    rollout.serve(300);
    rollout.candidates_used.clear();
    rollout.serve(300);
    CHECK(rollout.candidates_used.size() >= 8);
}

TEST_CASE("candidates that start after the rollout order take part beside hosts known before it") {
    RolloutWorld rollout(60);
    rollout.report_hosts(60);
    rollout.set_stage(Stage::observing);
    rollout.report_hosts(120);
    rollout.serve(200);
    CHECK(rollout.candidates_used.size() >= 4);
}

TEST_CASE("in the moving stage all requests go to candidates, and after a rollback none") {
    RolloutWorld rollout(8);
    rollout.set_stage(Stage::observing);
    rollout.report_hosts(16);
    rollout.set_stage(Stage::moving);
    rollout.serve(20);
    CHECK(rollout.at_candidates == 20);
    CHECK(rollout.candidates_used.size() > 2);
    rollout.set_stage(Stage::rolled_back);
    rollout.serve(20);
    CHECK(rollout.at_candidates == 0);
}

TEST_CASE("after a completed rollout no request goes to the replaced hosts") {
    RolloutWorld rollout(8);
    rollout.report_hosts(8);
    rollout.set_stage(Stage::observing);
    rollout.report_hosts(16);
    rollout.set_stage(Stage::moving);
    rollout.set_stage(Stage::completed);
    rollout.serve(20);
    CHECK(rollout.at_candidates == 20);
}

TEST_CASE("without a control node that has a quorum, observed candidates get no requests") {
    RolloutWorld rollout(60);
    rollout.set_stage(Stage::observing);
    rollout.report_hosts(120);
    rollout.world.advance(Span{2});
    rollout.has_quorum = false;
    rollout.serve(100);
    CHECK(rollout.at_candidates == 0);
}

TEST_CASE("a proxy whose requests fail at candidates stops using them before the rollout is decided") {
    RolloutWorld rollout(8);
    rollout.set_stage(Stage::observing);
    rollout.report_hosts(16);
    rollout.set_stage(Stage::moving);
    rollout.serve(40, "500 Internal Server Error");
    CHECK(rollout.at_candidates < 30);
    rollout.serve(20, "500 Internal Server Error");
    CHECK(rollout.at_candidates == 0);
}

TEST_CASE("a proxy's rollout report contains requests and failures by route, and for candidates by host") {
    RolloutWorld rollout(60);
    rollout.set_stage(Stage::observing);
    rollout.report_hosts(120);
    rollout.serve(200, "500 Internal Server Error");
    const auto report = rollout.last_report();
    REQUIRE(report);
    REQUIRE(report->routes.size() == 1);
    CHECK(report->routes[0].serving.requests > 100);
    CHECK(report->routes[0].serving.bad == 0);
    uint64_t requests = 0;
    for (const auto& candidate : report->routes[0].candidates) {
        requests += candidate.tally.requests;
        CHECK(candidate.tally.bad == candidate.tally.requests);
    }
    CHECK(requests > 0);
}

TEST_CASE("an outdated rollout message changes nothing") {
    RolloutWorld rollout(8);
    rollout.set_stage(Stage::observing);
    rollout.report_hosts(16);
    rollout.set_stage(Stage::rolled_back);
    Rollouts older{1, {{1, "s", "v2", 12, Stage::moving, {}}}};
    rollout.world.send_control(messages::RolloutsUpdate{older});
    rollout.serve(20);
    CHECK(rollout.at_candidates == 0);
}
