// Messages between processes: what is written is read again, and what is no message is refused.
#include <doctest/doctest.h>

#include "messages/messages.hpp"
#include "random.hpp"

using namespace myrtleroute;
using namespace myrtleroute::messages;

namespace {

consensus::ClusterState cluster_state() {
    return {{{{"10.0.0.1", 7500}, 0}, {{"10.0.0.2", 7500}, 77}},
            9,
            "{\"version\":9, \"text\":\"\\u00e4\\n\"}",
            {{8, "ab"}, {9, "cd"}},
            {},
            {4, {{3, "s", "v2", 12.5, rollout::Stage::moving, {"v0"}}}}};
}

std::vector<Message> examples() {
    const ControlNode node{{"10.0.0.1", 7500}, {"10.0.0.1", 8367}, "north"};
    const registry::Host host{"i-1", "s", "10.9.0.1:80", "north", 64, registry::HostState::draining, 12};
    const consensus::ReplicaId replica{{"10.0.0.2", 7500}, 77};
    return {PeerHello{replica, node, true, {node}},
            ConsensusMessage{77, consensus::VoteRequest{true, 3, {2, 5}, false}},
            ConsensusMessage{77, consensus::VoteReply{false, 3, true}},
            ConsensusMessage{77, consensus::Append{3, 9, {3, 6}, 5, true, 8, cluster_state()}},
            ConsensusMessage{77, consensus::Append{3, 9, {3, 6}, 5, true, 8, std::nullopt}},
            ConsensusMessage{77, consensus::AppendReply{3, 9, {3, 6}}},
            ConsensusMessage{77, consensus::TransferLeadership{3}},
            ConsensusMessage{77, consensus::Departure{3}},
            ConsensusMessage{77, consensus::ReadRequest{3, 12}},
            ConsensusMessage{77, consensus::ReadReply{3, 12, 6}},
            HostsUpdate{{host}, 4, true},
            HostsConfirmation{4},
            HostHeartbeats{{{"i-1", 13}}},
            ProxiesStatus{std::vector<std::string>{"edge-1", "edge-2"}, 2, true, 100},
            ProxiesStatus{std::nullopt, 2, false, 0.5},
            Subscribe{"edge-1", 8, "north"},
            leases::LeaseRequest{{"edge-1", 77}, 5, 4, 3, 1.25, {{"t", {50, 40, 3, 2, 1, 7, 0.5}}}},
            leases::LeaseReply{{"edge-1", 77}, 5, 3, true, {{"t", {500, 400, 30, 20, 10, 1.25}}}},
            ConfigurationUpdate{9, "{}"},
            FleetStatus{true, false, 2, 12, {node}, std::nullopt},
            FleetStatus{false, true, 2, 12, {}, node},
            RolloutsUpdate{{4, {{3, "s", "v2", 12.5, rollout::Stage::moving, {"v0"}}}}},
            rollout::RolloutReport{"edge-1", "north", 77, 5, 3, 1.25, 1, 2, {{"r", {40, 1}, {{"i-1", {3, 2}}}}}}};
}

}   // namespace

TEST_CASE("every message is read as it was written") {
    for (const auto& message : examples()) {
        const auto json = encode(message);
        CAPTURE(json);
        const auto read = decode(json);
        REQUIRE(read);
        CHECK(read->index() == message.index());
        CHECK(encode(*read) == json);
    }
}

TEST_CASE("amounts of units are not made more on their way, and one request's is not made less") {
    leases::LeaseReply reply{{"edge-1", 1}, 1, 1, false, {}};
    reply.tenants["small"].granted = 0.2 + 0.7 + 0.1;   // a little less than 1
    reply.tenants["large"].granted = 54321.9;
    const auto read = std::get<leases::LeaseReply>(*decode(encode(reply)));
    CHECK(read.tenants.at("small").granted == 1);
    CHECK(read.tenants.at("large").granted == 54321);
    leases::LeaseRequest ask{{"edge-1", 1}, 1, 0, 0, 0, {}};
    ask.tenants["t"].held = 0.3334;
    CHECK(std::get<leases::LeaseRequest>(*decode(encode(ask))).tenants.at("t").held == 0.334);
}

TEST_CASE("what is cut short or changed is refused or another message, never a crash") {
    Pcg chance(3);
    for (const auto& message : examples()) {
        const auto json = encode(message);
        for (size_t length = 0; length < json.size(); ++length) CHECK_FALSE(decode(json.substr(0, length)));
        for (int i = 0; i < 300; ++i) {
            auto changed = json;
            changed[chance.next() % changed.size()] = static_cast<char>(chance.next());
            if (const auto read = decode(changed)) CHECK_FALSE(encode(*read).empty());
        }
    }
    CHECK_FALSE(decode(R"({"kind":"unknown"})"));
    CHECK_FALSE(decode(
        R"({"kind":"hosts","hosts":[{"id":"i","service":"s","address":"a","zone":"z","capacity":1,"state":9,"sequence":1}],"confirm":0})"));
}

TEST_CASE("frames are cut wherever the bytes are") {
    const std::string bytes = frame("first") + frame("") + frame("third");
    for (size_t step = 1; step <= bytes.size(); ++step) {
        FrameReader reader;
        std::vector<std::string> read;
        for (size_t at = 0; at < bytes.size(); at += step) {
            reader.feed(std::string_view(bytes).substr(at, step));
            while (auto json = reader.next()) read.push_back(*json);
        }
        CHECK(read == std::vector<std::string>{"first", "", "third"});
    }
}

TEST_CASE("a frame longer than any may be ends the connection") {
    FrameReader reader;
    reader.feed("\xff\xff\xff\xff");
    CHECK_FALSE(reader.next());
    CHECK(reader.frame_too_long());
}

TEST_CASE("a record on disk is read as it was written") {
    const consensus::ReplicaId voted{{"10.0.0.2", 7500}, 77};
    const Record record{5, consensus::HardState{3, voted}, consensus::Entry{{3, 6}, cluster_state()}, std::nullopt};
    const auto read = decode_record(encode_record(record));
    REQUIRE(read);
    CHECK(read->disk == 5);
    CHECK(*read->hard_state == *record.hard_state);
    CHECK(*read->entry == *record.entry);
    CHECK_FALSE(read->hosts);
    CHECK_FALSE(decode_record("{"));
}
