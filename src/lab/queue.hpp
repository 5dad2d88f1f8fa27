// Event queue and virtual clock: runs events in the order of their time, and those of the same time in the order in
// which they were scheduled. Time advances only from one event to the next.
#pragma once
#include <algorithm>
#include <cstdint>
#include <functional>
#include <vector>

#include "time.hpp"

namespace myrtleroute::lab {

class Queue {
public:
    explicit Queue(Time start) : now_(start) {}
    Time now() const { return now_; }
    uint64_t steps() const { return steps_; }
    // Schedules an event for that time, at once if it has passed.
    void at(Time when, std::function<void()> what) {
        events_.push_back({std::max(when, now_), next_++, std::move(what)});
        std::push_heap(events_.begin(), events_.end());
    }
    void in(Span after, std::function<void()> what) { at(now_ + after, std::move(what)); }
    bool step(Time until) {   // runs the next event; false: there is none up to then
        if (events_.empty() || events_.front().at > until) {
            now_ = std::max(now_, until);
            return false;
        }
        std::pop_heap(events_.begin(), events_.end());
        const Event event = std::move(events_.back());
        events_.pop_back();
        now_ = event.at;
        ++steps_;
        event.what();
        return true;
    }

private:
    struct Event {
        Time at;
        uint64_t number;
        std::function<void()> what;
        bool operator<(const Event& o) const { return at != o.at ? at > o.at : number > o.number; }
    };
    Time now_;
    uint64_t next_ = 0, steps_ = 0;
    std::vector<Event> events_;
};

}  // namespace myrtleroute::lab
