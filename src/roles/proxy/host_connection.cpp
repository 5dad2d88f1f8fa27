#include "roles/proxy/host_connection.hpp"

namespace myrtleroute::proxy {

int ResponseReader::start(std::string_view, std::string_view code, std::string_view) {
    *this = ResponseReader();
    status = wire::parse_integer<int>(code).value_or(0);
    return 0;
}

int ResponseReader::field(std::string_view name, std::string_view value) {
    if (wire::equals_ignore_case(name, "Keep-Alive")) {
        const auto timeout = value.find("timeout=");
        const auto seconds = timeout == value.npos ? value : value.substr(timeout + 8);
        keep_alive = wire::parse_decimal(wire::trim(seconds.substr(0, seconds.find(',')))).value_or(0);
    }
    if (wire::is_hop_by_hop(name)) return 0;
    if (wire::equals_ignore_case(name, "X-Request-Id")) request_id = value;
    if (wire::equals_ignore_case(name, "X-Not-Executed")) not_executed = true;
    if (wire::equals_ignore_case(name, "X-Instance-Load"))
        load = value;
    else
        fields.emplace_back(name, value);
    return 0;
}

}   // namespace myrtleroute::proxy
