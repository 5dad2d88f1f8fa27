// The host table: single cases, and random histories against a slow plain model.
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

TEST_CASE("a late heartbeat changes nothing") {
    HostTable table({});
    CHECK(table.merge(host("1", 5, HostState::draining), Time{0}));
    CHECK_FALSE(table.merge(host("1", 4), Time{1}));
    CHECK(state_of(table, "1") == HostState::draining);
}

TEST_CASE("a drain is not undone by a later heartbeat or after lost contact") {
    HostTable table({});
    table.merge(host("1", 1, HostState::draining), Time{0});
    table.merge(host("1", 2), Time{1});
    CHECK(state_of(table, "1") == HostState::draining);
    CHECK(table.expire(Time{20}).size() == 1);
    CHECK(table.merge(host("1", 3), Time{21}));
    CHECK(state_of(table, "1") == HostState::draining);
}

TEST_CASE("a host that has left stays gone, a lost host comes back") {
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

TEST_CASE("a host lost to one table can be refreshed by another, and its drain then counts") {
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

TEST_CASE("a host that takes another host's address ends that host") {
    HostTable table({});
    table.merge(host("1", 1, HostState::ready, "10.0.0.1:80"), Time{0});
    table.merge(host("2", 1, HostState::ready, "10.0.0.1:80"), Time{1});
    const auto updates = table.expire(Time{1});
    REQUIRE(updates.size() == 1);
    CHECK(updates[0].id == "1");
    CHECK(updates[0].state == HostState::gone);
}

TEST_CASE("time in which no heartbeats could be received makes no host lost") {
    HostTable table({});
    table.merge(host("1", 1), Time{0});
    table.extend_deadlines(Span{10});
    CHECK(table.expire(Time{12}).empty());
    CHECK(table.expire(Time{15}).size() == 1);
}

TEST_CASE("a host restored after a restart is lost soon without a heartbeat") {
    registry::HostTableOptions options;
    HostTable table(options);
    table.restore(host("1", 0), Time{100});
    table.restore(host("2", 0), Time{100});
    CHECK(table.merge(host("1", 7), Time{101}) == false);   // known already, and unchanged
    CHECK(table.expire(Time{100} + options.restored_timeout - Span{0.1}).empty());
    const auto lost = table.expire(Time{100} + options.restored_timeout + Span{0.1});
    REQUIRE(lost.size() == 1);
    CHECK(lost[0].id == "2");
}

TEST_CASE("the table is bounded and evicts gone hosts first") {
    registry::HostTableOptions options;
    options.max_hosts = 3;
    HostTable table(options);
    for (const auto* id : {"1", "2", "3"}) table.merge(host(id, 1), Time{0});
    table.merge(host("2", 0, HostState::gone), Time{0});
    table.merge(host("4", 1), Time{0});
    CHECK(table.size() == 3);
    CHECK(table.find("2") == nullptr);
}

// The plain model keeps all updates ever merged. Of a host's updates, its departure is final, a drain is final except
// for a departure, and otherwise the highest sequence number decides.
TEST_CASE("tables with the same updates in any order agree with each other and with the plain model") {
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        Pcg rng(seed);
        std::vector<Host> updates;
        for (int i = 0; i < 60; ++i) {
            const auto id = std::to_string(1 + rng.next() % 6);
            const auto pick = rng.next() % 12;
            const auto state = pick == 0 ? HostState::gone : pick < 3 ? HostState::draining : HostState::ready;
            // A host never announces that it is ready again: its drains have the highest sequence numbers.
            const uint64_t sequence = rng.next() % 50 + (state == HostState::draining ? 100 : 0);
            updates.push_back(host(id, sequence, state));
        }
        HostTable first({}), second({});
        for (const auto& update : updates) first.merge(update, Time{0});
        for (size_t i = updates.size(); i > 1; --i) std::swap(updates[i - 1], updates[rng.next() % i]);
        for (const auto& update : updates) second.merge(update, Time{0});
        std::set<std::string> ids;
        for (const auto& update : updates) ids.insert(update.id);
        for (const auto& id : ids) {
            auto state = HostState::ready;
            for (const auto& update : updates)
                if (update.id == id) state = std::max(state, update.state);
            CHECK(state_of(first, id) == state);
            CHECK(state_of(second, id) == state);
        }
    }
}
