// Runs the control role: connects its state machine to sockets, disk, clock and signals.
#pragma once
#include "configuration/node_settings.hpp"

namespace myrtleroute::control {

// Runs until SIGTERM or SIGINT and returns the process's exit code. A startup error is logged in one line that names
// the settings key and the place.
int run(const configuration::NodeSettings& settings);

}   // namespace myrtleroute::control
