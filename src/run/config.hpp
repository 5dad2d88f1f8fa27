// The one place where configuration is read, checked and given defaults.
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

struct BadConfig : std::runtime_error {   // its text names the faulty key
    using std::runtime_error::runtime_error;
};

struct Config {
    std::string name;
    sockaddr_in listen{}, discovery{};
    uint64_t seed = 0;
    size_t memory_mb = 192, sockets = 1024;
    Level log_level = Level::info;
    Settings settings;

    // Tells the list that the configuration holds, if it holds one.
    void tell_known(wire::ServerListSink& sink, uint64_t& rev) const;

    std::string text;   // the configuration itself, dropped once the list has been told
};

using Environment = std::function<const char*(const char* name)>;

// From the file that BALANCER_CONFIG names; other variables of the environment win over what it says.
Config read_config(System& system, const Environment& environment);
Config read_config(std::string text, const Environment& environment);

}  // namespace myrtleroute::run
