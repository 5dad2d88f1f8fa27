// A tenant's demand rises to eight times its usual rate while faults occur; quotas must hold in every window.
#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

#include "lab/control/world.hpp"

using namespace myrtleroute;
using namespace myrtleroute::lab::control;

namespace {

constexpr uint64_t run_count = 16;   // seeds; they vary the proxies that clients choose, operators and latencies
constexpr size_t overloaded_tenant = 2;

// Limits don't change; the tenant's demand is eight times its usual rate from 10 s to 24 s.
Plan overload_plan(uint64_t seed, const std::vector<Fault>& faults) {
    Plan plan;
    plan.seed = seed;
    plan.length = 26;
    plan.faults = faults;
    plan.surges = {{overloaded_tenant, 10, 14, 8}};
    plan.changes_limits = false;
    return plan;
}

Fault fault(FaultKind kind, double at, double duration, uint32_t selector) {
    Fault fault;
    fault.kind = kind;
    fault.at = at;
    fault.duration = duration;
    fault.selector = selector;
    return fault;
}

// The violations with their seeds; empty if there were none.
std::string violations(const std::function<std::vector<Fault>(uint64_t seed)>& faults) {
    std::string violation;
    for (uint64_t seed = 1; seed <= run_count; ++seed) {
        const auto outcome = run_plan(overload_plan(seed, faults(seed)));
        if (!outcome.violation) continue;
        violation += "seed " + std::to_string(seed) + ": " + name_of(outcome.violation->invariant) + ": " +
                     outcome.violation->what + "\n";
    }
    return violation;
}

}   // namespace

TEST_CASE("a tenant that demands more than its quota stays within it without faults") {
    CHECK(violations([](uint64_t) { return std::vector<Fault>{}; }) == "");
}

TEST_CASE("a tenant that demands more than its quota stays within it while a control node is cut off from the others") {
    CHECK(violations([](uint64_t seed) {
              const auto selector = static_cast<uint32_t>(seed);
              return std::vector<Fault>{fault(FaultKind::cut_control, 9.8, 8, selector)};
          }) == "");
}

TEST_CASE("a tenant that demands more than its quota stays within it while proxies are killed one after the other") {
    CHECK(violations([](uint64_t) {
              std::vector<Fault> kills;
              for (uint32_t i = 0; i < 6; ++i) kills.push_back(fault(FaultKind::proxy_restart, 9.9 + 0.3 * i, 4, i));
              return kills;
          }) == "");
}
