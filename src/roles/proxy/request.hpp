// A client's request on its way: what it asks for, what it is entitled to and what has become of it.
#pragma once
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "logic.hpp"
#include "routing/event_stream.hpp"
#include "routing/prompt.hpp"
#include "routing/route_table.hpp"
#include "wire/http.hpp"
#include "wire/text.hpp"

namespace myrtleroute::proxy {

using Field = std::pair<std::string, std::string>;

// The value of a header field, empty where there is none.
inline std::string_view field_value(const std::vector<Field>& fields, std::string_view name) {
    for (const auto& [known, value] : fields)
        if (wire::equals_ignore_case(known, name)) return value;
    return {};
}

// An answer of a host, whole or as far as it has come.
struct Reply {
    int status = 0;
    std::vector<Field> fields;   // those that are passed on
    std::string body;
};

struct Client;
struct HostConnection;

// When a host was sent a request, and what has come of a streamed answer since.
struct AttemptTimes {
    ServerId host = 0;
    Time sent, first_piece, last_piece;
    int pieces = 0;
    void piece(Time now) {
        if (pieces++ == 0) first_piece = now;
        last_piece = now;
    }
};

struct Request {
    CallId id = 0;
    std::string method, target;
    std::vector<Field> fields;   // as the client sent them, without those of its connection
    std::string body;

    std::shared_ptr<const routing::RouteTable> table;   // keeps `route` and `tenant` valid
    const configuration::Route* route = nullptr;
    const configuration::Tenant* tenant = nullptr;
    size_t service = 0;   // number of the pool that serves it, once the request is within its tenant's limit
    bool admitted = false;
    routing::Prompt prompt;
    Time arrived, deadline;   // the latter: the client has given up, or the route's time-out is over

    Client* client = nullptr;                // null once it has its answer, or has left
    std::vector<HostConnection*> attempts;   // by number; null once one has ended
    int open_attempts = 0;                   // whose end is still to be told to the balancer
    std::vector<AttemptTimes> times;         // of the attempts, by number
    bool answering = false;                  // the head of the answer has gone out
    routing::EventStream events;
    Reply last_failure;   // a host's own failure, for when nothing better comes; status 0 = none

    bool streams() const { return route->kind == configuration::RouteKind::streaming; }
};

}   // namespace myrtleroute::proxy
