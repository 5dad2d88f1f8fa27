// Makes a request of what a client has sent: its route and tenant, its deadline and what is passed on of it.
#pragma once
#include "roles/proxy/front.hpp"
#include "roles/proxy/request.hpp"

namespace myrtleroute::proxy {

// Finds the route, and the tenant by the key presented, in the request's route table. 0, or the status of a refusal: 404
// without a route, 401 without a key that the route asks for, 503 where one is asked for and keys may have been taken away
// (`keys_are_current` is false).
int entitle(Request& request, const RequestReader& reader, bool keys_are_current);

// Reads what is decided by: arrival, prompt and deadline. The request has its route.
void read_terms(Request& request, const RequestReader& reader, Time now);

// Takes over what goes to a host: method, target, body and fields, without those that the proxy sets or keeps to itself.
void take_content(Request& request, RequestReader& reader);

}   // namespace myrtleroute::proxy
