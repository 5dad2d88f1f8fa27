#include "rollout/judge.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>

namespace myrtleroute::rollout {
namespace {

constexpr double usual_margin = 1.15;      // as what a few hosts meet varies more than what all do
constexpr double most_usual = 0.7;         // share of bad answers that the serving hosts are held to have at the most
constexpr size_t most_named = 8;           // candidates in a summary
constexpr uint64_t least_to_abstain = 4;   // requests at serving hosts

Tally sum(const Tally& a, const Tally& b) { return {a.requests + b.requests, a.bad + b.bad}; }

Tally difference(const Tally& a, const Tally& b) {
    return {a.requests - std::min(a.requests, b.requests), a.bad - std::min(a.bad, b.bad)};
}

// To this proxy everything looks bad: its own link may be.
bool abstains(const Observation& observation) {
    Tally serving;
    for (const auto& route : observation.routes) serving = sum(serving, route.serving);
    return serving.requests >= least_to_abstain && 2 * serving.bad > serving.requests;
}

// What was added to the evidence since an earlier state of the same life.
std::vector<RouteEvidence> added_since(const std::vector<RouteEvidence>& earlier, std::vector<RouteEvidence> newest) {
    for (auto& route : newest) {
        const auto before =
            std::find_if(earlier.begin(), earlier.end(), [&](const auto& known) { return known.route == route.route; });
        if (before == earlier.end()) continue;
        route.serving = difference(route.serving, before->serving);
        for (auto& candidate : route.candidates)
            for (const auto& known : before->candidates)
                if (known.host == candidate.host) candidate.tally = difference(candidate.tally, known.tally);
    }
    return newest;
}

// The key with the most bad answers; empty where there are fewer than two keys, so that nothing would be left.
std::string worst(const std::map<std::string, uint64_t>& bad) {
    if (bad.size() < 2) return {};
    return std::max_element(bad.begin(), bad.end(), [](const auto& a, const auto& b) { return a.second < b.second; })
        ->first;
}

}   // namespace

EvidenceTest::EvidenceTest(const JudgeOptions& options, const std::vector<Observation>& observations)
    : options_(options) {
    for (const auto& observation : observations)
        if (!abstains(observation)) observations_.push_back(observation);
}

std::map<std::string, EvidenceTest::Sums> EvidenceTest::sums(const Left& left) const {
    std::map<std::string, Sums> by_route;
    for (const auto& observation : observations_) {
        const bool is_left_out = (!left.node.empty() && observation.node == left.node) ||
                                 (!left.zone.empty() && observation.zone == left.zone);
        if (is_left_out) continue;
        for (const auto& route : observation.routes) {
            auto& known = by_route[route.route];
            known.serving = sum(known.serving, route.serving);
            for (const auto& candidate : route.candidates)
                if (left.host.empty() || candidate.host != left.host)
                    known.candidates = sum(known.candidates, candidate.tally);
        }
    }
    return by_route;
}

double EvidenceTest::ratio(const Sums& sums) const {
    const auto serving = static_cast<double>(sums.serving.requests);
    const double usual = (static_cast<double>(sums.serving.bad) + 0.5) / (serving + 1);
    const double unsure = 2 * std::sqrt(usual * (1 - usual) / (serving + 1));   // two standard deviations
    const double expected = sums.serving.requests >= options_.min_requests ? usual * usual_margin + unsure : 0;
    const double sound = std::min(expected + options_.tolerated, most_usual);
    const double faulty = sound + options_.fault_margin;
    const auto bad = static_cast<double>(sums.candidates.bad);
    const auto well = static_cast<double>(sums.candidates.requests - sums.candidates.bad);
    return bad * std::log(faulty / sound) + well * std::log((1 - faulty) / (1 - sound));
}

bool EvidenceTest::accuses_without(const Left& left) const {
    const auto by_route = sums(left);
    const auto accuses = [this](const Sums& known) {
        return known.candidates.requests >= options_.min_requests && ratio(known) > options_.reject_above;
    };
    return accuses(of_all_routes(by_route)) ||
           std::any_of(by_route.begin(), by_route.end(), [&](const auto& known) { return accuses(known.second); });
}

EvidenceTest::Left EvidenceTest::strongest() const {
    std::map<std::string, uint64_t> by_node, by_host, by_zone;
    for (const auto& observation : observations_)
        for (const auto& route : observation.routes)
            for (const auto& candidate : route.candidates) {
                by_node[observation.node] += candidate.tally.bad;
                by_zone[observation.zone] += candidate.tally.bad;
                by_host[candidate.host] += candidate.tally.bad;
            }
    return {worst(by_node), worst(by_host), worst(by_zone)};
}

bool EvidenceTest::rejects() const {
    if (!accuses_without({})) return false;
    const auto left = strongest();
    return accuses_without({left.node, {}, {}}) && accuses_without({{}, left.host, {}}) &&
           accuses_without({{}, {}, left.zone});
}

EvidenceTest::Sums EvidenceTest::of_all_routes(const std::map<std::string, Sums>& by_route) {
    Sums all;
    for (const auto& [route, known] : by_route) {
        all.serving = sum(all.serving, known.serving);
        all.candidates = sum(all.candidates, known.candidates);
    }
    return all;
}

double EvidenceTest::log_likelihood_ratio() const { return ratio(of_all_routes(sums({}))); }

uint64_t EvidenceTest::candidate_requests() const { return of_all_routes(sums({})).candidates.requests; }

uint64_t EvidenceTest::serving_requests() const { return of_all_routes(sums({})).serving.requests; }

void Judge::add(const RolloutReport& ballot, Time now) {
    const std::pair key{ballot.node, ballot.incarnation};
    if (lives_.size() >= options_.max_incarnations && !lives_.count(key)) return;
    auto& life = lives_[key];
    if (ballot.sequence <= life.newest.sequence) return;
    if (life.earlier.empty() || now - life.earlier.back().first >= options_.sampled_every)
        life.earlier.emplace_back(now, life.newest.routes);
    while (life.earlier.size() > 1 && now - life.earlier[1].first > options_.window) life.earlier.pop_front();
    life.newest = ballot;
    life.heard = now;
}

std::vector<Observation> Judge::whole() const {
    std::vector<Observation> observations;
    for (const auto& [key, life] : lives_)
        observations.push_back({life.newest.node, life.newest.zone, life.newest.routes});
    return observations;
}

std::vector<Observation> Judge::lately(Time now) const {
    std::vector<Observation> observations;
    for (const auto& [key, life] : lives_) {
        const std::vector<RouteEvidence>* before = &life.newest.routes;   // nothing new since the window began
        for (const auto& [at, routes] : life.earlier)
            if (now - at <= options_.window) {
                before = &routes;
                break;
            }
        observations.push_back({life.newest.node, life.newest.zone, added_since(*before, life.newest.routes)});
    }
    return observations;
}

Finding Judge::finding(Time now) const {
    const EvidenceTest whole_span(options_, whole()), last_seconds(options_, lately(now));
    if (whole_span.rejects() || last_seconds.rejects()) return Finding::bad;
    const bool acquits = whole_span.log_likelihood_ratio() < options_.accept_below &&
                         whole_span.candidate_requests() >= options_.min_to_compare &&
                         last_seconds.log_likelihood_ratio() <= 0;
    return acquits ? Finding::good : Finding::undecided;
}

double Judge::age() const {
    double most = 0;
    for (const auto& [key, life] : lives_) most = std::max(most, life.newest.age);
    return most;
}

size_t Judge::reporting_proxies() const {
    std::set<std::string> nodes;
    for (const auto& [key, life] : lives_) nodes.insert(key.first);
    return nodes.size();
}

bool Judge::has_drained_serving(Stage stage, Time now) const {
    return std::all_of(lives_.begin(), lives_.end(), [&](const auto& known) {
        const auto& life = known.second;
        if (now - life.heard > options_.report_timeout) return true;
        return life.newest.stage >= static_cast<uint64_t>(stage) && life.newest.open_at_serving == 0;
    });
}

bool Judge::has_too_little_traffic() const {
    const EvidenceTest test(options_, whole());
    return test.candidate_requests() + test.serving_requests() < options_.min_to_compare;
}

bool Judge::is_probably_good(uint64_t least_requests) const {
    const EvidenceTest test(options_, whole());
    return test.candidate_requests() >= least_requests && test.log_likelihood_ratio() < 0;
}

std::string Judge::summary() const {
    const auto observations = whole();
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
    size_t named = 0;
    for (const auto& [host, tally] : by_host)
        if (named++ < most_named) text << ", " << host << ' ' << tally.bad << '/' << tally.requests;
    return text.str();
}

}   // namespace myrtleroute::rollout
