// Builds a Request from a parsed client message: route, tenant, deadline, and the content to forward.
#pragma once
#include "roles/proxy/front.hpp"
#include "roles/proxy/request.hpp"

namespace myrtleroute::proxy {

// Finds the route, and the tenant by the presented key, in the request's route table. Returns 0, or the status of a
// refusal: 404 without a route; 401 if the route requires a key and none is valid; 503 if the route requires a key
// and keys may have been revoked (`keys_are_current` is false).
int entitle(Request& request, const RequestReader& reader, bool keys_are_current);

// Sets arrival time, prompt and deadline. The route must be set.
void read_terms(Request& request, const RequestReader& reader, Time now);

// Moves the content to forward into the request: method, target, body and fields, without those that the proxy sets
// itself or does not forward.
void take_content(Request& request, RequestReader& reader);

}   // namespace myrtleroute::proxy
