// What replicas agree on and say to each other.
#pragma once
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/endpoint.hpp"
#include "base/packed_text.hpp"
#include "rollout/rollout.hpp"

namespace myrtleroute::consensus {

// A replica: the endpoint at which its peers reach it and the identity of its disk. A machine that comes back with an
// empty disk has another identity and is another replica.
struct ReplicaId {
    Endpoint endpoint;
    uint64_t disk = 0;   // 0: the replica that the first start of the system makes here
    auto operator<=>(const ReplicaId&) const = default;
    std::string text() const { return endpoint.text() + "#" + std::to_string(disk); }
};

// Place of an entry in the log. Terms count first.
struct Position {
    uint64_t term = 0;
    uint64_t index = 0;
    auto operator<=>(const Position&) const = default;
};

// A configuration that was accepted, as kept to recognise it when it is sent again.
struct AcceptedConfiguration {
    uint64_t version = 0;
    std::string digest;   // of the body, byte for byte
    bool operator==(const AcceptedConfiguration&) const = default;
};

// The replicated state, whole. Every entry of the log carries all of it, so the log never holds more than its last.
struct ClusterState {
    std::vector<ReplicaId> voters;                 // sorted
    uint64_t version = 0;                          // of the configuration, 0 = there is none
    PackedText configuration;                      // the body as the operator sent it
    std::vector<AcceptedConfiguration> accepted;   // the oldest first, bounded
    std::vector<std::string> lease_holders;        // sorted node names of the proxies that may hold leases, bounded
    rollout::Rollouts rollouts;                    // of versions of services
    bool operator==(const ClusterState&) const = default;
};

struct Entry {
    Position position;
    ClusterState state;
    bool operator==(const Entry&) const = default;
};

// What a replica must find again after a crash.
struct HardState {
    uint64_t term = 0;
    std::optional<ReplicaId> voted_for;   // in that term
    bool operator==(const HardState&) const = default;
};

struct VoteRequest {
    bool pre_vote = false;   // a pre-vote: asks whether a vote would be granted, binds nobody
    uint64_t term = 0;
    Position last;           // of the candidate's log
    bool transfer = false;   // the leader asked for this election
    bool operator==(const VoteRequest&) const = default;
};

struct VoteReply {
    bool pre_vote = false;
    uint64_t term = 0;   // the voter's; of a granted pre-vote the one asked about
    bool granted = false;
    double leaderless = 0;   // of a vote: seconds for which the voter has answered no leader, nor led
    bool operator==(const VoteReply&) const = default;
};

// Heartbeat of a leader, with its last entry where the follower lacks it.
struct Append {
    uint64_t term = 0;
    uint64_t round = 0;                  // of this leader, rises with each
    Position last;                       // of the leader's log
    uint64_t commit = 0;                 // index up to which entries are committed
    bool fully_replicated = false;       // every voter that answers has the entry at `last` on disk
    uint64_t acknowledged_round = 0;     // the newest round that the receiver has answered
    std::optional<ClusterState> state;   // of the entry at `last`
    bool operator==(const Append&) const = default;
};

struct AppendReply {
    uint64_t term = 0;
    uint64_t round = 0;
    Position persisted;   // last entry that is safe on the follower's disk
    bool operator==(const AppendReply&) const = default;
};

// Asks the receiver to begin an election at once.
struct TransferLeadership {
    uint64_t term = 0;
    bool operator==(const TransferLeadership&) const = default;
};

// Asks the leader how far the log was committed when it was asked (the dissertation's 6.4, for followers).
struct ReadRequest {
    uint64_t term = 0;       // of the leader that is meant
    uint64_t number = 0;     // of the sender's barrier
    bool can_wait = false;   // the leader's next regular round is soon enough
    bool operator==(const ReadRequest&) const = default;
};

// A majority has confirmed, after it was asked, that the sender leads.
struct ReadReply {
    uint64_t term = 0;
    uint64_t number = 0;
    uint64_t index = 0;   // what was committed by then lies at or before it
    bool operator==(const ReadReply&) const = default;
};

// The sender's process is about to end. The leader drops it from the voters where enough others live, so that what is
// lost next does not leave them without a majority.
struct Departure {
    uint64_t term = 0;
    bool operator==(const Departure&) const = default;
};

using Message =
    std::variant<VoteRequest, VoteReply, Append, AppendReply, TransferLeadership, ReadRequest, ReadReply, Departure>;

}   // namespace myrtleroute::consensus
