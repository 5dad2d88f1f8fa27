#include "roles/proxy/cut_report.hpp"

#include <sstream>
#include <utility>

namespace myrtleroute::proxy {
namespace {

constexpr Span line_every{1};   // for each cause

}   // namespace

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
      figures_{make_figures(registry, CutCause::host_failed), make_figures(registry, CutCause::out_of_time),
               make_figures(registry, CutCause::process_ends)} {}

CutReport::Figures CutReport::make_figures(metrics::Registry& registry, CutCause cause) const {
    return {registry.counter("myrtleroute_answers_cut_total", "Answers cut after they had begun, by cause.",
                             {{"cause", std::string(to_string(cause))}})};
}

void CutReport::note(CutCause cause, std::string_view request_id, Span after, Time now) {
    auto& figures = figures_[static_cast<size_t>(cause)];
    figures.answers.add();
    if (now - figures.logged < line_every) {
        ++figures.unlogged;
        return;
    }
    figures.logged = now;
    std::ostringstream line;
    line.precision(3);
    line << "answer to request " << request_id << " cut after " << std::fixed << after.s << " s: " << to_string(cause)
         << "; " << std::exchange(figures.unlogged, 0) << " more since the last such line";
    log_(line.str());
}

}   // namespace myrtleroute::proxy
