// A proxy's watch on the rollouts that it knows of: what became of its own requests at candidates and at the hosts that serve.
// It makes the proxy's ballots, and says which requests go to candidates.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "random.hpp"
#include "rollout/report.hpp"
#include "rollout/rollout.hpp"
#include "time.hpp"

namespace myrtleroute::rollout {

// How an attempt at a host ended, as far as it says something about the host.
struct AttemptResult {
    std::string route, host;
    Group group = Group::serving;
    bool failed = false;      // an answer of failure, or one that broke off or never came
    bool loaded = false;      // the host had more than the usual load: being slow says nothing
    bool cancelled = false;   // it says something only where it had taken long by then
    Span duration;            // until its end
    int chunks = 0;           // of a stream that was passed on as it came
    Span streaming_time;      // from the first to the last one
};

struct WatcherOptions {
    std::string node, zone;
    uint64_t incarnation = 0;           // of this process, unlike any other's
    double candidate_share = 0.07;      // of a service's requests that candidates get while they are observed
    Span control_timeout{1.5};          // without word of a current control node for so long no candidate is sent to
    Span report_interval{0.5};          // between ballots, in a fleet of up to `proxies_at_pace`
    Span report_interval_moving{0.2};   // all requests are at candidates then
    double nominal_proxies = 150;       // in a larger one they are as much rarer
};

class Watcher {
public:
    Watcher(WatcherOptions options, uint64_t seed);

    // Older rollouts than those known are left aside. True: these are newer.
    bool update(const Rollouts& rollouts, Time now);
    void confirm_control(Time now) { heard_current_ = now; }   // a control node that has a quorum has spoken
    const Rollout* rollout(const std::string& service) const { return rollouts_.find(service); }
    const Rollouts& rollouts() const { return rollouts_; }
    bool has_rollouts() const { return is_told_; }

    // Whether the next request of that service goes to a candidate.
    bool choose_candidate(const std::string& service, Time now);
    void record(const std::string& service, const AttemptResult& end);
    // How many candidates are sent to at a time, of a service of which so many hosts serve. While they are observed each has the load
    // of the others, or, where `loaded`, about twice that, as some faults show under load only.
    size_t candidate_count(const Rollout& rollout, size_t serving, bool loaded) const;

    // Those that are due. `open_at_serving`: requests of that service under way at hosts that serve.
    std::vector<RolloutReport> take_reports(size_t proxies,
                                            const std::function<size_t(const std::string&)>& open_at_serving, Time now);

private:
    // What answers of a route take at hosts that serve: means of logarithms, as times differ by orders of magnitude.
    struct Usual {
        double answers = 0, log_total = 0;
        double streams = 0, log_pace = 0;
    };
    // One rollout as this proxy sees it.
    struct Watch {
        uint64_t number = 0;
        Time known_since;
        uint64_t sequence = 0;
        double credit = 0;   // of a request for candidates; one is due at 1
        std::map<std::string, RouteEvidence> routes;
        double recent = 0, recent_bad = 0;   // at candidates; older ones fade
    };
    bool is_slow(const std::string& route, const AttemptResult& end) const;
    void learn(const std::string& route, const AttemptResult& end);
    bool looks_plainly_bad(const Watch& watch) const;
    void note(Watch& watch, const AttemptResult& end, bool is_bad);
    RolloutReport ballot_of(const Rollout& rollout, Watch& watch, size_t open, Time now) const;

    WatcherOptions options_;
    Pcg chance_;
    Rollouts rollouts_;
    bool is_told_ = false;
    Time heard_current_ = long_ago, ballots_at_ = long_ago;
    std::map<std::string, Watch> watches_;   // by service, of rollouts in progress
    std::map<std::string, Usual> usual_;     // by route, bounded
};

}   // namespace myrtleroute::rollout
