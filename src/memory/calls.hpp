// The API calls that are held: what goes on to a server, who waits for the answer and which attempts are out.
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
struct ApiRequest {
    std::string head;      // first line and fields, as they go on to a server; length and time-out come last
    std::string body;
    int product = -1;
    uint32_t tenant = 0;
    uint64_t key = 0;      // what it concerns, 0 = not told
    Span work;             // what it is told to cost a server, 0 = not told
    Span patience{-1};     // counted from the client's send; below 0 = not said
    std::string id;        // the client's
};

struct PendingCall {
    CallId id = 0;
    ApiRequest ask;
    Connection* client = nullptr;      // none once it has its answer, or is gone
    std::vector<Connection*> attempts;    // where each is out; none once it has ended
    int open_attempts = 0;                       // attempts whose end is still to be told
};

class Calls {
public:
    PendingCall& take(ApiRequest ask) {
        auto call = std::make_unique<PendingCall>();
        call->id = next_++;
        call->ask = std::move(ask);
        open_.insert(call->ask.id);
        return *(held_[call->id] = std::move(call));
    }
    PendingCall* find(CallId id) {
        const auto it = held_.find(id);
        return it == held_.end() ? nullptr : it->second.get();
    }
    void erase_if_finished(PendingCall& call) {
        if (call.client || call.open_attempts) return;
        open_.erase(call.ask.id);
        held_.erase(call.id);
    }
    bool open(const std::string& id) const { return open_.count(id) > 0; }   // by the client's id
    size_t size() const { return held_.size(); }
    template <class Each>
    void each(Each&& what) {   // at the end only
        for (auto it = held_.begin(); it != held_.end();) what(*(it++)->second);
    }

private:
    CallId next_ = 1;
    std::map<CallId, std::unique_ptr<PendingCall>> held_;   // by age
    std::set<std::string> open_;
};

}  // namespace myrtleroute::memory
