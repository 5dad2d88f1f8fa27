#include "consensus/replica.hpp"

#include <algorithm>

namespace myrtleroute::consensus {
namespace {

constexpr Span peer_retention{60};   // a non-voting peer is dropped if it was not seen within this time
const std::vector<ReplicaId> no_voters;

}   // namespace

Replica::Replica(ReplicaId self, HardState hard_state, std::optional<Entry> entry, ReplicaOptions options,
                 uint64_t seed, Time now)
    : self_(std::move(self)),
      hard_(std::move(hard_state)),
      entry_(std::move(entry)),
      options_(options),
      rng_(seed),
      heartbeat_at_(now),
      last_acknowledged_leader_(now),
      persisted_(last()),
      durable_term_(hard_.term) {
    election_at_ = now + options_.initial_election_delay * (1 + rng_.uniform());
}

const std::vector<ReplicaId>& Replica::voters() const { return entry_ ? entry_->state.voters : no_voters; }

bool Replica::is_voter(const ReplicaId& id) const { return std::binary_search(voters().begin(), voters().end(), id); }

bool Replica::has_quorum(const std::set<ReplicaId>& members) const {
    const auto present =
        std::count_if(voters().begin(), voters().end(), [&](const auto& v) { return members.count(v); });
    return 2 * static_cast<size_t>(present) > voters().size();
}

bool Replica::has_replies_within(Span span, Time now) const {
    std::set<ReplicaId> live{self_};
    for (const auto& [id, peer] : peers_)
        if (now - peer.last_acknowledged_at < span) live.insert(id);
    return has_quorum(live);
}

bool Replica::leads_with_quorum_within(Span span, Time now) const {
    return role_ == Role::leader && has_replies_within(span, now);
}

bool Replica::is_current(Time now) const {
    if (role_ == Role::leader) return has_replies_within(options_.min_election_timeout, now);
    return leader_ && now - confirmed_contact_ < options_.min_election_timeout;
}

void Replica::reset_election_timer(Time now) {
    // After a start of the whole system a failed election is retried soon; pre-votes keep it from disturbing a live
    // leader.
    if (leader_contact_at_ <= long_ago && own_term_index_ == 0) {
        election_at_ = now + options_.election_retry_delay * (1 + 2 * rng_.uniform());
        return;
    }
    election_at_ = now + options_.min_election_timeout + options_.election_spread * rng_.uniform();
}

void Replica::send(const ReplicaId& to, Message message) { outputs_.push_back(SendTo{to, std::move(message)}); }

void Replica::persist_hard_state() {
    Persist write{next_write_++, hard_, std::nullopt};
    writes_.push_back({write.number, hard_.term, persisted_, {}});
    outputs_.push_back(std::move(write));
}

void Replica::peer_reachable(const ReplicaId& peer, bool may_vote, Time now) {
    if (peer == self_) return;
    auto& known = peers_[peer];
    known.may_vote = may_vote;
    known.reachable_at = now;
}

void Replica::peer_connected(const ReplicaId& peer, bool may_vote, Time now) {
    peer_reachable(peer, may_vote, now);
    if (peer != self_) peers_[peer].is_departing = false;
}

// A process that ends resets its connections long before its silence would be noticed. A connection that was only reset
// is established again within this delay, and the leader's messages arrive. Each replica decides for itself: a majority
// must have lost the leader.
void Replica::peer_disconnected(const ReplicaId& peer, Time now) {
    if (role_ != Role::follower || leader_ != peer) return;
    leader_contact_at_ = std::min(leader_contact_at_, now - options_.min_election_timeout);
    election_at_ =
        std::min(election_at_, now + options_.leader_disconnect_delay + options_.election_retry_delay * rng_.uniform());
}

void Replica::receive(const ReplicaId& from, const Message& message, Time now) {
    if (from == self_) return;
    if (const auto peer = peers_.find(from); peer != peers_.end()) peer->second.reachable_at = now;
    std::visit([&](const auto& typed) { on(from, typed, now); }, message);
    if (role_ == Role::leader && now >= confirming_round_at_) send_confirming_round(now);
}

void Replica::become_follower(uint64_t term, std::optional<ReplicaId> leader, Time now) {
    const bool was_leader = role_ == Role::leader;
    role_ = Role::follower;
    leader_ = std::move(leader);
    votes_.clear();
    barriers_.clear();
    follower_barriers_.clear();
    rounds_.clear();
    acknowledged_rounds_.clear();
    confirmed_contact_ = long_ago;
    is_fully_replicated_ = false;
    transferring_ = false;
    if (term > hard_.term) {
        hard_ = {term, std::nullopt};
        persist_hard_state();
    }
    reset_election_timer(now);
    if (was_leader) last_acknowledged_leader_ = now;
    if (was_leader) outputs_.push_back(LeadershipChanged{false});
}

// Elections.

void Replica::start_election(bool pre_vote, bool transfer, Time now) {
    role_ = Role::candidate;
    leader_.reset();
    is_pre_vote_ = pre_vote;
    votes_ = {self_};
    leaderless_ = now - last_acknowledged_leader_;
    reset_election_timer(now);
    VoteRequest request{pre_vote, hard_.term + 1, last(), transfer};
    std::vector<SendTo> requests;
    if (!pre_vote) {
        hard_ = {hard_.term + 1, self_};
        persist_hard_state();
    }
    for (const auto& voter : voters()) {
        if (voter == self_) continue;
        if (pre_vote)
            send(voter, request);
        else
            writes_.back().after.push_back({voter, request});   // sent once the own vote is on disk
    }
    // A replica that is the only voter has the quorum by itself, once its vote is on disk.
    if (pre_vote && has_quorum(votes_)) start_election(false, transfer, now);
}

void Replica::on(const ReplicaId& from, const VoteRequest& request, Time now) {
    const bool leader_is_live = role_ == Role::leader || now - leader_contact_at_ < options_.min_election_timeout;
    const bool log_is_current = request.last >= last();
    if (request.pre_vote) {
        const bool granted = request.term > hard_.term && log_is_current && !leader_is_live;
        return send(from, VoteReply{true, granted ? request.term : hard_.term, granted});
    }
    if (leader_is_live && !request.transfer) return;   // would only disrupt a working leader
    if (request.term > hard_.term) become_follower(request.term, std::nullopt, now);
    // A replica that has led or been a candidate in this term has voted for itself.
    const bool granted = request.term == hard_.term && log_is_current && (!hard_.voted_for || *hard_.voted_for == from);
    if (!granted) return send(from, VoteReply{false, hard_.term, false});
    role_ = Role::follower;
    if (!hard_.voted_for) {
        hard_.voted_for = from;
        persist_hard_state();
    }
    reset_election_timer(now);
    const SendTo reply{from, VoteReply{false, hard_.term, true, (now - last_acknowledged_leader_).s}};
    if (writes_.empty())
        outputs_.push_back(reply);
    else
        writes_.back().after.push_back(reply);
}

void Replica::on(const ReplicaId& from, const VoteReply& reply, Time now) {
    if (!reply.granted && reply.term > hard_.term) return become_follower(reply.term, std::nullopt, now);
    if (role_ != Role::candidate || reply.pre_vote != is_pre_vote_ || !reply.granted) return;
    if (reply.term != hard_.term + (is_pre_vote_ ? 1 : 0)) return;
    votes_.insert(from);
    if (!is_pre_vote_) leaderless_ = std::min(leaderless_, Span{reply.leaderless});
    if (!has_quorum(votes_)) return;
    if (is_pre_vote_)
        start_election(false, false, now);
    else if (writes_.empty())
        become_leader(now);   // otherwise once the own vote is on disk
}

void Replica::on(const ReplicaId&, const TransferLeadership& transfer, Time now) {
    if (transfer.term == hard_.term && is_voter(self_)) start_election(false, true, now);
}

void Replica::become_leader(Time now) {
    role_ = Role::leader;
    leader_ = self_;
    barriers_.clear();
    follower_barriers_.clear();
    rounds_.clear();
    for (auto& [id, peer] : peers_) {
        // A quorum has just voted; unreachable peers are detected within an election timeout.
        peer.last_acknowledged_at = now;
        peer.persisted = {};
        peer.sent = {};
        peer.acknowledged_round = 0;
    }
    for (const auto& voter : voters())
        if (voter != self_) peers_.try_emplace(voter).first->second.last_acknowledged_at = now;
    outputs_.push_back(LeadershipChanged{true});
    own_term_index_ = last().index + 1;
    adopt({{hard_.term, own_term_index_}, entry_->state});
    heartbeat(now);
}

std::string Replica::fingerprint(Time now) const {
    const auto text = [](const Position& p) {
        return std::to_string(p.term) + "/" + std::to_string(p.index) + " ";
    };
    std::string all = std::to_string(static_cast<int>(role_)) + (is_pre_vote_ ? "t" : "") + (transferring_ ? "x" : "") +
                      std::to_string(hard_.term) + (hard_.voted_for ? hard_.voted_for->text() : "-") + text(last()) +
                      text(persisted_) + std::to_string(durable_term_) + "c" + std::to_string(committed_) + "o" +
                      std::to_string(own_term_index_) + (leader_ ? leader_->text() : "-");
    if (entry_) all += std::to_string(entry_->state.version);
    for (const auto& voter : voters()) all += "v" + voter.text();
    for (const auto& granted : votes_) all += "g" + granted.text();
    all += now - leader_contact_at_ < options_.min_election_timeout ? "L" : "";
    for (const auto& [id, peer] : peers_) {
        all += "p" + id.text() + text(peer.persisted) + text(peer.sent) + (peer.is_departing ? "d" : "");
        all += now - peer.last_acknowledged_at < options_.min_election_timeout ? "h"
               : now - peer.last_acknowledged_at < options_.voter_timeout      ? "s"
                                                                               : "";
    }
    for (const auto& write : writes_)
        all += "w" + std::to_string(write.term) + text(write.persisted) + std::to_string(write.after.size());
    return all;
}

// Timers.

void Replica::tick(Time now) {
    std::erase_if(peers_, [&](const auto& known) {
        return !is_voter(known.first) && now - known.second.reachable_at > peer_retention;
    });
    if (role_ == Role::leader) {
        check_quorum(now);
        if (role_ != Role::leader) return;
        if (now >= heartbeat_at_)
            heartbeat(now);
        else if (now >= confirming_round_at_)
            send_confirming_round(now);
        if (now >= transfer_until_) transferring_ = false;
        if (!options_.counts_for_quorum && !transferring_) transfer_leadership(now);
        return change_voters(now);
    }
    if (now < election_at_) return;
    if (is_voter(self_))
        start_election(true, false, now);
    else
        reset_election_timer(now);
}

// Check-quorum: a leader without replies from a majority steps down, so that nobody relies on it.
void Replica::check_quorum(Time now) {
    if (!has_replies_within(options_.min_election_timeout, now)) become_follower(hard_.term, std::nullopt, now);
}

}   // namespace myrtleroute::consensus
