// What a control node tells of its work and of its standing.
#include <doctest/doctest.h>

#include "roles/control/standing_log.hpp"
#include "roles/control/work_report.hpp"

using namespace myrtleroute;
using namespace myrtleroute::control;

TEST_CASE("a second that was busy for most of its time is told with what the time went into") {
    metrics::Registry registry;
    WorkReport report(registry);
    Time now{100};
    CHECK_FALSE(report.tick(now, Span{0.1}));
    report.note(WorkKind::lease_asks, Span{0.5});
    report.note(WorkKind::lease_asks, Span{0.2});
    report.note(WorkKind::ticks, Span{0.05});
    std::optional<std::string> line;
    for (int i = 0; i < 10; ++i) line = report.tick(now = now + Span{0.1 + 1e-9}, Span{0.1});
    REQUIRE(line);
    CHECK(line->find("busy for 0.75 s of 1 s") != std::string::npos);
    CHECK(line->find("lease_asks 2 in 0.7 s, ticks 1 in 0.05 s") != std::string::npos);
    CHECK(line->back() != ',');
    const auto text = registry.render();
    CHECK(text.find("myrtleroute_control_work_total{kind=\"lease_asks\"} 2") != std::string::npos);
    CHECK(text.find("myrtleroute_control_busy_ratio 0.7") != std::string::npos);
}

TEST_CASE("a second that was calm is not told, one with a late tick is") {
    metrics::Registry registry;
    WorkReport report(registry);
    Time now{100};
    report.tick(now, Span{0.1});
    for (int i = 0; i < 30; ++i) CHECK_FALSE(report.tick(now = now + Span{0.1}, Span{0.1}));
    CHECK(report.tick(now + Span{1.5}, Span{0.1}));
}

TEST_CASE("changes of a node's standing are told, each once") {
    StandingLog log;
    Standing standing;
    standing.term = 3;
    standing.role = consensus::Role::candidate;
    CHECK(log.changes(standing) == std::vector<std::string>{"stands for election after term 3"});
    CHECK(log.changes(standing).empty());
    standing.role = consensus::Role::leader;
    standing.term = 4;
    standing.current = standing.lends = true;
    standing.voters = 5;
    CHECK(log.changes(standing) == std::vector<std::string>{"leads in term 4", "is in touch with a majority",
                                                            "lends limits", "counts 5 voters"});
    standing = {};
    standing.term = 5;
    standing.voters = 5;
    standing.leader = consensus::ReplicaId{{"10.0.0.2", 7500}, 0};
    const auto lines = log.changes(standing);
    REQUIRE(lines.size() == 3);
    CHECK(lines[0] == "follows 10.0.0.2:7500#0 in term 5");
    CHECK(lines[1] == "is out of touch with a majority");
    CHECK(lines[2] == "lends no limits");
}
