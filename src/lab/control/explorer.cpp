#include "lab/control/explorer.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_set>
#include <utility>

#include "base/fnv.hpp"
#include "consensus/replica.hpp"

namespace myrtleroute::lab::control {
namespace {

using namespace consensus;

constexpr Span heartbeat_step{0.25}, election_timeout_step{2.5};
constexpr uint64_t first_lost_disk = 100;

// A machine with its replica and its disk.
struct Slot {
    ReplicaId id;
    HardState disk_hard_state;
    std::optional<Entry> disk_entry;
    std::deque<Persist> writes;
    std::optional<Replica> replica;
};

struct State {
    Time now{100};
    std::vector<Slot> slots;
    std::map<std::pair<size_t, size_t>, std::deque<Message>> connections;
    int election_timeouts = 0, heartbeats = 0, proposals = 0, crashes = 0, lost_disks = 0, broken_connections = 0;
    std::map<uint64_t, ReplicaId> leaders;   // by term
    uint64_t next_version = 1;
    Position committed;   // the highest position that a leader has committed, and its version
    uint64_t committed_version = 0;
};

class Explorer {
public:
    explicit Explorer(const ExplorationOptions& options) : options_(options) {}

    ExplorationResult run() {
        auto first = initial_state();
        if (options_.starts_elected) elect(first);
        add_state(std::move(first), no_parent, "start");
        for (size_t depth = 0; depth < options_.depth && !frontier_.empty() && !result_.violation; ++depth) {
            for (const auto& [state, node] : std::exchange(frontier_, {})) {
                if (result_.violation || !result_.complete) break;
                current_node_ = node;
                expand(state);
            }
        }
        result_.states = seen_.size();
        return result_;
    }

private:
    State initial_state() {
        State state;
        ClusterState cluster;
        for (size_t i = 0; i < options_.voters; ++i) cluster.voters.push_back({endpoint(i), 0});
        state.election_timeouts = options_.election_timeouts;
        state.heartbeats = options_.heartbeats;
        state.proposals = options_.proposals;
        state.crashes = options_.crashes;
        state.lost_disks = options_.lost_disks;
        state.broken_connections = options_.broken_connections;
        for (size_t i = 0; i < options_.voters + options_.joiners; ++i) {
            Slot slot;
            slot.id = {endpoint(i), i < options_.voters ? 0 : i};
            if (i < options_.voters) slot.disk_entry = Entry{{0, 1}, cluster};
            state.slots.push_back(slot);
            start(state, i);
        }
        return state;
    }
    // The first replica times out; all that follows is delivered at once, in order.
    void elect(State& state) {
        state.now = state.now + election_timeout_step;
        state.slots[0].replica->tick(state.now);
        execute_outputs(state, 0);
        for (bool busy = true; busy;) {
            busy = false;
            for (size_t i = 0; i < state.slots.size(); ++i)
                for (; !state.slots[i].writes.empty(); busy = true) write(state, i);
            for (auto& [connection, messages] : state.connections)
                if (!messages.empty()) {
                    receive(state, connection.first, connection.second);
                    busy = true;
                    break;
                }
        }
    }
    static Endpoint endpoint(size_t i) { return {"10.0.0." + std::to_string(i + 1), 7500}; }

    void start(State& state, size_t i) {
        auto& slot = state.slots[i];
        slot.writes.clear();
        slot.replica.emplace(slot.id, slot.disk_hard_state, slot.disk_entry, ReplicaOptions{}, 1, state.now);
        for (auto& other : state.slots)
            if (other.id != slot.id && other.replica) {
                other.replica->peer_connected(slot.id, true, state.now);
                slot.replica->peer_connected(other.id, true, state.now);
            }
    }

    static size_t index_of(const State& state, const ReplicaId& id) {
        for (size_t i = 0; i < state.slots.size(); ++i)
            if (state.slots[i].id == id) return i;
        return state.slots.size();
    }

