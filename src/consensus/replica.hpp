// A replica of the replicated log, as a state machine without I/O, clock or random source of its own.
//
// The algorithm is Raft as in Ongaro's dissertation (2014): pre-vote (9.6), check-quorum (6.2), leadership transfer
// (3.10), single-server membership changes (4.1) after an entry of the leader's own term is committed, and read
// barriers by a round of heartbeats (6.4). One thing is simpler: the state is small and every entry carries it
// completely, so an entry supersedes all earlier ones. The log consists of its last entry; sending an entry is
// installing a snapshot. docs/system.md explains why this is safe.
//
// Its knowledge of contact with a majority rests on replies to messages, never on the arrival of messages alone: a
// process that was paused finds old ones in its sockets. replica.cpp holds elections, replication.cpp the log and
// barriers, membership.cpp the voters and leadership transfer.
//
// The caller passes in messages, ticks and completed writes, and executes the outputs of `take_outputs` in order.
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
    Span min_election_timeout{0.9};   // the maximum is this plus `election_spread`
    Span election_spread{0.7};
    // After a start, when there may be no leader, plus a random delay of up to as much.
    Span initial_election_delay{0.15};
    // After the leader's connection has ended, plus a random delay of up to `election_retry_delay`.
    Span leader_disconnect_delay{0.35};
    // While no leader has been in contact since the start, plus a random delay of up to twice as much.
    Span election_retry_delay{0.25};
    Span resend_interval{1};   // an unacknowledged entry is sent again after this
    // A voter without contact for this long is removed if enough others are live, since the next loss may be one of
    // those. It is added again when it is back in contact. Well below the time after which a machine that is back no
    // longer counts as lost.
    Span voter_timeout{2};
    size_t min_voters = 3;   // a voter is not removed for lack of contact if fewer would remain
    size_t max_voters = 7;
    // This replica's machine has a disk that counts for the quorum. Otherwise it votes only from the first start on,
    // until replicas that count have taken over.
    bool counts_for_quorum = true;
    Span transfer_timeout{1};   // a leadership transfer that has not completed by then is abandoned
};

struct SendTo {
    ReplicaId to;
    Message message;
};

// Requests a write that survives a power loss. Its completion is reported by `persisted` with the same number.
struct Persist {
    uint64_t number = 0;
    std::optional<HardState> hard_state;
    std::optional<Entry> entry;
};

// The entry is committed: it survives every loss that the deployment tolerates.
struct Committed {
    Position position;
};

// The barrier with that number has passed: after it was requested, a majority has confirmed the leader, and everything
// committed at the time of the request is committed here.
struct BarrierPassed {
    uint64_t number = 0;
    uint64_t index = 0;   // everything committed at the time of the request is at or before this index
};

// What a barrier waits for in addition to the confirmation: that everything committed at the time of the request is
// known here, or that the last entry at that time is committed too (leader only).
enum class BarrierAt { committed, last };

// Which heartbeat round of the leader confirms a barrier: one sent for it, or the next regular one, which costs nothing
// extra.
enum class BarrierRound { at_once, next_heartbeat };

// This replica has become leader, or is no longer leader. Open proposals and barriers are void. A follower's barrier
// becomes void without notice when its leader changes; the caller must request another one after a timeout.
struct LeadershipChanged {
    bool leads = false;
};

using Output = std::variant<SendTo, Persist, Committed, BarrierPassed, LeadershipChanged>;

enum class Role { follower, candidate, leader };

class Replica {
public:
    // `entry`: as found on disk, or the bootstrap entry; none for a replica that joins.
    Replica(ReplicaId self, HardState hard_state, std::optional<Entry> entry, ReplicaOptions options, uint64_t seed,
            Time now);

    void receive(const ReplicaId& from, const Message& message, Time now);
    void tick(Time now);   // call at least ten times per second
    void persisted(uint64_t number, Time now);

    // Records a peer that is reachable. `may_vote`: it has a disk that counts for the quorum, so the leader makes it a
    // voter.
    void peer_reachable(const ReplicaId& peer, bool may_vote, Time now);
    // The same for a process that has just connected.
    void peer_connected(const ReplicaId& peer, bool may_vote, Time now);

    // Records that the connection on which that peer sends has ended: its process has ended, or the network has reset
    // the connection. A follower of that peer starts an election soon unless the leader sends another message.
    void peer_disconnected(const ReplicaId& peer, Time now);

    // Appends the state as the next entry. Returns nothing if this replica does not lead.
    std::optional<Position> propose(ClusterState state, Time now);
    // Requests a read barrier; a replica that does not lead requests it from the leader. Returns nothing if no leader
    // is known or too many barriers are open.
    std::optional<uint64_t> barrier(BarrierAt at, Time now, BarrierRound round = BarrierRound::at_once);
    void transfer_leadership(Time now);   // to the most up-to-date voter, if this replica leads
    void depart(Time now);                // this process is about to end: transfers leadership, or notifies the leader

    std::vector<Output> take_outputs() { return std::exchange(outputs_, {}); }

