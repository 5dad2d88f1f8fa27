// A single replica: its replies to single messages, and what it accepts as proof of a quorum.
#include <doctest/doctest.h>

#include <memory>
#include <set>

#include "consensus/replica.hpp"

using namespace myrtleroute;
using namespace myrtleroute::consensus;

namespace {

ReplicaId replica(int number, uint64_t disk = 0) { return {{"10.0.0." + std::to_string(number), 7500}, disk}; }

// One replica of several; the test acts as its disk and its peers.
struct SingleReplica {
    Time now{100};
    std::unique_ptr<Replica> self;
    std::vector<SendTo> sent;
    std::vector<BarrierPassed> passed_barriers;

    explicit SingleReplica(HardState hard_state = {}, int voters = 3) {
        ClusterState state;
        for (int i = 1; i <= voters; ++i) state.voters.push_back(replica(i));
        self = std::make_unique<Replica>(replica(1), hard_state, Entry{{0, 1}, state}, ReplicaOptions{}, 1, now);
    }
    void collect() {
        for (auto outputs = self->take_outputs(); !outputs.empty(); outputs = self->take_outputs())
            for (auto& output : outputs) {
                if (auto* message = std::get_if<SendTo>(&output)) sent.push_back(*message);
                if (auto* barrier = std::get_if<BarrierPassed>(&output)) passed_barriers.push_back(*barrier);
                if (auto* persist = std::get_if<Persist>(&output)) self->persisted(persist->number, now);
            }
    }
    void receive(int from, const Message& message, uint64_t disk = 0) {
        self->receive(replica(from, disk), message, now);
        collect();
    }
    void advance(Span span) {
        for (const Time end = now + span; now < end; now = now + Span{0.05}) {
            self->tick(now);
            collect();
        }
    }
    template <class Type>
    std::optional<Type> last(int to) const {
        for (auto it = sent.rbegin(); it != sent.rend(); ++it)
            if (it->to.endpoint == replica(to).endpoint)
                if (const auto* message = std::get_if<Type>(&it->message)) return *message;
        return {};
    }
    // Elects the replica by the votes of the others, which then acknowledge its first entry.
    void elect() {
        const int voters = static_cast<int>(self->entry()->state.voters.size());
        for (int other = 2; other <= voters; ++other) self->peer_connected(replica(other), true, now);
        while (!last<VoteRequest>(2)) advance(Span{0.05});
        const auto term = last<VoteRequest>(2)->term;
        for (int other = 2; other <= voters; ++other) receive(other, VoteReply{true, term, true});
        for (int other = 2; other <= voters; ++other) receive(other, VoteReply{false, term, true});
        for (int other = 2; other <= voters; ++other) acknowledge(other);
    }
    void acknowledge(int from, uint64_t disk = 0) {
        const auto append = last<Append>(from);
        if (append) receive(from, AppendReply{append->term, append->round, append->last}, disk);
    }
};

Append append(uint64_t term, uint64_t round, Position last, uint64_t commit, uint64_t acknowledged_round) {
    return {term, round, last, commit, false, acknowledged_round, std::nullopt};
}

}   // namespace

TEST_CASE("a replica in a pre-vote still votes for another candidate") {
    SingleReplica single({3, {}});
    while (!single.last<VoteRequest>(2)) single.advance(Span{0.05});
    REQUIRE(single.self->role() == Role::candidate);
    single.receive(2, VoteRequest{false, 3, {0, 1}, false});
    REQUIRE(single.last<VoteReply>(2));
    CHECK(single.last<VoteReply>(2)->granted);
    CHECK(single.self->role() == Role::follower);
}

TEST_CASE("a replica votes once per term, and repeats its vote if the reply was lost") {
    SingleReplica single;
    single.receive(2, VoteRequest{false, 5, {0, 1}, true});
    CHECK(single.last<VoteReply>(2)->granted);
    single.receive(2, VoteRequest{false, 5, {0, 1}, true});
    CHECK(single.last<VoteReply>(2)->granted);
    single.receive(3, VoteRequest{false, 5, {0, 9}, true});
    CHECK_FALSE(single.last<VoteReply>(3)->granted);
}

