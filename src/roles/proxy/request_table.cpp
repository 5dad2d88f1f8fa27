#include "roles/proxy/request_table.hpp"

#include <utility>

namespace myrtleroute::proxy {

RequestTable::RequestTable(Bounds bounds, metrics::Registry& registry, Invariants& invariants)
    : bounds_(bounds),
      refused_(bound_reached_counter(registry, "requests")),
      held_(registry.gauge("myrtleroute_requests_held", "Requests of clients that are held.")),
      held_bytes_cover_bodies_(invariants.named("held_bytes_cover_bodies")) {}

bool RequestTable::has_room(size_t body_bytes) {
    if (requests_.size() < bounds_.requests && held_bytes_ + body_bytes <= bounds_.body_bytes) return true;
    refused_.add();
    return false;
}

Request& RequestTable::hold(std::unique_ptr<Request> request) {
    held_bytes_ += request->body.size();
    auto& held = requests_[request->id];
    held = std::move(request);
    held_.set(static_cast<double>(requests_.size()));
    return *held;
}

Request* RequestTable::find(CallId number) {
    const auto it = requests_.find(number);
    return it == requests_.end() ? nullptr : it->second.get();
}

void RequestTable::remove_if_over(Request& request) {
    if (request.client || request.open_attempts > 0) return;
    held_bytes_cover_bodies_.check(held_bytes_ >= request.body.size(), [&] {
        return std::to_string(held_bytes_) + " bytes of bodies counted, but a held body has " +
               std::to_string(request.body.size());
    });
    held_bytes_ -= request.body.size();
    requests_.erase(request.id);
    held_.set(static_cast<double>(requests_.size()));
}

void RequestTable::sweep() {
    for (const auto number : std::exchange(answered_, {}))
        if (auto* request = find(number)) remove_if_over(*request);
}

std::vector<Request*> RequestTable::all() const {
    std::vector<Request*> requests;
    requests.reserve(requests_.size());
    for (const auto& [number, request] : requests_) requests.push_back(request.get());
    return requests;
}

}   // namespace myrtleroute::proxy
