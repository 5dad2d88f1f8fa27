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
    Home& home;
    Log log;
    memory::Servers servers;   // outlive the loop's connections to them
    Loop loop;
    memory::Counters counters;
    memory::Calls calls;
    std::unique_ptr<Balancer> balancer;

    Shared(Config c, Home& h, std::ostream& lines)
        : config(std::move(c)), home(h), log(config.log_level, h, lines), loop(log, h) {
        bound_sockets();
    }
    void bound_sockets() {   // by what the system allows
        config.sockets = std::min(config.sockets, home.most_descriptors());
    }
    const Settings& settings() const { return config.settings; }
    // Descriptors: what is open without being a connection, and a few in hand.
    static constexpr size_t kept_back = 8;
    size_t most_connections() const {
        // A call at its largest holds a body and an answer, and both are bounded.
        const size_t by_memory = config.memory_mb * (1 << 20) / 2 / (3 * wire::most_body / 2);
        return std::min(std::max(config.sockets, 2 * kept_back) - kept_back, 2 * by_memory);
    }
    // Clients never take the descriptors that shots need; there are more of them than calls may be held, so
    // that one too many can be told so.
    size_t most_clients() const { return most_connections() * 3 / 4; }
    // The application holds a third of the descriptors at most; half of that may stand idle.
    size_t most_idle_clients() const { return config.sockets / 6; }
    size_t most_calls() const {
        return std::min<size_t>(settings().max_open_calls, most_connections() / 2);
    }
};

}  // namespace myrtleroute::run
