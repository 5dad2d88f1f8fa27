// The response to a request at the metrics address, the same for both roles and independent of the HTTP server in
// use.
#pragma once
#include <functional>
#include <string>
#include <string_view>

namespace myrtleroute {

struct MetricsResponse {
    int status = 404;
    std::string body;
};

// Returns 200 and the text for a GET of the configured path, with or without a query, and 404 otherwise. `render`
// is called only if its text is sent.
inline MetricsResponse respond_to_scrape(std::string_view method, std::string_view target, std::string_view path,
                                         const std::function<std::string()>& render) {
    const auto requested_path = target.substr(0, target.find('?'));
    if (method != "GET" || requested_path != path) return {};
    return {200, render()};
}

}   // namespace myrtleroute
