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

void RequestReader::next() {
    ask_ = {};
    up_ = host_ = false;
}

int RequestReader::start(std::string_view method, std::string_view target, std::string_view) {
    if (method != "GET" && method != "POST") return 405;
    up_ = method == "GET" && target == "/up";
    ask_.head.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    return 0;
}

int RequestReader::field(std::string_view name, std::string_view value) {
    if (is_hop_by_hop(name)) return 0;
    if (equals_ignore_case(name, "Host")) host_ = true;
    if (equals_ignore_case(name, "X-Timeout")) {
        if (ask_.patience.s >= 0) return 400;
        ask_.patience = parse_timeout(value);
        return ask_.patience.s > 0 ? 0 : 400;
    }
    if (equals_ignore_case(name, "X-Priority-Class")) {
        if (ask_.product >= 0) return 400;
        for (size_t i = 0; i < settings_->products.size(); ++i)
            if (settings_->products[i].name == value) ask_.product = static_cast<int>(i);
        if (ask_.product < 0) return 400;
    }
    if (equals_ignore_case(name, "X-Attrs")) attributes(value);
    if (equals_ignore_case(name, "X-Request-ID")) {
        if (!ask_.id.empty() || value.empty()) return 400;
        ask_.id = value;
    }
    ask_.head.append(name).append(": ").append(value).append("\r\n");
    return 0;
}

// Further figures, `name=value` with commas between. They only help to decide well, so what is unsound or
// unknown among them counts as not told, and the call is taken all the same.
void RequestReader::attributes(std::string_view list) {
    while (!list.empty()) {
        const auto [name, value] = next_pair(list);
        if (const auto n = name == "EstimateS" ? parse_decimal(value) : std::nullopt; n && *n >= 0) ask_.work = {*n};
        if (const auto n = name == "Object" ? parse_integer<uint64_t>(value) : std::nullopt) ask_.key = *n;
        if (const auto n = name == "Billing" ? parse_decimal(value) : std::nullopt; n && *n >= 0 && *n < 65536)
            ask_.tenant = static_cast<uint32_t>(*n);
    }
}

int RequestReader::head_ended(Body body) {
    const bool get = ask_.head.front() == 'G';
    if (get && body == Body::some) return 400;      // servers may disagree on where it ends
    if (up_) return 0;
    if (!host_) ask_.head.append("Host: api\r\n");   // an older client's, which need not say
    if (ask_.id.empty() || ask_.product < 0) return 400;
    const auto& product = settings_->products[ask_.product];
    if (get != (product.repeat == Idempotency::idempotent)) return 405;
    if (!get && body == Body::unspecified) return 411;
    // No client waits for longer than its class's time, whatever it says; so none can be held on to by it.
    if (ask_.patience.s < 0 || ask_.patience > product.client_timeout) ask_.patience = product.client_timeout;
    // Guards against one client's nonsense setting what all calls are measured by.
    ask_.work = std::min(ask_.work, product.client_timeout);
    return 0;
}

std::string format_response(int status, std::string_view body, bool keep, std::string_view more) {
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
    if (!keep) text += "Connection: close\r\n";
    return text.append(more).append("\r\n").append(body);
}

std::string retry_after_field(Span after) {
    if (after <= Span{}) return {};
    std::ostringstream field;
    field << "Retry-After: " << after.s << "\r\n";
    return field.str();
}

}  // namespace myrtleroute::wire
