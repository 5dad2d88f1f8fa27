// What either role answers to a request at the address of its figures, whatever carries the request.
#pragma once
#include <functional>
#include <string>
#include <string_view>

namespace myrtleroute {

struct MetricsResponse {
    int status = 404;
    std::string body;
};

// 200 and the text for a GET of the path that the settings name, with or without a query; anything else is 404.
// `render` is called only where its text is the answer.
inline MetricsResponse respond_to_scrape(std::string_view method, std::string_view target, std::string_view path,
                                         const std::function<std::string()>& render) {
    const auto asked = target.substr(0, target.find('?'));
    if (method != "GET" || asked != path) return {};
    return {200, render()};
}

}   // namespace myrtleroute
