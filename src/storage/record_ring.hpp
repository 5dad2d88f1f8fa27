// Durable state of a replica: a write-ahead log in a ring of preallocated files.
//
// Each file begins with a snapshot of the whole state, followed by records of changes. When a file is full, or a write
// to it has failed, the next file is started with a new snapshot. Only one file is written at a time; the previous one
// is kept unchanged until the new file's snapshot is durable, so that a crash at any point leaves one complete state.
//
// A record carries its file's generation, its offset in the file and a checksum (XXH3). After it is synced, a seal is
// written behind it. This tells apart two reasons for an unreadable record. If nothing valid of its generation follows,
// a power loss interrupted the write, and the record was never acknowledged. If a valid record or a seal follows, the
// disk has lost acknowledged data (bit rot, a lost write): what is left is older than what this replica has promised to
// other replicas, and it must not continue under its identity. (Alagappan et al., "Protocol-Aware Recovery for
// Consensus-Based Storage", 2018, make the same distinction.)
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace myrtleroute::storage {

// One file of the ring. write() and sync() return false on failure.
class File {
public:
    virtual ~File() = default;
    virtual bool write(uint64_t offset, std::string_view bytes) = 0;
    virtual bool sync() = 0;                                        // makes earlier writes durable
    virtual std::string read(uint64_t offset, size_t length) = 0;   // fewer bytes at the end of the file or on an error
};

struct RingOptions {
    uint64_t file_bytes = 6 << 20;   // size of each file; a snapshot must take less than half of it
};

// Payloads of recovered records, oldest first. The first one is a snapshot.
using Records = std::vector<std::string>;

struct Recovered {
    Records records;        // empty: the disk is new, or nothing on it is usable
    bool damaged = false;   // acknowledged records are unreadable, so promises of this replica may be lost
};

class RecordRing {
public:
    // Needs at least two files, which exist at their full length.
    RecordRing(std::vector<std::unique_ptr<File>> files, RingOptions options);

    // Reads the stored records. Must be called exactly once, before the first append.
    Recovered recover();

    // Appends a change and syncs it. `snapshot` returns the whole state including the change; it is written instead of
    // the change if a new file must be started. On false the change must not be acknowledged, and the next call starts
    // a new file.
    bool append(std::string_view change, const std::function<std::string()>& snapshot);
    bool append(std::string_view change, std::string_view snapshot) {
        return append(change, [&] { return std::string(snapshot); });
    }

private:
    struct FileContents {
        uint64_t generation = 0;
        Records records;
        uint64_t end = 0;                       // offset of the first record that can't be read
        uint64_t newest_generation_after = 0;   // of valid records or seals behind `end`; 0: there are none
    };
    FileContents read_file(File& file) const;
    uint64_t newest_generation_after(File& file, uint64_t from) const;
    bool start_file(std::string_view snapshot);
    bool seal(File& file, uint64_t generation, uint64_t at);

    std::vector<std::unique_ptr<File>> files_;
    RingOptions options_;
    uint64_t generation_ = 0;   // of the current file
    size_t current_ = 0;        // index of the file that is written to
    uint64_t end_ = 0;          // offset of its next record
    bool appendable_ = false;   // the current file may be appended to
};

}   // namespace myrtleroute::storage