    Role role() const { return role_; }
    uint64_t term() const { return hard_.term; }
    const ReplicaId& self() const { return self_; }
    const std::optional<Entry>& entry() const { return entry_; }
    uint64_t committed() const { return committed_; }   // index; 0 = none known
    std::optional<ReplicaId> leader() const { return leader_; }
    // Whether this replica leads with a quorum, or has recently been in contact with a leader that does. For a leader,
    // this rests on a majority's replies to rounds sent within `min_election_timeout`; for a follower, on the leader's
    // confirmation, within that time, that it has received the follower's reply. So it proves contact with a majority
    // that is at most twice that old.
    bool is_current(Time now) const;
    // Whether this replica leads and a majority has replied to a round that it sent within that span. Once that much
    // time has passed since another replica was elected, this is false for every earlier leader.
    bool leads_with_quorum_within(Span span, Time now) const;
    // Of a leader: for this long before its election, none of the replicas that voted for it, itself included, had
    // acknowledged another leader or led. So no majority has replied to a round that an earlier leader sent in this
    // span.
    Span leaderless_before_election() const { return leaderless_; }
    // Whether this replica's disk may be lost without loss of data: every voter that replies to the leader has its last
    // entry.
    bool is_fully_replicated() const;
    bool is_voter(const ReplicaId& id) const;
    // A text of the state that determines its behaviour, without round numbers: two replicas with the same text behave
    // alike. For state space exploration.
    std::string fingerprint(Time now) const;

private:
    struct Peer {
        bool may_vote = false;
        bool is_departing = false;              // its process is about to end
        Time reachable_at = long_ago;           // last evidence that it is reachable
        Time last_acknowledged_at = long_ago;   // when this leader sent the newest round to which it has replied
        Position persisted;                     // its last entry on disk, as far as known
        Position sent;                          // last entry sent with its state
        Time sent_at = long_ago;
        uint64_t acknowledged_round = 0;
    };
    struct Barrier {
        uint64_t number, round, index;
        std::optional<ReplicaId> requester;   // the follower that requested it; otherwise this replica
    };
    struct FollowerBarrier {
        uint64_t number;
        std::optional<uint64_t> index;   // set once the leader has replied
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
    void become_follower(uint64_t term, std::optional<ReplicaId> leader, Time now);
    void start_election(bool pre_vote, bool transfer, Time now);
    void become_leader(Time now);
    void heartbeat(Time now);
    // Returns the number of the round that confirms a barrier.
    uint64_t begin_round(BarrierRound round, Time now);
    void send_confirming_round(Time now);
    void record_new_round(Time now);
    void append_to(const ReplicaId& to, Peer& peer, Time now);
    Append append_for(const Peer& peer) const;
    void adopt(Entry entry);
    void advance_commit();
    void commit(uint64_t index);
    void pass_barriers();
    void check_quorum(Time now);
    void change_voters(Time now);
    bool has_quorum(const std::set<ReplicaId>& members) const;
    bool has_replies_within(Span span, Time now) const;   // from a majority of the voters
    bool all_voters_have_last() const;
    bool is_replaced(const ReplicaId& voter, Time now) const;
    static void record_round(std::deque<Round>& rounds, uint64_t number, Time at);
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
    Pcg rng_;
    std::vector<Output> outputs_;

    Role role_ = Role::follower;
    std::optional<ReplicaId> leader_;
    Time leader_contact_at_ = long_ago;
    Time election_at_, heartbeat_at_;
    // When a leader was last acknowledged, or when this replica led, or its process started.
    Time last_acknowledged_leader_;
    Span leaderless_;            // the minimum over the replicas that have voted for this candidate
    bool is_pre_vote_ = false;   // the election in progress is a pre-vote
    bool transferring_ = false;
    Time transfer_until_ = long_ago;
    std::set<ReplicaId> votes_;
    std::map<ReplicaId, Peer> peers_;
    uint64_t committed_ = 0;
    uint64_t own_term_index_ = 0;   // index of the first entry of the leader's term
    uint64_t round_ = 0;
    std::deque<Round> rounds_;         // sent as leader, the newest last
    Time confirming_round_at_{1e18};   // when the round that open barriers wait for is to be sent
    std::vector<Barrier> barriers_;
    std::vector<FollowerBarrier> follower_barriers_;
    uint64_t next_barrier_ = 1;
    std::deque<Round> acknowledged_rounds_;   // rounds of the leader that this replica has acknowledged
    // When the last acknowledgement was sent that the leader is known to have received.
    Time confirmed_contact_ = long_ago;
    bool is_fully_replicated_ = false;   // as of the leader's last message

    // Writes in progress. Replies and votes wait until what they promise is on disk.
    struct PendingWrite {
        uint64_t number;
        uint64_t term;   // what is on disk once it has completed
        Position persisted;
        std::vector<SendTo> after;
    };
    std::vector<PendingWrite> writes_;
    uint64_t next_write_ = 1;
    Position persisted_;   // last entry on this replica's disk
    uint64_t durable_term_;
};

}   // namespace myrtleroute::consensus
