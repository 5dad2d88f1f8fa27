#include "roles/proxy/front_report.hpp"

#include <sstream>
#include <utility>

#include "base/counters_by.hpp"

namespace myrtleroute::proxy {

std::string_view to_string(ConnectionEnd cause) {
    switch (cause) {
        case ConnectionEnd::client_left: return "client_left";
        case ConnectionEnd::idle: return "idle";
        case ConnectionEnd::last_answer: return "last_answer";
        case ConnectionEnd::stopping: return "stopping";
        case ConnectionEnd::answer_unread: return "answer_unread";
        case ConnectionEnd::answer_cut: return "answer_cut";
    }
    return "";
}

std::string_view to_string(RequestEnd end) {
    switch (end) {
        case RequestEnd::answered: return "answered";
        case RequestEnd::client_left: return "client_left";
        case RequestEnd::cut: return "cut";
    }
    return "";
}

FrontendReport::FrontendReport(metrics::Registry& registry, Log log)
    : log_(std::move(log)),
      read_(registry.counter("myrtleroute_requests_read_total", "Clients' requests that were read whole.")),
      ended_(counters_by(registry, "myrtleroute_requests_ended_total",
                         "Requests read whole whose end has come, by what became of them.", "how", request_ends)),
      connections_(counters_by(registry, "myrtleroute_client_connections_ended_total",
                               "Clients' connections that have ended, by cause.", "cause", connection_ends)),
      unread_(counters_by(registry, "myrtleroute_client_connections_unread_total",
                          "Clients' connections closed over bytes that nobody had read.", "cause", connection_ends)) {}

void FrontendReport::request_read() { read_.add(); }

void FrontendReport::request_ended(RequestEnd end) { ended_[static_cast<size_t>(end)].add(); }

void FrontendReport::connection_ended(ConnectionEnd cause) { connections_[static_cast<size_t>(cause)].add(); }

void FrontendReport::closed_over_unread(ConnectionEnd cause, Span since_half_close, Span idle_for, Time now) {
    const auto number = static_cast<size_t>(cause);
    unread_[number].add();
    if (!lines_[number].try_log(now)) return;
    std::ostringstream line;
    line.precision(3);
    line << "client connection closed with unread bytes: " << to_string(cause) << ", " << std::fixed
         << since_half_close.s << " s after half-close, idle for " << idle_for.s << " s before; "
         << static_cast<unsigned long>(unread_[number].value()) << " so far";
    log_(line.str());
}

double FrontendReport::in_progress() const {
    double ended = 0;
    for (const auto& requests : ended_) ended += requests.value();
    return read_.value() - ended;
}

}   // namespace myrtleroute::proxy
