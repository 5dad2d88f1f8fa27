// Replicas on a virtual network with virtual disks; all random events are drawn from one seed.
#pragma once
#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "consensus/replica.hpp"

namespace myrtleroute::testing {

struct BrokenInvariant : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Probabilities of faults per step of a hundredth of a second.
struct FaultRates {
    double loss = 0.02, duplicate = 0.01, crash = 0.002, wipe = 0, cut = 0.003, stall = 0.003, freeze = 0.002;
    bool volatile_disk = false;   // planted fault: writes are reported as complete without being kept
};

class ConsensusWorld {
public:
    // Machines with a number below `diskless` don't count for the quorum.
    ConsensusWorld(size_t seeds, size_t joiners, uint64_t seed, FaultRates faults, size_t diskless = 0)
        : diskless_(diskless), rng_(seed), faults_(faults), tolerated_((seeds + joiners - 1) / 2) {
        consensus::ClusterState first;
        for (size_t i = 0; i < seeds; ++i) first.voters.push_back({address(i), 0});
        for (size_t i = 0; i < seeds + joiners; ++i) {
            nodes_.push_back(std::make_unique<Node>());
            auto& node = *nodes_.back();
            node.id = {address(i), i < seeds ? 0 : next_disk_++};
            if (i < seeds) node.disk.entry = consensus::Entry{{0, 1}, first};
            start(node);
        }
    }

    // Advances time by a hundredth of a second.
    void step(bool with_faults) {
        now_ = now_ + Span{0.01};
        if (with_faults) inject_faults();
        for (auto& node : nodes_) run(*node);
        deliver();
        for (auto& node : nodes_)
            if (node->replica) check(*node);
    }
    void end_faults() {
        for (auto& node : nodes_) {
            node->cut_until = node->stalled_until = node->frozen_until = node->down_until = long_ago;
            if (!node->replica) start(*node);
        }
    }
    // Proposes the next version at every leader; it counts as acknowledged once its entry is committed there.
    void propose() {
        for (auto& node : nodes_) {
            if (!node->replica || node->replica->role() != consensus::Role::leader || now_ < node->frozen_until)
                continue;
            auto state = node->replica->entry()->state;
            const auto version = ++next_version_;
            state.version = version;
            state.configuration = "configuration " + std::to_string(version);
            if (const auto position = node->replica->propose(state, now_)) node->proposed[*position] = version;
            execute_outputs(*node);
        }
    }
    // The version that a majority has agreed on, as its leader reports it; nothing if there is none.
    std::optional<uint64_t> agreed() const {
        for (const auto& node : nodes_)
            if (node->replica && node->replica->role() == consensus::Role::leader &&
                node->replica->committed() == node->replica->entry()->position.index)
                return node->replica->entry()->state.version;
        return {};
    }
    uint64_t acknowledged() const { return acknowledged_; }
    size_t voters() const {
        for (const auto& node : nodes_)
            if (node->replica && node->replica->role() == consensus::Role::leader)
                return node->replica->entry()->state.voters.size();
        return 0;
    }
    bool votes(size_t number) const {
        for (const auto& node : nodes_)
            if (node->replica && node->replica->role() == consensus::Role::leader)
                return node->replica->is_voter(nodes_[number]->id);
        return false;
    }
    size_t leaders() const {
        return static_cast<size_t>(std::count_if(nodes_.begin(), nodes_.end(), [](const auto& node) {
            return node->replica && node->replica->role() == consensus::Role::leader;
        }));
    }
    void wipe(size_t number) {
        auto& node = *nodes_[number];
        node.replica.reset();
        node.disk = {};
        node.id.disk = next_disk_++;
        node.down_until = now_ + Span{0.5};
    }
    void restart_all() {
        for (auto& node : nodes_) {
            node->replica.reset();
            start(*node);
        }
        packets_.clear();
    }
    void stop_for_good(size_t number) {
        nodes_[number]->replica.reset();
        nodes_[number]->down_until = Time{1e9};
    }
    Time now() const { return now_; }
    std::string describe() const {
        std::string text;
        for (const auto& node : nodes_) {
            text += node->id.text() + ": ";
            if (!node->replica) {
                text += "down\n";
                continue;
            }
            const auto& replica = *node->replica;
            text +=
                "role " + std::to_string(static_cast<int>(replica.role())) + " term " + std::to_string(replica.term());
            if (const auto& entry = replica.entry()) {
                text += " at " + std::to_string(entry->position.term) + "/" + std::to_string(entry->position.index) +
                        " committed " + std::to_string(replica.committed()) + " voters";
                for (const auto& voter : entry->state.voters) text += " " + voter.text();
            }
            text += "\n";
        }
        return text;
    }
    std::string state_digest() const {   // summary of the final state, to compare runs
        std::string text;
        for (const auto& node : nodes_)
            if (node->replica && node->replica->entry())
                text += std::to_string(node->replica->term()) + "/" +
                        std::to_string(node->replica->entry()->position.index) + " ";
        return text;
    }

private:
    struct Disk {
        consensus::HardState hard_state;
        std::optional<consensus::Entry> entry;
    };
    struct Write {
        consensus::Persist what;
        Time done;
    };
    struct Node {
        consensus::ReplicaId id;
        Disk disk;
        std::unique_ptr<consensus::Replica> replica;
        std::deque<Write> writes;
        std::map<consensus::Position, uint64_t> proposed;   // versions, by position of their entry
        Time cut_until = long_ago, stalled_until = long_ago, frozen_until = long_ago, down_until = long_ago;
        Time ticked = long_ago;
        uint64_t highest_version = 0;   // committed and observed in this incarnation
    };
    struct Packet {
        consensus::ReplicaId from, to;
        consensus::Message message;
        Time at;
    };

