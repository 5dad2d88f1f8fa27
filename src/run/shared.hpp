// State shared by the parts of the proxy.
#pragma once
#include <algorithm>
#include <memory>

#include "logic.hpp"
#include "memory/calls.hpp"
#include "memory/counters.hpp"
#include "memory/servers.hpp"
#include "run/config.hpp"
#include "run/log.hpp"
#include "run/loop.hpp"
#include "wire/http.hpp"

namespace myrtleroute::run {

struct Shared {
    Config config;
    System& system;
    Log log;
    memory::Servers servers;   // must outlive the loop's connections to them
    Loop loop;
    memory::Counters counters;
    memory::Calls calls;
    std::unique_ptr<Balancer> balancer;

    Shared(Config c, System& h, std::ostream& lines)
        : config(std::move(c)), system(h), log(config.log_level, h, lines), loop(log, h) {
        bound_sockets();
    }
    void bound_sockets() {   // to the descriptor limit of the system
        config.sockets = std::min(config.sockets, system.max_descriptors());
    }
    const Settings& settings() const { return config.settings; }
    // Descriptors that are open without being a connection, and a few in reserve.
    static constexpr size_t reserved_descriptors = 8;
    size_t max_connections() const {
        // The largest call holds a request body and a response, both of which are bounded.
        const size_t by_memory = config.memory_mb * (1 << 20) / 2 / (3 * wire::max_body / 2);
        return std::min(std::max(config.sockets, 2 * reserved_descriptors) - reserved_descriptors, 2 * by_memory);
    }
    // Clients never use the descriptors that attempts need. More clients than calls are allowed, so that a call
    // beyond the limit can be rejected with a response.
    size_t max_clients() const { return max_connections() * 3 / 4; }
    // The application holds at most a third of the descriptors; half of these may be idle.
    size_t max_idle_clients() const { return config.sockets / 6; }
    size_t max_calls() const {
        return std::min<size_t>(settings().max_open_calls, max_connections() / 2);
    }
};

}  // namespace myrtleroute::run
