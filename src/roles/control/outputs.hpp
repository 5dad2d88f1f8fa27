// Outputs of the control role's state machine, for the runtime to carry out.
#pragma once
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/findings.hpp"
#include "messages/messages.hpp"

namespace myrtleroute::control {

using RequestId = uint64_t;      // of an HTTP request that waits for its response
using ConnectionId = uint64_t;   // of a connection that another process opened to this one

// To another control node, on the connection that this node keeps to it; dropped if there is none.
struct SendToPeer {
    Endpoint peer;
    messages::Message message;
};

// To a process that has connected to this node.
struct SendToConnection {
    ConnectionId connection = 0;
    messages::Message message;
};

struct HttpResponse {
    RequestId request = 0;
    int status = 200;
    std::string body;       // JSON
    std::string location;   // Location header of a 307
};

// A record to be written and synced; Node::persisted is called with its number, which increases. Of several that wait
// only the last one is needed. Records are serialised only when they are written: with a busy disk most of them are
// skipped, and on a machine without a disk all of them.
struct Write {
    uint64_t number = 0;
    messages::Record change, full_state;
};

using Output = std::variant<SendToPeer, SendToConnection, HttpResponse, Write>;
using Outputs = std::vector<Output>;

// A response with the error as JSON body.
HttpResponse error_response(RequestId request, int status, const std::string& error);
// A 400 response that lists each error and its location in the document.
HttpResponse findings_response(RequestId request, const Findings& findings);

}   // namespace myrtleroute::control
