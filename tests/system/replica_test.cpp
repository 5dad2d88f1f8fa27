// A replica by itself: what it answers to single messages, and what it takes for proof.
#include <doctest/doctest.h>

#include <memory>
#include <set>

#include "consensus/replica.hpp"

using namespace myrtleroute;
using namespace myrtleroute::consensus;

namespace {

ReplicaId replica(int number, uint64_t disk = 0) { return {{"10.0.0." + std::to_string(number), 7500}, disk}; }

// One replica of three; the test is its disk and its peers.
struct Alone {
    Time now{100};
    std::unique_ptr<Replica> self;
    std::vector<SendTo> sent;
    std::vector<BarrierPassed> passed;

    explicit Alone(HardState hard_state = {}, int voters = 3) {
        ClusterState state;
        for (int i = 1; i <= voters; ++i) state.voters.push_back(replica(i));
        self = std::make_unique<Replica>(replica(1), hard_state, Entry{{0, 1}, state}, ReplicaOptions{}, 1, now);
    }
    void collect() {
        for (auto outputs = self->take_outputs(); !outputs.empty(); outputs = self->take_outputs())
            for (auto& output : outputs) {
                if (auto* message = std::get_if<SendTo>(&output)) sent.push_back(*message);
                if (auto* barrier = std::get_if<BarrierPassed>(&output)) passed.push_back(*barrier);
                if (auto* persist = std::get_if<Persist>(&output)) self->persisted(persist->number, now);
            }
    }
    void hear(int from, const Message& message, uint64_t disk = 0) {
        self->receive(replica(from, disk), message, now);
        collect();
    }
    void pass(Span span) {
        for (const Time end = now + span; now < end; now = now + Span{0.05}) {
            self->tick(now);
            collect();
        }
    }
    template <class Kind>
    std::optional<Kind> last(int to) const {
        for (auto it = sent.rbegin(); it != sent.rend(); ++it)
            if (it->to.endpoint == replica(to).endpoint)
                if (const auto* message = std::get_if<Kind>(&it->message)) return *message;
        return {};
    }
    // Elected by the votes of the others, which then hold its first entry.
    void lead() {
        const int voters = static_cast<int>(self->entry()->state.voters.size());
        for (int other = 2; other <= voters; ++other) self->peer_connected(replica(other), true, now);
        while (!last<VoteRequest>(2)) pass(Span{0.05});
        const auto trial = last<VoteRequest>(2)->term;
        for (int other = 2; other <= voters; ++other) hear(other, VoteReply{true, trial, true});
        for (int other = 2; other <= voters; ++other) hear(other, VoteReply{false, trial, true});
        for (int other = 2; other <= voters; ++other) answer(other);
    }
    void answer(int from, uint64_t disk = 0) {
        const auto append = last<Append>(from);
        if (append) hear(from, AppendReply{append->term, append->round, append->last}, disk);
    }
};

Append append(uint64_t term, uint64_t round, Position last, uint64_t commit, uint64_t answered) {
    return {term, round, last, commit, false, answered, std::nullopt};
}

}   // namespace

TEST_CASE("a replica that only asks whether it could be elected still votes for another one") {
    Alone alone({3, {}});
    while (!alone.last<VoteRequest>(2)) alone.pass(Span{0.05});
    REQUIRE(alone.self->role() == Role::candidate);
    alone.hear(2, VoteRequest{false, 3, {0, 1}, false});
    REQUIRE(alone.last<VoteReply>(2));
    CHECK(alone.last<VoteReply>(2)->granted);
    CHECK(alone.self->role() == Role::follower);
}

TEST_CASE("a replica votes once a term, also when it is asked again because its reply was lost") {
    Alone alone;
    alone.hear(2, VoteRequest{false, 5, {0, 1}, true});
    CHECK(alone.last<VoteReply>(2)->granted);
    alone.hear(2, VoteRequest{false, 5, {0, 1}, true});
    CHECK(alone.last<VoteReply>(2)->granted);
    alone.hear(3, VoteRequest{false, 5, {0, 9}, true});
    CHECK_FALSE(alone.last<VoteReply>(3)->granted);
}

