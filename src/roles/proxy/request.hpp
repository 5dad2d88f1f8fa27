// A client request in progress: its content, its route and tenant, and the state of its attempts.
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

// The value of a header field; empty if missing.
inline std::string_view field_value(const std::vector<Field>& fields, std::string_view name) {
    for (const auto& [known, value] : fields)
        if (wire::equals_ignore_case(known, name)) return value;
    return {};
}

// A response of a host, complete or in part.
struct Reply {
    int status = 0;
    std::vector<Field> fields;   // those that are forwarded
    std::string body;
};

struct Client;
struct HostConnection;

// Timing of one attempt: when it was sent, and when chunks of a streamed response arrived.
struct AttemptTimes {
    ServerId host = 0;
    Time sent, first_chunk, last_chunk;
    int chunks = 0;
    void add_chunk(Time now) {
        if (chunks++ == 0) first_chunk = now;
        last_chunk = now;
    }
};

struct Request {
    CallId id = 0;
    std::string method, target;
    std::vector<Field> fields;   // as sent by the client, without hop-by-hop fields
    std::string body;

    std::shared_ptr<const routing::RouteTable> table;   // keeps `route` and `tenant` valid
    const configuration::Route* route = nullptr;
    const configuration::Tenant* tenant = nullptr;
    size_t service = 0;   // number of the pool that serves it, set once it is admitted
    bool admitted = false;
    routing::Prompt prompt;
    Time arrived, deadline;   // deadline: the earlier of the client's deadline and the route's timeout

    Client* client = nullptr;                // null once it is answered or has disconnected
    std::vector<HostConnection*> attempts;   // by attempt number; null once ended
    int open_attempts = 0;                   // attempts whose end has not been reported to the balancer
    std::vector<AttemptTimes> times;         // by attempt number
    bool answering = false;                  // the response head has been sent
    routing::EventStream events;
    Reply last_failure;   // the last error response of a host, used if no attempt succeeds; status 0 = none

    bool streams() const { return route->kind == configuration::RouteKind::streaming; }
    // Whether another run may continue the response that has begun.
    bool can_resume() const { return streams() && route->resumable && events.has_position(); }
};

}   // namespace myrtleroute::proxy
