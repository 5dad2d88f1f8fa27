// API calls in progress: the request as it is sent on, the client that waits, and the attempts at servers.
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

// An API request, filled field by field while it is parsed.
struct ApiRequest {
    std::string head;      // request line and fields as sent to a server; Content-Length and X-Timeout are appended
    std::string body;
    int product = -1;
    uint32_t tenant = 0;
    uint64_t key = 0;      // object that the call concerns, 0 = not given
    Span work;             // estimated cost at a server, 0 = not given
    Span timeout{-1};      // the client's, from its send; below 0 = not given
    std::string id;        // X-Request-ID of the client
};

// A call that waits for its response or for the end of an attempt.
struct PendingCall {
    CallId id = 0;
    ApiRequest request;
    Connection* client = nullptr;      // null once it has its response or has disconnected
    std::vector<Connection*> attempts; // the connection of each attempt; null once that has ended
    int open_attempts = 0;             // attempts whose end has not been reported to the balancer
};

class Calls {
public:
    PendingCall& add(ApiRequest request) {
        auto call = std::make_unique<PendingCall>();
        call->id = next_++;
        call->request = std::move(request);
        open_ids_.insert(call->request.id);
        return *(calls_[call->id] = std::move(call));
    }
    PendingCall* find(CallId id) {
        const auto it = calls_.find(id);
        return it == calls_.end() ? nullptr : it->second.get();
    }
    void erase_if_finished(PendingCall& call) {
        if (call.client || call.open_attempts) return;
        open_ids_.erase(call.request.id);
        calls_.erase(call.id);
    }
    bool open(const std::string& id) const { return open_ids_.count(id) > 0; }   // a call with this id
    size_t size() const { return calls_.size(); }
    template <class Visitor>
    void each(Visitor&& visit) {   // `visit` may erase the call it gets
        for (auto it = calls_.begin(); it != calls_.end();) visit(*(it++)->second);
    }

private:
    CallId next_ = 1;
    std::map<CallId, std::unique_ptr<PendingCall>> calls_;   // in order of arrival
    std::set<std::string> open_ids_;
};

}  // namespace myrtleroute::memory
