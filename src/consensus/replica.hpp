// A replica of the replicated log, as a state machine without I/O, clock or chance of its own.
//
// The algorithm is Raft as its dissertation has it (Ongaro 2014): pre-vote (9.6), check-quorum (6.2), leadership
// transfer (3.10), membership by one server at a time (4.1) with an entry of the leader's own term committed first,
// and read barriers by a round of heartbeats (6.4). One thing is simpler: the state is small and every entry carries
// it whole, so an entry makes all earlier ones superfluous. The log is its last entry; sending an entry is installing
// a snapshot. docs/system.md tells why that is safe.
//
// What it says of its contact with a majority rests on answers to messages, never on the arrival of messages alone: a
// process that was frozen finds old ones in its sockets. replica.cpp holds elections, replication.cpp the log and
// barriers, membership.cpp the voters and the transfer of leadership.
//
// The caller hands in messages, ticks and the ends of writes, and carries out what `take_outputs` returns, in order.
#pragma once
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "consensus/types.hpp"
#include "random.hpp"
#include "time.hpp"

namespace myrtleroute::consensus {

struct ReplicaOptions {
    Span heartbeat_interval{0.2};
    Span min_election_timeout{0.9};   // the most is this and `election_spread`
    Span election_spread{0.7};
    Span initial_election_delay{
        0.15};   // after a start, when there may be no leader at all; and as much again by chance
    Span leader_disconnect_delay{
        0.35};   // after the leader's connection has ended, and up to `next_election` more by chance
    Span election_retry_delay{0.25};   // while none has been heard of since the start; and twice as much by chance
    Span resend_interval{1};           // an entry that is not acknowledged is sent again after this
    // A voter silent for this long is dropped where enough others live: what is lost next may be one of those. It joins
    // again when it is heard of. Well within the time after which a machine that is back no longer counts as lost.
    Span voter_timeout{2};
    size_t min_voters = 3;   // silence removes none below this
    size_t max_voters = 7;
    bool counts_for_quorum = true;   // this replica's machine has a disk that counts; else it votes only from the
                                     // first start on, until others that count have taken over
    Span transfer_timeout{1};        // a transfer of leadership that has not happened by then is off
};

struct SendTo {
    ReplicaId to;
    Message message;
};

// Asks for a write that survives a loss of power. Its end is told by `persisted` with the same number.
struct Persist {
    uint64_t number = 0;
    std::optional<HardState> hard_state;
    std::optional<Entry> entry;
};

// The entry is committed: it outlives what the deployment tolerates.
struct Committed {
    Position position;
};

// The barrier of that number holds: after it was asked for, a majority has confirmed who leads, and everything that was
// committed when it was asked for is committed here.
struct BarrierPassed {
    uint64_t number = 0;
    uint64_t index = 0;   // at or behind which all of that lies
};

// What a barrier waits for, beside the confirmation: that what was committed then is known here, or that the last entry
// of then is committed too (at the leader only).
enum class BarrierAt { committed, last };

// Which round of the leader confirms a barrier: one that is sent for it, or the next regular heartbeat, which costs nothing.
enum class BarrierRound { at_once, next_heartbeat };

// This replica leads, or no longer does. Proposals and barriers that were open are void. A barrier of a follower is
// void without a word when its leader changes; the caller asks for another one after a time.
struct LeadershipChanged {
    bool leads = false;
};

using Output = std::variant<SendTo, Persist, Committed, BarrierPassed, LeadershipChanged>;

enum class Role { follower, candidate, leader };

class Replica {
public:
    // `entry`: as found on disk, or of the bootstrap; none for a replica that joins.
    Replica(ReplicaId self, HardState hard_state, std::optional<Entry> entry, ReplicaOptions options, uint64_t seed,
            Time now);

    void receive(const ReplicaId& from, const Message& message, Time now);
    void tick(Time now);   // at least ten times a second
    void persisted(uint64_t number, Time now);

    // A peer that can be reached and may vote (it has a disk that counts). The leader makes it a voter.
    void peer_reachable(const ReplicaId& peer, bool may_vote, Time now);
    void peer_connected(const ReplicaId& peer, bool may_vote, Time now);   // by a process that has just connected

    // The connection on which that peer sends has ended: its process has, or the network has reset it. A follower of that peer
    // stands for election soon; its leader prevents that by its next message.
    void peer_disconnected(const ReplicaId& peer, Time now);

    // The leader's: makes the state the next entry. Nothing where this replica does not lead.
    std::optional<Position> propose(ClusterState state, Time now);
    // At the leader or, by way of the leader, at any other replica. Nothing where no leader is known.
    std::optional<uint64_t> barrier(BarrierAt at, Time now, BarrierRound round = BarrierRound::at_once);
    void transfer_leadership(Time now);   // to the most current voter, where this replica leads
    void depart(Time now);                // this process is about to end: leadership goes, the leader is told

    std::vector<Output> take_outputs() { return std::exchange(outputs_, {}); }

