// The requests that a proxy holds: from their arrival until they are answered and their attempts have ended. Bounded in number
// and in the bytes of their bodies.
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
        size_t body_bytes = 0;   // of all bodies together
    };
    RequestTable(Bounds bounds, metrics::Registry& registry, Invariants& invariants);

    // Whether one more may be held, with a body of that size. Where not, it is counted.
    bool has_room(size_t body_bytes);
    // A number that no other request of this process has had.
    CallId next_number() { return next_number_++; }
    Request& hold(std::unique_ptr<Request> request);
    Request* find(CallId number);   // null: it is over
    // Forgets it where its client has its answer, or has left, and no attempt is open.
    void forget_if_over(Request& request);
    // The same, at the next `sweep`: whoever calls this may be called by one that goes on to use the request.
    void note_answered(CallId number) { answered_.push_back(number); }
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
    size_t held_bytes_ = 0;   // of bodies
};

}   // namespace myrtleroute::proxy
