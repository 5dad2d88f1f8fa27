// The requests in progress, from arrival until they are answered and all their attempts have ended. Bounded by
// count and by the total size of bodies.
#pragma once
#include <cstddef>
#include <memory>
#include <unordered_map>
#include <vector>

#include "base/bounds.hpp"
#include "base/invariants.hpp"
#include "roles/proxy/request.hpp"

namespace myrtleroute::proxy {

class RequestTable {
public:
    struct Bounds {
        size_t requests = 8192;
        size_t body_bytes = 0;   // total size of all bodies
    };
    RequestTable(Bounds bounds, metrics::Registry& registry, Invariants& invariants);

    // Returns whether one more request with a body of that size may be held. Counts a refusal if not.
    bool has_room(size_t body_bytes);
    // Returns a number unique within this process.
    CallId next_number() { return next_number_++; }
    Request& hold(std::unique_ptr<Request> request);
    Request* find(CallId number);   // null if finished
    // Removes the request if it is answered or its client has left, and no attempt is open.
    void remove_if_over(Request& request);
    // Does the same at the next `sweep`, for callers whose own caller still uses the request.
    void mark_answered(CallId number) { answered_.push_back(number); }
    void sweep();

    size_t size() const { return requests_.size(); }
    bool empty() const { return requests_.empty(); }
    std::vector<Request*> all() const;

private:
    Bounds bounds_;
    metrics::Counter refused_;
    metrics::Gauge held_;
    Invariant& held_bytes_cover_bodies_;
    std::unordered_map<CallId, std::unique_ptr<Request>> requests_;
    std::vector<CallId> answered_;   // since the last sweep
    CallId next_number_ = 1;
    size_t held_bytes_ = 0;   // total size of bodies held
};

}   // namespace myrtleroute::proxy
