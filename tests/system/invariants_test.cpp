// Invariants that run in the code: counted, logged once, thrown in tests.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "base/invariants.hpp"

using namespace myrtleroute;

namespace {

// Violations are only counted and logged, as in the program, while one of these lives.
struct AsInTheProgram {
    AsInTheProgram() { throw_on_violations = false; }
    AsInTheProgram(const AsInTheProgram&) = delete;
    ~AsInTheProgram() { throw_on_violations = true; }
};

struct Checked {
    metrics::Registry registry;
    std::vector<std::string> lines;
    Invariants invariants{registry, [this](const std::string& line) {
                              lines.push_back(line);
                          }};

    bool shows(const std::string& sample) const { return registry.render().find(sample + "\n") != std::string::npos; }
};

std::string no_details() { return ""; }

}   // namespace

TEST_CASE("violations are counted by name, and the first of each is logged with its details") {
    const AsInTheProgram mode;
    Checked checked;
    auto& sums = checked.invariants.named("sums_agree");
    auto& order = checked.invariants.named("order_kept");
    CHECK(checked.shows("myrtleroute_invariant_violations_total{invariant=\"sums_agree\"} 0"));
    sums.check(false, [] { return "3 and 4"; });
    sums.check(false, [] { return "5 and 6"; });
    order.check(false, [] { return "b before a"; });
    CHECK(checked.shows("myrtleroute_invariant_violations_total{invariant=\"sums_agree\"} 2"));
    CHECK(checked.shows("myrtleroute_invariant_violations_total{invariant=\"order_kept\"} 1"));
    CHECK(checked.lines == std::vector<std::string>{"invariant sums_agree is violated: 3 and 4",
                                                    "invariant order_kept is violated: b before a"});
}

TEST_CASE("what holds is not counted, and its details are not made") {
    Checked checked;
    bool made = false;
    checked.invariants.named("holds").check(true, [&] {
        made = true;
        return std::string();
    });
    CHECK_FALSE(made);
    CHECK(checked.shows("myrtleroute_invariant_violations_total{invariant=\"holds\"} 0"));
    CHECK(checked.lines.empty());
}

TEST_CASE("a name is one invariant, however often it is asked for") {
    const AsInTheProgram mode;
    Checked checked;
    auto& first = checked.invariants.named("one");
    for (int i = 0; i < 100; ++i) checked.invariants.named("other_" + std::to_string(i));
    CHECK(&checked.invariants.named("one") == &first);
    first.check(false, no_details);
    checked.invariants.named("one").check(false, no_details);
    CHECK(checked.lines.size() == 1);
    CHECK(checked.shows("myrtleroute_invariant_violations_total{invariant=\"one\"} 2"));
}

TEST_CASE("in tests a violation throws, with its name and details") {
    Checked checked;
    auto& sums = checked.invariants.named("sums_agree");
    CHECK_THROWS_WITH_AS(sums.check(false, [] { return "3 and 4"; }), "invariant sums_agree is violated: 3 and 4",
                         InvariantViolation);
    CHECK(checked.shows("myrtleroute_invariant_violations_total{invariant=\"sums_agree\"} 1"));
}
