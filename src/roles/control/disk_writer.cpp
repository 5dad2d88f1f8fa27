#include "roles/control/disk_writer.hpp"

#include <chrono>
#include <utility>

namespace myrtleroute::control {
namespace {

constexpr std::chrono::milliseconds retry_after{100};   // after a write that failed

}   // namespace

DiskWriter::DiskWriter(storage::RecordRing ring, std::function<void(uint64_t)> done)
    : ring_(std::move(ring)), done_(std::move(done)), thread_([this] { run(); }) {}

DiskWriter::~DiskWriter() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wakeup_.notify_one();
    thread_.join();
}

void DiskWriter::write(Write write) {
    {
        const std::lock_guard lock(mutex_);
        queue_.add(std::move(write));
    }
    wakeup_.notify_one();
}

void DiskWriter::run() {
    std::unique_lock lock(mutex_);
    for (;;) {
        wakeup_.wait(lock, [this] { return !queue_.empty() || stopping_; });
        if (stopping_) return;
        auto next = queue_.take();
        lock.unlock();
        const bool written = write_to(ring_, next);
        if (written) done_(next.write.number);
        lock.lock();
        if (written) continue;
        queue_.retry(std::move(next.write));
        wakeup_.wait_for(lock, retry_after, [this] { return stopping_; });
    }
}

}   // namespace myrtleroute::control