TEST_CASE("one that has voted for itself votes for nobody else in that term") {
    Alone alone;
    while (!alone.last<VoteRequest>(2)) alone.pass(Span{0.05});
    alone.hear(2, VoteReply{true, alone.last<VoteRequest>(2)->term, true});   // now it stands
    const auto term = alone.self->term();
    alone.hear(3, VoteRequest{false, term, {0, 9}, false});
    CHECK_FALSE(alone.last<VoteReply>(3)->granted);
}

TEST_CASE(
    "a follower is current by answers that its leader has had, not by old messages that it finds after a freeze") {
    Alone alone;
    alone.hear(2, append(4, 1, {0, 1}, 1, 0));
    CHECK_FALSE(alone.self->is_current(alone.now));
    alone.hear(2, append(4, 2, {0, 1}, 1, 1));
    CHECK(alone.self->is_current(alone.now));
    alone.now = alone.now + Span{20};
    alone.hear(2, append(4, 3, {0, 1}, 1, 2));   // sent twenty seconds ago
    alone.hear(2, append(4, 4, {0, 1}, 1, 2));
    CHECK_FALSE(alone.self->is_current(alone.now));
    alone.hear(2, append(4, 5, {0, 1}, 1, 4));
    CHECK(alone.self->is_current(alone.now));
}

TEST_CASE("a leader is current by answers to rounds that it has sent lately, not by old answers after a freeze") {
    Alone alone;
    alone.lead();
    REQUIRE(alone.self->role() == Role::leader);
    CHECK(alone.self->is_current(alone.now));
    const auto old = *alone.last<Append>(2);
    alone.now = alone.now + Span{20};
    CHECK_FALSE(alone.self->is_current(alone.now));
    alone.hear(2, AppendReply{old.term, old.round, old.last});
    alone.hear(3, AppendReply{old.term, old.round, old.last});
    CHECK_FALSE(alone.self->is_current(alone.now));
    alone.pass(Span{0.05});
    CHECK(alone.self->role() == Role::follower);
}

TEST_CASE("a barrier of a follower holds when the leader's majority has confirmed it and its entries are here") {
    Alone alone;
    alone.hear(2, append(4, 1, {0, 1}, 1, 0));
    const auto number = alone.self->barrier(BarrierAt::committed, alone.now);
    alone.collect();
    REQUIRE(number);
    REQUIRE(alone.last<ReadRequest>(2));
    CHECK(alone.passed.empty());
    alone.hear(3, ReadReply{4, *number, 1});   // who does not lead
    CHECK(alone.passed.empty());
    alone.hear(2, ReadReply{4, *number, 7});
    CHECK(alone.passed.empty());   // entry 7 is not here yet
    auto newer = append(4, 2, {4, 7}, 7, 1);
    newer.state = alone.self->entry()->state;
    alone.hear(2, newer);
    REQUIRE(alone.passed.size() == 1);
    CHECK(alone.passed[0].number == *number);
    CHECK(alone.passed[0].index == 7);
}

TEST_CASE("a leader answers a follower's barrier only after a majority has answered a later round") {
    Alone alone;
    alone.lead();
    alone.hear(3, ReadRequest{alone.self->term(), 12});
    CHECK_FALSE(alone.last<ReadReply>(3));
    alone.answer(2);
    REQUIRE(alone.last<ReadReply>(3));
    CHECK(alone.last<ReadReply>(3)->number == 12);
}

