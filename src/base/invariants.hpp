// Invariants that are checked at run time, also in production.
//
// A violation increments a metric, and the first one per invariant is logged with its details; the program continues.
// In tests a violation throws instead, so that the test fails where it happens.
#pragma once
#include <atomic>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>

#include "base/metrics.hpp"

namespace myrtleroute {

// Thrown by a violation if `throw_on_violations` is set.
class InvariantViolation : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

// Set once by the main function of the tests, before anything runs; never set in production.
inline std::atomic<bool> throw_on_violations{false};

// A named invariant. Callers keep a reference to it, which is valid as long as its `Invariants` object.
class Invariant {
public:
    using Log = std::function<void(const std::string& line)>;

    // Reports a violation if `holds` is false. `details` builds the message and is called only for a violation that is
    // logged or thrown.
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

// All invariants of a process.
class Invariants {
public:
    // `log` receives one line for the first violation of each invariant; it should log at error level.
    Invariants(metrics::Registry& registry, Invariant::Log log) : registry_(registry), log_(std::move(log)) {}
    Invariants(const Invariants&) = delete;
    Invariants& operator=(const Invariants&) = delete;

    // Returns the invariant of that name and creates it at the first call; its counter is exported, at 0, from then on.
    Invariant& named(const std::string& name) {
        const auto existing = invariants_.find(name);
        if (existing != invariants_.end()) return existing->second;
        auto violations =
            registry_.counter("myrtleroute_invariant_violations_total",
                              "Violations of what must always hold; any is a fault.", {{"invariant", name}});
        return invariants_.emplace(name, Invariant(name, std::move(violations), log_)).first->second;
    }

private:
    metrics::Registry& registry_;
    Invariant::Log log_;
    std::map<std::string, Invariant> invariants_;   // a std::map: references to its elements stay valid
};

}   // namespace myrtleroute
