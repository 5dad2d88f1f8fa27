// The metrics registry: rendering, and rejection of invalid or too many series.
#include <doctest/doctest.h>

#include <limits>
#include <string>

#include "base/metrics.hpp"

using namespace myrtleroute;

namespace {

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

}   // namespace

TEST_CASE("metrics are rendered by name with help, type and labels") {
    metrics::Registry registry;
    registry.gauge("myrtleroute_proxies", "Proxies known.").set(12);
    auto acme = registry.counter("myrtleroute_units_total", "Units.", {{"tenant", "acme"}, {"cause", "x"}});
    acme.add();
    acme.add(1.5);
    registry.counter("myrtleroute_units_total", "Units.", {{"tenant", "zeta"}, {"cause", "x"}}).add(3000000);
    CHECK(registry.render() ==
          "# HELP myrtleroute_proxies Proxies known.\n"
          "# TYPE myrtleroute_proxies gauge\n"
          "myrtleroute_proxies 12\n"
          "# HELP myrtleroute_units_total Units.\n"
          "# TYPE myrtleroute_units_total counter\n"
          "myrtleroute_units_total{tenant=\"acme\",cause=\"x\"} 2.5\n"
          "myrtleroute_units_total{tenant=\"zeta\",cause=\"x\"} 3000000\n"
          "# HELP myrtleroute_metrics_overflow_series_total "
          "Series that were refused: no room, an unsound name or another kind.\n"
          "# TYPE myrtleroute_metrics_overflow_series_total counter\n"
          "myrtleroute_metrics_overflow_series_total 0\n");
}

TEST_CASE("infinities and NaN are rendered as the text format names them") {
    metrics::Registry registry;
    registry.gauge("a", "").set(std::numeric_limits<double>::infinity());
    registry.gauge("b", "").set(-std::numeric_limits<double>::infinity());
    registry.gauge("c", "").set(std::numeric_limits<double>::quiet_NaN());
    const auto text = registry.render();
    CHECK(contains(text, "\na +Inf\n"));
    CHECK(contains(text, "\nb -Inf\n"));
    CHECK(contains(text, "\nc NaN\n"));
}

TEST_CASE("labels and help are escaped, so that no value can add a line") {
    metrics::Registry registry;
    registry.counter("a_total", "one\\two\nthree \"four\"", {{"tenant", "a\"b\\c\nd"}}).add();
    const auto text = registry.render();
    CHECK(contains(text, "# HELP a_total one\\\\two\\nthree \"four\"\n"));
    CHECK(contains(text, "a_total{tenant=\"a\\\"b\\\\c\\nd\"} 1\n"));
}

TEST_CASE("the same name and labels are the same series") {
    metrics::Registry registry;
    registry.counter("a_total", "", {{"l", "1"}}).add(2);
    auto again = registry.counter("a_total", "", {{"l", "1"}});
    again.add(3);
    CHECK(again.value() == 5);
    CHECK(registry.series() == 1);
    CHECK(contains(registry.render(), "a_total{l=\"1\"} 5\n"));
}

TEST_CASE("series beyond the maximum are counted as overflow and not rendered") {
    metrics::Registry registry({.max_series = 2});
    registry.counter("a_total", "", {{"l", "1"}});
    registry.counter("a_total", "", {{"l", "2"}});
    auto rejected = registry.counter("a_total", "", {{"l", "3"}});
    rejected.add(7);   // the handle still works
    registry.gauge("b", "").set(1);
    CHECK(registry.series() == 2);
    const auto text = registry.render();
    CHECK_FALSE(contains(text, "l=\"3\""));
    CHECK_FALSE(contains(text, "TYPE b "));
    CHECK(contains(text, "myrtleroute_metrics_overflow_series_total 2\n"));
}

TEST_CASE("a removed series makes room for another, and its handle stays usable") {
    metrics::Registry registry({.max_series = 1});
    auto first = registry.counter("a_total", "", {{"l", "1"}});
    registry.remove("a_total", {{"l", "1"}});
    registry.remove("a_total", {{"l", "unknown"}});
    first.add();
    registry.counter("a_total", "", {{"l", "2"}}).add();
    const auto text = registry.render();
    CHECK_FALSE(contains(text, "l=\"1\""));
    CHECK(contains(text, "a_total{l=\"2\"} 1\n"));
    CHECK(contains(text, "myrtleroute_metrics_overflow_series_total 0\n"));
}

TEST_CASE("invalid names, and a name in use by the other kind, are rejected") {
    metrics::Registry registry;
    registry.counter("a_total", "");
    registry.gauge("a_total", "").set(9);
    registry.counter("2a", "");
    registry.counter("", "");
    registry.counter("b_total", "", {{"with space", "x"}});
    registry.counter(std::string(metrics::overflow_name), "");
    CHECK(registry.series() == 1);
    const auto text = registry.render();
    CHECK(contains(text, "\na_total 0\n"));
    CHECK(contains(text, "myrtleroute_metrics_overflow_series_total 5\n"));
}
