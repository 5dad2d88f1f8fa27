// Finds from the proxies' ballots whether the version of a rollout is bad.
//
// The ballots are summed by route, so that a proxy's vote weighs as much as what it has seen, and candidates are compared with the
// hosts that served in the same seconds. The test is Wald's sequential one (1945): it may be looked at at any time. A version is found bad
// only where the finding holds without the proxy, without the host and without the zone that speak the most against it, so
// that none of these decides alone. A proxy to which the serving hosts look bad as well abstains.
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
    double tolerated = 0.03;        // share of bad answers above what the serving hosts give that is no fault
    double fault_margin = 0.25;     // share above that which is one
    double reject_above = 7.6;      // log likelihood ratio: false of one in 2,000 sound versions at the most
    double accept_below = -4.6;     // the same against a bad one, once in 100
    uint64_t min_requests = 5;      // of a route, to be judged by itself
    uint64_t min_to_compare = 20;   // of the service: with fewer there is nothing to compare
    Span window{3};                 // a version may turn bad late: its last seconds are judged by themselves too
    Span sampled_every{0.3};
    Span report_timeout{2};   // a proxy that was not heard of for so long has ended or is cut off
    size_t max_incarnations = 4096;
};

// What is summed of one proxy's ballots.
struct Observation {
    std::string node, zone;
    std::vector<RouteEvidence> routes;
};

// Whether the observations show that the candidates are worse than the hosts that serve, and how surely.
class EvidenceTest {
public:
    EvidenceTest(const JudgeOptions& options, const std::vector<Observation>& observations);

    bool rejects() const;   // also without the proxy, host and zone that speak the most against the version
    // The log likelihood ratio of a bad version against a sound one, over all routes.
    double log_likelihood_ratio() const;
    uint64_t candidate_requests() const;
    uint64_t serving_requests() const;

private:
    struct Left {   // what is left out
        std::string node, host, zone;
    };
    struct Sums {
        Tally serving, candidates;
    };
    std::map<std::string, Sums> sums(const Left& left) const;
    static Sums of_all_routes(const std::map<std::string, Sums>& by_route);
    double ratio(const Sums& sums) const;
    bool accuses_without(const Left& left) const;
    Left strongest() const;

    const JudgeOptions& options_;
    std::vector<Observation> observations_;   // of those who don't abstain
};

class Judge {
public:
    explicit Judge(JudgeOptions options = {}) : options_(options) {}

    void add(const RolloutReport& ballot, Time now);
    Finding finding(Time now) const;
    // s since the order was known, by the word of the proxies.
    double age() const;
    size_t reporting_proxies() const;   // proxies of which there is a ballot
    // Whether the proxies that were lately heard of act by that stage, and none has a request under way at hosts that serve.
    bool has_drained_serving(Stage stage, Time now) const;
    // Neither the candidates nor the hosts that serve had requests enough to be compared.
    bool has_too_little_traffic() const;
    // More speaks for the version than against it, on as many requests at candidates.
    bool is_probably_good(uint64_t least_requests) const;
    std::string summary() const;   // for the log

private:
    struct Life {
        RolloutReport newest;
        Time heard = long_ago;
        std::deque<std::pair<Time, std::vector<RouteEvidence>>>
            earlier;   // the oldest first, back to before the window
    };
    std::vector<Observation> whole() const;
    std::vector<Observation> lately(Time now) const;

    JudgeOptions options_;
    std::map<std::pair<std::string, uint64_t>, Life> lives_;   // by node and life
};

}   // namespace myrtleroute::rollout
