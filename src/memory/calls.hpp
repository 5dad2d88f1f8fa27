// The API calls that are held: what goes on to a server, who waits for the answer and which shots are out.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "logic.hpp"

namespace myrtleroute::memory {

struct Connection;

// What an API call says of itself, filled field by field as it is read.
struct Ask {
    std::string head;      // first line and fields, as they go on to a server; length and time-out come last
    std::string body;
    int product = -1;
    int tenant = 0;
    Span patience{-1};     // counted from the client's send; below 0 = not said
    bool has_id = false;
};

struct Held {
    CallId id = 0;
    Ask ask;
    Connection* client = nullptr;      // none once it has its answer, or is gone
    std::vector<Connection*> shots;    // where each is out; none once it has ended
    int out = 0;                       // shots whose end is still to be told
};

class Calls {
public:
    Held& take() {
        auto held = std::make_unique<Held>();
        held->id = next_++;
        return *(held_[held->id] = std::move(held));
    }
    Held* find(CallId id) {
        const auto it = held_.find(id);
        return it == held_.end() ? nullptr : it->second.get();
    }
    void forget_if_over(Held& held) {
        if (!held.client && held.out == 0) held_.erase(held.id);
    }
    size_t size() const { return held_.size(); }
    template <class Each>
    void each(Each&& what) {   // at the end only
        for (auto it = held_.begin(); it != held_.end();) what(*(it++)->second);
    }

private:
    CallId next_ = 1;
    std::map<CallId, std::unique_ptr<Held>> held_;   // by age
};

}  // namespace myrtleroute::memory