    static Endpoint address(size_t i) { return {"10.0.0." + std::to_string(i + 1), 7500}; }
    bool happens(double probability) { return rng_.uniform() < probability; }

    void start(Node& node) {
        node.writes.clear();
        node.proposed.clear();
        node.highest_version = 0;
        consensus::ReplicaOptions options;
        options.counts_for_quorum = counts_for_quorum(node);
        node.replica = std::make_unique<consensus::Replica>(node.id, node.disk.hard_state, node.disk.entry, options,
                                                            rng_.next(), now_);
    }
    bool counts_for_quorum(const Node& node) const {
        for (size_t i = 0; i < diskless_; ++i)
            if (nodes_[i].get() == &node) return false;
        return true;
    }
    size_t faulty_nodes() const {
        return static_cast<size_t>(std::count_if(nodes_.begin(), nodes_.end(), [this](const auto& node) {
            return !node->replica || now_ < node->cut_until + Span{2} || now_ < node->stalled_until;
        }));
    }
    // Whether some leader has every machine, with its current disk, among its voters.
    bool all_vote() const {
        for (const auto& leading : nodes_) {
            if (!leading->replica || leading->replica->role() != consensus::Role::leader) continue;
            if (leading->replica->committed() != leading->replica->entry()->position.index) continue;
            return std::all_of(nodes_.begin(), nodes_.end(),
                               [&](const auto& node) { return leading->replica->is_voter(node->id); });
        }
        return false;
    }
    void inject_faults() {
        // Only a single lost disk is tolerated at a time: no other fault happens until its machine is a voter again.
        if (faults_.wipe > 0 && wiped_at_ > long_ago && !recovered_) {
            recovered_ = all_vote();
            return;
        }
        for (auto& node : nodes_) {
            if (node->replica && happens(faults_.crash)) {
                node->replica.reset();   // writes without a completion may be lost, and are lost here
                node->down_until = now_ + Span{rng_.uniform() * 3};
            }
            if (happens(faults_.cut)) node->cut_until = now_ + Span{rng_.uniform() * 4};
            if (happens(faults_.stall)) node->stalled_until = now_ + Span{rng_.uniform() * 3};
            if (happens(faults_.freeze)) node->frozen_until = now_ + Span{rng_.uniform() * 3};
        }
        if (faulty_nodes() == 0 && all_vote() && happens(faults_.wipe)) {
            wiped_at_ = now_;
            recovered_ = false;
            wipe(rng_.next() % nodes_.size());
        }
    }
    void run(Node& node) {
        if (!node.replica) {
            if (now_ >= node.down_until) start(node);
            return;
        }
        if (now_ < node.frozen_until) return;
        while (!node.writes.empty() && now_ >= node.writes.front().done && now_ >= node.stalled_until) {
            const auto write = std::move(node.writes.front());
            node.writes.pop_front();
            if (!faults_.volatile_disk) apply(node, write.what);
            node.replica->persisted(write.what.number, now_);
            execute_outputs(node);
        }
        if (now_ - node.ticked < Span{0.05}) return;
        node.ticked = now_;
        for (const auto& peer : nodes_)
            if (peer.get() != &node && peer->replica && reaches(*peer, node))
                node.replica->peer_reachable(peer->id, counts_for_quorum(*peer), now_);
        node.replica->tick(now_);
        execute_outputs(node);
    }
    static void apply(Node& node, const consensus::Persist& write) {
        if (write.hard_state) node.disk.hard_state = *write.hard_state;
        if (write.entry) node.disk.entry = write.entry;
    }
    bool reaches(const Node& from, const Node& to) const { return now_ >= from.cut_until && now_ >= to.cut_until; }
    Node* node_of(const consensus::ReplicaId& id) {
        for (auto& node : nodes_)
            if (node->id == id) return node.get();
        return nullptr;
    }
    void execute_outputs(Node& node) {
        for (auto& output : node.replica->take_outputs()) {
            if (auto* send = std::get_if<consensus::SendTo>(&output))
                send_packet(node, *send);
            else if (auto* persist = std::get_if<consensus::Persist>(&output))
                node.writes.push_back({std::move(*persist), now_ + Span{0.005 + rng_.uniform() * 0.02}});
            else if (const auto* committed = std::get_if<consensus::Committed>(&output))
                record_commit(node, *committed);
        }
    }
    void send_packet(const Node& from, const consensus::SendTo& send) {
        const auto* to = node_of(send.to);
        if (!to || !reaches(from, *to) || happens(faults_.loss)) return;
        const int copies = happens(faults_.duplicate) ? 2 : 1;
        for (int i = 0; i < copies; ++i)
            packets_.push_back({from.id, send.to, send.message, now_ + Span{0.001 + rng_.uniform() * 0.04}});
    }
    void deliver() {
        std::stable_sort(packets_.begin(), packets_.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
        while (!packets_.empty() && packets_.front().at <= now_) {
            const auto packet = std::move(packets_.front());
            packets_.pop_front();
            auto* to = node_of(packet.to);
            const auto* from = node_of(packet.from);
            if (!to || !to->replica || now_ < to->frozen_until || !from || !reaches(*from, *to)) continue;
            to->replica->receive(packet.from, packet.message, now_);
            execute_outputs(*to);
        }
    }
    void record_commit(Node& node, const consensus::Committed& committed) {
        for (const auto& [position, version] : node.proposed)
            if (position.term == committed.position.term && position.index <= committed.position.index)
                acknowledged_ = std::max(acknowledged_, version);
        std::erase_if(node.proposed, [&](const auto& p) { return p.first.index <= committed.position.index; });
    }
    void check(Node& node) {
        const auto& replica = *node.replica;
        if (replica.role() == consensus::Role::leader) {
            const auto [found, inserted] = leader_of_.emplace(replica.term(), node.id);
            if (!inserted && found->second != node.id) throw BrokenInvariant("two leaders in one term");
        }
        if (!replica.entry()) return;
        const auto& entry = *replica.entry();
        const auto [found, inserted] = entries_.emplace(entry.position, entry.state);
        if (!inserted && !(found->second == entry.state)) throw BrokenInvariant("two entries at one position");
        if (replica.committed() < entry.position.index || !committed_is_last(replica)) return;
        if (entry.state.version < node.highest_version) throw BrokenInvariant("a node's committed version decreased");
        node.highest_version = entry.state.version;
        // A leader that was disconnected may not know yet of a newer version; a barrier keeps it from answering.
        const bool newest = replica.role() == consensus::Role::leader && replica.term() == leader_of_.rbegin()->first;
        if (newest && entry.state.version < acknowledged_) throw BrokenInvariant("an acknowledged version is lost");
    }
    static bool committed_is_last(const consensus::Replica& replica) {
        return replica.committed() == replica.entry()->position.index;
    }

    size_t diskless_;
    Pcg rng_;
    FaultRates faults_;
    size_t tolerated_;
    Time now_{100};
    std::vector<std::unique_ptr<Node>> nodes_;
    std::deque<Packet> packets_;
    uint64_t next_disk_ = 1, next_version_ = 0, acknowledged_ = 0;
    Time wiped_at_ = long_ago;
    bool recovered_ = true;
    std::map<uint64_t, consensus::ReplicaId> leader_of_;
    std::map<consensus::Position, consensus::ClusterState> entries_;
};

}   // namespace myrtleroute::testing
