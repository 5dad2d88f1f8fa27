#include "roles/proxy/host_response_report.hpp"

#include <sstream>
#include <utility>

#include "base/counters_by.hpp"

namespace myrtleroute::proxy {

std::string_view to_string(HostResponseEnd end) {
    switch (end) {
        case HostResponseEnd::framed: return "framed";
        case HostResponseEnd::connection_closed: return "connection_closed";
        case HostResponseEnd::broken_off: return "broken_off";
        case HostResponseEnd::unconfirmed: return "unconfirmed";
    }
    return "";
}

HostResponseReport::HostResponseReport(metrics::Registry& registry, Log log)
    : log_(std::move(log)),
      ended_(counters_by(registry, "myrtleroute_host_responses_total",
                         "Responses of hosts whose head has arrived, by how they ended.", "end", host_response_ends)),
      resumed_(
          registry.counter("myrtleroute_responses_resumed_total", "Begun responses that went on at another host.")) {}

void HostResponseReport::ended(HostResponseEnd end, const HostResponse& response, Time now) {
    const auto number = static_cast<size_t>(end);
    ended_[number].add();
    if (end == HostResponseEnd::framed) return;
    log(ended_lines_[number], "ended: " + std::string(to_string(end)), response, now);
}

void HostResponseReport::resumed(const HostResponse& response, Time now) {
    resumed_.add();
    log(resumed_lines_, "resumed", response, now);
}

void HostResponseReport::log(LogRateLimiter& limiter, const std::string& what, const HostResponse& response, Time now) {
    const auto left_out = limiter.try_log(now);
    if (!left_out) return;
    std::ostringstream line;
    line << "response of host " << response.host << " to request " << response.request_id << " " << what;
    if (!response.last_event.empty()) line << ", after event " << response.last_event;
    line << "; " << *left_out << " more since the last such line";
    log_(line.str());
}

}   // namespace myrtleroute::proxy
