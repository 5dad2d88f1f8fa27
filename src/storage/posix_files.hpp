// The files of a record ring in a directory of the file system.
#pragma once
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/findings.hpp"
#include "storage/record_ring.hpp"

namespace myrtleroute::storage {

// Why the files can't be opened: the path and the system's error message.
struct FileError {
    Finding finding;
    bool transient = false;   // the error may go away (for example a full disk or an I/O error); a retry makes sense
};

// Opens `count` files of `bytes` bytes each in `directory`; creates the directory and files that are missing, and
// extends files that are shorter.
std::variant<std::vector<std::unique_ptr<File>>, FileError> open_files(const std::string& directory, size_t count,
                                                                       uint64_t bytes);

}   // namespace myrtleroute::storage
