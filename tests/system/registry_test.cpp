// The table of hosts: cases, and random histories against a slow plain model.
#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "random.hpp"
#include "registry/host_table.hpp"

using namespace myrtleroute;
using registry::Host;
using registry::HostState;
using registry::HostTable;

namespace {

Host host(const std::string& id, uint64_t sequence, HostState state = HostState::ready, std::string address = {}) {
    return {id, "service", address.empty() ? "10.9.0." + id + ":80" : address, "zone", 4, state, sequence};
}

HostState state_of(const HostTable& table, const std::string& id) { return table.find(id)->state; }

}   // namespace

TEST_CASE("a heartbeat that comes late changes nothing") {
    HostTable table({});
    CHECK(table.merge(host("1", 5, HostState::draining), Time{0}));
    CHECK_FALSE(table.merge(host("1", 4), Time{1}));
    CHECK(state_of(table, "1") == HostState::draining);
}

TEST_CASE("a drain is not taken back, neither by a later heartbeat nor after a silence") {
    HostTable table({});
    table.merge(host("1", 1, HostState::draining), Time{0});
    table.merge(host("1", 2), Time{1});
    CHECK(state_of(table, "1") == HostState::draining);
    CHECK(table.expire(Time{20}).size() == 1);
    CHECK(table.merge(host("1", 3), Time{21}));
    CHECK(state_of(table, "1") == HostState::draining);
}

TEST_CASE("who has left stays gone, who was silent comes back") {
    HostTable table({});
    table.merge(host("1", 1), Time{0});
    table.merge(host("2", 1), Time{0});
    CHECK(table.merge(host("1", 0, HostState::gone), Time{1}));
    CHECK_FALSE(table.merge(host("1", 9), Time{2}));
    CHECK(table.expire(Time{6}).size() == 1);
    CHECK(state_of(table, "2") == HostState::lost);
    CHECK(table.merge(host("2", 2), Time{7}));
    CHECK(state_of(table, "2") == HostState::ready);
    CHECK(state_of(table, "1") == HostState::gone);
}

TEST_CASE("who is lost to one table may be heard of by another, and its drain then counts") {
    HostTable table({});
    table.merge(host("1", 5), Time{0});
    CHECK(table.expire(Time{6}).size() == 1);
    CHECK(table.refresh("1", 6, Time{7}));
    CHECK(state_of(table, "1") == HostState::ready);
    CHECK(table.expire(Time{13}).size() == 1);
    CHECK(table.merge(host("1", 7, HostState::draining), Time{14}));
    CHECK(state_of(table, "1") == HostState::draining);
    CHECK(table.merge(host("1", 7, HostState::lost), Time{15}));
    CHECK_FALSE(table.merge(host("1", 6, HostState::lost), Time{15}));
    CHECK(table.merge(host("1", 8), Time{16}));
    CHECK(state_of(table, "1") == HostState::draining);
}

TEST_CASE("an address that another host takes ends the one before") {
    HostTable table({});
    table.merge(host("1", 1, HostState::ready, "10.0.0.1:80"), Time{0});
    table.merge(host("2", 1, HostState::ready, "10.0.0.1:80"), Time{1});
    const auto told = table.expire(Time{1});
    REQUIRE(told.size() == 1);
    CHECK(told[0].id == "1");
    CHECK(told[0].state == HostState::gone);
}

TEST_CASE("time in which nothing could be heard counts for nobody") {
    HostTable table({});
    table.merge(host("1", 1), Time{0});
    table.extend_deadlines(Span{10});
    CHECK(table.expire(Time{12}).empty());
    CHECK(table.expire(Time{15}).size() == 1);
}

TEST_CASE("a host known from before a restart is trusted for a short time only") {
    registry::HostTableOptions options;
    HostTable table(options);
    table.restore(host("1", 0), Time{100});
    table.restore(host("2", 0), Time{100});
    CHECK(table.merge(host("1", 7), Time{101}) == false);   // known already, and as before
    CHECK(table.expire(Time{100} + options.restored_timeout - Span{0.1}).empty());
    const auto lost = table.expire(Time{100} + options.restored_timeout + Span{0.1});
    REQUIRE(lost.size() == 1);
    CHECK(lost[0].id == "2");
}

TEST_CASE("the table is bounded, those that are gone give way first") {
    registry::HostTableOptions options;
    options.max_hosts = 3;
    HostTable table(options);
    for (const auto* id : {"1", "2", "3"}) table.merge(host(id, 1), Time{0});
    table.merge(host("2", 0, HostState::gone), Time{0});
    table.merge(host("4", 1), Time{0});
    CHECK(table.size() == 3);
    CHECK(table.find("2") == nullptr);
}

// The model: of what was told of a host, its end counts for good, a drain for good but for that, and else the highest
// sequence. It keeps all that was ever told.
TEST_CASE("tables that are told the same in any order agree with each other and with the plain model") {
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        Pcg chance(seed);
        std::vector<Host> told;
        for (int i = 0; i < 60; ++i) {
            const auto id = std::to_string(1 + chance.next() % 6);
            const auto draw = chance.next() % 12;
            const auto state = draw == 0 ? HostState::gone : draw < 3 ? HostState::draining : HostState::ready;
            // A host never says that it is ready again: its drains have the highest sequences.
            const uint64_t sequence = chance.next() % 50 + (state == HostState::draining ? 100 : 0);
            told.push_back(host(id, sequence, state));
        }
        HostTable first({}), second({});
        for (const auto& each : told) first.merge(each, Time{0});
        for (size_t i = told.size(); i > 1; --i) std::swap(told[i - 1], told[chance.next() % i]);
        for (const auto& each : told) second.merge(each, Time{0});
        std::set<std::string> ids;
        for (const auto& each : told) ids.insert(each.id);
        for (const auto& id : ids) {
            auto state = HostState::ready;
            for (const auto& each : told)
                if (each.id == id) state = std::max(state, each.state);
            CHECK(state_of(first, id) == state);
            CHECK(state_of(second, id) == state);
        }
    }
}
