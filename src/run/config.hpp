// Reads and validates the configuration and applies its defaults.
#pragma once
#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "run/system.hpp"
#include "run/log.hpp"
#include "settings.hpp"
#include "wire/discovery.hpp"

namespace myrtleroute::run {

struct ConfigError : std::runtime_error {   // its text names the invalid key
    using std::runtime_error::runtime_error;
};

struct Config {
    std::string name;
    sockaddr_in listen{}, discovery{};
    uint64_t seed = 0;
    size_t memory_mb = 192, sockets = 1024;
    Level log_level = Level::info;
    Settings settings;

    // Delivers the server list contained in the configuration, if there is one.
    void deliver_known(wire::ServerListSink& sink, uint64_t& rev) const;

    std::string text;   // the configuration file; dropped once the list has been delivered
};

using Environment = std::function<const char*(const char* name)>;

// Reads the file named by BALANCER_CONFIG; other environment variables override its values.
Config read_config(System& system, const Environment& environment);
Config read_config(std::string text, const Environment& environment);

}  // namespace myrtleroute::run
