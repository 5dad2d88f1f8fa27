#include "roles/control/disk_writer.hpp"

#include <chrono>
#include <utility>

namespace myrtleroute::control {
namespace {

constexpr std::chrono::milliseconds retry_after{100};   // of a write that the disk has refused

}   // namespace

DiskWriter::DiskWriter(storage::RecordRing ring, std::function<void(uint64_t)> done)
    : ring_(std::move(ring)), done_(std::move(done)), thread_([this] { run(); }) {}

DiskWriter::~DiskWriter() {
    {
        const std::lock_guard lock(mutex_);
        ending_ = true;
    }
    wanted_.notify_one();
    thread_.join();
}

void DiskWriter::write(Write write) {
    {
        const std::lock_guard lock(mutex_);
        queue_.add(std::move(write));
    }
    wanted_.notify_one();
}

void DiskWriter::run() {
    std::unique_lock lock(mutex_);
    for (;;) {
        wanted_.wait(lock, [this] { return !queue_.empty() || ending_; });
        if (ending_) return;
        auto next = queue_.take();
        lock.unlock();
        const bool made = write_to(ring_, next);
        if (made) done_(next.write.number);
        lock.lock();
        if (made) continue;
        queue_.retry(std::move(next.write));
        wanted_.wait_for(lock, retry_after, [this] { return ending_; });
    }
}

}   // namespace myrtleroute::control
