// What the parts of the proxy share.
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
    run::Log log;   // of the loop
    run::Loop loop;
    Pcg chance;
    metrics::Registry metrics;
    Invariants invariants{metrics, [](const std::string& line) {
                              log_error() << line;
                          }};
    std::shared_ptr<const routing::RouteTable> table;   // null until a configuration is known
    size_t proxies = 1;                                 // in the fleet, as last told
    routing::FleetSize fleet_size;                      // the most that there may be
    Time started;

    Context(configuration::NodeSettings node, run::System& system, uint64_t seed)
        : settings(std::move(node)),
          system(system),
          log(run::Level::error, system),
          loop(log, system),
          chance(seed),
          started(loop.now()) {}
    Time now() const { return loop.now(); }
    size_t most_connections() const {
        constexpr size_t kept_back = 64;
        const size_t allowed = std::min(settings.max_descriptors, system.max_descriptors());
        return allowed > 2 * kept_back ? allowed - kept_back : kept_back;
    }
};

}   // namespace myrtleroute::proxy
