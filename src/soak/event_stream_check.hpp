// The event streams that simulated hosts send, and the check of what a client has received of one.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>

namespace myrtleroute::soak {

// The number of events in the streamed response to a request. The events are numbered from 1.
constexpr int events_per_stream = 12;

// Event `number` of the response to a request. `signature` identifies the run of the request at a host.
std::string stream_event(const std::string& request_id, const std::string& signature, int number);

// What a client expects of a streamed response.
struct ExpectedStream {
    std::string request_id;
    std::string signature;   // X-Server-Signature in the head of the response
    bool resumable = false;
    int resumed_after = 0;   // number of the last event before the first expected one
};

struct StreamResult {
    int last_event = 0;      // number of the last whole event that was received
    std::string violation;   // what is wrong with the events; empty if nothing is
};

// Checks a response, complete or cut off: events without a gap, a repetition or an event of another request; all of
// one run if the stream isn't resumable, and the first one of the signed run in any case. A complete one must contain
// all events and nothing else.
StreamResult check_stream(std::string_view body, const ExpectedStream& expected, bool is_complete);

}   // namespace myrtleroute::soak
