// JSON schemas of what operators send.
#pragma once
#include <string>

namespace myrtleroute::configuration {

std::string configuration_schema();   // of a whole configuration
std::string patch_schema();           // of a change of named items

}   // namespace myrtleroute::configuration
