#include "roles/control/work_report.hpp"

#include <algorithm>
#include <sstream>
#include <type_traits>
#include <utility>
#include <variant>

namespace myrtleroute::control {
namespace {

constexpr Span second{1};
constexpr double busy_threshold = 0.6;   // of a second: more than this is logged
constexpr Span late_threshold{0.3};      // delay of a tick that is logged

// Kind of work of each message type, in the order of messages::Message.
struct KindOf {
    WorkKind operator()(const messages::PeerHello&) const { return WorkKind::proxies; }
    WorkKind operator()(const messages::ConsensusMessage&) const { return WorkKind::consensus; }
    WorkKind operator()(const messages::HostsUpdate&) const { return WorkKind::hosts; }
    WorkKind operator()(const messages::HostsConfirmation&) const { return WorkKind::hosts; }
    WorkKind operator()(const messages::HostHeartbeats&) const { return WorkKind::hosts; }
    WorkKind operator()(const messages::ProxiesStatus&) const { return WorkKind::proxies; }
    WorkKind operator()(const messages::Subscribe&) const { return WorkKind::subscriptions; }
    WorkKind operator()(const leases::LeaseRequest&) const { return WorkKind::lease_asks; }
    WorkKind operator()(const leases::LeaseReply&) const { return WorkKind::lease_replies; }
    WorkKind operator()(const leases::ConfigurationLeaseRequest&) const { return WorkKind::subscriptions; }
    WorkKind operator()(const leases::ConfigurationLeaseReply&) const { return WorkKind::subscriptions; }
    WorkKind operator()(const messages::ConfigurationUpdate&) const { return WorkKind::subscriptions; }
    WorkKind operator()(const messages::FleetStatus&) const { return WorkKind::subscriptions; }
    WorkKind operator()(const messages::RolloutsUpdate&) const { return WorkKind::subscriptions; }
    WorkKind operator()(const rollout::RolloutReport&) const { return WorkKind::ballots; }
};

}   // namespace

std::string_view to_string(WorkKind kind) {
    switch (kind) {
        case WorkKind::consensus: return "consensus";
        case WorkKind::hosts: return "hosts";
        case WorkKind::proxies: return "proxies";
        case WorkKind::subscriptions: return "subscriptions";
        case WorkKind::lease_asks: return "lease_asks";
        case WorkKind::lease_replies: return "lease_replies";
        case WorkKind::ballots: return "ballots";
        case WorkKind::requests: return "requests";
        case WorkKind::writes: return "writes";
        case WorkKind::ticks: return "ticks";
    }
    return "";
}

WorkKind work_kind(const messages::Message& message) { return std::visit(KindOf{}, message); }

WorkReport::WorkReport(metrics::Registry& registry)
    : work_([&]<size_t... number>(std::index_sequence<number...>) {
          const auto labels = [](WorkKind kind) {
              return metrics::Labels{{"kind", std::string(to_string(kind))}};
          };
          return std::array{Work{registry.counter("myrtleroute_control_work_total", "Pieces of work handled, by kind.",
                                                  labels(work_kinds[number])),
                                 registry.counter("myrtleroute_control_work_seconds_total",
                                                  "Time in which they were handled, waits for the processor included.",
                                                  labels(work_kinds[number])),
                                 0, Span{}}...};
      }(std::make_index_sequence<work_kinds.size()>())),
      busy_(registry.gauge("myrtleroute_control_busy_ratio", "Share of the last second in which work was handled.")) {}

void WorkReport::record(WorkKind kind, Span duration) {
    auto& work = work_[static_cast<size_t>(kind)];
    work.count.add();
    work.seconds.add(duration.s);
    ++work.count_since;
    work.duration_since = work.duration_since + duration;
}

std::optional<std::string> WorkReport::tick(Time now, Span every) {
    if (last_tick_ > long_ago) max_tick_delay_ = std::max(max_tick_delay_, now - last_tick_ - every);
    last_tick_ = now;
    if (second_began_ <= long_ago) second_began_ = now;
    const Span passed = now - second_began_;
    if (passed < second) return {};
    Span busy;
    for (const auto& work : work_) busy = busy + work.duration_since;
    busy_.set(busy.s / passed.s);
    std::optional<std::string> report;
    if (busy > passed * busy_threshold || max_tick_delay_ > late_threshold) report = line(passed, busy);
    for (auto& work : work_) {
        work.count_since = 0;
        work.duration_since = Span{};
    }
    max_tick_delay_ = Span{};
    second_began_ = now;
    return report;
}

std::string WorkReport::line(Span passed, Span busy) const {
    std::ostringstream text;
    text.precision(3);
    text << "busy for " << busy.s << " s of " << passed.s << " s, a tick " << max_tick_delay_.s << " s late:";
    for (const auto kind : work_kinds) {
        const auto& work = work_[static_cast<size_t>(kind)];
        if (work.count_since > 0)
            text << ' ' << to_string(kind) << ' ' << work.count_since << " in " << work.duration_since.s << " s,";
    }
    auto line = text.str();
    line.pop_back();   // removes the last comma, or the colon
    return line;
}

}   // namespace myrtleroute::control
