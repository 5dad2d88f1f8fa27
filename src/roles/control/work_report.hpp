// Accounts for a control node's event loop: number and duration of handled work items by kind, as counters, and as a
// log line for each second in which the loop was busy most of the time or a tick was late.
//
// Durations are wall time on the steady clock. If the process gets only part of a core, time waiting for the processor
// is included, because other work waits for that time too.
#pragma once
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/metrics.hpp"
#include "messages/messages.hpp"
#include "time.hpp"

namespace myrtleroute::control {

enum class WorkKind {
    consensus,       // messages of the replicated log
    hosts,           // host updates of other control nodes
    proxies,         // their updates on their subscribers
    subscriptions,   // of proxies, and requests for configuration leases
    lease_asks,
    lease_replies,
    ballots,
    requests,   // HTTP requests of hosts and the operator
    writes,     // completed disk writes
    ticks,
};
inline constexpr std::array work_kinds{
    WorkKind::consensus,     WorkKind::hosts,   WorkKind::proxies,  WorkKind::subscriptions, WorkKind::lease_asks,
    WorkKind::lease_replies, WorkKind::ballots, WorkKind::requests, WorkKind::writes,        WorkKind::ticks};
std::string_view to_string(WorkKind kind);
WorkKind work_kind(const messages::Message& message);

class WorkReport {
public:
    explicit WorkReport(metrics::Registry& registry);
    // Records one work item and its duration, including reading and answering it.
    void record(WorkKind kind, Span duration);
    // Called at each tick; `every` is the intended interval. Returns a log line if a second has ended that was busy or
    // had a late tick.
    std::optional<std::string> tick(Time now, Span every);

private:
    struct Work {
        metrics::Counter count, seconds;
        uint64_t count_since = 0;   // since the last report period ended
        Span duration_since;
    };
    std::string line(Span passed, Span busy) const;

    std::array<Work, work_kinds.size()> work_;
    metrics::Gauge busy_;   // busy fraction of the last second
    Time second_began_ = long_ago, last_tick_ = long_ago;
    Span max_tick_delay_;   // longest delay of a tick since the last second ended
};

}   // namespace myrtleroute::control
