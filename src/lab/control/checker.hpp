// What must hold in the virtual world, checked as things happen. docs/control-safety.md lists the invariants.
#pragma once
#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lab/control/history.hpp"
#include "lab/control/machine.hpp"
#include "lab/control/quota_checker.hpp"
#include "lab/control/rollout_checker.hpp"

namespace myrtleroute::lab::control {

enum class Invariant {
    one_leader_a_term,
    one_body_a_version,          // of what is committed, and of what is confirmed
    copies_at_acknowledgement,   // made on disks, of an order that is confirmed: one more than may be lost
    copies_before_a_loss,        // of the newest confirmed order, whenever nothing is out of order
    linearizable,                // orders and readings
    refused_stays_out,           // what was refused is never committed
    confirmed_again,             // what was confirmed is not refused when it is sent again
    drain_on_disks,              // of a majority of the voters when it is acknowledged
    drain_known,                 // to every proxy in touch two seconds after its acknowledgement
    proxy_goes_on,               // a proxy is never told an older configuration in one life
    proxy_starts_current,        // nor begins one with an older one than was confirmed before it asked
    nothing_lost,                // at the end the newest confirmed configuration, or a newer one, is read
    agreement,                   // at the end, within a stated time
    quota,                       // of tenants, at the hosts, in every window
    revoked_keys,                // a request runs that was sent too long after its key's removal was acknowledged
    patch_as_modelled,           // what a change of named items makes of its base
    rollout_forward,             // one state a revision, stages never go back, and a bad version never completes
    rollout_kept,                // what was acknowledged or told of a rollout is read again
    kinds
};
constexpr size_t invariant_kinds = static_cast<size_t>(Invariant::kinds);
const char* name_of(Invariant invariant);

struct Violation {
    Invariant invariant;
    Time at;
    std::string what;
};

class Checker {
public:
    // `revocation_bound`: for how long a key may be served after its removal; nothing: for ever.
    Checker(const Queue& queue, size_t tolerated_losses, std::optional<Span> revocation_bound)
        : queue_(queue), tolerated_losses_(tolerated_losses), revocation_bound_(revocation_bound) {}

    void check_node(const Machine& machine);   // after everything that a node does
    // An order was confirmed by a machine; `machines` are all whose disks count.
    void confirmed(const Operation& update, const std::vector<const Machine*>& machines);
    void refused(const Operation& update);
    // The machine is about to lose its disk. A copy that was on it has been made: an order that was committed with it may
    // be confirmed a moment later.
    void disk_lost(const Machine& machine);
    // A machine that no longer counts as lost.
    void mark_caught_up(const Machine& machine);
    void drain_acknowledged(const std::string& host, registry::HostState state, const Machine& by,
                            const std::vector<const Machine*>& machines);
    // Nothing is out of order at this moment: a disk may be lost.
    void check_before_disk_loss(const std::vector<const Machine*>& machines);
    void report_violation(Invariant invariant, const std::string& what);
    void request_executed(const TenantRequest& request);   // it has arrived at a host
    // At the end: what the orders of a history make of their bases, as a plain model has it.
    void resolve_results(std::vector<Operation>& history);
    // Proxies that are in touch now, of so many.
    void proxies_in_contact(const std::set<size_t>& proxies, size_t proxy_count) {
        quota_.limits().proxies_in_contact(proxies, proxy_count, queue_.now());
    }
    double max_quota_usage() const { return quota_.max_usage(); }
    TenantDocuments& documents() { return documents_; }
    RolloutChecker& rollouts() { return rollouts_; }

    uint64_t newest_confirmed() const { return newest_confirmed_; }
    // The first break; of another invariant than `quota` where there is one.
    const std::optional<Violation>& first_violation() const { return first_violation_; }
    // Whether the day has come to its end by a break. One of `quota` doesn't end it: the others are still to be checked.
    bool ends_run() const { return first_violation_ && first_violation_->invariant != Invariant::quota; }
    const std::array<size_t, invariant_kinds>& violations() const { return violations_; }
    const std::map<std::string, std::pair<registry::HostState, Time>>& drains() const { return drains_; }

private:
    static bool holds(const Machine& machine, uint64_t version);
    void track_keys(uint64_t version, const std::string& document);
    void confirm_key_removals();
    std::optional<std::string> result_of(const Operation& update) const;
    size_t copies_of(uint64_t version, const std::vector<const Machine*>& machines) const;
    size_t copies_made(uint64_t version, const std::vector<const Machine*>& machines) const;

    const Queue& queue_;
    size_t tolerated_losses_;
    std::optional<Span> revocation_bound_;
    struct Keyless {
        uint64_t version = 0;        // committed since which the tenant has had no key; 0 = it has one
        std::optional<Time> since;   // when that, or a later one, was acknowledged
    };
    std::map<std::string, Keyless> keyless_;   // by tenant
    std::optional<Violation> first_violation_;
    std::array<size_t, invariant_kinds> violations_{};
    TenantDocuments documents_;
    QuotaChecker quota_;
    RolloutChecker rollouts_;
    std::map<uint64_t, consensus::ReplicaId> leaders_;   // by term
    std::map<uint64_t, std::string> committed_;          // whole documents by version, in their canonical form
    std::map<uint64_t, uint64_t> confirmed_;             // numbers of bodies by version
    std::set<uint64_t> confirmed_bodies_;
    std::map<ProcessId, uint64_t> last_checked_;          // index of the entry
    std::map<uint64_t, std::set<std::string>> refused_;   // whole documents by version
    std::vector<Operation> refused_patches_;
    std::map<std::string, std::pair<registry::HostState, Time>> drains_;   // hosts that were acknowledged
    uint64_t newest_confirmed_ = 0;
    std::map<ProcessId, uint64_t> versions_on_lost_disks_;   // the newest version that a machine's last disk held
    std::set<ProcessId> catching_up_;                        // machines that count as lost since their disks were

public:
    // Bodies have numbers, so that histories are small.
    uint64_t number_of(const std::string& body);
    uint64_t number_of_update(const std::string& body, bool is_patch);
    const std::string& body(uint64_t number) const { return bodies_.at(number - 1); }

private:
    std::vector<std::string> bodies_;
    std::map<std::string, uint64_t> numbers_;
};

}   // namespace myrtleroute::lab::control
