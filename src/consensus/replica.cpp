#include "consensus/replica.hpp"

#include <algorithm>

namespace myrtleroute::consensus {
namespace {

constexpr Span forgotten{60};   // a peer that is no voter and was not met since then is dropped
const std::vector<ReplicaId> no_voters;

}   // namespace

Replica::Replica(ReplicaId self, HardState hard_state, std::optional<Entry> entry, ReplicaOptions options,
                 uint64_t seed, Time now)
    : self_(std::move(self)),
      hard_(std::move(hard_state)),
      entry_(std::move(entry)),
      options_(options),
      chance_(seed),
      heartbeat_at_(now),
      last_answered_(now),
      on_disk_(last()),
      durable_term_(hard_.term) {
    election_at_ = now + options_.initial_election_delay * (1 + chance_.uniform());
}

const std::vector<ReplicaId>& Replica::voters() const { return entry_ ? entry_->state.voters : no_voters; }

bool Replica::is_voter(const ReplicaId& id) const { return std::binary_search(voters().begin(), voters().end(), id); }

bool Replica::has_quorum(const std::set<ReplicaId>& of) const {
    const auto present = std::count_if(voters().begin(), voters().end(), [&](const auto& v) { return of.count(v); });
    return 2 * static_cast<size_t>(present) > voters().size();
}

bool Replica::has_answers_within(Span span, Time now) const {
    std::set<ReplicaId> live{self_};
    for (const auto& [id, peer] : peers_)
        if (now - peer.heard < span) live.insert(id);
    return has_quorum(live);
}

bool Replica::leads_with_quorum_within(Span span, Time now) const {
    return role_ == Role::leader && has_answers_within(span, now);
}

bool Replica::is_current(Time now) const {
    if (role_ == Role::leader) return has_answers_within(options_.min_election_timeout, now);
    return leader_ && now - contact_ < options_.min_election_timeout;
}

void Replica::reset_election_timer(Time now) {
    // After a start of everything a failed election is soon tried again; pre-votes keep a living leader undisturbed.
    if (heard_leader_ <= long_ago && own_term_index_ == 0) {
        election_at_ = now + options_.election_retry_delay * (1 + 2 * chance_.uniform());
        return;
    }
    election_at_ = now + options_.min_election_timeout + options_.election_spread * chance_.uniform();
}

void Replica::send(const ReplicaId& to, Message message) { outputs_.push_back(SendTo{to, std::move(message)}); }

void Replica::persist_hard_state() {
    Persist write{next_write_++, hard_, std::nullopt};
    writes_.push_back({write.number, hard_.term, on_disk_, {}});
    outputs_.push_back(std::move(write));
}

void Replica::peer_reachable(const ReplicaId& peer, bool may_vote, Time now) {
    if (peer == self_) return;
    auto& known = peers_[peer];
    known.may_vote = may_vote;
    known.met = now;
}

void Replica::peer_connected(const ReplicaId& peer, bool may_vote, Time now) {
    peer_reachable(peer, may_vote, now);
    if (peer != self_) peers_[peer].departs = false;
}

// An ended process resets its connections, long before its silence would tell. A connection that was only reset is up again
// within that time, and the leader is heard of. Others judge for themselves: a majority must have lost it.
void Replica::peer_disconnected(const ReplicaId& peer, Time now) {
    if (role_ != Role::follower || leader_ != peer) return;
    heard_leader_ = std::min(heard_leader_, now - options_.min_election_timeout);
    election_at_ = std::min(election_at_,
                            now + options_.leader_disconnect_delay + options_.election_retry_delay * chance_.uniform());
}

void Replica::receive(const ReplicaId& from, const Message& message, Time now) {
    if (from == self_) return;
    if (const auto peer = peers_.find(from); peer != peers_.end()) peer->second.met = now;
    std::visit([&](const auto& typed) { on(from, typed, now); }, message);
    if (role_ == Role::leader && now >= confirming_round_at_) send_confirming_round(now);
}

void Replica::follow(uint64_t term, std::optional<ReplicaId> leader, Time now) {
    const bool led = role_ == Role::leader;
    role_ = Role::follower;
    leader_ = std::move(leader);
    granted_.clear();
    barriers_.clear();
    follower_barriers_.clear();
    rounds_.clear();
    answered_.clear();
    contact_ = long_ago;
    copied_ = false;
    transferring_ = false;
    if (term > hard_.term) {
        hard_ = {term, std::nullopt};
        persist_hard_state();
    }
    reset_election_timer(now);
    if (led) last_answered_ = now;
    if (led) outputs_.push_back(LeadershipChanged{false});
}

// Elections.

void Replica::start_election(bool trial, bool transfer, Time now) {
    role_ = Role::candidate;
    leader_.reset();
    trial_ = trial;
    granted_ = {self_};
    quiet_ = now - last_answered_;
    reset_election_timer(now);
    VoteRequest request{trial, hard_.term + 1, last(), transfer};
    std::vector<SendTo> requests;
    if (!trial) {
        hard_ = {hard_.term + 1, self_};
        persist_hard_state();
    }
    for (const auto& voter : voters()) {
        if (voter == self_) continue;
        if (trial)
            send(voter, request);
        else
            writes_.back().then.push_back({voter, request});   // once the own vote is on disk
    }
    // A replica that is the only voter has the quorum by itself, once its vote is on disk.
    if (trial && has_quorum(granted_)) start_election(false, transfer, now);
}

void Replica::on(const ReplicaId& from, const VoteRequest& request, Time now) {
    const bool leader_lives = role_ == Role::leader || now - heard_leader_ < options_.min_election_timeout;
    const bool log_suffices = request.last >= last();
    if (request.pre_vote) {
        const bool granted = request.term > hard_.term && log_suffices && !leader_lives;
        return send(from, VoteReply{true, granted ? request.term : hard_.term, granted});
    }
    if (leader_lives && !request.transfer) return;   // would only disturb a leader that works
    if (request.term > hard_.term) follow(request.term, std::nullopt, now);
    // One who has led or stood in this term has voted for itself.
    const bool granted = request.term == hard_.term && log_suffices && (!hard_.voted_for || *hard_.voted_for == from);
    if (!granted) return send(from, VoteReply{false, hard_.term, false});
    role_ = Role::follower;
    if (!hard_.voted_for) {
        hard_.voted_for = from;
        persist_hard_state();
    }
    reset_election_timer(now);
    const SendTo reply{from, VoteReply{false, hard_.term, true, (now - last_answered_).s}};
    if (writes_.empty())
        outputs_.push_back(reply);
    else
        writes_.back().then.push_back(reply);
}

void Replica::on(const ReplicaId& from, const VoteReply& reply, Time now) {
    if (!reply.granted && reply.term > hard_.term) return follow(reply.term, std::nullopt, now);
    if (role_ != Role::candidate || reply.pre_vote != trial_ || !reply.granted) return;
    if (reply.term != hard_.term + (trial_ ? 1 : 0)) return;
    granted_.insert(from);
    if (!trial_) quiet_ = std::min(quiet_, Span{reply.leaderless});
    if (!has_quorum(granted_)) return;
    if (trial_)
        start_election(false, false, now);
    else if (writes_.empty())
        lead(now);   // else once the own vote is on disk
}

void Replica::on(const ReplicaId&, const TransferLeadership& transfer, Time now) {
    if (transfer.term == hard_.term && is_voter(self_)) start_election(false, true, now);
}

void Replica::lead(Time now) {
    role_ = Role::leader;
    leader_ = self_;
    barriers_.clear();
    follower_barriers_.clear();
    rounds_.clear();
    for (auto& [id, peer] : peers_) {
        peer.heard = now;   // a quorum has just voted; who is silent shows within an election timeout
        peer.held = {};
        peer.sent = {};
        peer.confirmed_round = 0;
    }
    for (const auto& voter : voters())
        if (voter != self_) peers_.try_emplace(voter).first->second.heard = now;
    outputs_.push_back(LeadershipChanged{true});
    own_term_index_ = last().index + 1;
    adopt({{hard_.term, own_term_index_}, entry_->state});
    heartbeat(now);
}

std::string Replica::fingerprint(Time now) const {
    const auto text = [](const Position& p) {
        return std::to_string(p.term) + "/" + std::to_string(p.index) + " ";
    };
    std::string all = std::to_string(static_cast<int>(role_)) + (trial_ ? "t" : "") + (transferring_ ? "x" : "") +
                      std::to_string(hard_.term) + (hard_.voted_for ? hard_.voted_for->text() : "-") + text(last()) +
                      text(on_disk_) + std::to_string(durable_term_) + "c" + std::to_string(committed_) + "o" +
                      std::to_string(own_term_index_) + (leader_ ? leader_->text() : "-");
    if (entry_) all += std::to_string(entry_->state.version);
    for (const auto& voter : voters()) all += "v" + voter.text();
    for (const auto& granted : granted_) all += "g" + granted.text();
    all += now - heard_leader_ < options_.min_election_timeout ? "L" : "";
    for (const auto& [id, peer] : peers_) {
        all += "p" + id.text() + text(peer.held) + text(peer.sent) + (peer.departs ? "d" : "");
        all += now - peer.heard < options_.min_election_timeout ? "h"
               : now - peer.heard < options_.voter_timeout      ? "s"
                                                                : "";
    }
    for (const auto& write : writes_)
        all += "w" + std::to_string(write.term) + text(write.held) + std::to_string(write.then.size());
    return all;
}

// Time.

void Replica::tick(Time now) {
    std::erase_if(peers_,
                  [&](const auto& known) { return !is_voter(known.first) && now - known.second.met > forgotten; });
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

// A leader that a majority does not answer steps down, so that nobody takes it for one.
void Replica::check_quorum(Time now) {
    if (!has_answers_within(options_.min_election_timeout, now)) follow(hard_.term, std::nullopt, now);
}

}   // namespace myrtleroute::consensus
