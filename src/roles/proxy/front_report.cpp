#include "roles/proxy/front_report.hpp"

#include <sstream>
#include <utility>

namespace myrtleroute::proxy {
namespace {

constexpr Span line_every{1};   // for each cause

template <class Cause>
metrics::Labels label(const char* name, Cause cause) {
    return {{name, std::string(to_string(cause))}};
}

template <size_t... number>
auto count_requests(metrics::Registry& registry, std::index_sequence<number...>) {
    return std::array{registry.counter("myrtleroute_requests_ended_total",
                                       "Requests read whole whose end has come, by what became of them.",
                                       label("how", request_ends[number]))...};
}

}   // namespace

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

FrontReport::FrontReport(metrics::Registry& registry, Log log)
    : log_(std::move(log)),
      read_(registry.counter("myrtleroute_requests_read_total", "Clients' requests that were read whole.")),
      ended_(count_requests(registry, std::make_index_sequence<request_ends.size()>())),
      connections_([&]<size_t... number>(std::index_sequence<number...>) {
          return std::array{Connections{registry.counter("myrtleroute_client_connections_ended_total",
                                                         "Clients' connections that have ended, by cause.",
                                                         label("cause", connection_ends[number])),
                                        registry.counter("myrtleroute_client_connections_unread_total",
                                                         "Clients' connections closed over bytes that nobody had read.",
                                                         label("cause", connection_ends[number]))}...};
      }(std::make_index_sequence<connection_ends.size()>())) {}

void FrontReport::request_read() { read_.add(); }

void FrontReport::request_ended(RequestEnd end) { ended_[static_cast<size_t>(end)].add(); }

void FrontReport::connection_ended(ConnectionEnd cause) { connections_[static_cast<size_t>(cause)].ended.add(); }

void FrontReport::closed_over_unread(ConnectionEnd cause, Span ended_for, Span rested, Time now) {
    auto& figures = connections_[static_cast<size_t>(cause)];
    figures.unread.add();
    if (now - figures.logged < line_every) return;
    figures.logged = now;
    std::ostringstream line;
    line.precision(3);
    line << "a client's connection is closed over unread bytes: " << to_string(cause) << ", " << std::fixed
         << ended_for.s << " s after its end, which came after " << rested.s << " s of rest; "
         << static_cast<unsigned long>(figures.unread.value()) << " so far";
    log_(line.str());
}

double FrontReport::under_way() const {
    double ended = 0;
    for (const auto& requests : ended_) ended += requests.value();
    return read_.value() - ended;
}

}   // namespace myrtleroute::proxy
