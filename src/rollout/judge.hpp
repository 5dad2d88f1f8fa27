// Decides from the proxies' reports whether the version of a rollout is bad.
//
// The reports are summed by route, so that a proxy's weight is the number of requests it has observed, and candidates
// are compared with the hosts that served in the same period. The test is Wald's sequential probability ratio test
// (1945), which may be evaluated at any time. A version is found bad only if the finding also holds without the proxy,
// without the host and without the zone that contribute the most bad answers, so that none of these decides alone. A
// proxy that sees mostly bad answers from the serving hosts too is ignored.
#pragma once
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "rollout/report.hpp"
#include "rollout/rollout.hpp"
#include "time.hpp"

namespace myrtleroute::rollout {

enum class Finding { undecided, good, bad };

struct JudgeOptions {
    double tolerated = 0.03;        // share of bad answers above that of the serving hosts that is not a fault
    double fault_margin = 0.25;     // additional share above `tolerated` that is a fault
    double reject_above = 7.6;      // log likelihood ratio; rejects at most one in 2,000 good versions
    double accept_below = -4.6;     // log likelihood ratio; accepts at most one in 100 bad versions
    uint64_t min_requests = 5;      // needed to judge a route by itself
    uint64_t min_to_compare = 20;   // needed of the service: with fewer there is nothing to compare
    Span window{3};                 // a version may turn bad late, so its last seconds are also judged by themselves
    Span sampled_every{0.3};
    Span report_timeout{2};   // a proxy without a report for this long has ended or is disconnected
    size_t max_incarnations = 4096;
};

// The accumulated evidence of one proxy.
struct Observation {
    std::string node, zone;
    std::vector<RouteEvidence> routes;
};

// Tests whether the observations show that the candidates are worse than the serving hosts.
class EvidenceTest {
public:
    EvidenceTest(const JudgeOptions& options, const std::vector<Observation>& observations);

    // True only if it also holds without the proxy, host and zone with the most bad answers.
    bool rejects() const;
    // The log likelihood ratio of a bad version to a good one, over all routes.
    double log_likelihood_ratio() const;
    uint64_t candidate_requests() const;
    uint64_t serving_requests() const;

private:
    struct Exclusion {   // what is excluded from the sums
        std::string node, host, zone;
    };
    struct Sums {
        Tally serving, candidates;
    };
    std::map<std::string, Sums> sums(const Exclusion& excluded) const;
    static Sums of_all_routes(const std::map<std::string, Sums>& by_route);
    double log_ratio(const Sums& sums) const;
    bool rejects_without(const Exclusion& excluded) const;
    Exclusion most_bad() const;

    const JudgeOptions& options_;
    std::vector<Observation> observations_;   // of reliable proxies
};

class Judge {
public:
    explicit Judge(JudgeOptions options = {}) : options_(options) {}

    void add(const RolloutReport& report, Time now);
    Finding finding(Time now) const;
    // Seconds since the order was known, as reported by the proxies.
    double age() const;
    size_t reporting_proxies() const;   // number of proxies that have sent a report
    // Whether all proxies with a recent report act on that stage and have no request in progress at serving hosts.
    bool has_drained_serving(Stage stage, Time now) const;
    // Whether candidates and serving hosts together had too few requests to be compared.
    bool has_too_little_traffic() const;
    // Whether the evidence favours the version, with at least `min_requests` at candidates.
    bool is_probably_good(uint64_t min_requests) const;
    std::string summary() const;   // for the log

private:
    struct Source {
        RolloutReport newest;
        Time received_at = long_ago;
        std::deque<std::pair<Time, std::vector<RouteEvidence>>>
            earlier;   // the oldest first; the first one may precede the window
    };
    std::vector<Observation> all_observations() const;
    std::vector<Observation> recent_observations(Time now) const;

    JudgeOptions options_;
    std::map<std::pair<std::string, uint64_t>, Source> sources_;   // by node and incarnation
};

}   // namespace myrtleroute::rollout