    Role role() const { return role_; }
    uint64_t term() const { return hard_.term; }
    const ReplicaId& self() const { return self_; }
    const std::optional<Entry>& entry() const { return entry_; }
    uint64_t committed() const { return committed_; }   // index; 0 = none known
    std::optional<ReplicaId> leader() const { return leader_; }
    // Whether this replica has lately been in touch with a leader that has a quorum, or is one. A leader rests on
    // answers of a majority to rounds that it sent within `least_election_timeout`; a follower on the leader's word,
    // within that time, that it has had the follower's answer. So it is proof of a majority twice that old at the most.
    bool is_current(Time now) const;
    // Whether this replica leads and a majority has answered a round that it sent within that time. As soon as so much time
    // has passed since another replica was elected, this is true of no earlier leader.
    bool leads_with_quorum_within(Span span, Time now) const;
    // Of a leader: for so long before its election none of those who voted for it, itself included, had answered another
    // leader or led. No majority has answered a round that an earlier leader sent since.
    Span leaderless_before_election() const { return quiet_; }
    // Whether this replica's disk may be lost without loss: every voter that answers the leader has its last entry.
    bool is_fully_replicated() const;
    bool is_voter(const ReplicaId& id) const;
    // What decides what it does next, without the numbers of rounds: two replicas with the same text act alike. For
    // those who explore its states.
    std::string fingerprint(Time now) const;

private:
    struct Peer {
        bool may_vote = false;
        bool departs = false;    // its process is about to end
        Time met = long_ago;     // last proof that it can be reached
        Time heard = long_ago;   // when the newest round that it has answered was sent by this leader
        Position held;           // on its disk, as far as known
        Position sent;           // last entry sent with its state
        Time sent_at = long_ago;
        uint64_t confirmed_round = 0;
    };
    struct Barrier {
        uint64_t number, round, index;
        std::optional<ReplicaId> asker;   // a follower's; else this replica's own
    };
    struct FollowerBarrier {
        uint64_t number;
        std::optional<uint64_t> index;   // once the leader has told it
    };
    struct Round {
        uint64_t number;
        Time at;
    };

    void on(const ReplicaId& from, const VoteRequest& request, Time now);
    void on(const ReplicaId& from, const VoteReply& reply, Time now);
    void on(const ReplicaId& from, const Append& append, Time now);
    void on(const ReplicaId& from, const AppendReply& reply, Time now);
    void on(const ReplicaId& from, const TransferLeadership& transfer, Time now);
    void on(const ReplicaId& from, const ReadRequest& request, Time now);
    void on(const ReplicaId& from, const ReadReply& reply, Time now);
    void on(const ReplicaId& from, const Departure& departure, Time now);

    void send(const ReplicaId& to, Message message);
    void follow(uint64_t term, std::optional<ReplicaId> leader, Time now);
    void start_election(bool trial, bool transfer, Time now);
    void lead(Time now);
    void heartbeat(Time now);
    uint64_t begin_round(BarrierRound round, Time now);   // the number of the round that confirms a barrier
    void send_confirming_round(Time now);
    void note_new_round(Time now);
    void append_to(const ReplicaId& to, Peer& peer, Time now);
    Append append_for(const Peer& peer) const;
    void adopt(Entry entry);
    void advance_commit();
    void commit(uint64_t index);
    void pass_barriers();
    void check_quorum(Time now);
    void change_voters(Time now);
    bool has_quorum(const std::set<ReplicaId>& of) const;
    bool has_answers_within(Span span, Time now) const;   // of a majority of the voters
    bool is_everywhere() const;
    bool is_replaced(const ReplicaId& voter, Time now) const;
    static void note_round(std::deque<Round>& rounds, uint64_t number, Time at);
    std::optional<ReplicaId> voter_to_remove(Time now) const;
    std::optional<ReplicaId> voter_to_add(Time now) const;
    void reset_election_timer(Time now);
    void persist_hard_state();
    Position last() const { return entry_ ? entry_->position : Position{}; }
    const std::vector<ReplicaId>& voters() const;

    ReplicaId self_;
    HardState hard_;
    std::optional<Entry> entry_;
    ReplicaOptions options_;
    Pcg chance_;
    std::vector<Output> outputs_;

    Role role_ = Role::follower;
    std::optional<ReplicaId> leader_;
    Time heard_leader_ = long_ago;
    Time election_at_, heartbeat_at_;
    Time last_answered_;   // a leader; or when this replica led, or its process started
    Span quiet_;           // the least of those who have voted for this candidate
    bool trial_ = false;   // the election under way is a pre-vote
    bool transferring_ = false;
    Time transfer_until_ = long_ago;
    std::set<ReplicaId> granted_;
    std::map<ReplicaId, Peer> peers_;
    uint64_t committed_ = 0;
    uint64_t own_term_index_ = 0;   // first entry of the leader's term
    uint64_t round_ = 0;
    std::deque<Round> rounds_;         // sent as the leader, the newest last
    Time confirming_round_at_{1e18};   // when the round that barriers wait for is to be sent
    std::vector<Barrier> barriers_;
    std::vector<FollowerBarrier> follower_barriers_;
    uint64_t next_barrier_ = 1;
    std::deque<Round> answered_;   // rounds of the leader that were answered from here
    Time contact_ = long_ago;      // when the last answer was given that the leader is known to have had
    bool copied_ = false;          // by the leader's last word

    // Writes under way. Replies and votes wait until what they promise is on disk.
    struct Pending {
        uint64_t number;
        uint64_t term;   // what is on disk once it has ended
        Position held;
        std::vector<SendTo> then;
    };
    std::vector<Pending> writes_;
    uint64_t next_write_ = 1;
    Position on_disk_;   // last entry that is safe here
    uint64_t durable_term_;
};

}   // namespace myrtleroute::consensus
