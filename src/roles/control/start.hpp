// What a control node starts with: options from its settings, and its state as found on disk or made at the first start.
#pragma once
#include "configuration/node_settings.hpp"
#include "roles/control/node.hpp"
#include "storage/record_ring.hpp"

namespace myrtleroute::control {

Endpoint peer_endpoint(const configuration::NodeSettings& settings, const std::string& address);

// `seed`: of what the node draws.
NodeOptions node_options(const configuration::NodeSettings& settings, uint64_t seed);

// The state that a disk holds. `fresh_disk`: identity for a disk that is empty, unless this is the first start of the
// whole system, or that has forgotten records: then the replica that was here must not go on, for it may have
// forgotten a vote or an entry.
StoredState stored_state(const storage::Recovered& found, const configuration::NodeSettings& settings,
                         uint64_t fresh_disk);

}   // namespace myrtleroute::control
