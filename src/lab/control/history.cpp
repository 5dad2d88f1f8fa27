#include "lab/control/history.hpp"

#include <algorithm>
#include <set>

namespace myrtleroute::lab::control {
namespace {

constexpr size_t max_states = 300000;

// Reference model of the configuration: a register with versions, as the operators' interface documents it.
struct Register {
    uint64_t version = 0, body = 0;
    std::set<uint64_t> accepted;   // bodies that are or have been in force

    // Whether the register would give the operation's response now; if so, applies its effect.
    bool apply(const Operation& operation) {
        using Outcome = Operation::Outcome;
        if (operation.is_read) return operation.version == version && operation.body == body;
        const bool known = accepted.count(operation.body) > 0;
        if (operation.outcome == Outcome::precondition_failed) return !known && operation.base != version;
        if (operation.outcome == Outcome::version_too_low)
            return !known && operation.base == version && operation.version <= version;
        if (known) return operation.outcome == Outcome::accepted;
        if (operation.base != version || operation.version <= version || operation.result == 0) return false;
        version = operation.version;
        body = operation.result;
        accepted.insert(operation.body);
        return true;
    }
};

class Search {
public:
    explicit Search(const std::vector<Operation>& history) : history_(history), linearized_(history.size(), false) {}
    Verdict run() {
        return explore(Register{})    ? Verdict::linearizable
               : states_ < max_states ? Verdict::not_linearizable
                                      : Verdict::undecided;
    }

private:
    bool is_unresolved(size_t i) const { return history_[i].outcome == Operation::Outcome::unresolved; }

    bool explore(const Register& state) {
        Time first_answer{1e18};
        for (size_t i = 0; i < history_.size(); ++i)
            if (!linearized_[i] && !is_unresolved(i)) first_answer = std::min(first_answer, history_[i].answered);
        if (first_answer.s >= 1e18) return true;   // the remaining operations need not have taken effect
        if (++states_ >= max_states || !visited_.emplace(linearized_, state.body).second) return false;
        for (size_t i = 0; i < history_.size(); ++i) {
            if (linearized_[i] || history_[i].invoked > first_answer) continue;
            Register next = state;
            if (!next.apply(history_[i])) continue;
            linearized_[i] = true;
            if (explore(next)) return true;
            linearized_[i] = false;
        }
        return false;
    }

    const std::vector<Operation>& history_;
    std::vector<bool> linearized_;
    std::set<std::pair<std::vector<bool>, uint64_t>> visited_;
    size_t states_ = 0;
};

}   // namespace

Verdict check_history(const std::vector<Operation>& history) { return Search(history).run(); }

}   // namespace myrtleroute::lab::control
