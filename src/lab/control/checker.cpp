#include "lab/control/checker.hpp"

#include <algorithm>

#include "lab/control/patch_model.hpp"

namespace myrtleroute::lab::control {
namespace {

constexpr const char* invariant_names[] = {"one_leader_a_term",
                                           "one_body_a_version",
                                           "copies_at_acknowledgement",
                                           "copies_before_a_loss",
                                           "linearizable",
                                           "refused_stays_out",
                                           "confirmed_again",
                                           "drain_on_disks",
                                           "drain_known",
                                           "proxy_goes_on",
                                           "proxy_starts_current",
                                           "nothing_lost",
                                           "agreement",
                                           "quota",
                                           "revoked_keys",
                                           "patch_as_modelled",
                                           "rollout_forward",
                                           "rollout_kept"};
static_assert(std::size(invariant_names) == static_cast<size_t>(Invariant::kinds));
constexpr std::string_view patch_prefix = "PATCH ";

}   // namespace

const char* name_of(Invariant invariant) { return invariant_names[static_cast<size_t>(invariant)]; }

void Checker::report_violation(Invariant invariant, const std::string& what) {
    ++violations_[static_cast<size_t>(invariant)];
    const bool first = !first_violation_ || (!ends_run() && invariant != Invariant::quota);
    if (first) first_violation_ = Violation{invariant, queue_.now(), what};
}

void Checker::request_executed(const TenantRequest& request) {
    if (const auto violation = quota_.check_arrival(request, queue_.now()))
        report_violation(Invariant::quota, *violation);
    if (!revocation_bound_) return;
    const auto keyless = keyless_.find(request.tenant);
    if (keyless == keyless_.end() || !keyless->second.since) return;
    const Span beyond = request.sent - *keyless->second.since;
    if (beyond > *revocation_bound_)
        report_violation(Invariant::revoked_keys, "a request of " + request.tenant + " was executed that was sent " +
                                                      std::to_string(beyond.s) +
                                                      " s after the removal of its key was acknowledged");
}

// Tracks the range of versions in which a tenant has no key.
void Checker::track_keys(uint64_t version, const std::string& document) {
    for (const auto& [name, tenant] : *documents_.read(document)) {
        auto& keyless = keyless_[name];
        if (!tenant.api_keys.empty())
            keyless = {};
        else if (keyless.version == 0)
            keyless.version = version;
    }
    confirm_key_removals();
}

void Checker::confirm_key_removals() {
    for (auto& [name, keyless] : keyless_)
        if (keyless.version > 0 && !keyless.since && newest_confirmed_ >= keyless.version) keyless.since = queue_.now();
}

std::optional<std::string> Checker::result_of(const Operation& update) const {
    if (!update.is_patch) return canonical(body(update.body));
    const auto patch = nlohmann::json::parse(body(update.body).substr(patch_prefix.size()), nullptr, false);
    const auto base = committed_.find(update.base);
    if (patch.is_discarded() || base == committed_.end()) return {};
    const auto result = patched(nlohmann::json::parse(base->second), patch);
    return result ? std::optional(result->dump()) : std::nullopt;
}

void Checker::resolve_results(std::vector<Operation>& history) {
    for (auto& operation : history) {
        if (operation.is_read) continue;
        const auto result = result_of(operation);
        operation.result = result ? number_of(*result) : 0;
        const auto committed = committed_.find(operation.version);
        const bool is_new = operation.outcome == Operation::Outcome::accepted && operation.is_patch;
        if (is_new && (!result || committed == committed_.end() || committed->second != *result))
            report_violation(Invariant::patch_as_modelled, "version " + std::to_string(operation.version) +
                                                               " is not what its " + "patch makes of version " +
                                                               std::to_string(operation.base));
    }
    for (const auto& update : refused_patches_) {
        const auto result = result_of(update);
        const auto committed = committed_.find(update.version);
        if (result && committed != committed_.end() && committed->second == *result)
            report_violation(Invariant::refused_stays_out,
                             "version " + std::to_string(update.version) + " was refused as a patch and is committed");
    }
}

uint64_t Checker::number_of_update(const std::string& body, bool is_patch) {
    return number_of(is_patch ? std::string(patch_prefix) + body : canonical(body));
}

uint64_t Checker::number_of(const std::string& body) {
    const auto [existing, inserted] = numbers_.try_emplace(body, bodies_.size() + 1);
    if (inserted) bodies_.push_back(body);
    return existing->second;
}

void Checker::check_node(const Machine& machine) {
    if (!machine.node()) return;
    const auto& replica = machine.node()->replica();
    if (replica.role() == consensus::Role::leader) {
        const auto [existing, inserted] = leaders_.try_emplace(replica.term(), replica.self());
        if (!inserted && existing->second != replica.self())
            report_violation(Invariant::one_leader_a_term, "two leaders in term " + std::to_string(replica.term()));
    }
    const auto& entry = replica.entry();
    if (!entry || replica.committed() < entry->position.index) return;
    auto& last_checked = last_checked_[machine.process()];
    if (last_checked == entry->position.index) return;
    last_checked = entry->position.index;
    if (const auto violation = rollouts_.committed(entry->state.rollouts))
        report_violation(Invariant::rollout_forward, *violation);
    const auto version = entry->state.version;
    if (version == 0) return;
    const auto document = canonical(entry->state.configuration);
    const auto [existing, inserted] = committed_.try_emplace(version, document);
    if (inserted) {
        quota_.limits().committed(version, documents_.read(entry->state.configuration));
        track_keys(version, entry->state.configuration);
    }
    if (!inserted && existing->second != document)
        report_violation(Invariant::one_body_a_version,
                         "version " + std::to_string(version) + " was committed with two bodies");
    const auto refused = refused_.find(version);
    if (refused != refused_.end() && refused->second.count(document))
        report_violation(Invariant::refused_stays_out,
                         "version " + std::to_string(version) + " was refused and is committed");
}

bool Checker::holds(const Machine& machine, uint64_t version) {
    const auto state = machine.durable_state();
    return state.entry && state.entry->state.version >= version;
}

size_t Checker::copies_of(uint64_t version, const std::vector<const Machine*>& machines) const {
    return static_cast<size_t>(
        std::count_if(machines.begin(), machines.end(), [&](const auto* machine) { return holds(*machine, version); }));
}

// Copies on disks, including disks lost since.
size_t Checker::copies_made(uint64_t version, const std::vector<const Machine*>& machines) const {
    size_t copies = copies_of(version, machines);
    for (const auto& [process, held] : versions_on_lost_disks_) {
        const auto current = std::find_if(machines.begin(), machines.end(),
                                          [process = process](const auto* m) { return m->process() == process; });
        const bool counted = current != machines.end() && holds(**current, version);
        copies += held >= version && !counted;
    }
    return copies;
}

void Checker::disk_lost(const Machine& machine) {
    const auto state = machine.durable_state();
    versions_on_lost_disks_[machine.process()] = state.entry ? state.entry->state.version : 0;
    catching_up_.insert(machine.process());
}

void Checker::mark_caught_up(const Machine& machine) { catching_up_.erase(machine.process()); }

void Checker::confirmed(const Operation& update, const std::vector<const Machine*>& machines) {
    const auto [existing, inserted] = confirmed_.try_emplace(update.version, update.body);
    if (!inserted && existing->second != update.body)
        report_violation(Invariant::one_body_a_version,
                         "two bodies were confirmed as version " + std::to_string(update.version));
    confirmed_bodies_.insert(update.body);
    if (update.version <= newest_confirmed_) return;   // resent
    newest_confirmed_ = update.version;
    confirm_key_removals();
    quota_.limits().acknowledged(update.version, queue_.now());
    // The losses that have just happened use up part of the tolerated losses, so fewer can follow. Before these
    // machines have caught up and may be lost again, the update must have its full number of copies:
    // `copies_before_a_loss`.
    const size_t remaining_losses = tolerated_losses_ - std::min(tolerated_losses_, catching_up_.size());
    const auto copies = copies_made(update.version, machines);
    if (copies < remaining_losses + 1)
        report_violation(Invariant::copies_at_acknowledgement, "version " + std::to_string(update.version) +
                                                                   " was acknowledged with copies on " +
                                                                   std::to_string(copies) + " disks");
}

void Checker::refused(const Operation& update) {
    if (confirmed_bodies_.count(update.body))
        report_violation(Invariant::confirmed_again,
                         "version " + std::to_string(update.version) + " was confirmed and is refused");
    if (update.is_patch)
        return refused_patches_.push_back(update);   // the document it would have produced is known at the end
    const auto& text = body(update.body);
    refused_[update.version].insert(text);
    const auto committed = committed_.find(update.version);
    if (committed != committed_.end() && committed->second == text)
        report_violation(Invariant::refused_stays_out,
                         "version " + std::to_string(update.version) + " is committed and refused");
}

void Checker::drain_acknowledged(const std::string& host, registry::HostState state, const Machine& by,
                                 const std::vector<const Machine*>& machines) {
    auto& existing = drains_[host];
    if (existing.first == state) return;
    existing = {state, queue_.now()};
    if (!by.node() || !by.node()->replica().entry()) return;
    const auto& voters = by.node()->replica().entry()->state.voters;
    const auto holding = std::count_if(machines.begin(), machines.end(), [&](const auto* machine) {
        const auto stored = machine->durable_state();
        const consensus::ReplicaId id{machine->peer(), stored.disk};
        if (!std::binary_search(voters.begin(), voters.end(), id)) return false;
        return std::any_of(stored.hosts.begin(), stored.hosts.end(),
                           [&](const auto& held) { return held.id == host && held.state >= state; });
    });
    if (2 * static_cast<size_t>(holding) <= voters.size())
        report_violation(Invariant::drain_on_disks, "the drain of " + host + " is on " + std::to_string(holding) +
                                                        " of " + std::to_string(voters.size()) + " voters' disks");
}

void Checker::check_before_disk_loss(const std::vector<const Machine*>& machines) {
    const auto copies = copies_of(newest_confirmed_, machines);
    if (newest_confirmed_ > 0 && copies < tolerated_losses_ + 1)
        report_violation(Invariant::copies_before_a_loss, "version " + std::to_string(newest_confirmed_) + " is on " +
                                                              std::to_string(copies) + " disks");
}

}   // namespace myrtleroute::lab::control
