// Run-time invariants: violations are counted, logged once per invariant, and thrown in tests.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "base/invariants.hpp"

using namespace myrtleroute;

namespace {

// While an object of this type exists, violations are only counted and logged, as in production.
struct ProductionMode {
    ProductionMode() { throw_on_violations = false; }
    ProductionMode(const ProductionMode&) = delete;
    ~ProductionMode() { throw_on_violations = true; }
};

struct Fixture {
    metrics::Registry registry;
    std::vector<std::string> lines;
    Invariants invariants{registry, [this](const std::string& line) {
                              lines.push_back(line);
                          }};

    bool renders(const std::string& sample) const { return registry.render().find(sample + "\n") != std::string::npos; }
};

std::string no_details() { return ""; }

}   // namespace

TEST_CASE("violations are counted by invariant, and the first of each is logged with its details") {
    const ProductionMode mode;
    Fixture fixture;
    auto& sums = fixture.invariants.named("sums_agree");
    auto& order = fixture.invariants.named("order_kept");
    CHECK(fixture.renders("myrtleroute_invariant_violations_total{invariant=\"sums_agree\"} 0"));
    sums.check(false, [] { return "3 and 4"; });
    sums.check(false, [] { return "5 and 6"; });
    order.check(false, [] { return "b before a"; });
    CHECK(fixture.renders("myrtleroute_invariant_violations_total{invariant=\"sums_agree\"} 2"));
    CHECK(fixture.renders("myrtleroute_invariant_violations_total{invariant=\"order_kept\"} 1"));
    CHECK(fixture.lines == std::vector<std::string>{"invariant sums_agree is violated: 3 and 4",
                                                    "invariant order_kept is violated: b before a"});
}

TEST_CASE("an invariant that holds is not counted, and its details are not built") {
    Fixture fixture;
    bool details_built = false;
    fixture.invariants.named("holds").check(true, [&] {
        details_built = true;
        return std::string();
    });
    CHECK_FALSE(details_built);
    CHECK(fixture.renders("myrtleroute_invariant_violations_total{invariant=\"holds\"} 0"));
    CHECK(fixture.lines.empty());
}

TEST_CASE("the same name always returns the same invariant") {
    const ProductionMode mode;
    Fixture fixture;
    auto& first = fixture.invariants.named("one");
    for (int i = 0; i < 100; ++i) fixture.invariants.named("other_" + std::to_string(i));
    CHECK(&fixture.invariants.named("one") == &first);
    first.check(false, no_details);
    fixture.invariants.named("one").check(false, no_details);
    CHECK(fixture.lines.size() == 1);
    CHECK(fixture.renders("myrtleroute_invariant_violations_total{invariant=\"one\"} 2"));
}

TEST_CASE("in tests a violation throws, with the invariant's name and details") {
    Fixture fixture;
    auto& sums = fixture.invariants.named("sums_agree");
    CHECK_THROWS_WITH_AS(sums.check(false, [] { return "3 and 4"; }), "invariant sums_agree is violated: 3 and 4",
                         InvariantViolation);
    CHECK(fixture.renders("myrtleroute_invariant_violations_total{invariant=\"sums_agree\"} 1"));
}