// While subscriptions move at three hundred machines, each of 24 control nodes asks for barriers several times a second. For each
// the leader sent a round to all 24, whose answers were most of its messages: 1,000 to 2,550 a second in its log.
TEST_CASE("a leader confirms many barriers by few rounds, to voters only, and none by a round of before") {
    Alone leader({}, 5);
    leader.lead();
    constexpr int others = 24, barriers = 200;
    for (int other = 6; other <= others; ++other) leader.hear(other, AppendReply{leader.self->term(), 0, {}});
    leader.pass(Span{0.4});
    for (int other = 2; other <= 5; ++other) leader.answer(other);
    leader.sent.clear();
    for (int i = 0; i < barriers; ++i) {
        leader.now = leader.now + Span{0.0005};
        leader.hear(6 + i % 19, ReadRequest{leader.self->term(), static_cast<uint64_t>(i + 1)});
    }
    std::set<uint64_t> rounds;
    size_t to_voters = 0;
    for (const auto& each : leader.sent)
        if (const auto* append = std::get_if<Append>(&each.message)) {
            rounds.insert(append->round);
            to_voters += leader.self->is_voter(each.to);
        }
    CHECK(rounds.size() <= 7);   // in a tenth of a second, a regular heartbeat among them
    CHECK(leader.sent.size() - to_voters <= 19);
    CHECK_FALSE(leader.last<ReadReply>(6));
    leader.pass(Span{0.2});   // the last ones wait for a round that is sent after them
    for (int other = 2; other <= 5; ++other) leader.answer(other);
    size_t replies = 0;
    for (const auto& each : leader.sent) replies += std::holds_alternative<ReadReply>(each.message);
    CHECK(replies == barriers);
}

TEST_CASE("a barrier does not hold for a leader that a majority does not answer") {
    Alone alone;
    alone.lead();
    alone.passed.clear();
    REQUIRE(alone.self->barrier(BarrierAt::last, alone.now));
    alone.collect();
    alone.pass(Span{3});
    CHECK(alone.passed.empty());
    CHECK(alone.self->role() != Role::leader);
}

TEST_CASE(
    "a voter whose machine is back with another disk is dropped at once, and the new replica joins when it is level") {
    Alone alone;
    alone.lead();
    REQUIRE(alone.self->role() == Role::leader);
    alone.self->peer_reachable(replica(3, 77), true, alone.now + Span{0.01});
    alone.now = alone.now + Span{0.05};
    alone.pass(Span{0.1});
    CHECK_FALSE(alone.self->is_voter(replica(3)));
    alone.answer(2);
    alone.pass(Span{0.1});
    CHECK_FALSE(alone.self->is_voter(replica(3, 77)));   // it has not shown the last entry
    alone.answer(3, 77);
    alone.pass(Span{0.1});
    CHECK(alone.self->is_voter(replica(3, 77)));
}

TEST_CASE("the disk of a replica may be lost once every voter that answers has its last entry") {
    Alone alone;
    alone.lead();
    alone.pass(Span{0.3});
    alone.answer(2);
    alone.answer(3);
    CHECK(alone.self->is_fully_replicated());
    auto state = alone.self->entry()->state;
    state.version = 9;
    REQUIRE(alone.self->propose(state, alone.now));
    alone.collect();
    alone.answer(2);
    CHECK(alone.self->committed() == alone.self->entry()->position.index);
    CHECK_FALSE(alone.self->is_fully_replicated());   // one more voter answers, and lacks it
    alone.answer(3);
    CHECK(alone.self->is_fully_replicated());
}

TEST_CASE("of four voters one that is silent for two seconds is dropped, of three none is") {
    for (const int voters : {3, 4}) {
        CAPTURE(voters);
        Alone alone({}, voters);
        alone.lead();
        REQUIRE(alone.self->role() == Role::leader);
        for (int i = 0; i < 60; ++i) {   // the last one says nothing for three seconds
            alone.pass(Span{0.05});
            for (int other = 2; other < voters; ++other) alone.answer(other);
        }
        REQUIRE(alone.self->role() == Role::leader);
        CHECK(alone.self->is_voter(replica(voters)) == (voters == 3));
    }
}

