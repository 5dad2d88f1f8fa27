// Reports of tenants' quotas: metrics by tenant, bounded by the configuration, and at most one log line a second
// about refusals.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "roles/proxy/quota_report.hpp"

using namespace myrtleroute;
using leases::RefusalCause;
using proxy::QuotaReport;

namespace {

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

std::vector<configuration::Tenant> tenants(const std::vector<std::string>& names) {
    std::vector<configuration::Tenant> made;
    for (const auto& name : names) made.emplace_back().name = name;
    return made;
}

struct Reported {
    metrics::Registry registry;
    std::vector<std::string> lines;
    QuotaReport report{registry, [this](const std::string& line) {
                           lines.push_back(line);
                       }};
    Time now{100};

    leases::Holder leases{{"edge-1", 1}, {}, Time{100}};

    std::string rendered() {
        report.refresh(leases, now);
        return registry.render();
    }
    void report_fleet(size_t proxies = 12, bool current = true) {
        messages::FleetStatus fleet;
        fleet.current = current;
        fleet.proxy_count = proxies;
        report.update_fleet(fleet, now);
    }
    // The allocator leases that many units, in reply to a request that waits.
    void lend(const std::string& tenant, double units, double overload) {
        leases.connected(true);
        leases.acquire(tenant, units + 1, 1, Span{0.1}, now);
        const auto request = leases.next_request(now);
        leases::LeaseReply reply{request->holder, request->number, 1, false, {}};
        reply.tenants[tenant].granted = units;
        reply.tenants[tenant].overload = overload;
        leases.apply(reply, now);
    }
};

}   // namespace

TEST_CASE("granted and refused units of a tenant are counted, refusals also by cause") {
    Reported world;
    world.report.configured(tenants({"acme"}));
    world.report.record_granted("acme", 250);
    world.report.record_granted("acme", 50);
    world.report.record_refused("acme", 70, RefusalCause::over_limit, world.leases, world.now);
    world.report.record_refused("acme", 10, RefusalCause::not_lent, world.leases, world.now);
    world.report.record_refused("acme", 10, RefusalCause::not_lent, world.leases, world.now);
    const auto text = world.rendered();
    CHECK(contains(text, "myrtleroute_quota_granted_units_total{tenant=\"acme\"} 300\n"));
    CHECK(contains(text, "myrtleroute_quota_refused_units_total{tenant=\"acme\"} 90\n"));
    CHECK(contains(text, "myrtleroute_quota_refused_requests_total{tenant=\"acme\",cause=\"over_limit\"} 1\n"));
    CHECK(contains(text, "myrtleroute_quota_refused_requests_total{tenant=\"acme\",cause=\"not_lent\"} 2\n"));
}

TEST_CASE("the reported fleet state is exported with its age") {
    Reported world;
    world.report.configured(tenants({"acme"}));
    CHECK(contains(world.rendered(), "myrtleroute_fleet_told_age_seconds +Inf\n"));
    CHECK(contains(world.rendered(), "myrtleroute_quota_reply_age_seconds +Inf\n"));
    world.report_fleet(7);
    world.lend("acme", 600, 1.5);
    world.report.record_granted("acme", 1);
    world.now = world.now + Span{0.75};
    const auto text = world.rendered();
    CHECK(contains(text, "myrtleroute_quota_held_units{tenant=\"acme\"} 600\n"));
    CHECK(contains(text, "myrtleroute_quota_overload_ratio{tenant=\"acme\"} 1.5\n"));
    CHECK(contains(text, "myrtleroute_quota_reply_age_seconds 0.75\n"));
    CHECK(contains(text, "myrtleroute_fleet_proxies 7\n"));
    CHECK(contains(text, "myrtleroute_fleet_current 1\n"));
    CHECK(contains(text, "myrtleroute_fleet_told_age_seconds 0.75\n"));
    world.report_fleet(3, false);
    world.lend("acme", 0, 0);   // no demand any more
    const auto later = world.rendered();
    CHECK(contains(later, "myrtleroute_quota_overload_ratio{tenant=\"acme\"} 0\n"));
    CHECK(contains(later, "myrtleroute_quota_reply_age_seconds 0\n"));
    CHECK(contains(later, "myrtleroute_fleet_current 0\n"));
    CHECK(contains(later, "myrtleroute_fleet_told_age_seconds 0\n"));
}

