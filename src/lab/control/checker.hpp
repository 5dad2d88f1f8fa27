// The invariants of the simulated control plane, checked on every event. docs/control-safety.md lists them.
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
    one_body_a_version,          // holds for committed and for confirmed versions
    copies_at_acknowledgement,   // a confirmed update has been written to one disk more than may be lost
    copies_before_a_loss,        // of the newest confirmed update, whenever nothing is impaired
    linearizable,                // updates and reads
    refused_stays_out,           // a refused update is never committed
    confirmed_again,             // a confirmed update is not refused when it is resent
    drain_on_disks,              // an acknowledged drain is on the disks of a majority of the voters
    drain_known,                 // to every proxy in contact, two seconds after its acknowledgement
    proxy_goes_on,               // a proxy never receives an older configuration within one incarnation
    proxy_starts_current,        // and its first one is no older than the newest confirmed when it subscribed
    nothing_lost,                // at the end the newest confirmed configuration, or a newer one, is read
    agreement,                   // of all machines and proxies at the end, within a stated time
    quota,                       // of tenants, at the hosts, in every window
    revoked_keys,                // no request runs that was sent too long after the acknowledged removal of its key
    patch_as_modelled,           // a patch produces what the reference model makes of its base version
    rollout_forward,             // one state per revision, stages never go back, and a bad version never completes
    rollout_kept,                // what was acknowledged or reported of a rollout is still there in later reads
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
    // `revocation_bound`: how long a key may be served after its removal; none: forever.
    Checker(const Queue& queue, size_t tolerated_losses, std::optional<Span> revocation_bound)
        : queue_(queue), tolerated_losses_(tolerated_losses), revocation_bound_(revocation_bound) {}

    void check_node(const Machine& machine);   // called after each step of a node
    // A machine confirmed an update; `machines` are all machines whose disks count.
    void confirmed(const Operation& update, const std::vector<const Machine*>& machines);
    void refused(const Operation& update);
    // The machine is about to lose its disk. The copy on it still counts as made: an update that was committed with
    // it may be confirmed a moment later.
    void disk_lost(const Machine& machine);
    // The machine no longer counts as lost.
    void mark_caught_up(const Machine& machine);
    void drain_acknowledged(const std::string& host, registry::HostState state, const Machine& by,
                            const std::vector<const Machine*>& machines);
    // Called when nothing is impaired and a disk is about to be lost.
    void check_before_disk_loss(const std::vector<const Machine*>& machines);
    void report_violation(Invariant invariant, const std::string& what);
    void request_executed(const TenantRequest& request);   // the request has arrived at a host
    // At the end: computes the document that each update of the history produces from its base, with the reference
    // model.
    void resolve_results(std::vector<Operation>& history);
    // `proxies`: those in contact with the control plane now, out of `proxy_count`.
    void proxies_in_contact(const std::set<size_t>& proxies, size_t proxy_count) {
        quota_.limits().proxies_in_contact(proxies, proxy_count, queue_.now());
    }
    double max_quota_usage() const { return quota_.max_usage(); }
    TenantDocuments& documents() { return documents_; }
    RolloutChecker& rollouts() { return rollouts_; }

    uint64_t newest_confirmed() const { return newest_confirmed_; }
    // The first violation of an invariant other than `quota`, or else the first of `quota`.
    const std::optional<Violation>& first_violation() const { return first_violation_; }
    // Whether a violation ends the run. One of `quota` does not, so that the other invariants are still checked.
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
        uint64_t version = 0;        // committed version since which the tenant has had no key; 0 = it has one
        std::optional<Time> since;   // when that version, or a later one, was acknowledged
    };
    std::map<std::string, Keyless> keyless_;   // by tenant
    std::optional<Violation> first_violation_;
    std::array<size_t, invariant_kinds> violations_{};
    TenantDocuments documents_;
    QuotaChecker quota_;
    RolloutChecker rollouts_;
    std::map<uint64_t, consensus::ReplicaId> leaders_;   // by term
    std::map<uint64_t, std::string> committed_;          // whole documents in canonical form, by version
    std::map<uint64_t, uint64_t> confirmed_;             // body numbers, by version
    std::set<uint64_t> confirmed_bodies_;
    std::map<ProcessId, uint64_t> last_checked_;          // index of the last entry checked, by machine
    std::map<uint64_t, std::set<std::string>> refused_;   // whole documents, by version
    std::vector<Operation> refused_patches_;
    std::map<std::string, std::pair<registry::HostState, Time>> drains_;   // acknowledged host states, by host
    uint64_t newest_confirmed_ = 0;
    std::map<ProcessId, uint64_t> versions_on_lost_disks_;   // the newest version on a machine's lost disk
    std::set<ProcessId> catching_up_;                        // machines that count as lost since they lost their disks

public:
    // Bodies are numbered, to keep histories small.
    uint64_t number_of(const std::string& body);
    uint64_t number_of_update(const std::string& body, bool is_patch);
    const std::string& body(uint64_t number) const { return bodies_.at(number - 1); }

private:
    std::vector<std::string> bodies_;
    std::map<std::string, uint64_t> numbers_;
};

}   // namespace myrtleroute::lab::control
