#include "roles/proxy/cut_report.hpp"

#include <sstream>
#include <utility>

#include "base/counters_by.hpp"

namespace myrtleroute::proxy {

std::string_view to_string(CutCause cause) {
    switch (cause) {
        case CutCause::host_failed: return "host_failed";
        case CutCause::out_of_time: return "out_of_time";
        case CutCause::process_ends: return "process_ends";
    }
    return "";
}

CutReport::CutReport(metrics::Registry& registry, Log log)
    : log_(std::move(log)),
      answers_(counters_by(registry, "myrtleroute_answers_cut_total", "Answers cut after they had begun, by cause.",
                           "cause", cut_causes)) {}

void CutReport::record(CutCause cause, std::string_view request_id, Span after, Time now) {
    const auto number = static_cast<size_t>(cause);
    answers_[number].add();
    const auto left_out = lines_[number].try_log(now);
    if (!left_out) return;
    std::ostringstream line;
    line.precision(3);
    line << "response to request " << request_id << " aborted after " << std::fixed << after.s
         << " s: " << to_string(cause) << "; " << *left_out << " more since the last such line";
    log_(line.str());
}

}   // namespace myrtleroute::proxy
