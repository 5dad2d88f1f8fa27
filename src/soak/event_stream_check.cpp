#include "soak/event_stream_check.hpp"

namespace myrtleroute::soak {
namespace {

constexpr std::string_view event_end = "\n\n";
constexpr size_t small_padding = 80, large_padding = 9000;   // bytes; large: more than one segment or read
constexpr int large_every = 5;                               // every so many events one is large

std::string padding_of(int number) {
    const auto n = static_cast<size_t>(number);
    return std::string(number % large_every == 0 ? large_padding : 7 * n % small_padding, 'x');
}

// The signature in an event, which the client can't know of a resumed run.
std::string_view signature_in(std::string_view event, const std::string& request_id) {
    const auto id = "data: " + request_id + " ";
    const auto begin = event.find(id);
    if (begin == event.npos) return {};
    event.remove_prefix(begin + id.size());
    return event.substr(0, event.find(' '));
}

}   // namespace

std::string stream_event(const std::string& request_id, const std::string& signature, int number) {
    return "id: " + std::to_string(number) + "\ndata: " + request_id + " " + signature + " " + padding_of(number) +
           std::string(event_end);
}

StreamResult check_stream(std::string_view body, const ExpectedStream& expected, bool is_complete) {
    StreamResult result{expected.resumed_after, {}};
    const auto fail = [&](const std::string& text) {
        result.violation = text;
        return result;
    };
    for (auto end = body.find(event_end); end != body.npos; end = body.find(event_end)) {
        const auto event = body.substr(0, end + event_end.size());
        const auto number = result.last_event + 1;
        const std::string signature(signature_in(event, expected.request_id));
        if (number > events_per_stream || event != stream_event(expected.request_id, signature, number))
            return fail("event " + std::to_string(number) + " was expected after event " +
                        std::to_string(result.last_event) + ", but this came: " + std::string(event.substr(0, 80)));
        const bool must_be_signed = !expected.resumable || result.last_event == expected.resumed_after;
        if (must_be_signed && signature != expected.signature)
            return fail("event " + std::to_string(number) + " is of run " + signature + " in a response of run " +
                        expected.signature);
        result.last_event = number;
        body.remove_prefix(event.size());
    }
    if (!is_complete) return result;
    if (!body.empty()) return fail("the response ends as complete inside an event");
    if (result.last_event < events_per_stream)
        return fail("the response ends as complete after event " + std::to_string(result.last_event) + " of " +
                    std::to_string(events_per_stream));
    return result;
}

}   // namespace myrtleroute::soak
