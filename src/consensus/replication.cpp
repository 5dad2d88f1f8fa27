// The log of a replica: entries from the leader to the followers, what is committed, barriers.
#include <algorithm>

#include "consensus/replica.hpp"

namespace myrtleroute::consensus {
namespace {

constexpr Span recently{2};           // a peer met since then can be reached
constexpr size_t most_rounds = 128;   // whose times are remembered
constexpr Span close_together{0.1};   // of rounds
constexpr size_t most_close_rounds = 5;
constexpr Time never{1e18};
constexpr size_t most_barriers = 256;

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

void Replica::note_round(std::deque<Round>& rounds, uint64_t number, Time at) {
    if (rounds.size() >= most_rounds) rounds.pop_front();
    rounds.push_back({number, at});
}

// The number of the round that confirms a barrier; it is sent after the barrier was asked for. Barriers that come close
// together share one, or rounds would grow with those who ask.
uint64_t Replica::begin_round(BarrierRound round, Time now) {
    if (round == BarrierRound::next_heartbeat) return round_ + 1;
    if (rounds_.size() >= most_close_rounds) {
        const Time free_at = rounds_[rounds_.size() - most_close_rounds].at + close_together;
        if (now < free_at) {
            confirming_round_at_ = free_at;
            return round_ + 1;
        }
    }
    send_confirming_round(now);
    return round_;
}

// To voters alone: others' answers prove nothing.
void Replica::send_confirming_round(Time now) {
    note_new_round(now);
    for (auto& [id, peer] : peers_)
        if (is_voter(id)) append_to(id, peer, now);
}

void Replica::note_new_round(Time now) {
    note_round(rounds_, ++round_, now);
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
        if (!leader_ || follower_barriers_.size() >= most_barriers) return {};
        follower_barriers_.push_back({number, std::nullopt});
        send(*leader_, ReadRequest{hard_.term, number, round == BarrierRound::next_heartbeat});
    }
    return next_barrier_++;
}

void Replica::on(const ReplicaId& from, const ReadRequest& request, Time now) {
    if (role_ != Role::leader || request.term != hard_.term || barriers_.size() >= most_barriers) return;
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
    note_new_round(now);
    heartbeat_at_ = now + options_.heartbeat_interval;
    for (auto& [id, peer] : peers_)
        if (is_voter(id) || now - peer.met < recently) append_to(id, peer, now);
}

Append Replica::append_for(const Peer& peer) const {
    return {hard_.term, round_, last(), committed_, is_everywhere(), peer.confirmed_round, std::nullopt};
}

void Replica::append_to(const ReplicaId& to, Peer& peer, Time now) {
    auto append = append_for(peer);
    const bool lacks = peer.held != last();
    if (lacks && (peer.sent != last() || now - peer.sent_at > options_.resend_interval)) {
        append.state = entry_->state;
        peer.sent = last();
        peer.sent_at = now;
    }
    send(to, std::move(append));
}

void Replica::on(const ReplicaId& from, const Append& append, Time now) {
    if (append.term < hard_.term) return send(from, AppendReply{hard_.term, 0, on_disk_});
    if (append.term > hard_.term || role_ != Role::follower || leader_ != from) follow(append.term, from, now);
    heard_leader_ = now;
    reset_election_timer(now);
    const size_t writes_before = writes_.size();
    while (!answered_.empty() && answered_.front().number <= append.acknowledged_round) {
        contact_ = std::max(contact_, answered_.front().at);
        answered_.pop_front();
    }
    if (append.last > last() && append.state) adopt({append.last, *append.state});
    copied_ = last() == append.last && append.fully_replicated;
    if (last() == append.last && append.commit >= last().index) commit(last().index);
    pass_barriers();
    const bool wrote = writes_.size() > writes_before;
    const SendTo reply{from, AppendReply{hard_.term, append.round, wrote ? last() : on_disk_}};
    note_round(answered_, append.round, now);
    last_answered_ = now;
    if (wrote)
        writes_.back().then.push_back(reply);
    else if (durable_term_ == hard_.term)
        outputs_.push_back(reply);   // else a later heartbeat has a reply
}

void Replica::on(const ReplicaId& from, const AppendReply& reply, Time now) {
    if (reply.term > hard_.term) return follow(reply.term, std::nullopt, now);
    if (role_ != Role::leader || reply.term < hard_.term) return;
    auto& peer = peers_[from];
    peer.met = now;
    const auto sent =
        std::find_if(rounds_.begin(), rounds_.end(), [&](const auto& round) { return round.number == reply.round; });
    if (sent != rounds_.end()) peer.heard = std::max(peer.heard, sent->at);
    peer.confirmed_round = std::max(peer.confirmed_round, reply.round);
    peer.held = std::max(peer.held, reply.persisted);
    advance_commit();
    pass_barriers();
}

// The entry that a majority of the voters has on disk is committed, if it is of the leader's own term.
void Replica::advance_commit() {
    std::vector<Position> held;
    for (const auto& voter : voters()) {
        const auto peer = peers_.find(voter);
        held.push_back(voter == self_ ? on_disk_ : peer == peers_.end() ? Position{} : peer->second.held);
    }
    if (held.empty()) return;
    std::sort(held.begin(), held.end(), std::greater<>());
    const Position agreed = held[held.size() / 2];
    if (agreed.term != hard_.term || agreed.index <= committed_) return;
    commit(agreed.index);
    for (const auto& [id, peer] : peers_) send(id, append_for(peer));   // followers learn of it at once
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
            if (peer.confirmed_round >= barrier.round) confirmed.insert(id);
        const bool passed = has_quorum(confirmed) && committed_ >= std::max(barrier.index, own_term_index_);
        if (!passed) return false;
        if (barrier.asker)
            send(*barrier.asker, ReadReply{hard_.term, barrier.number, barrier.index});
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
        auto done = std::move(writes_.front());
        writes_.erase(writes_.begin());
        on_disk_ = std::max(on_disk_, done.held);
        durable_term_ = std::max(durable_term_, done.term);
        for (auto& message : done.then) outputs_.push_back(std::move(message));
    }
    if (role_ == Role::leader) {
        advance_commit();
        pass_barriers();
    } else if (role_ == Role::candidate && !trial_ && writes_.empty() && has_quorum(granted_)) {
        lead(now);
    }
}

}   // namespace myrtleroute::consensus
