// Writes the replica's records on a separate thread, so that a disk that hangs does not block the event loop.
#pragma once
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "roles/control/write_queue.hpp"
#include "storage/record_ring.hpp"

namespace myrtleroute::control {

class DiskWriter {
public:
    // `done` is called on the writer's thread with the number of the last write that is synced to disk.
    DiskWriter(storage::RecordRing ring, std::function<void(uint64_t)> done);
    ~DiskWriter();
    void write(Write write);   // of several that wait only the last one is written, as the full state

private:
    void run();

    storage::RecordRing ring_;
    std::function<void(uint64_t)> done_;
    std::mutex mutex_;
    std::condition_variable wakeup_;
    WriteQueue queue_;
    bool stopping_ = false;
    std::thread thread_;
};

}   // namespace myrtleroute::control
