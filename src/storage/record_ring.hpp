// The state of a replica on disk: a ring of preallocated files.
//
// Each file begins with a record of the whole state and goes on with records of what changed. When a file is full, or
// a write to it has failed, the next file is begun with the whole state. Only one file is written to; the one before
// it stays as it was until the new one's first record is safe, so a crash at any point leaves one whole state.
//
// A record carries its file's generation, its place in the file and a checksum (XXH3). Once it is synced a seal is
// written behind it. So a record that can't be read is one of two things. With nothing sound of its generation behind it,
// it is the write that a loss of power interrupted, and nothing was promised of it. With a sound record or a seal behind
// it, the disk has lost what it had taken (bit rot, a lost write): what is left is older than what this replica has
// promised to others, and it must not go on as the replica that it was. (Alagappan et al., "Protocol-Aware Recovery for
// Consensus-Based Storage", 2018, draw the same line.)
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace myrtleroute::storage {

// One file of the ring. Failures are told by false.
class File {
public:
    virtual ~File() = default;
    virtual bool write(uint64_t offset, std::string_view bytes) = 0;
    virtual bool sync() = 0;                                        // what was written survives a loss of power
    virtual std::string read(uint64_t offset, size_t length) = 0;   // less where there is less, or a fault
};

struct RingOptions {
    uint64_t file_bytes = 6 << 20;   // of each file; the whole state must take less than half
};

// What was found: whole states and changes as they were written, the oldest first. The first is a whole state.
using Records = std::vector<std::string>;

struct Recovered {
    Records records;        // empty: this disk is new, or nothing on it can be used
    bool damaged = false;   // records that had been safe can't be read: there may be promises that are forgotten
};

class RecordRing {
public:
    // Two files or more, made and of their full length.
    RecordRing(std::vector<std::unique_ptr<File>> files, RingOptions options);

    // Reads what is there, once, before the first write.
    Recovered recover();

    // Appends a change and syncs it. `whole` makes the state that includes it, written instead where a new file is begun.
    // False: nothing is promised of it; the next call begins a new file.
    bool append(std::string_view change, const std::function<std::string()>& whole);
    bool append(std::string_view change, std::string_view whole) {
        return append(change, [&] { return std::string(whole); });
    }

private:
    struct Found {
        uint64_t generation = 0;
        Records records;
        uint64_t end = 0;      // where the first record that can't be read begins
        uint64_t behind = 0;   // the newest generation of what is sound behind that; 0 = nothing is
    };
    Found read_file(File& file) const;
    uint64_t newest_behind(File& file, uint64_t from) const;
    bool begin_file(std::string_view whole);
    bool seal(File& file, uint64_t generation, uint64_t at);

    std::vector<std::unique_ptr<File>> files_;
    RingOptions options_;
    uint64_t generation_ = 0;   // of the file that is written to
    size_t current_ = 0;
    uint64_t end_ = 0;     // where its next record goes
    bool sound_ = false;   // the current file may be appended to
};

}   // namespace myrtleroute::storage
