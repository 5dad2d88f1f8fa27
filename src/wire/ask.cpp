#include "wire/ask.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

#include "wire/text.hpp"

namespace myrtleroute::wire {

Span parse_timeout(std::string_view text) {
    if (text.size() < 2) return {-1};
    const char unit = text.back();
    const auto plain = text.substr(0, text.size() - 1);
    const auto n = plain.find_first_not_of("0123456789.") == plain.npos ? parse_decimal(plain) : std::nullopt;
    if (!n || (unit != 'm' && unit != 'u')) return {-1};
    return {*n * (unit == 'm' ? 1e-3 : 1e-6)};
}

void RequestReader::reset() {
    request_ = {};
    health_check_ = has_host_ = false;
}

int RequestReader::start(std::string_view method, std::string_view target, std::string_view) {
    if (method != "GET" && method != "POST") return 405;
    health_check_ = method == "GET" && target == "/up";
    request_.head.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    return 0;
}

int RequestReader::field(std::string_view name, std::string_view value) {
    if (is_hop_by_hop(name)) return 0;
    if (equals_ignore_case(name, "Host")) has_host_ = true;
    if (equals_ignore_case(name, "X-Timeout")) {
        if (request_.timeout.s >= 0) return 400;
        request_.timeout = parse_timeout(value);
        return request_.timeout.s > 0 ? 0 : 400;
    }
    if (equals_ignore_case(name, "X-Priority-Class")) {
        if (request_.product >= 0) return 400;
        for (size_t i = 0; i < settings_->products.size(); ++i)
            if (settings_->products[i].name == value) request_.product = static_cast<int>(i);
        if (request_.product < 0) return 400;
    }
    if (equals_ignore_case(name, "X-Attrs")) attributes(value);
    if (equals_ignore_case(name, "X-Request-ID")) {
        if (!request_.id.empty() || value.empty()) return 400;
        request_.id = value;
    }
    request_.head.append(name).append(": ").append(value).append("\r\n");
    return 0;
}

// Further attributes, `name=value` separated by commas. They only improve the decisions, so an invalid or
// unknown attribute is ignored and the call is accepted all the same.
void RequestReader::attributes(std::string_view list) {
    while (!list.empty()) {
        const auto [name, value] = next_pair(list);
        if (const auto n = name == "EstimateS" ? parse_decimal(value) : std::nullopt; n && *n >= 0)
            request_.work = {*n};
        if (const auto n = name == "Object" ? parse_integer<uint64_t>(value) : std::nullopt) request_.key = *n;
        if (const auto n = name == "Billing" ? parse_decimal(value) : std::nullopt; n && *n >= 0 && *n < 65536)
            request_.tenant = static_cast<uint32_t>(*n);
    }
}

int RequestReader::head_ended(Body body) {
    const bool get = request_.head.front() == 'G';
    if (get && body == Body::some) return 400;      // servers may disagree on where such a request ends
    if (health_check_) return 0;
    if (!has_host_) request_.head.append("Host: api\r\n");   // HTTP/1.0 clients may omit it
    if (request_.id.empty() || request_.product < 0) return 400;
    const auto& product = settings_->products[request_.product];
    if (get != (product.repeat == Idempotency::idempotent)) return 405;
    if (!get && body == Body::unspecified) return 411;
    // The timeout of the product is an upper bound, so that no client can keep its call open for longer.
    if (request_.timeout.s < 0 || request_.timeout > product.client_timeout) request_.timeout = product.client_timeout;
    // Guards against an absurd estimate of one client distorting the estimates that all calls are compared by.
    request_.work = std::min(request_.work, product.client_timeout);
    return 0;
}

std::string format_response(int status, std::string_view body, bool keep_alive, std::string_view extra_fields) {
    std::string_view reason = "Error";
    for (const auto& [known, phrase] : {std::pair{200, "OK"}, {400, "Bad Request"},
                                        {405, "Method Not Allowed"},
                                        {408, "Request Timeout"}, {409, "Conflict"},
                                        {411, "Length Required"}, {413, "Content Too Large"},
                                        {417, "Expectation Failed"}, {429, "Too Many Requests"},
                                        {431, "Request Header Fields Too Large"}, {502, "Bad Gateway"},
                                        {503, "Service Unavailable"}})
        if (known == status) reason = phrase;
    std::string text = "HTTP/1.1 ";
    text.append(std::to_string(status)).append(" ").append(reason).append("\r\nContent-Length: ");
    text.append(std::to_string(body.size())).append("\r\n");
    if (!keep_alive) text += "Connection: close\r\n";
    return text.append(extra_fields).append("\r\n").append(body);
}

std::string retry_after_field(Span delay) {
    if (delay <= Span{}) return {};
    std::ostringstream field;
    field << "Retry-After: " << delay.s << "\r\n";
    return field.str();
}

}  // namespace myrtleroute::wire