    // Takes the replica's outputs and checks the invariants that they affect.
    void execute_outputs(State& state, size_t i) {
        auto& slot = state.slots[i];
        for (auto& output : slot.replica->take_outputs()) {
            if (auto* send = std::get_if<SendTo>(&output)) {
                const auto to = index_of(state, send->to);
                if (to < state.slots.size()) state.connections[{i, to}].push_back(std::move(send->message));
            } else if (auto* persist = std::get_if<Persist>(&output)) {
                slot.writes.push_back(std::move(*persist));
            } else if (const auto* changed = std::get_if<LeadershipChanged>(&output)) {
                if (changed->leads) check_new_leader(state, slot);
            } else if (const auto* committed = std::get_if<Committed>(&output)) {
                if (slot.replica->role() == Role::leader) check_commit(state, slot, *committed);
            }
        }
    }

    void receive(State& state, size_t from, size_t to) {
        auto& queue = state.connections[{from, to}];
        const auto message = std::move(queue.front());
        queue.pop_front();
        state.slots[to].replica->receive(state.slots[from].id, message, state.now);
        execute_outputs(state, to);
    }

    void write(State& state, size_t i) {
        auto& slot = state.slots[i];
        const auto write = std::move(slot.writes.front());
        slot.writes.pop_front();
        if (write.hard_state) slot.disk_hard_state = *write.hard_state;
        if (write.entry) slot.disk_entry = write.entry;
        slot.replica->persisted(write.number, state.now);
        execute_outputs(state, i);
    }

    void check_new_leader(State& state, const Slot& slot) {
        ++result_.elections;
        const auto [existing, inserted] = state.leaders.try_emplace(slot.replica->term(), slot.id);
        if (!inserted && existing->second != slot.id) report_violation("two leaders in one term");
        if (slot.replica->entry()->state.version < state.committed_version)
            report_violation("a leader lacks a committed entry");
    }

    void check_commit(State& state, const Slot& slot, const Committed& committed) {
        ++result_.commits;
        const auto& entry = *slot.replica->entry();
        if (entry.position.index != committed.position.index) return;
        // A disk lost since then may have held a copy.
        auto copies = static_cast<size_t>(options_.lost_disks - state.lost_disks);
        for (const auto& other : state.slots)
            copies += other.disk_entry && other.disk_entry->position >= entry.position &&
                      std::binary_search(entry.state.voters.begin(), entry.state.voters.end(), other.id);
        if (2 * copies <= entry.state.voters.size())
            report_violation("an entry is committed without being on the disks of a majority");
        if (entry.position < state.committed) return;
        state.committed = entry.position;
        if (entry.state.version < state.committed_version) report_violation("a later entry lacks a committed version");
        state.committed_version = entry.state.version;
    }

    void report_violation(const std::string& invariant) {
        if (!result_.violation) result_.violation = invariant + ":" + path_to(current_node_) + " " + action_;
    }
    std::string path_to(size_t node) const {
        if (node == no_parent) return {};
        return path_to(nodes_[node].parent) + " " + nodes_[node].action + ";";
    }

    // A state is expanded once, when it is first reached; breadth first, that is with the most actions left.
    void add_state(State state, size_t parent, const std::string& action) {
        if (!seen_.insert(fingerprint(state)).second) return;
        if (seen_.size() >= options_.max_states) result_.complete = false;
        nodes_.push_back({parent, action});
        frontier_.emplace_back(std::move(state), nodes_.size() - 1);
    }

    void expand(const State& state) {
        for (const auto& [connection, messages] : state.connections)
            if (!messages.empty()) deliver(state, connection.first, connection.second);
        for (size_t i = 0; i < state.slots.size(); ++i) expand_machine(state, i);
        if (state.broken_connections > 0)
            for (const auto& [connection, messages] : state.connections)
                if (!messages.empty()) break_connection(state, connection);
    }

    template <class Change>
    void step(const State& state, const std::string& action, Change change) {
        if (result_.violation) return;
        ++result_.transitions;
        action_ = action;
        State next = state;
        change(next);
        if (!result_.violation) add_state(std::move(next), current_node_, action);
    }

    void deliver(const State& state, size_t from, size_t to) {
        step(state, "deliver " + std::to_string(from) + ">" + std::to_string(to),
             [&](State& next) { receive(next, from, to); });
    }

    void break_connection(const State& state, std::pair<size_t, size_t> connection) {
        step(state, "break " + std::to_string(connection.first) + ">" + std::to_string(connection.second),
             [&](State& next) {
                 --next.broken_connections;
                 next.connections[connection].clear();
             });
    }

