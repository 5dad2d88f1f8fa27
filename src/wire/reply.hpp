// Reads the responses of servers and of discovery, and classifies the outcome of an attempt.
#pragma once
#include <string>
#include <string_view>

#include "model.hpp"
#include "wire/http.hpp"
#include "wire/text.hpp"

namespace myrtleroute::wire {

class ResponseReader : public HttpHandler {
public:
    int status = 0;
    bool not_processed = false;
    std::string content_type, load, text;

    int start(std::string_view, std::string_view code, std::string_view) override {
        *this = ResponseReader();
        status = parse_integer<int>(code).value_or(0);
        return 0;
    }
    int field(std::string_view name, std::string_view value) override {
        if (equals_ignore_case(name, "X-Not-Processed")) not_processed = value == "1";
        if (equals_ignore_case(name, "X-Server-Load")) load = value;
        if (equals_ignore_case(name, "Content-Type")) content_type = value;
        return 0;
    }
    void body(std::string_view bytes) override { text.append(bytes); }

    // Only X-Not-Processed guarantees that the call has not been executed; any other error may follow its effect.
    Outcome outcome() const {
        if (status == 200) return Outcome::fulfilled;
        return not_processed && (status == 503 || status == 504) ? Outcome::full : Outcome::errored;
    }
};

}  // namespace myrtleroute::wire
