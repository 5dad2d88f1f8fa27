#include "rollout/judge.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>

namespace myrtleroute::rollout {
namespace {

constexpr double variance_margin = 1.15;   // a few hosts vary more than all together
// Upper bound on the share of bad answers that is attributed to the serving hosts.
constexpr double max_baseline = 0.7;
constexpr size_t max_listed = 8;              // candidates listed in a summary
constexpr uint64_t min_for_reliability = 4;   // requests at serving hosts

Tally sum(const Tally& a, const Tally& b) { return {a.requests + b.requests, a.bad + b.bad}; }

Tally difference(const Tally& a, const Tally& b) {
    return {a.requests - std::min(a.requests, b.requests), a.bad - std::min(a.bad, b.bad)};
}

// Whether most answers of the serving hosts look bad to this proxy: its own link may be at fault.
bool is_unreliable(const Observation& observation) {
    Tally serving;
    for (const auto& route : observation.routes) serving = sum(serving, route.serving);
    return serving.requests >= min_for_reliability && 2 * serving.bad > serving.requests;
}

// The evidence added since an earlier state of the same incarnation.
std::vector<RouteEvidence> added_since(const std::vector<RouteEvidence>& earlier, std::vector<RouteEvidence> newest) {
    for (auto& route : newest) {
        const auto before =
            std::find_if(earlier.begin(), earlier.end(), [&](const auto& found) { return found.route == route.route; });
        if (before == earlier.end()) continue;
        route.serving = difference(route.serving, before->serving);
        for (auto& candidate : route.candidates)
            for (const auto& found : before->candidates)
                if (found.host == candidate.host) candidate.tally = difference(candidate.tally, found.tally);
    }
    return newest;
}

// The key with the most bad answers; empty if there are fewer than two keys, so that something remains after excluding
// one.
std::string most_bad_key(const std::map<std::string, uint64_t>& bad) {
    if (bad.size() < 2) return {};
    return std::max_element(bad.begin(), bad.end(), [](const auto& a, const auto& b) { return a.second < b.second; })
        ->first;
}

}   // namespace

EvidenceTest::EvidenceTest(const JudgeOptions& options, const std::vector<Observation>& observations)
    : options_(options) {
    for (const auto& observation : observations)
        if (!is_unreliable(observation)) observations_.push_back(observation);
}

std::map<std::string, EvidenceTest::Sums> EvidenceTest::sums(const Exclusion& excluded) const {
    std::map<std::string, Sums> by_route;
    for (const auto& observation : observations_) {
        const bool is_excluded = (!excluded.node.empty() && observation.node == excluded.node) ||
                                 (!excluded.zone.empty() && observation.zone == excluded.zone);
        if (is_excluded) continue;
        for (const auto& route : observation.routes) {
            auto& found = by_route[route.route];
            found.serving = sum(found.serving, route.serving);
            for (const auto& candidate : route.candidates)
                if (excluded.host.empty() || candidate.host != excluded.host)
                    found.candidates = sum(found.candidates, candidate.tally);
        }
    }
    return by_route;
}

double EvidenceTest::log_ratio(const Sums& sums) const {
    const auto serving = static_cast<double>(sums.serving.requests);
    const double baseline = (static_cast<double>(sums.serving.bad) + 0.5) / (serving + 1);
    const double deviation = 2 * std::sqrt(baseline * (1 - baseline) / (serving + 1));   // two standard deviations
    const double expected = sums.serving.requests >= options_.min_requests ? baseline * variance_margin + deviation : 0;
    const double good_share = std::min(expected + options_.tolerated, max_baseline);
    const double bad_share = good_share + options_.fault_margin;
    const auto bad = static_cast<double>(sums.candidates.bad);
    const auto good = static_cast<double>(sums.candidates.requests - sums.candidates.bad);
    return bad * std::log(bad_share / good_share) + good * std::log((1 - bad_share) / (1 - good_share));
}

bool EvidenceTest::rejects_without(const Exclusion& excluded) const {
    const auto by_route = sums(excluded);
    const auto rejects = [this](const Sums& found) {
        return found.candidates.requests >= options_.min_requests && log_ratio(found) > options_.reject_above;
    };
    return rejects(of_all_routes(by_route)) ||
           std::any_of(by_route.begin(), by_route.end(), [&](const auto& found) { return rejects(found.second); });
}

EvidenceTest::Exclusion EvidenceTest::most_bad() const {
    std::map<std::string, uint64_t> by_node, by_host, by_zone;
    for (const auto& observation : observations_)
        for (const auto& route : observation.routes)
            for (const auto& candidate : route.candidates) {
                by_node[observation.node] += candidate.tally.bad;
                by_zone[observation.zone] += candidate.tally.bad;
                by_host[candidate.host] += candidate.tally.bad;
            }
    return {most_bad_key(by_node), most_bad_key(by_host), most_bad_key(by_zone)};
}

bool EvidenceTest::rejects() const {
    if (!rejects_without({})) return false;
    const auto excluded = most_bad();
    return rejects_without({excluded.node, {}, {}}) && rejects_without({{}, excluded.host, {}}) &&
           rejects_without({{}, {}, excluded.zone});
}

EvidenceTest::Sums EvidenceTest::of_all_routes(const std::map<std::string, Sums>& by_route) {
    Sums all;
    for (const auto& [route, found] : by_route) {
        all.serving = sum(all.serving, found.serving);
        all.candidates = sum(all.candidates, found.candidates);
    }
    return all;
}

double EvidenceTest::log_likelihood_ratio() const { return log_ratio(of_all_routes(sums({}))); }

uint64_t EvidenceTest::candidate_requests() const { return of_all_routes(sums({})).candidates.requests; }

uint64_t EvidenceTest::serving_requests() const { return of_all_routes(sums({})).serving.requests; }

void Judge::add(const RolloutReport& report, Time now) {
    const std::pair key{report.node, report.incarnation};
    if (sources_.size() >= options_.max_incarnations && !sources_.count(key)) return;
    auto& source = sources_[key];
    if (report.sequence <= source.newest.sequence) return;
    if (source.earlier.empty() || now - source.earlier.back().first >= options_.sampled_every)
        source.earlier.emplace_back(now, source.newest.routes);
    while (source.earlier.size() > 1 && now - source.earlier[1].first > options_.window) source.earlier.pop_front();
    source.newest = report;
    source.received_at = now;
}

std::vector<Observation> Judge::all_observations() const {
    std::vector<Observation> observations;
    for (const auto& [key, source] : sources_)
        observations.push_back({source.newest.node, source.newest.zone, source.newest.routes});
    return observations;
}

std::vector<Observation> Judge::recent_observations(Time now) const {
    std::vector<Observation> observations;
    for (const auto& [key, source] : sources_) {
        const std::vector<RouteEvidence>* before = &source.newest.routes;   // nothing new since the window began
        for (const auto& [at, routes] : source.earlier)
            if (now - at <= options_.window) {
                before = &routes;
                break;
            }
        observations.push_back({source.newest.node, source.newest.zone, added_since(*before, source.newest.routes)});
    }
    return observations;
}

Finding Judge::finding(Time now) const {
    const EvidenceTest whole_test(options_, all_observations()), recent_test(options_, recent_observations(now));
    if (whole_test.rejects() || recent_test.rejects()) return Finding::bad;
    const bool accepts = whole_test.log_likelihood_ratio() < options_.accept_below &&
                         whole_test.candidate_requests() >= options_.min_to_compare &&
                         recent_test.log_likelihood_ratio() <= 0;
    return accepts ? Finding::good : Finding::undecided;
}

double Judge::age() const {
    double most = 0;
    for (const auto& [key, source] : sources_) most = std::max(most, source.newest.age);
    return most;
}

size_t Judge::reporting_proxies() const {
    std::set<std::string> nodes;
    for (const auto& [key, source] : sources_) nodes.insert(key.first);
    return nodes.size();
}

bool Judge::has_drained_serving(Stage stage, Time now) const {
    return std::all_of(sources_.begin(), sources_.end(), [&](const auto& found) {
        const auto& source = found.second;
        if (now - source.received_at > options_.report_timeout) return true;
        return source.newest.stage >= static_cast<uint64_t>(stage) && source.newest.open_at_serving == 0;
    });
}

bool Judge::has_too_little_traffic() const {
    const EvidenceTest test(options_, all_observations());
    return test.candidate_requests() + test.serving_requests() < options_.min_to_compare;
}

bool Judge::is_probably_good(uint64_t min_requests) const {
    const EvidenceTest test(options_, all_observations());
    return test.candidate_requests() >= min_requests && test.log_likelihood_ratio() < 0;
}

std::string Judge::summary() const {
    const auto observations = all_observations();
    const EvidenceTest test(options_, observations);
    std::ostringstream text;
    text << reporting_proxies() << " proxies, log likelihood ratio " << test.log_likelihood_ratio()
         << ", bad of all requests:";
    Tally serving;
    std::map<std::string, Tally> by_host;
    for (const auto& observation : observations)
        for (const auto& route : observation.routes) {
            serving = sum(serving, route.serving);
            for (const auto& candidate : route.candidates)
                by_host[candidate.host] = sum(by_host[candidate.host], candidate.tally);
        }
    text << " serving " << serving.bad << '/' << serving.requests;
    size_t listed = 0;
    for (const auto& [host, tally] : by_host)
        if (listed++ < max_listed) text << ", " << host << ' ' << tally.bad << '/' << tally.requests;
    return text.str();
}

}   // namespace myrtleroute::rollout