TEST_CASE("a candidate that has voted for itself votes for no other in that term") {
    SingleReplica single;
    while (!single.last<VoteRequest>(2)) single.advance(Span{0.05});
    single.receive(2, VoteReply{true, single.last<VoteRequest>(2)->term, true});   // now it is a candidate
    const auto term = single.self->term();
    single.receive(3, VoteRequest{false, term, {0, 9}, false});
    CHECK_FALSE(single.last<VoteReply>(3)->granted);
}

TEST_CASE("a follower is current by replies confirmed by its leader, not by old messages received after a freeze") {
    SingleReplica single;
    single.receive(2, append(4, 1, {0, 1}, 1, 0));
    CHECK_FALSE(single.self->is_current(single.now));
    single.receive(2, append(4, 2, {0, 1}, 1, 1));
    CHECK(single.self->is_current(single.now));
    single.now = single.now + Span{20};
    single.receive(2, append(4, 3, {0, 1}, 1, 2));   // sent twenty seconds ago
    single.receive(2, append(4, 4, {0, 1}, 1, 2));
    CHECK_FALSE(single.self->is_current(single.now));
    single.receive(2, append(4, 5, {0, 1}, 1, 4));
    CHECK(single.self->is_current(single.now));
}

TEST_CASE("a leader is current by replies to recent rounds, not by old replies received after a freeze") {
    SingleReplica single;
    single.elect();
    REQUIRE(single.self->role() == Role::leader);
    CHECK(single.self->is_current(single.now));
    const auto old = *single.last<Append>(2);
    single.now = single.now + Span{20};
    CHECK_FALSE(single.self->is_current(single.now));
    single.receive(2, AppendReply{old.term, old.round, old.last});
    single.receive(3, AppendReply{old.term, old.round, old.last});
    CHECK_FALSE(single.self->is_current(single.now));
    single.advance(Span{0.05});
    CHECK(single.self->role() == Role::follower);
}

TEST_CASE("a follower's barrier passes when the leader has confirmed it and its entries have arrived") {
    SingleReplica single;
    single.receive(2, append(4, 1, {0, 1}, 1, 0));
    const auto number = single.self->barrier(BarrierAt::committed, single.now);
    single.collect();
    REQUIRE(number);
    REQUIRE(single.last<ReadRequest>(2));
    CHECK(single.passed_barriers.empty());
    single.receive(3, ReadReply{4, *number, 1});   // not from the leader
    CHECK(single.passed_barriers.empty());
    single.receive(2, ReadReply{4, *number, 7});
    CHECK(single.passed_barriers.empty());   // entry 7 has not arrived yet
    auto newer = append(4, 2, {4, 7}, 7, 1);
    newer.state = single.self->entry()->state;
    single.receive(2, newer);
    REQUIRE(single.passed_barriers.size() == 1);
    CHECK(single.passed_barriers[0].number == *number);
    CHECK(single.passed_barriers[0].index == 7);
}

TEST_CASE("a leader confirms a follower's barrier only after a majority has replied to a later round") {
    SingleReplica single;
    single.elect();
    single.receive(3, ReadRequest{single.self->term(), 12});
    CHECK_FALSE(single.last<ReadReply>(3));
    single.acknowledge(2);
    REQUIRE(single.last<ReadReply>(3));
    CHECK(single.last<ReadReply>(3)->number == 12);
}

