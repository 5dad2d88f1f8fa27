// A virtual disk with the files of a record ring. Written data is durable once it is synced; a power loss keeps,
// drops or tears each unsynced write. A write takes time: if the process ends in the middle, only a prefix of the
// requested operations has been applied.
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "lab/random_stream.hpp"
#include "storage/record_ring.hpp"

namespace myrtleroute::lab::control {

class VirtualDisk {
public:
    static constexpr size_t files = 3;
    static constexpr uint64_t file_bytes = 192 * 1024;

    storage::RecordRing open();
    bool fails_writes = false;   // fails every write and sync

    // What to do with the operations that the ring has requested since the last call of one of these.
    void complete();                        // applies them all
    void interrupt(RandomStream& random);   // applies a random prefix: the process has ended
    void lose_power(RandomStream& random);
    void wipe();
    void corrupt(RandomStream& random);   // overwrites some durable bytes with random ones

    // What recovery would find if power were lost now and no unsynced write survived.
    storage::Recovered recover_durable() const;

private:
    struct Operation {
        size_t file = 0;
        bool sync = false;
        uint64_t offset = 0;
        std::string bytes;
    };
    struct Content {
        std::string durable, visible;
        std::vector<Operation> unsynced;
    };
    class OpenFile;
    void apply(const Operation& operation);
    static void write_bytes(std::string& content, uint64_t offset, std::string_view bytes);

    Content contents_[files];
    std::vector<Operation> requested_;
};

}   // namespace myrtleroute::lab::control
