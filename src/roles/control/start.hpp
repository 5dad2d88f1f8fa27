// Initial data of a control node: options from its settings, and its state as found on disk or created at the first
// start.
#pragma once
#include "configuration/node_settings.hpp"
#include "roles/control/node.hpp"
#include "storage/record_ring.hpp"

namespace myrtleroute::control {

Endpoint peer_endpoint(const configuration::NodeSettings& settings, const std::string& address);

// `seed`: of the node's random numbers.
NodeOptions node_options(const configuration::NodeSettings& settings, uint64_t seed);

// The state that a disk holds. `fresh_disk`: new identity for a disk that is empty (except at the first start of the
// whole system) or that has lost records. The replica that was here must not continue then, because it may have lost a
// vote or an entry that it had acknowledged.
StoredState stored_state(const storage::Recovered& found, const configuration::NodeSettings& settings,
                         uint64_t fresh_disk);

}   // namespace myrtleroute::control