// Guards against a round of heartbeats per barrier: while subscriptions move in a fleet of 300 machines, each of 24
// control nodes requests barriers several times per second. The leader used to send a round to all 24 for each, whose
// replies were most of its messages: 1,000 to 2,550 per second in its log.
TEST_CASE("a leader confirms many barriers by few rounds, to voters only, and none by an earlier round") {
    SingleReplica leader({}, 5);
    leader.elect();
    constexpr int others = 24, barriers = 200;
    for (int other = 6; other <= others; ++other) leader.receive(other, AppendReply{leader.self->term(), 0, {}});
    leader.advance(Span{0.4});
    for (int other = 2; other <= 5; ++other) leader.acknowledge(other);
    leader.sent.clear();
    for (int i = 0; i < barriers; ++i) {
        leader.now = leader.now + Span{0.0005};
        leader.receive(6 + i % 19, ReadRequest{leader.self->term(), static_cast<uint64_t>(i + 1)});
    }
    std::set<uint64_t> rounds;
    size_t to_voters = 0;
    for (const auto& send : leader.sent)
        if (const auto* append = std::get_if<Append>(&send.message)) {
            rounds.insert(append->round);
            to_voters += leader.self->is_voter(send.to);
        }
    CHECK(rounds.size() <= 7);   // in a tenth of a second, including a regular heartbeat
    CHECK(leader.sent.size() - to_voters <= 19);
    CHECK_FALSE(leader.last<ReadReply>(6));
    leader.advance(Span{0.2});   // the last barriers wait for a round that is sent after them
    for (int other = 2; other <= 5; ++other) leader.acknowledge(other);
    size_t replies = 0;
    for (const auto& send : leader.sent) replies += std::holds_alternative<ReadReply>(send.message);
    CHECK(replies == barriers);
}

TEST_CASE("a barrier does not pass at a leader without replies from a majority") {
    SingleReplica single;
    single.elect();
    single.passed_barriers.clear();
    REQUIRE(single.self->barrier(BarrierAt::last, single.now));
    single.collect();
    single.advance(Span{3});
    CHECK(single.passed_barriers.empty());
    CHECK(single.self->role() != Role::leader);
}

TEST_CASE(
    "a voter whose machine returns with another disk is removed at once, and the new replica joins once caught up") {
    SingleReplica single;
    single.elect();
    REQUIRE(single.self->role() == Role::leader);
    single.self->peer_reachable(replica(3, 77), true, single.now + Span{0.01});
    single.now = single.now + Span{0.05};
    single.advance(Span{0.1});
    CHECK_FALSE(single.self->is_voter(replica(3)));
    single.acknowledge(2);
    single.advance(Span{0.1});
    CHECK_FALSE(single.self->is_voter(replica(3, 77)));   // it has not acknowledged the last entry
    single.acknowledge(3, 77);
    single.advance(Span{0.1});
    CHECK(single.self->is_voter(replica(3, 77)));
}

TEST_CASE("the disk of a replica may be lost once every responding voter has its last entry") {
    SingleReplica single;
    single.elect();
    single.advance(Span{0.3});
    single.acknowledge(2);
    single.acknowledge(3);
    CHECK(single.self->is_fully_replicated());
    auto state = single.self->entry()->state;
    state.version = 9;
    REQUIRE(single.self->propose(state, single.now));
    single.collect();
    single.acknowledge(2);
    CHECK(single.self->committed() == single.self->entry()->position.index);
    CHECK_FALSE(single.self->is_fully_replicated());   // one more voter responds, and lacks the entry
    single.acknowledge(3);
    CHECK(single.self->is_fully_replicated());
}

TEST_CASE("a voter out of contact for two seconds is removed from four voters, but not from three") {
    for (const int voters : {3, 4}) {
        CAPTURE(voters);
        SingleReplica single({}, voters);
        single.elect();
        REQUIRE(single.self->role() == Role::leader);
        for (int i = 0; i < 60; ++i) {   // the last voter sends nothing for three seconds
            single.advance(Span{0.05});
            for (int other = 2; other < voters; ++other) single.acknowledge(other);
        }
        REQUIRE(single.self->role() == Role::leader);
        CHECK(single.self->is_voter(replica(voters)) == (voters == 3));
    }
}

TEST_CASE("a departing voter is removed at once if enough others are live, and joins again when it is back") {
    SingleReplica single({}, 4);
    single.elect();
    single.advance(Span{0.3});
    for (int other = 2; other <= 4; ++other) single.acknowledge(other);
    single.receive(4, Departure{single.self->term()});
    single.advance(Span{0.1});
    CHECK_FALSE(single.self->is_voter(replica(4)));
    for (int i = 0; i < 4; ++i) {
        for (int other = 2; other <= 4; ++other) single.acknowledge(other);
        single.advance(Span{0.1});
    }
    CHECK_FALSE(single.self->is_voter(replica(4)));   // it still replies, and is about to end
    single.self->peer_connected(replica(4), true, single.now);
    single.advance(Span{0.3});
    for (int other = 2; other <= 4; ++other) single.acknowledge(other);
    single.advance(Span{0.1});
    CHECK(single.self->is_voter(replica(4)));
}

