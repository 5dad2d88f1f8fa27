// Log lines of a control node on its work and on its replica's status.
#include <doctest/doctest.h>

#include "roles/control/replica_status_log.hpp"
#include "roles/control/work_report.hpp"

using namespace myrtleroute;
using namespace myrtleroute::control;

TEST_CASE("a second that was busy for most of its time is logged with the time by kind of work") {
    metrics::Registry registry;
    WorkReport report(registry);
    Time now{100};
    CHECK_FALSE(report.tick(now, Span{0.1}));
    report.record(WorkKind::lease_asks, Span{0.5});
    report.record(WorkKind::lease_asks, Span{0.2});
    report.record(WorkKind::ticks, Span{0.05});
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

TEST_CASE("an idle second is not logged, one with a late tick is") {
    metrics::Registry registry;
    WorkReport report(registry);
    Time now{100};
    report.tick(now, Span{0.1});
    for (int i = 0; i < 30; ++i) CHECK_FALSE(report.tick(now = now + Span{0.1}, Span{0.1}));
    CHECK(report.tick(now + Span{1.5}, Span{0.1}));
}

TEST_CASE("each change of a replica's status is logged once") {
    ReplicaStatusLog log;
    ReplicaStatus status;
    status.term = 3;
    status.role = consensus::Role::candidate;
    CHECK(log.changes(status) == std::vector<std::string>{"stands for election after term 3"});
    CHECK(log.changes(status).empty());
    status.role = consensus::Role::leader;
    status.term = 4;
    status.current = status.grants_leases = true;
    status.voters = 5;
    CHECK(log.changes(status) == std::vector<std::string>{"leads in term 4", "is in contact with a majority",
                                                          "grants leases", "knows 5 voters"});
    status = {};
    status.term = 5;
    status.voters = 5;
    status.leader = consensus::ReplicaId{{"10.0.0.2", 7500}, 0};
    const auto lines = log.changes(status);
    REQUIRE(lines.size() == 3);
    CHECK(lines[0] == "follows 10.0.0.2:7500#0 in term 5");
    CHECK(lines[1] == "is out of contact with a majority");
    CHECK(lines[2] == "grants no leases");
}
