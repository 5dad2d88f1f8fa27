// The voters of the log: who joins, who is dropped, to whom leadership goes.
//
// One voter changes at a time, and only while the change before it is committed and an entry of the leader's own term
// is. What is committed then has one copy more than a minority on the disks of the voters.
#include <algorithm>

#include "consensus/replica.hpp"

namespace myrtleroute::consensus {
namespace {

constexpr Span recently{2};   // a peer met since then can be reached

}   // namespace

void Replica::transfer_leadership(Time now) {
    if (role_ != Role::leader) return;
    const ReplicaId* best = nullptr;
    Time best_heard = long_ago;
    for (const auto& voter : voters()) {
        const auto peer = peers_.find(voter);
        if (voter == self_ || peer == peers_.end() || peer->second.held != last() || !peer->second.may_vote) continue;
        if (peer->second.heard > best_heard) {
            best = &voter;
            best_heard = peer->second.heard;
        }
    }
    if (!best || now - best_heard > options_.min_election_timeout) return;
    transferring_ = true;
    transfer_until_ = now + options_.transfer_timeout;
    send(*best, TransferLeadership{hard_.term});
}

void Replica::depart(Time now) {
    if (role_ == Role::leader) return transfer_leadership(now);
    if (leader_) send(*leader_, Departure{hard_.term});
}

void Replica::on(const ReplicaId& from, const Departure&, Time) {
    if (role_ == Role::leader) peers_[from].departs = true;
}

void Replica::change_voters(Time now) {
    if (transferring_ || committed_ != last().index || committed_ < own_term_index_) return;
    if (!is_voter(self_)) return follow(hard_.term, std::nullopt, now);
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

// Whether another disk answers at the endpoint of a voter. The process that used the voter's disk has ended then.
bool Replica::is_replaced(const ReplicaId& voter, Time now) const {
    const auto known = peers_.find(voter);
    const Time met = known == peers_.end() ? long_ago : known->second.met;
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& other) {
        const auto& [id, peer] = other;
        return id.endpoint == voter.endpoint && id != voter && peer.met > met && now - peer.met < recently;
    });
}

bool Replica::is_everywhere() const {
    return on_disk_ == last() && std::all_of(voters().begin(), voters().end(), [&](const auto& voter) {
               const auto peer = peers_.find(voter);
               if (voter == self_ || peer == peers_.end()) return true;
               const bool answers = heartbeat_at_ - peer->second.heard < recently;
               return !answers || peer->second.held == last();
           });
}

bool Replica::is_fully_replicated() const {
    if (!entry_ || !is_voter(self_)) return true;
    return role_ == Role::leader ? is_everywhere() : copied_;
}

// One whose machine has come back with another disk; or one that is silent or about to end, where enough others live.
std::optional<ReplicaId> Replica::voter_to_remove(Time now) const {
    size_t live = 1, counting = options_.counts_for_quorum;
    for (const auto& voter : voters()) {
        const auto peer = peers_.find(voter);
        if (voter == self_ || peer == peers_.end() || now - peer->second.heard >= recently) continue;
        live += !peer->second.departs;
        counting += peer->second.may_vote;
    }
    const size_t others = voters().size() - 1;
    const bool enough_live = others >= options_.min_voters && live > others / 2 + 1;
    for (const auto& voter : voters()) {
        if (voter == self_) continue;
        const auto found = peers_.find(voter);
        const Peer peer = found == peers_.end() ? Peer{} : found->second;
        // One that does not count goes once those that do are a majority without it, and none of them waits to join.
        const bool counts = found == peers_.end() || peer.may_vote || peer.met <= long_ago;
        if (!counts && counting > others / 2 && !voter_to_add(now)) return voter;
        if (is_replaced(voter, now)) return voter;
        const bool leaves = peer.departs || now - peer.heard > options_.voter_timeout;
        if (leaves && enough_live) return voter;
    }
    return {};
}

std::optional<ReplicaId> Replica::voter_to_add(Time now) const {
    if (voters().size() >= options_.max_voters) return {};
    for (const auto& [id, peer] : peers_) {
        const bool caught_up = peer.held == last() && now - peer.heard < options_.min_election_timeout;
        // A machine has one vote: the replica that it had before is removed first.
        const bool machine_votes =
            std::any_of(voters().begin(), voters().end(),
                        [&endpoint = id.endpoint](const auto& voter) { return voter.endpoint == endpoint; });
        if (peer.may_vote && caught_up && !machine_votes && !peer.departs) return id;
    }
    return {};
}

}   // namespace myrtleroute::consensus
