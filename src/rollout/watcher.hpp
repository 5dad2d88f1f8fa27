// A proxy's observation of rollouts: records the outcome of its own requests at candidates and at serving hosts,
// creates the proxy's reports, and chooses which requests go to candidates.
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

// The outcome of an attempt at a host, as far as it is evidence about the host.
struct AttemptResult {
    std::string route, host;
    Group group = Group::serving;
    bool failed = false;      // an error response, an incomplete one, or none
    bool loaded = false;      // the host had more than the usual load, so a slow answer is no evidence
    bool cancelled = false;   // evidence only if it had already taken long
    Span duration;            // until the attempt ended
    int chunks = 0;           // of a stream that was relayed as it arrived
    Span streaming_time;      // from the first chunk to the last
};

struct WatcherOptions {
    std::string node, zone;
    uint64_t incarnation = 0;        // of this process, unique
    double candidate_share = 0.07;   // share of a service's requests that candidates get while observed
    // No requests go to candidates when no control node with a quorum has been in contact for this long.
    Span control_timeout{1.5};
    Span report_interval{0.5};          // between reports, in a fleet of up to `nominal_proxies`
    Span report_interval_moving{0.2};   // while all requests go to candidates
    double nominal_proxies = 150;       // in a larger fleet the interval grows in proportion
};

class Watcher {
public:
    Watcher(WatcherOptions options, uint64_t seed);

    // Applies the rollouts unless they are older than those known. Returns true if they were newer.
    bool update(const Rollouts& rollouts, Time now);
    void confirm_control(Time now) { control_confirmed_at_ = now; }   // a control node with a quorum has sent a message
    const Rollout* rollout(const std::string& service) const { return rollouts_.find(service); }
    const Rollouts& rollouts() const { return rollouts_; }
    bool has_rollouts() const { return has_rollouts_; }

    // Whether the next request of that service goes to a candidate.
    bool choose_candidate(const std::string& service, Time now);
    void record(const std::string& service, const AttemptResult& result);
    // How many candidates receive requests at a time, for a service with `serving` serving hosts. While observed, each
    // has the load of the serving hosts or, if `loaded`, about twice that, because some faults show only under load.
    size_t candidate_count(const Rollout& rollout, size_t serving, bool loaded) const;

    // Returns the reports that are due. `open_at_serving`: requests of a service in progress at serving hosts.
    std::vector<RolloutReport> take_reports(size_t proxies,
                                            const std::function<size_t(const std::string&)>& open_at_serving, Time now);

private:
    // Usual response times of a route at serving hosts: means of logarithms, because times differ by orders of
    // magnitude.
    struct Baseline {
        double answers = 0, log_duration = 0;
        double streams = 0, log_chunk_time = 0;
    };
    // One rollout as observed by this proxy.
    struct Observed {
        uint64_t number = 0;
        Time known_since;
        uint64_t sequence = 0;
        double credit = 0;   // credit for sending a request to a candidate; one is due at 1
        std::map<std::string, RouteEvidence> routes;
        double recent_requests = 0, recent_bad = 0;   // requests at candidates, with decaying weight
    };
    bool is_slow(const std::string& route, const AttemptResult& result) const;
    void update_baseline(const std::string& route, const AttemptResult& result);
    bool looks_bad(const Observed& observed) const;
    void count(Observed& observed, const AttemptResult& result, bool is_bad);
    RolloutReport make_report(const Rollout& rollout, Observed& observed, size_t open, Time now) const;

    WatcherOptions options_;
    Pcg rng_;
    Rollouts rollouts_;
    bool has_rollouts_ = false;
    Time control_confirmed_at_ = long_ago, next_report_at_ = long_ago;
    std::map<std::string, Observed> observed_;    // by service, of rollouts in progress
    std::map<std::string, Baseline> baselines_;   // by route, bounded
};

}   // namespace myrtleroute::rollout
