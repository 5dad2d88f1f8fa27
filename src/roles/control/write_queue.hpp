// Writes that wait for a disk that is busy. They are merged: each carries the whole state, so the newest is enough.
#pragma once
#include <algorithm>
#include <optional>
#include <utility>

#include "roles/control/outputs.hpp"
#include "storage/record_ring.hpp"

namespace myrtleroute::control {

class WriteQueue {
public:
    struct Next {
        Write write;
        bool alone = true;   // nothing was left out before it: its change is enough, else its whole state is needed
    };

    void add(Write write) {
        if (next_) {
            alone_ = false;
            write.number = std::max(write.number, next_->number);
        }
        next_ = std::move(write);
    }
    // The disk has refused it: it is made again, or is part of what has come meanwhile.
    void retry(Write write) {
        if (next_)
            next_->number = std::max(next_->number, write.number);
        else
            next_ = std::move(write);
        alone_ = false;
    }
    bool empty() const { return !next_; }
    Next take() {
        Next next{std::move(*next_), std::exchange(alone_, true)};
        next_.reset();
        return next;
    }

private:
    std::optional<Write> next_;
    bool alone_ = true;
};

// Writes it to the ring and syncs it; false: the disk has refused it.
inline bool write_to(storage::RecordRing& ring, const WriteQueue::Next& next) {
    const auto whole = [&] {
        return messages::encode_record(next.write.whole);
    };
    return ring.append(next.alone ? messages::encode_record(next.write.change) : whole(), whole);
}

}   // namespace myrtleroute::control
