#include "roles/control/start.hpp"

#include <algorithm>

namespace myrtleroute::control {

Endpoint peer_endpoint(const configuration::NodeSettings& settings, const std::string& address) {
    return {address, settings.first_internal_port};
}

NodeOptions node_options(const configuration::NodeSettings& settings, uint64_t seed) {
    NodeOptions options;
    auto control = *settings.control;
    if (settings.advertised_address) control.address = *settings.advertised_address;
    options.self = {peer_endpoint(settings, settings.reachable_address()), control, settings.zone};
    for (const auto& seed : settings.seeds) options.seeds.push_back({peer_endpoint(settings, seed.address), seed, ""});
    options.may_vote = options.replica.counts_for_quorum = settings.counts_for_quorum;
    options.replica.min_voters = 2 * static_cast<size_t>(settings.tolerated_machines) + 1;
    options.hosts.lost_after = settings.heartbeat * 3.7;
    options.limit_rule = {settings.quota_slack, settings.quota_tolerance, settings.quota_window};
    options.link_megabits = settings.link_megabits;
    options.seed = seed;
    return options;
}

namespace {

// At the first start of the whole system the seeds are the voters, and all of them start with the same entry.
StoredState first_state(const configuration::NodeSettings& settings, uint64_t fresh_disk) {
    StoredState state;
    const auto self = peer_endpoint(settings, settings.reachable_address());
    consensus::ClusterState cluster;
    for (const auto& seed : settings.seeds) cluster.voters.push_back({peer_endpoint(settings, seed.address), 0});
    std::sort(cluster.voters.begin(), cluster.voters.end());
    const bool is_seed = std::any_of(cluster.voters.begin(), cluster.voters.end(),
                                     [&](const auto& voter) { return voter.endpoint == self; });
    if (settings.bootstrap && is_seed)
        state.entry = consensus::Entry{{0, 1}, std::move(cluster)};
    else
        state.disk = fresh_disk;
    return state;
}

}   // namespace

StoredState stored_state(const storage::Recovered& found, const configuration::NodeSettings& settings,
                         uint64_t fresh_disk) {
    StoredState state = found.damaged ? StoredState{fresh_disk, {}, {}, {}} : first_state(settings, fresh_disk);
    for (const auto& json : found.records) {
        auto record = messages::decode_record(json);
        if (!record) continue;
        state.disk = record->disk;
        if (record->hard_state) state.hard_state = *record->hard_state;
        if (record->entry) state.entry = std::move(record->entry);
        if (record->hosts) state.hosts = std::move(*record->hosts);
    }
    return state;
}

}   // namespace myrtleroute::control
