// The checker of the invariant `quota` beside a plain model that adds everything up anew.
#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "lab/control/quota_checker.hpp"

using namespace myrtleroute;
using namespace myrtleroute::lab;
using namespace myrtleroute::lab::control;

namespace {

struct Arrival {
    Time sent, arrived;
    double cost;
};

// Of all windows: those that begin when some request was sent hold the most.
double most_in_a_window(const std::vector<Arrival>& arrivals, Span window) {
    double most = 0;
    for (const auto& first : arrivals) {
        double sum = 0;
        for (const auto& other : arrivals)
            if (other.sent >= first.sent && other.arrived <= first.sent + window) sum += other.cost;
        most = std::max(most, sum);
    }
    return most;
}

// Latencies of all sizes, up to longer than the window; times on a grid, so that ends of windows meet arrivals.
std::vector<Arrival> draw_arrivals(RandomStream& chance) {
    constexpr double grid = 0.125;
    std::vector<Arrival> arrivals;
    const int count = 1 + chance.below(60);
    for (int i = 0; i < count; ++i) {
        const double sent = grid * chance.below(200);
        const double latency = grid * chance.below(chance.bernoulli(0.2) ? 80 : 8);
        arrivals.push_back({Time{sent}, Time{sent + latency}, static_cast<double>(1 + chance.below(1000))});
    }
    std::sort(arrivals.begin(), arrivals.end(), [](const auto& a, const auto& b) { return a.arrived < b.arrived; });
    return arrivals;
}

std::shared_ptr<const Tenants> tenant_with(double rate, double burst) {
    configuration::Tenant tenant;
    tenant.name = "t";
    tenant.rate_per_second = rate;
    tenant.burst = burst;
    return std::make_shared<const Tenants>(Tenants{{"t", tenant}});
}

double allowed(double rate, double burst) { return (rate * 8 + burst) * 1.1 + 140000; }

}   // namespace

TEST_CASE("the sliding sum's highest is that of the fullest of all windows") {
    RandomStream chance(1, 1);
    for (int round = 0; round < 2000; ++round) {
        const auto arrivals = draw_arrivals(chance);
        SlidingUse use(Span{8});
        double highest = 0;
        for (const auto& each : arrivals) highest = std::max(highest, use.arrived(each.sent, each.cost, each.arrived));
        CAPTURE(round);
        CHECK(highest == most_in_a_window(arrivals, Span{8}));
    }
}

TEST_CASE("a lower limit takes hold a window after every proxy was in touch two seconds past its acknowledgement") {
    LimitsInForce limits(Span{8}, Span{2});
    limits.applied(1, tenant_with(1000, 100));
    limits.applied(2, tenant_with(400, 100));
    limits.acknowledged(2, Time{10});
    limits.in_touch({0, 1}, 2, Time{11.9});   // too soon
    limits.in_touch({0}, 2, Time{13});
    CHECK(limits.highest("t", Time{100}) == allowed(1000, 100));
    limits.in_touch({1}, 2, Time{20});
    CHECK(limits.highest("t", Time{27.9}) == allowed(1000, 100));
    CHECK(limits.highest("t", Time{28}) == allowed(400, 100));
}

TEST_CASE("a higher limit holds as soon as it is committed, and what was never acknowledged ends nothing") {
    LimitsInForce limits(Span{8}, Span{2});
    CHECK(limits.highest("t", Time{1}) == 0);
    limits.applied(1, tenant_with(1000, 100));
    limits.applied(2, tenant_with(4000, 100));
    CHECK(limits.highest("t", Time{1}) == allowed(4000, 100));
    limits.applied(3, tenant_with(100, 100));
    limits.in_touch({0}, 1, Time{50});
    CHECK(limits.highest("t", Time{100}) == allowed(4000, 100));
}

TEST_CASE("a tenant over its quota is reported with what it used and what is allowed") {
    QuotaChecker checker;
    checker.limits().applied(1, tenant_with(1000, 0));
    const TenantRequest request{"t", Time{1}, 148800, Span{}, Span{}};
    CHECK_FALSE(checker.arrived(request, Time{1}));
    const TenantRequest small{"t", Time{2}, 1, Span{}, Span{}};
    CHECK(checker.arrived(small, Time{2}) == "t has used 148801 tokens within a window, 148800 are allowed");
}
