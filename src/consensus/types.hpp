// The replicated state and the messages between replicas.
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

// Identifies a replica: the endpoint at which its peers reach it and the identity of its disk. A machine that comes
// back with an empty disk has another identity and is another replica.
struct ReplicaId {
    Endpoint endpoint;
    uint64_t disk = 0;   // 0: the replica created here by the first start of the system
    auto operator<=>(const ReplicaId&) const = default;
    std::string text() const { return endpoint.text() + "#" + std::to_string(disk); }
};

// Position of an entry in the log, ordered by term first.
struct Position {
    uint64_t term = 0;
    uint64_t index = 0;
    auto operator<=>(const Position&) const = default;
};

// An accepted configuration, kept so that it is recognised when it is sent again.
struct AcceptedConfiguration {
    uint64_t version = 0;
    std::string digest;   // of the body, byte for byte
    bool operator==(const AcceptedConfiguration&) const = default;
};

// The complete replicated state. Every log entry carries all of it, so the log never holds more than its last entry.
struct ClusterState {
    std::vector<ReplicaId> voters;                 // sorted
    uint64_t version = 0;                          // of the configuration; 0 = none
    PackedText configuration;                      // the body as the operator sent it
    std::vector<AcceptedConfiguration> accepted;   // the oldest first, bounded
    std::vector<std::string> lease_holders;        // sorted node names of the proxies that may hold leases, bounded
    rollout::Rollouts rollouts;                    // of service versions
    bool operator==(const ClusterState&) const = default;
};

struct Entry {
    Position position;
    ClusterState state;
    bool operator==(const Entry&) const = default;
};

// Raft's persistent state apart from the log: what must survive a crash of the replica.
struct HardState {
    uint64_t term = 0;
    std::optional<ReplicaId> voted_for;   // in that term
    bool operator==(const HardState&) const = default;
};

struct VoteRequest {
    bool pre_vote = false;   // asks whether a vote would be granted, without binding the voter
    uint64_t term = 0;
    Position last;           // last position in the candidate's log
    bool transfer = false;   // the leader requested this election
    bool operator==(const VoteRequest&) const = default;
};

struct VoteReply {
    bool pre_vote = false;
    uint64_t term = 0;   // the voter's term; in a granted pre-vote the requested term
    bool granted = false;
    double leaderless = 0;   // of a vote: seconds for which the voter has neither acknowledged a leader nor led
    bool operator==(const VoteReply&) const = default;
};

// Heartbeat of a leader (Raft's AppendEntries), with its last entry if the follower lacks it.
struct Append {
    uint64_t term = 0;
    uint64_t round = 0;                  // number of the leader's heartbeat round, increases with each
    Position last;                       // last position in the leader's log
    uint64_t commit = 0;                 // index up to which entries are committed
    bool fully_replicated = false;       // every responding voter has the entry at `last` on disk
    uint64_t acknowledged_round = 0;     // the newest round that the receiver has acknowledged
    std::optional<ClusterState> state;   // state of the entry at `last`
    bool operator==(const Append&) const = default;
};

struct AppendReply {
    uint64_t term = 0;
    uint64_t round = 0;
    Position persisted;   // last entry on the follower's disk
    bool operator==(const AppendReply&) const = default;
};

// Requests that the receiver starts an election at once.
struct TransferLeadership {
    uint64_t term = 0;
    bool operator==(const TransferLeadership&) const = default;
};

// Asks the leader for its commit index (section 6.4 of the Raft dissertation, for followers).
struct ReadRequest {
    uint64_t term = 0;       // term of the leader to which the request is addressed
    uint64_t number = 0;     // number of the sender's barrier
    bool can_wait = false;   // the leader's next regular heartbeat round is soon enough
    bool operator==(const ReadRequest&) const = default;
};

// Sent after a majority has confirmed, following the request, that the sender leads.
struct ReadReply {
    uint64_t term = 0;
    uint64_t number = 0;
    uint64_t index = 0;   // everything committed by then is at or before this index
    bool operator==(const ReadReply&) const = default;
};

// The sender's process is about to end. The leader removes it from the voters if enough others are live, so that the
// next loss does not leave them without a majority.
struct Departure {
    uint64_t term = 0;
    bool operator==(const Departure&) const = default;
};

using Message =
    std::variant<VoteRequest, VoteReply, Append, AppendReply, TransferLeadership, ReadRequest, ReadReply, Departure>;

}   // namespace myrtleroute::consensus
