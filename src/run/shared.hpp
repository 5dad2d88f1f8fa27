// What the sides of the proxy share.
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
    memory::Servers servers;   // outlive the loop's connections to them
    Loop loop;
    memory::Counters counters;
    memory::Calls calls;
    std::unique_ptr<Balancer> balancer;

    Shared(Config c, System& h, std::ostream& lines)
        : config(std::move(c)), system(h), log(config.log_level, h, lines), loop(log, h) {
        bound_sockets();
    }
    void bound_sockets() {   // by what the system allows
        config.sockets = std::min(config.sockets, system.max_descriptors());
    }
    const Settings& settings() const { return config.settings; }
    // Descriptors: what is open without being a connection, and a few in hand.
    static constexpr size_t reserved_descriptors = 8;
    size_t max_connections() const {
        // A call at its largest holds a body and an answer, and both are bounded.
        const size_t by_memory = config.memory_mb * (1 << 20) / 2 / (3 * wire::max_body / 2);
        return std::min(std::max(config.sockets, 2 * reserved_descriptors) - reserved_descriptors, 2 * by_memory);
    }
    // Clients never take the descriptors that attempts need; there are more of them than calls may be held, so
    // that one too many can be told so.
    size_t max_clients() const { return max_connections() * 3 / 4; }
    // The application holds a third of the descriptors at most; half of that may stand idle.
    size_t max_idle_clients() const { return config.sockets / 6; }
    size_t max_calls() const {
        return std::min<size_t>(settings().max_open_calls, max_connections() / 2);
    }
};

}  // namespace myrtleroute::run
