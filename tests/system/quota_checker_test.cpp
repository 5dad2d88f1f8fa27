// The checker of the invariant `quota`, compared with a plain model that sums up every window from scratch.
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

// The highest sum of all windows; it occurs in a window that begins when some request was sent.
double max_window_sum(const std::vector<Arrival>& arrivals, Span window) {
    double max_sum = 0;
    for (const auto& first : arrivals) {
        double sum = 0;
        for (const auto& other : arrivals)
            if (other.sent >= first.sent && other.arrived <= first.sent + window) sum += other.cost;
        max_sum = std::max(max_sum, sum);
    }
    return max_sum;
}

// Latencies up to longer than the window; times on a grid, so that window ends coincide with arrivals.
std::vector<Arrival> draw_arrivals(RandomStream& random) {
    constexpr double grid = 0.125;
    std::vector<Arrival> arrivals;
    const int count = 1 + random.below(60);
    for (int i = 0; i < count; ++i) {
        const double sent = grid * random.below(200);
        const double latency = grid * random.below(random.bernoulli(0.2) ? 80 : 8);
        arrivals.push_back({Time{sent}, Time{sent + latency}, static_cast<double>(1 + random.below(1000))});
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

TEST_CASE("the sliding sum's maximum equals the highest sum of all windows") {
    RandomStream random(1, 1);
    for (int round = 0; round < 2000; ++round) {
        const auto arrivals = draw_arrivals(random);
        SlidingSum use(Span{8});
        double highest = 0;
        for (const auto& each : arrivals) highest = std::max(highest, use.add(each.sent, each.cost, each.arrived));
        CAPTURE(round);
        CHECK(highest == max_window_sum(arrivals, Span{8}));
    }
}

TEST_CASE("a lower limit applies one window after every proxy was in contact two seconds after the acknowledgement") {
    LimitsInForce limits(Span{8}, Span{2});
    limits.committed(1, tenant_with(1000, 100));
    limits.committed(2, tenant_with(400, 100));
    limits.acknowledged(2, Time{10});
    limits.proxies_in_contact({0, 1}, 2, Time{11.9});   // less than two seconds after the acknowledgement
    limits.proxies_in_contact({0}, 2, Time{13});
    CHECK(limits.max_allowed("t", Time{100}) == allowed(1000, 100));
    limits.proxies_in_contact({1}, 2, Time{20});
    CHECK(limits.max_allowed("t", Time{27.9}) == allowed(1000, 100));
    CHECK(limits.max_allowed("t", Time{28}) == allowed(400, 100));
}

TEST_CASE("a higher limit applies once committed, and a version never acknowledged ends no earlier one") {
    LimitsInForce limits(Span{8}, Span{2});
    CHECK(limits.max_allowed("t", Time{1}) == 0);
    limits.committed(1, tenant_with(1000, 100));
    limits.committed(2, tenant_with(4000, 100));
    CHECK(limits.max_allowed("t", Time{1}) == allowed(4000, 100));
    limits.committed(3, tenant_with(100, 100));
    limits.proxies_in_contact({0}, 1, Time{50});
    CHECK(limits.max_allowed("t", Time{100}) == allowed(4000, 100));
}

TEST_CASE("a tenant over its quota is reported with what it used and what is allowed") {
    QuotaChecker checker;
    checker.limits().committed(1, tenant_with(1000, 0));
    const TenantRequest request{"t", Time{1}, 148800, Span{}, Span{}};
    CHECK_FALSE(checker.check_arrival(request, Time{1}));
    const TenantRequest small{"t", Time{2}, 1, Span{}, Span{}};
    CHECK(checker.check_arrival(small, Time{2}) == "t has used 148801 tokens within a window, 148800 are allowed");
}