    void expand_machine(const State& state, size_t i) {
        const auto& slot = state.slots[i];
        const auto number = std::to_string(i);
        if (!slot.writes.empty()) step(state, "write at " + number, [&](State& next) { write(next, i); });
        const bool leads = slot.replica->role() == Role::leader;
        if (leads && state.heartbeats > 0)
            step(state, "heartbeat of " + number, [&](State& next) {
                --next.heartbeats;
                next.now = next.now + heartbeat_step;
                next.slots[i].replica->tick(next.now);
                execute_outputs(next, i);
            });
        if (!leads && state.election_timeouts > 0 && slot.replica->is_voter(slot.id))
            step(state, "election timeout at " + number, [&](State& next) {
                --next.election_timeouts;
                next.now = next.now + election_timeout_step;
                next.slots[i].replica->tick(next.now);
                execute_outputs(next, i);
            });
        if (leads && state.proposals > 0)
            step(state, "proposal at " + number, [&](State& next) {
                --next.proposals;
                auto proposed = next.slots[i].replica->entry()->state;
                proposed.version = next.next_version++;
                next.slots[i].replica->propose(std::move(proposed), next.now);
                execute_outputs(next, i);
            });
        if (state.crashes > 0) step(state, "crash of " + number, [&](State& next) { crash(next, i, false); });
        if (state.lost_disks > 0) step(state, "lost disk at " + number, [&](State& next) { crash(next, i, true); });
    }

    void crash(State& state, size_t i, bool loses_disk) {
        --(loses_disk ? state.lost_disks : state.crashes);
        auto& slot = state.slots[i];
        for (auto& [connection, messages] : state.connections)
            if (connection.first == i || connection.second == i) messages.clear();
        if (loses_disk) {
            slot.id.disk = first_lost_disk + static_cast<uint64_t>(state.lost_disks);
            slot.disk_hard_state = {};
            slot.disk_entry.reset();
        }
        start(state, i);
    }

    uint64_t fingerprint(const State& state) const {
        std::string text;
        for (const auto& slot : state.slots) {
            text += slot.id.text() + slot.replica->fingerprint(state.now);
            text += position(slot.disk_entry ? slot.disk_entry->position : Position{}) +
                    std::to_string(slot.disk_hard_state.term) + "w" + std::to_string(slot.writes.size());
        }
        for (const auto& [connection, messages] : state.connections) {
            text += "|" + std::to_string(connection.first) + std::to_string(connection.second);
            for (const auto& message : messages) text += describe(message);
        }
        for (const int left : {state.election_timeouts, state.heartbeats, state.proposals, state.crashes,
                               state.lost_disks, state.broken_connections})
            text += "," + std::to_string(left);
        return fnv1a(text + position(state.committed) + std::to_string(state.committed_version));
    }
    static std::string position(const Position& p) {
        return std::to_string(p.term) + "/" + std::to_string(p.index) + " ";
    }
    static std::string describe(const Message& message) {
        std::string text = std::to_string(message.index());
        if (const auto* vote = std::get_if<VoteRequest>(&message))
            text += std::to_string(vote->pre_vote) + std::to_string(vote->term) + position(vote->last) +
                    std::to_string(vote->transfer);
        if (const auto* voted = std::get_if<VoteReply>(&message))
            text += std::to_string(voted->pre_vote) + std::to_string(voted->term) + std::to_string(voted->granted);
        if (const auto* append = std::get_if<Append>(&message))
            text += std::to_string(append->term) + position(append->last) + std::to_string(append->commit) +
                    std::to_string(append->state.has_value()) +
                    (append->state ? std::to_string(append->state->version) : "");
        if (const auto* reply = std::get_if<AppendReply>(&message))
            text += std::to_string(reply->term) + position(reply->persisted);
        return text;
    }

    const ExplorationOptions& options_;
    ExplorationResult result_;
    struct Node {
        size_t parent;
        std::string action;
    };
    static constexpr size_t no_parent = static_cast<size_t>(-1);
    std::unordered_set<uint64_t> seen_;   // fingerprints of the states
    std::vector<Node> nodes_;             // how each state was first reached
    std::vector<std::pair<State, size_t>> frontier_;
    size_t current_node_ = no_parent;   // the node being expanded
    std::string action_;
};

}   // namespace

ExplorationResult explore(const ExplorationOptions& options) { return Explorer(options).run(); }

}   // namespace myrtleroute::lab::control
