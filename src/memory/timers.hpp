// Intrusive timers in a binary heap. Each timer knows its index in the heap, so that it can be changed or removed.
#pragma once
#include <utility>
#include <vector>

#include "time.hpp"

namespace myrtleroute::memory {

class Timer {
public:
    bool set() const { return index_ != none_; }
    Time at() const { return at_; }

private:
    friend class Timers;
    static constexpr size_t none_ = static_cast<size_t>(-1);
    Time at_;
    size_t index_ = none_;
};

class Timers {
public:
    bool empty() const { return heap_.empty(); }
    size_t size() const { return heap_.size(); }
    Timer& first() const { return *heap_.front(); }
    void set(Timer& t, Time at) {
        if (!t.set()) {
            t.index_ = heap_.size();
            heap_.push_back(&t);
        }
        t.at_ = at;
        restore_order(t.index_);
    }
    void clear(Timer& t) {
        if (!t.set()) return;
        const size_t index = std::exchange(t.index_, Timer::none_);
        Timer* last = heap_.back();
        heap_.pop_back();
        if (last == &t) return;
        put(index, last);
        restore_order(index);
    }

private:
    void put(size_t index, Timer* t) {
        heap_[index] = t;
        t->index_ = index;
    }
    void restore_order(size_t at) {
        Timer* t = heap_[at];
        while (at > 0 && t->at_ < heap_[(at - 1) / 2]->at_) {
            put(at, heap_[(at - 1) / 2]);
            at = (at - 1) / 2;
        }
        for (;;) {
            size_t child = 2 * at + 1;
            if (child >= heap_.size()) break;
            if (child + 1 < heap_.size() && heap_[child + 1]->at_ < heap_[child]->at_) ++child;
            if (t->at_ <= heap_[child]->at_) break;
            put(at, heap_[child]);
            at = child;
        }
        put(at, t);
    }
    std::vector<Timer*> heap_;
};

}  // namespace myrtleroute::memory