TEST_CASE("a departing follower notifies its leader, a departing leader transfers its leadership") {
    SingleReplica follower;
    follower.receive(2, append(4, 1, {0, 1}, 1, 0));
    follower.self->depart(follower.now);
    follower.collect();
    CHECK(follower.last<Departure>(2));
    SingleReplica leader;
    leader.elect();
    leader.advance(Span{0.3});
    leader.acknowledge(2);
    leader.acknowledge(3);
    leader.self->depart(leader.now);
    leader.collect();
    CHECK((leader.last<TransferLeadership>(2) || leader.last<TransferLeadership>(3)));
}

TEST_CASE("a follower whose leader's connection ends starts an election soon, unless the leader sends again") {
    SingleReplica follower;
    const Position last{0, 1};
    const auto elections = [&] {
        size_t count = 0;
        for (const auto& send : follower.sent) count += std::holds_alternative<VoteRequest>(send.message);
        return count;
    };
    follower.receive(2, append(1, 1, last, 0, 0));
    follower.self->peer_disconnected(replica(3), follower.now);   // the connection of another follower
    follower.self->peer_disconnected(replica(2), follower.now);   // reset, and established again
    follower.advance(Span{0.25});
    follower.receive(2, append(1, 2, last, 0, 1));
    follower.advance(Span{0.8});
    CHECK(elections() == 0);
    follower.receive(2, append(1, 3, last, 0, 2));
    follower.self->peer_disconnected(replica(2), follower.now);
    // Another replica that has lost the leader is not refused.
    follower.receive(3, VoteRequest{true, 2, last, false});
    CHECK(follower.last<VoteReply>(3)->granted);
    follower.advance(Span{0.3});
    CHECK(elections() == 0);
    follower.advance(Span{0.4});
    CHECK(elections() > 0);
}

TEST_CASE("a vote and its candidate are on disk before the vote is sent") {
    SingleReplica single;
    single.self->receive(replica(2), VoteRequest{false, 5, {0, 1}, true}, single.now);
    std::vector<Persist> writes;
    const auto replies = [&] {
        size_t count = 0;
        for (auto& output : single.self->take_outputs()) {
            if (auto* persist = std::get_if<Persist>(&output)) writes.push_back(*persist);
            const auto* sent = std::get_if<SendTo>(&output);
            count += sent && std::holds_alternative<VoteReply>(sent->message);
        }
        return count;
    };
    CHECK(replies() == 0);
    REQUIRE_FALSE(writes.empty());
    HardState on_disk;
    for (const auto& write : writes)
        if (write.hard_state) on_disk = *write.hard_state;
    CHECK(on_disk == HardState{5, replica(2)});
    single.self->persisted(writes.back().number, single.now);
    CHECK(replies() == 1);
}

TEST_CASE("no voter changes while the previous change, or the first entry of the term, is uncommitted") {
    SingleReplica single({}, 4);
    single.elect();
    single.advance(Span{0.3});
    for (int other = 2; other <= 4; ++other) single.acknowledge(other);
    single.receive(4, Departure{single.self->term()});
    single.advance(Span{0.1});
    REQUIRE_FALSE(single.self->is_voter(replica(4)));   // proposed; no replica has replied yet
    single.self->peer_connected(replica(5), true, single.now);
    single.advance(Span{0.25});
    single.acknowledge(5);
    single.advance(Span{0.1});
    CHECK_FALSE(single.self->is_voter(replica(5)));
    for (int other = 2; other <= 3; ++other) single.acknowledge(other);
    single.advance(Span{0.25});
    single.acknowledge(5);
    single.advance(Span{0.1});
    CHECK(single.self->is_voter(replica(5)));
}
