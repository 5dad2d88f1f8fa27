// Reports of client connections and requests: every request read ends in one of three ways, and connections closed
// with unread bytes are counted by cause.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "proxy_world.hpp"
#include "roles/proxy/front_report.hpp"

using namespace myrtleroute;
using proxy::ConnectionEnd;
using proxy::FrontendReport;
using proxy::RequestEnd;

namespace {

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

}   // namespace

TEST_CASE("requests read count as in progress until their end is reported") {
    metrics::Registry registry;
    FrontendReport report(registry, [](const std::string&) {});
    for (int n = 0; n < 4; ++n) report.request_read();
    report.request_ended(RequestEnd::answered);
    report.request_ended(RequestEnd::client_left);
    report.request_ended(RequestEnd::cut);
    CHECK(report.in_progress() == 1);
    const auto rendered = registry.render();
    CHECK(contains(rendered, "myrtleroute_requests_read_total 4\n"));
    CHECK(contains(rendered, "myrtleroute_requests_ended_total{how=\"answered\"} 1\n"));
    CHECK(contains(rendered, "myrtleroute_requests_ended_total{how=\"cut\"} 1\n"));
}

TEST_CASE("connections closed with unread bytes are counted by cause and logged once a second") {
    metrics::Registry registry;
    std::vector<std::string> lines;
    FrontendReport report(registry, [&](const std::string& line) { lines.push_back(line); });
    report.connection_ended(ConnectionEnd::idle);
    report.closed_over_unread(ConnectionEnd::idle, Span{1}, Span{15}, Time{10});
    report.closed_over_unread(ConnectionEnd::idle, Span{1}, Span{15}, Time{10.5});
    report.closed_over_unread(ConnectionEnd::stopping, Span{0.5}, Span{2}, Time{10.5});
    REQUIRE(lines.size() == 2);
    CHECK(lines[0] ==
          "client connection closed with unread bytes: idle, 1.000 s after half-close, idle for 15.000 s "
          "before; 1 so far");
    CHECK(contains(registry.render(), "myrtleroute_client_connections_unread_total{cause=\"idle\"} 2\n"));
    CHECK(contains(registry.render(), "myrtleroute_client_connections_ended_total{cause=\"idle\"} 1\n"));
}
