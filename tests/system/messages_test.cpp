// Messages between processes: encoding and decoding, and rejection of invalid messages.
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

TEST_CASE("every message is unchanged by encoding and decoding") {
    for (const auto& message : examples()) {
        const auto json = encode(message);
        CAPTURE(json);
        const auto decoded = decode(json);
        REQUIRE(decoded);
        CHECK(decoded->index() == message.index());
        CHECK(encode(*decoded) == json);
    }
}

TEST_CASE("encoding never adds units, and doesn't round the amount of a single request down") {
    leases::LeaseReply reply{{"edge-1", 1}, 1, 1, false, {}};
    reply.tenants["small"].granted = 0.2 + 0.7 + 0.1;   // slightly less than 1 in floating-point arithmetic
    reply.tenants["large"].granted = 54321.9;
    const auto decoded = std::get<leases::LeaseReply>(*decode(encode(reply)));
    CHECK(decoded.tenants.at("small").granted == 1);
    CHECK(decoded.tenants.at("large").granted == 54321);
    leases::LeaseRequest ask{{"edge-1", 1}, 1, 0, 0, 0, {}};
    ask.tenants["t"].held = 0.3334;
    CHECK(std::get<leases::LeaseRequest>(*decode(encode(ask))).tenants.at("t").held == 0.334);
}

TEST_CASE("truncated messages are rejected, corrupted ones are rejected or decoded as another message") {
    Pcg rng(3);
    for (const auto& message : examples()) {
        const auto json = encode(message);
        for (size_t length = 0; length < json.size(); ++length) CHECK_FALSE(decode(json.substr(0, length)));
        for (int i = 0; i < 300; ++i) {
            auto corrupted = json;
            corrupted[rng.next() % corrupted.size()] = static_cast<char>(rng.next());
            if (const auto decoded = decode(corrupted)) CHECK_FALSE(encode(*decoded).empty());
        }
    }
    CHECK_FALSE(decode(R"({"kind":"unknown"})"));
    CHECK_FALSE(decode(
        R"({"kind":"hosts","hosts":[{"id":"i","service":"s","address":"a","zone":"z","capacity":1,"state":9,"sequence":1}],"confirm":0})"));
}

TEST_CASE("frames are split correctly wherever the byte stream is cut") {
    const std::string bytes = frame("first") + frame("") + frame("third");
    for (size_t chunk = 1; chunk <= bytes.size(); ++chunk) {
        FrameReader reader;
        std::vector<std::string> frames;
        for (size_t at = 0; at < bytes.size(); at += chunk) {
            reader.feed(std::string_view(bytes).substr(at, chunk));
            while (auto json = reader.next()) frames.push_back(*json);
        }
        CHECK(frames == std::vector<std::string>{"first", "", "third"});
    }
}

TEST_CASE("a frame above the maximum length is reported") {
    FrameReader reader;
    reader.feed("\xff\xff\xff\xff");
    CHECK_FALSE(reader.next());
    CHECK(reader.frame_too_long());
}

TEST_CASE("a record on disk is unchanged by encoding and decoding") {
    const consensus::ReplicaId voted_for{{"10.0.0.2", 7500}, 77};
    const Record record{5, consensus::HardState{3, voted_for}, consensus::Entry{{3, 6}, cluster_state()}, std::nullopt};
    const auto decoded = decode_record(encode_record(record));
    REQUIRE(decoded);
    CHECK(decoded->disk == 5);
    CHECK(*decoded->hard_state == *record.hard_state);
    CHECK(*decoded->entry == *record.entry);
    CHECK_FALSE(decoded->hosts);
    CHECK_FALSE(decode_record("{"));
}
