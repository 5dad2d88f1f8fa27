// Reports of aborted responses: counters by cause, and at most one log line a second for each cause.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "roles/proxy/cut_report.hpp"

using namespace myrtleroute;
using proxy::CutCause;
using proxy::CutReport;

namespace {

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

}   // namespace

TEST_CASE("aborted responses are counted by cause and logged with request and cause, once a second") {
    metrics::Registry registry;
    std::vector<std::string> lines;
    CutReport report(registry, [&](const std::string& line) { lines.push_back(line); });
    CHECK(contains(registry.render(), "myrtleroute_answers_cut_total{cause=\"process_ends\"} 0\n"));
    report.record(CutCause::process_ends, "r1", Span{5.25}, Time{10});
    report.record(CutCause::process_ends, "r2", Span{6}, Time{10.5});
    report.record(CutCause::host_failed, "r3", Span{1}, Time{10.5});
    report.record(CutCause::process_ends, "r4", Span{7}, Time{11});
    REQUIRE(lines.size() == 3);
    CHECK(lines[0] == "response to request r1 aborted after 5.250 s: process_ends; 0 more since the last such line");
    CHECK(lines[1] == "response to request r3 aborted after 1.000 s: host_failed; 0 more since the last such line");
    CHECK(lines[2] == "response to request r4 aborted after 7.000 s: process_ends; 1 more since the last such line");
    const auto rendered = registry.render();
    CHECK(contains(rendered, "myrtleroute_answers_cut_total{cause=\"process_ends\"} 3\n"));
    CHECK(contains(rendered, "myrtleroute_answers_cut_total{cause=\"host_failed\"} 1\n"));
    CHECK(contains(rendered, "myrtleroute_answers_cut_total{cause=\"out_of_time\"} 0\n"));
}
