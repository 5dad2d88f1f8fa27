// Membership changes: adding and removing voters, and leadership transfer.
//
// One voter changes at a time, and only after the previous change and an entry of the leader's own term are committed.
// Every committed entry then has one copy more than a minority on the disks of the voters.
#include <algorithm>

#include "consensus/replica.hpp"

namespace myrtleroute::consensus {
namespace {

constexpr Span reachable_within{2};   // a peer seen within this time is reachable

}   // namespace

void Replica::transfer_leadership(Time now) {
    if (role_ != Role::leader) return;
    const ReplicaId* best = nullptr;
    Time best_contact = long_ago;
    for (const auto& voter : voters()) {
        const auto peer = peers_.find(voter);
        if (voter == self_ || peer == peers_.end() || peer->second.persisted != last() || !peer->second.may_vote)
            continue;
        if (peer->second.last_acknowledged_at > best_contact) {
            best = &voter;
            best_contact = peer->second.last_acknowledged_at;
        }
    }
    if (!best || now - best_contact > options_.min_election_timeout) return;
    transferring_ = true;
    transfer_until_ = now + options_.transfer_timeout;
    send(*best, TransferLeadership{hard_.term});
}

void Replica::depart(Time now) {
    if (role_ == Role::leader) return transfer_leadership(now);
    if (leader_) send(*leader_, Departure{hard_.term});
}

void Replica::on(const ReplicaId& from, const Departure&, Time) {
    if (role_ == Role::leader) peers_[from].is_departing = true;
}

void Replica::change_voters(Time now) {
    if (transferring_ || committed_ != last().index || committed_ < own_term_index_) return;
    if (!is_voter(self_)) return become_follower(hard_.term, std::nullopt, now);
    ClusterState state = entry_->state;
    if (const auto removed = voter_to_remove(now)) {
        std::erase(state.voters, *removed);
    } else if (const auto added = voter_to_add(now)) {
        state.voters.insert(std::upper_bound(state.voters.begin(), state.voters.end(), *added), *added);
    } else {
        return;
    }
    propose(std::move(state), now);
}

// Whether a replica with another disk responds at the endpoint of a voter. The process that used the voter's disk has
// ended then.
bool Replica::is_replaced(const ReplicaId& voter, Time now) const {
    const auto known = peers_.find(voter);
    const Time reachable_at = known == peers_.end() ? long_ago : known->second.reachable_at;
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& other) {
        const auto& [id, peer] = other;
        return id.endpoint == voter.endpoint && id != voter && peer.reachable_at > reachable_at &&
               now - peer.reachable_at < reachable_within;
    });
}

bool Replica::all_voters_have_last() const {
    return persisted_ == last() && std::all_of(voters().begin(), voters().end(), [&](const auto& voter) {
               const auto peer = peers_.find(voter);
               if (voter == self_ || peer == peers_.end()) return true;
               const bool responds = heartbeat_at_ - peer->second.last_acknowledged_at < reachable_within;
               return !responds || peer->second.persisted == last();
           });
}

bool Replica::is_fully_replicated() const {
    if (!entry_ || !is_voter(self_)) return true;
    return role_ == Role::leader ? all_voters_have_last() : is_fully_replicated_;
}

// Chooses a voter whose machine has come back with another disk, or one that is out of contact or about to end, if
// enough others are live.
std::optional<ReplicaId> Replica::voter_to_remove(Time now) const {
    size_t live = 1, counted = options_.counts_for_quorum;
    for (const auto& voter : voters()) {
        const auto peer = peers_.find(voter);
        if (voter == self_ || peer == peers_.end() || now - peer->second.last_acknowledged_at >= reachable_within)
            continue;
        live += !peer->second.is_departing;
        counted += peer->second.may_vote;
    }
    const size_t others = voters().size() - 1;
    const bool enough_live = others >= options_.min_voters && live > others / 2 + 1;
    for (const auto& voter : voters()) {
        if (voter == self_) continue;
        const auto found = peers_.find(voter);
        const Peer peer = found == peers_.end() ? Peer{} : found->second;
        // A voter that does not count for the quorum is removed once those that count are a majority without it and
        // none of them waits to be added.
        const bool counts = found == peers_.end() || peer.may_vote || peer.reachable_at <= long_ago;
        if (!counts && counted > others / 2 && !voter_to_add(now)) return voter;
        if (is_replaced(voter, now)) return voter;
        const bool is_leaving = peer.is_departing || now - peer.last_acknowledged_at > options_.voter_timeout;
        if (is_leaving && enough_live) return voter;
    }
    return {};
}

std::optional<ReplicaId> Replica::voter_to_add(Time now) const {
    if (voters().size() >= options_.max_voters) return {};
    for (const auto& [id, peer] : peers_) {
        const bool caught_up =
            peer.persisted == last() && now - peer.last_acknowledged_at < options_.min_election_timeout;
        // A machine has one vote: its previous replica is removed first.
        const bool machine_votes =
            std::any_of(voters().begin(), voters().end(),
                        [&endpoint = id.endpoint](const auto& voter) { return voter.endpoint == endpoint; });
        if (peer.may_vote && caught_up && !machine_votes && !peer.is_departing) return id;
    }
    return {};
}

}   // namespace myrtleroute::consensus
