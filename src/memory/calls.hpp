// The API calls that are held: what goes on to a server, who waits for the answer and which shots are out.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <set>
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
    uint32_t tenant = 0;
    uint64_t key = 0;      // what it concerns, 0 = not told
    Span work;             // what it is told to cost a server, 0 = not told
    Span patience{-1};     // counted from the client's send; below 0 = not said
    std::string id;        // the client's
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
    Held& take(Ask ask) {
        auto held = std::make_unique<Held>();
        held->id = next_++;
        held->ask = std::move(ask);
        open_.insert(held->ask.id);
        return *(held_[held->id] = std::move(held));
    }
    Held* find(CallId id) {
        const auto it = held_.find(id);
        return it == held_.end() ? nullptr : it->second.get();
    }
    void forget_if_over(Held& held) {
        if (held.client || held.out) return;
        open_.erase(held.ask.id);
        held_.erase(held.id);
    }
    bool open(const std::string& id) const { return open_.count(id) > 0; }   // by the client's id
    size_t size() const { return held_.size(); }
    template <class Each>
    void each(Each&& what) {   // at the end only
        for (auto it = held_.begin(); it != held_.end();) what(*(it++)->second);
    }

private:
    CallId next_ = 1;
    std::map<CallId, std::unique_ptr<Held>> held_;   // by age
    std::set<std::string> open_;
};

}  // namespace myrtleroute::memory
