// State shared by the components of the proxy role.
#pragma once
#include <memory>

#include "base/invariants.hpp"
#include "base/metrics.hpp"
#include "configuration/node_settings.hpp"
#include "random.hpp"
#include "roles/log.hpp"
#include "routing/fleet_size.hpp"
#include "routing/route_table.hpp"
#include "run/loop.hpp"

namespace myrtleroute::proxy {

struct Context {
    configuration::NodeSettings settings;
    run::System& system;
    run::Log log;   // used by the loop
    run::Loop loop;
    Pcg rng;
    metrics::Registry metrics;
    Invariants invariants{metrics, [](const std::string& line) {
                              log_error() << line;
                          }};
    std::shared_ptr<const routing::RouteTable> table;   // null until a configuration is received
    size_t proxies = 1;                                 // in the fleet, as last reported
    routing::FleetSize fleet_size;                      // upper estimate of the number of proxies
    Time started;

    Context(configuration::NodeSettings node, run::System& system, uint64_t seed)
        : settings(std::move(node)),
          system(system),
          log(run::Level::error, system),
          loop(log, system),
          rng(seed),
          started(loop.now()) {}
    Time now() const { return loop.now(); }
    size_t max_connections() const {
        constexpr size_t reserved = 64;
        const size_t allowed = std::min(settings.max_descriptors, system.max_descriptors());
        return allowed > 2 * reserved ? allowed - reserved : reserved;
    }
};

}   // namespace myrtleroute::proxy
