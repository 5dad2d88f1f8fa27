// Timers that objects own: a heap in which each knows its place, so that it can be moved or taken out.
#pragma once
#include <utility>
#include <vector>

#include "time.hpp"

namespace myrtleroute::memory {

class Timer {
public:
    bool set() const { return place_ != none_; }
    Time at() const { return at_; }

private:
    friend class Timers;
    static constexpr size_t none_ = static_cast<size_t>(-1);
    Time at_;
    size_t place_ = none_;
};

class Timers {
public:
    bool empty() const { return heap_.empty(); }
    size_t size() const { return heap_.size(); }
    Timer& first() const { return *heap_.front(); }
    void set(Timer& t, Time at) {
        if (!t.set()) {
            t.place_ = heap_.size();
            heap_.push_back(&t);
        }
        t.at_ = at;
        settle(t.place_);
    }
    void clear(Timer& t) {
        if (!t.set()) return;
        const size_t place = std::exchange(t.place_, Timer::none_);
        Timer* last = heap_.back();
        heap_.pop_back();
        if (last == &t) return;
        put(place, last);
        settle(place);
    }

private:
    void put(size_t place, Timer* t) {
        heap_[place] = t;
        t->place_ = place;
    }
    void settle(size_t at) {
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