TEST_CASE("tenants that the configuration does not name have no metrics and no log lines") {
    Reported world;
    world.report.configured(tenants({"acme"}));
    const auto before = world.registry.series();
    world.lend("stranger", 1, 1);
    world.report.record_granted("stranger", 1);
    world.report.record_refused("stranger", 1, RefusalCause::not_lent, world.leases, world.now);
    CHECK(world.registry.series() == before);
    CHECK(world.lines.empty());
}

TEST_CASE("a tenant's metrics are removed with it, and start at 0 when it is added again") {
    Reported world;
    world.report.configured(tenants({"acme", "zeta"}));
    const auto before = world.registry.series();
    world.report.record_granted("acme", 5);
    world.report.record_refused("acme", 5, RefusalCause::not_lent, world.leases, world.now);
    world.report.record_granted("zeta", 6);
    world.report.configured(tenants({"zeta"}));
    CHECK_FALSE(contains(world.rendered(), "acme"));
    CHECK(contains(world.rendered(), "myrtleroute_quota_granted_units_total{tenant=\"zeta\"} 6\n"));
    world.report.configured(tenants({}));
    CHECK(world.registry.series() == before);
    world.report.configured(tenants({"acme"}));
    world.report.record_granted("acme", 1);
    CHECK(contains(world.rendered(), "myrtleroute_quota_granted_units_total{tenant=\"acme\"} 1\n"));
}

TEST_CASE("a refusal's log line contains tenant, cause, units since the last line and the reported state") {
    Reported world;
    world.report.configured(tenants({"acme"}));
    world.report_fleet();
    world.lend("acme", 600, 1.5);
    world.now = world.now + Span{0.25};
    world.report.record_granted("acme", 3000000);
    world.report.record_refused("acme", 20, RefusalCause::over_limit, world.leases, world.now);
    REQUIRE(world.lines.size() == 1);
    CHECK(world.lines[0] ==
          "quota of tenant \"acme\": refused, over_limit; since the last such line 3000000 units granted, "
          "20 refused; held 600, overload 1.5, last reply 0.25 s ago; proxies 12, current 1, told 0.25 s ago");
}

TEST_CASE("refusals are logged once a second for each cause, and the next line covers those in between") {
    Reported world;
    world.report.configured(tenants({"acme"}));
    for (int i = 0; i < 50; ++i) {
        world.report.record_granted("acme", 2);
        world.report.record_refused("acme", 1, RefusalCause::over_limit, world.leases, world.now + Span{i * 0.015});
    }
    CHECK(world.lines.size() == 1);
    world.report.record_refused("acme", 1, RefusalCause::not_lent, world.leases, world.now + Span{0.8});
    REQUIRE(world.lines.size() == 2);
    CHECK(contains(world.lines[1], "refused, not_lent; since the last such line 98 units granted, 50 refused;"));
    world.report.record_refused("acme", 1, RefusalCause::over_limit, world.leases, world.now + Span{0.9});
    CHECK(world.lines.size() == 2);
    world.report.record_refused("acme", 1, RefusalCause::over_limit, world.leases, world.now + Span{1});
    REQUIRE(world.lines.size() == 3);
    CHECK(contains(world.lines[2], "since the last such line 0 units granted, 2 refused;"));
}

TEST_CASE("every refusal cause has a unique name, and its index equals its value") {
    for (size_t i = 0; i < leases::refusal_causes.size(); ++i) {
        CHECK(static_cast<size_t>(leases::refusal_causes[i]) == i);
        CHECK(to_string(leases::refusal_causes[i]) != "unknown");
        for (size_t j = 0; j < i; ++j)
            CHECK(to_string(leases::refusal_causes[i]) != to_string(leases::refusal_causes[j]));
    }
}
