#include "roles/control/work_report.hpp"

#include <algorithm>
#include <sstream>
#include <type_traits>
#include <utility>
#include <variant>

namespace myrtleroute::control {
namespace {

constexpr Span second{1};
constexpr double mostly = 0.6;   // of a second: then it is told what the time went into
constexpr Span late{0.3};        // of a tick

// Of each kind of message, in the order of messages::Message.
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

void WorkReport::note(WorkKind kind, Span took) {
    auto& work = work_[static_cast<size_t>(kind)];
    work.pieces.add();
    work.seconds.add(took.s);
    ++work.pieces_since;
    work.took_since = work.took_since + took;
}

std::optional<std::string> WorkReport::tick(Time now, Span every) {
    if (last_tick_ > long_ago) latest_ = std::max(latest_, now - last_tick_ - every);
    last_tick_ = now;
    if (second_began_ <= long_ago) second_began_ = now;
    const Span passed = now - second_began_;
    if (passed < second) return {};
    Span busy;
    for (const auto& work : work_) busy = busy + work.took_since;
    busy_.set(busy.s / passed.s);
    std::optional<std::string> told;
    if (busy > passed * mostly || latest_ > late) told = line(passed, busy);
    for (auto& work : work_) {
        work.pieces_since = 0;
        work.took_since = Span{};
    }
    latest_ = Span{};
    second_began_ = now;
    return told;
}

std::string WorkReport::line(Span passed, Span busy) const {
    std::ostringstream text;
    text.precision(3);
    text << "busy for " << busy.s << " s of " << passed.s << " s, a tick " << latest_.s << " s late:";
    for (const auto kind : work_kinds) {
        const auto& work = work_[static_cast<size_t>(kind)];
        if (work.pieces_since > 0)
            text << ' ' << to_string(kind) << ' ' << work.pieces_since << " in " << work.took_since.s << " s,";
    }
    auto line = text.str();
    line.pop_back();   // the last comma, or the colon
    return line;
}

}   // namespace myrtleroute::control