TEST_CASE(
    "a voter that says that it ends is dropped at once where enough others live, and joins again when it is back") {
    Alone alone({}, 4);
    alone.lead();
    alone.pass(Span{0.3});
    for (int other = 2; other <= 4; ++other) alone.answer(other);
    alone.hear(4, Departure{alone.self->term()});
    alone.pass(Span{0.1});
    CHECK_FALSE(alone.self->is_voter(replica(4)));
    for (int i = 0; i < 4; ++i) {
        for (int other = 2; other <= 4; ++other) alone.answer(other);
        alone.pass(Span{0.1});
    }
    CHECK_FALSE(alone.self->is_voter(replica(4)));   // it still answers, and is about to end
    alone.self->peer_connected(replica(4), true, alone.now);
    alone.pass(Span{0.3});
    for (int other = 2; other <= 4; ++other) alone.answer(other);
    alone.pass(Span{0.1});
    CHECK(alone.self->is_voter(replica(4)));
}

TEST_CASE("a follower that is about to end tells its leader, a leader hands its leadership over") {
    Alone follower;
    follower.hear(2, append(4, 1, {0, 1}, 1, 0));
    follower.self->depart(follower.now);
    follower.collect();
    CHECK(follower.last<Departure>(2));
    Alone leader;
    leader.lead();
    leader.pass(Span{0.3});
    leader.answer(2);
    leader.answer(3);
    leader.self->depart(leader.now);
    leader.collect();
    CHECK((leader.last<TransferLeadership>(2) || leader.last<TransferLeadership>(3)));
}

TEST_CASE("a follower whose leader's connection ends stands soon, unless the leader is heard of again") {
    Alone follower;
    const Position last{0, 1};
    const auto elections = [&] {
        size_t count = 0;
        for (const auto& each : follower.sent) count += std::holds_alternative<VoteRequest>(each.message);
        return count;
    };
    follower.hear(2, append(1, 1, last, 0, 0));
    follower.self->peer_disconnected(replica(3), follower.now);   // of another follower
    follower.self->peer_disconnected(replica(2), follower.now);   // reset, and up again
    follower.pass(Span{0.25});
    follower.hear(2, append(1, 2, last, 0, 1));
    follower.pass(Span{0.8});
    CHECK(elections() == 0);
    follower.hear(2, append(1, 3, last, 0, 2));
    follower.self->peer_disconnected(replica(2), follower.now);
    follower.hear(3, VoteRequest{true, 2, last, false});   // another one that has lost it is not held up
    CHECK(follower.last<VoteReply>(3)->granted);
    follower.pass(Span{0.3});
    CHECK(elections() == 0);
    follower.pass(Span{0.4});
    CHECK(elections() > 0);
}

TEST_CASE("a vote is on disk, with whom it went to, before it is given") {
    Alone alone;
    alone.self->receive(replica(2), VoteRequest{false, 5, {0, 1}, true}, alone.now);
    std::vector<Persist> writes;
    const auto replies = [&] {
        size_t count = 0;
        for (auto& output : alone.self->take_outputs()) {
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
    alone.self->persisted(writes.back().number, alone.now);
    CHECK(replies() == 1);
}

TEST_CASE("no voter is changed while the change before it, or the first entry of a term, is not committed") {
    Alone alone({}, 4);
    alone.lead();
    alone.pass(Span{0.3});
    for (int other = 2; other <= 4; ++other) alone.answer(other);
    alone.hear(4, Departure{alone.self->term()});
    alone.pass(Span{0.1});
    REQUIRE_FALSE(alone.self->is_voter(replica(4)));   // proposed; nobody has answered yet
    alone.self->peer_connected(replica(5), true, alone.now);
    alone.pass(Span{0.25});
    alone.answer(5);
    alone.pass(Span{0.1});
    CHECK_FALSE(alone.self->is_voter(replica(5)));
    for (int other = 2; other <= 3; ++other) alone.answer(other);
    alone.pass(Span{0.25});
    alone.answer(5);
    alone.pass(Span{0.1});
    CHECK(alone.self->is_voter(replica(5)));
}
