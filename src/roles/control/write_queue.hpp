// Queue of writes that wait for a busy disk. They are merged: each carries the full state, so the newest is enough.
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
        bool change_suffices = true;   // no earlier write was skipped; otherwise the full state must be written
    };

    void add(Write write) {
        if (next_) {
            change_suffices_ = false;
            write.number = std::max(write.number, next_->number);
        }
        next_ = std::move(write);
    }
    // Queues a write again that has failed, unless a newer one, which includes it, is queued.
    void retry(Write write) {
        if (next_)
            next_->number = std::max(next_->number, write.number);
        else
            next_ = std::move(write);
        change_suffices_ = false;
    }
    bool empty() const { return !next_; }
    Next take() {
        Next next{std::move(*next_), std::exchange(change_suffices_, true)};
        next_.reset();
        return next;
    }

private:
    std::optional<Write> next_;
    bool change_suffices_ = true;
};

// Appends the record to the ring and syncs it; false if that failed.
inline bool write_to(storage::RecordRing& ring, const WriteQueue::Next& next) {
    const auto full_state = [&] {
        return messages::encode_record(next.write.full_state);
    };
    return ring.append(next.change_suffices ? messages::encode_record(next.write.change) : full_state(), full_state);
}

}   // namespace myrtleroute::control
