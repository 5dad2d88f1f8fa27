// A virtual disk with the files of a ring. What is written is safe once it is synced; a loss of power keeps, drops or tears
// each write that was not. A write of the ring takes time: when its process ends in the middle, some first part of what
// it asked for has happened.
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
    bool refuses = false;   // every write and sync

    // What a ring has asked for since the last call of one of these.
    void complete();                        // has happened
    void interrupt(RandomStream& chance);   // has happened up to some point: the process has ended
    void lose_power(RandomStream& chance);
    void wipe();
    void rot(RandomStream& chance);   // bits of what is safe change

    // What would be found if power were lost now and nothing came through that is not safe.
    storage::Recovered safe() const;

private:
    struct Operation {
        size_t file = 0;
        bool sync = false;
        uint64_t offset = 0;
        std::string bytes;
    };
    struct Content {
        std::string safe, seen;
        std::vector<Operation> unsynced;
    };
    class OpenFile;
    void apply(const Operation& operation);
    static void put(std::string& content, uint64_t offset, std::string_view bytes);

    Content contents_[files];
    std::vector<Operation> asked_;
};

}   // namespace myrtleroute::lab::control
