// Log replication from the leader to the followers, commits and read barriers.
#include <algorithm>

#include "consensus/replica.hpp"

namespace myrtleroute::consensus {
namespace {

constexpr Span reachable_within{2};      // a peer seen within this time is reachable
constexpr size_t max_rounds = 128;       // rounds whose send times are kept
constexpr Span close_rounds_span{0.1};   // span for `max_close_rounds`
constexpr size_t max_close_rounds = 5;
constexpr Time never{1e18};
constexpr size_t max_barriers = 256;

}   // namespace

void Replica::adopt(Entry entry) {
    entry_ = std::move(entry);
    Persist write{next_write_++, std::nullopt, entry_};
    writes_.push_back({write.number, durable_term_, entry_->position, {}});
    outputs_.push_back(std::move(write));
}

std::optional<Position> Replica::propose(ClusterState state, Time now) {
    if (role_ != Role::leader || transferring_) return {};
    adopt({{hard_.term, last().index + 1}, std::move(state)});
    heartbeat(now);
    return last();
}

void Replica::record_round(std::deque<Round>& rounds, uint64_t number, Time at) {
    if (rounds.size() >= max_rounds) rounds.pop_front();
    rounds.push_back({number, at});
}

// Returns the number of the round that confirms a barrier; it must be sent after the barrier was requested. Barriers
// requested close together share a round; otherwise the number of rounds would grow with the number of clients.
uint64_t Replica::begin_round(BarrierRound round, Time now) {
    if (round == BarrierRound::next_heartbeat) return round_ + 1;
    if (rounds_.size() >= max_close_rounds) {
        const Time free_at = rounds_[rounds_.size() - max_close_rounds].at + close_rounds_span;
        if (now < free_at) {
            confirming_round_at_ = free_at;
            return round_ + 1;
        }
    }
    send_confirming_round(now);
    return round_;
}

// Sent to voters only: replies of other replicas prove nothing.
void Replica::send_confirming_round(Time now) {
    record_new_round(now);
    for (auto& [id, peer] : peers_)
        if (is_voter(id)) append_to(id, peer, now);
}

void Replica::record_new_round(Time now) {
    record_round(rounds_, ++round_, now);
    confirming_round_at_ = never;
}

std::optional<uint64_t> Replica::barrier(BarrierAt at, Time now, BarrierRound round) {
    const auto number = next_barrier_;
    if (role_ == Role::leader) {
        const auto confirmed_by = begin_round(round, now);
        const auto index = at == BarrierAt::last ? last().index : std::max(committed_, own_term_index_);
        barriers_.push_back({number, confirmed_by, index, std::nullopt});
        pass_barriers();
    } else {
        if (!leader_ || follower_barriers_.size() >= max_barriers) return {};
        follower_barriers_.push_back({number, std::nullopt});
        send(*leader_, ReadRequest{hard_.term, number, round == BarrierRound::next_heartbeat});
    }
    return next_barrier_++;
}

void Replica::on(const ReplicaId& from, const ReadRequest& request, Time now) {
    if (role_ != Role::leader || request.term != hard_.term || barriers_.size() >= max_barriers) return;
    const auto confirmed_by = begin_round(request.can_wait ? BarrierRound::next_heartbeat : BarrierRound::at_once, now);
    barriers_.push_back({request.number, confirmed_by, std::max(committed_, own_term_index_), from});
    pass_barriers();
}

void Replica::on(const ReplicaId& from, const ReadReply& reply, Time) {
    if (reply.term != hard_.term || leader_ != from) return;
    for (auto& barrier : follower_barriers_)
        if (barrier.number == reply.number) barrier.index = reply.index;
    pass_barriers();
}

void Replica::heartbeat(Time now) {
    record_new_round(now);
    heartbeat_at_ = now + options_.heartbeat_interval;
    for (auto& [id, peer] : peers_)
        if (is_voter(id) || now - peer.reachable_at < reachable_within) append_to(id, peer, now);
}

Append Replica::append_for(const Peer& peer) const {
    return {hard_.term, round_, last(), committed_, all_voters_have_last(), peer.acknowledged_round, std::nullopt};
}

void Replica::append_to(const ReplicaId& to, Peer& peer, Time now) {
    auto append = append_for(peer);
    const bool lacks_entry = peer.persisted != last();
    if (lacks_entry && (peer.sent != last() || now - peer.sent_at > options_.resend_interval)) {
        append.state = entry_->state;
        peer.sent = last();
        peer.sent_at = now;
    }
    send(to, std::move(append));
}

void Replica::on(const ReplicaId& from, const Append& append, Time now) {
    if (append.term < hard_.term) return send(from, AppendReply{hard_.term, 0, persisted_});
    if (append.term > hard_.term || role_ != Role::follower || leader_ != from) become_follower(append.term, from, now);
    leader_contact_at_ = now;
    reset_election_timer(now);
    const size_t writes_before = writes_.size();
    while (!acknowledged_rounds_.empty() && acknowledged_rounds_.front().number <= append.acknowledged_round) {
        confirmed_contact_ = std::max(confirmed_contact_, acknowledged_rounds_.front().at);
        acknowledged_rounds_.pop_front();
    }
    if (append.last > last() && append.state) adopt({append.last, *append.state});
    is_fully_replicated_ = last() == append.last && append.fully_replicated;
    if (last() == append.last && append.commit >= last().index) commit(last().index);
    pass_barriers();
    const bool has_new_write = writes_.size() > writes_before;
    const SendTo reply{from, AppendReply{hard_.term, append.round, has_new_write ? last() : persisted_}};
    record_round(acknowledged_rounds_, append.round, now);
    last_acknowledged_leader_ = now;
    if (has_new_write)
        writes_.back().after.push_back(reply);
    else if (durable_term_ == hard_.term)
        outputs_.push_back(reply);   // otherwise a later heartbeat is acknowledged
}

void Replica::on(const ReplicaId& from, const AppendReply& reply, Time now) {
    if (reply.term > hard_.term) return become_follower(reply.term, std::nullopt, now);
    if (role_ != Role::leader || reply.term < hard_.term) return;
    auto& peer = peers_[from];
    peer.reachable_at = now;
    const auto sent =
        std::find_if(rounds_.begin(), rounds_.end(), [&](const auto& round) { return round.number == reply.round; });
    if (sent != rounds_.end()) peer.last_acknowledged_at = std::max(peer.last_acknowledged_at, sent->at);
    peer.acknowledged_round = std::max(peer.acknowledged_round, reply.round);
    peer.persisted = std::max(peer.persisted, reply.persisted);
    advance_commit();
    pass_barriers();
}

// An entry is committed once a majority of the voters has it on disk, if it is of the leader's own term.
void Replica::advance_commit() {
    std::vector<Position> persisted;
    for (const auto& voter : voters()) {
        const auto peer = peers_.find(voter);
        persisted.push_back(voter == self_ ? persisted_ : peer == peers_.end() ? Position{} : peer->second.persisted);
    }
    if (persisted.empty()) return;
    std::sort(persisted.begin(), persisted.end(), std::greater<>());
    const Position agreed = persisted[persisted.size() / 2];
    if (agreed.term != hard_.term || agreed.index <= committed_) return;
    commit(agreed.index);
    for (const auto& [id, peer] : peers_) send(id, append_for(peer));   // followers are informed at once
}

void Replica::commit(uint64_t index) {
    if (index <= committed_) return;
    committed_ = index;
    outputs_.push_back(Committed{{hard_.term, index}});
}

void Replica::pass_barriers() {
    std::erase_if(barriers_, [this](const Barrier& barrier) {
        std::set<ReplicaId> confirmed{self_};
        for (const auto& [id, peer] : peers_)
            if (peer.acknowledged_round >= barrier.round) confirmed.insert(id);
        const bool passed = has_quorum(confirmed) && committed_ >= std::max(barrier.index, own_term_index_);
        if (!passed) return false;
        if (barrier.requester)
            send(*barrier.requester, ReadReply{hard_.term, barrier.number, barrier.index});
        else
            outputs_.push_back(BarrierPassed{barrier.number, barrier.index});
        return true;
    });
    std::erase_if(follower_barriers_, [this](const FollowerBarrier& barrier) {
        const bool passed = barrier.index && committed_ >= *barrier.index;
        if (passed) outputs_.push_back(BarrierPassed{barrier.number, *barrier.index});
        return passed;
    });
}

void Replica::persisted(uint64_t number, Time now) {
    while (!writes_.empty() && writes_.front().number <= number) {
        auto write = std::move(writes_.front());
        writes_.erase(writes_.begin());
        persisted_ = std::max(persisted_, write.persisted);
        durable_term_ = std::max(durable_term_, write.term);
        for (auto& message : write.after) outputs_.push_back(std::move(message));
    }
    if (role_ == Role::leader) {
        advance_commit();
        pass_barriers();
    } else if (role_ == Role::candidate && !is_pre_vote_ && writes_.empty() && has_quorum(votes_)) {
        become_leader(now);
    }
}

}   // namespace myrtleroute::consensus
