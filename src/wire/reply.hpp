// Reads what a server or discovery answers, and tells what it makes of a shot.
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
    bool not_run = false;
    std::string content_type, load, text;

    int start(std::string_view, std::string_view code, std::string_view) override {
        *this = ResponseReader();
        status = parse_integer<int>(code).value_or(0);
        return 0;
    }
    int field(std::string_view name, std::string_view value) override {
        if (equals_ignore_case(name, "X-Not-Processed")) not_run = value == "1";
        if (equals_ignore_case(name, "X-Server-Load")) load = value;
        if (equals_ignore_case(name, "Content-Type")) content_type = value;
        return 0;
    }
    void body(std::string_view bytes) override { text.append(bytes); }

    // Only a server that says so itself has not run it; any other refusal may have come after the effect.
    Outcome outcome() const {
        if (status == 200) return Outcome::fulfilled;
        return not_run && (status == 503 || status == 504) ? Outcome::full : Outcome::errored;
    }
};

}  // namespace myrtleroute::wire
