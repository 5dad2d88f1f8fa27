// Reads what a client asks for straight into its API call, and words the answers to clients.
#pragma once
#include <string>
#include <string_view>

#include "memory/calls.hpp"
#include "settings.hpp"
#include "wire/http.hpp"

namespace myrtleroute::wire {

class RequestReader : public HttpHandler {
public:
    explicit RequestReader(const Settings& settings) : settings_(&settings) {}
    void next();                                  // for the next one of the connection
    bool is_health_check() const { return up_; }       // GET /up
    memory::ApiRequest& ask() { return ask_; }

    int start(std::string_view method, std::string_view target, std::string_view version) override;
    int field(std::string_view name, std::string_view value) override;
    int head_ended(Body body) override;
    void body(std::string_view bytes) override { ask_.body.append(bytes); }

private:
    void attributes(std::string_view list);

    const Settings* settings_;
    memory::ApiRequest ask_;
    bool up_ = false, host_ = false;
};

// `480m` or `900u`; below 0 where it is neither.
Span parse_timeout(std::string_view text);

// The field that tells a client when to try again; none for no time at all.
std::string retry_after_field(Span after);

std::string format_response(int status, std::string_view body, bool keep, std::string_view more = {});

}  // namespace myrtleroute::wire
