// JSON schemas of the documents that operators send.
#pragma once
#include <string>

namespace myrtleroute::configuration {

std::string configuration_schema();   // of a whole configuration
std::string patch_schema();           // of a patch (configuration/patch.hpp)

}   // namespace myrtleroute::configuration
