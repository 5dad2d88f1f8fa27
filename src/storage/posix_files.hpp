// The ring's files in a folder of the system.
#pragma once
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/findings.hpp"
#include "storage/record_ring.hpp"

namespace myrtleroute::storage {

// Makes what is missing and gives every file its full length. A finding names the path and the system's reason; with
// `passing` the fault may pass (a disk that is full or in trouble), so that trying again makes sense.
struct FileError {
    Finding finding;
    bool transient = false;
};
std::variant<std::vector<std::unique_ptr<File>>, FileError> open_files(const std::string& directory, size_t count,
                                                                       uint64_t bytes);

}   // namespace myrtleroute::storage
