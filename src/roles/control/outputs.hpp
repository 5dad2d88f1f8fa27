// What the control role's state machine asks of the runtime.
#pragma once
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/findings.hpp"
#include "messages/messages.hpp"

namespace myrtleroute::control {

using RequestId = uint64_t;      // of an HTTP request that waits for its answer
using ConnectionId = uint64_t;   // of a connection that another process has opened to this one

// To another control node, on the connection that this one keeps to it; dropped where there is none.
struct SendToPeer {
    Endpoint peer;
    messages::Message message;
};

// To a process that has connected to this one.
struct SendToConnection {
    ConnectionId connection = 0;
    messages::Message message;
};

struct HttpResponse {
    RequestId request = 0;
    int status = 200;
    std::string body;       // JSON
    std::string location;   // of a 307
};

// To be written and synced; `persisted` is told the number, which rises. Where several wait, the last one is enough. What is
// written in the end is made into text only then: a busy disk leaves most of them out, and a machine without one all.
struct Write {
    uint64_t number = 0;
    messages::Record change, whole;
};

using Output = std::variant<SendToPeer, SendToConnection, HttpResponse, Write>;
using Outputs = std::vector<Output>;

// An answer that names a fault.
HttpResponse refusal(RequestId request, int status, const std::string& fault);
// 400, with each fault and its place.
HttpResponse findings_answer(RequestId request, const Findings& findings);

}   // namespace myrtleroute::control
