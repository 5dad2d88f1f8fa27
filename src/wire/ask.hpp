// Parses the API requests of clients into memory::ApiRequest, and formats the responses to clients.
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
    void reset();                                  // before the next request of the connection
    bool is_health_check() const { return health_check_; }       // GET /up
    memory::ApiRequest& request() { return request_; }

    int start(std::string_view method, std::string_view target, std::string_view version) override;
    int field(std::string_view name, std::string_view value) override;
    int head_ended(Body body) override;
    void body(std::string_view bytes) override { request_.body.append(bytes); }

private:
    void attributes(std::string_view list);

    const Settings* settings_;
    memory::ApiRequest request_;
    bool health_check_ = false, has_host_ = false;
};

// Parses a timeout in milliseconds or microseconds, `480m` or `900u`; below 0 if malformed.
Span parse_timeout(std::string_view text);

// The header line that tells a client when to retry; empty if there is no delay.
std::string retry_after_field(Span delay);

// A response with Content-Length; `extra_fields` are complete header lines.
std::string format_response(int status, std::string_view body, bool keep_alive, std::string_view extra_fields = {});

}  // namespace myrtleroute::wire
