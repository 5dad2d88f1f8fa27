// Checks of what must always hold, which run in the program itself.
//
// A violation is counted in the registry, and the first one of each name is logged with its details; the program goes
// on. In tests a violation throws instead, so that the test fails where it happens.
#pragma once
#include <atomic>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>

#include "base/metrics.hpp"

namespace myrtleroute {

// What a violation throws where `throw_on_violations` is set.
class InvariantViolation : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

// A test's main function sets it once, before anything runs. The program never does.
inline std::atomic<bool> throw_on_violations{false};

// One check that has a name. The handle is kept by whoever checks; it is valid as long as its `Invariants`.
class Invariant {
public:
    using Log = std::function<void(const std::string& line)>;

    // `details` makes the text for the log, and is called only for a violation that is logged or thrown.
    template <class Details>
    void check(bool holds, const Details& details) {
        if (holds) return;
        violations_.add();
        if (throw_on_violations) throw InvariantViolation(message(details()));
        if (!std::exchange(logged_, true)) log_(message(details()));
    }

private:
    friend class Invariants;
    Invariant(std::string name, metrics::Counter violations, const Log& log)
        : name_(std::move(name)), violations_(std::move(violations)), log_(log) {}
    std::string message(const std::string& details) const { return "invariant " + name_ + " is violated: " + details; }

    std::string name_;
    metrics::Counter violations_;
    const Log& log_;
    bool logged_ = false;
};

// The invariants of a process.
class Invariants {
public:
    // `log` takes the line about the first violation of each name, at the level of an error.
    Invariants(metrics::Registry& registry, Invariant::Log log) : registry_(registry), log_(std::move(log)) {}
    Invariants(const Invariants&) = delete;
    Invariants& operator=(const Invariants&) = delete;

    // The check of that name; the same one at every call. Its series exists, at 0, from the first call on.
    Invariant& named(const std::string& name) {
        const auto known = invariants_.find(name);
        if (known != invariants_.end()) return known->second;
        auto violations =
            registry_.counter("myrtleroute_invariant_violations_total",
                              "Violations of what must always hold; any is a fault.", {{"invariant", name}});
        return invariants_.emplace(name, Invariant(name, std::move(violations), log_)).first->second;
    }

private:
    metrics::Registry& registry_;
    Invariant::Log log_;
    std::map<std::string, Invariant> invariants_;   // handles stay where they are
};

}   // namespace myrtleroute
