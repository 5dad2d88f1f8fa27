#include "rollout/watcher.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace myrtleroute::rollout {
namespace {

constexpr double load_when_loaded = 2.2;   // times that of a host that serves
constexpr size_t most_hosts = 1 << 20;
constexpr size_t least_candidates = 2;   // so that a bad host can be told from a bad version
constexpr size_t most_routes = 1024;     // whose usual times are known
constexpr size_t most_routes_of_a_ballot = 64;
constexpr size_t most_candidates_of_a_route = 32;
constexpr double least_known = 8;   // answers of a route, before any can be called slow
constexpr double memory = 200;      // answers over which a usual time is taken
constexpr double slow_total = 5,
                 slow_pace = 3.5;   // times the usual; a cold host reads prompts anew, but is no slower at pieces
constexpr int least_pieces = 5;     // of a stream whose pace says something
constexpr Span least_time{1e-4};
constexpr double fade = 0.9;   // of the recent answers' weight, with each further one
constexpr double plain_recent = 4, plain_share = 0.6;

double logarithm(Span span) { return std::log(std::max(span, least_time).s); }

void take_in(double& count, double& mean, double value) {
    count = std::min(count + 1, memory);
    mean += (value - mean) / count;
}

Span pace(const AttemptResult& end) { return end.streaming_time * (1.0 / (end.chunks - 1)); }

}   // namespace

Watcher::Watcher(WatcherOptions options, uint64_t seed) : options_(std::move(options)), chance_(seed) {}

bool Watcher::update(const Rollouts& rollouts, Time now) {
    const bool is_first = !std::exchange(is_told_, true);
    if (!is_first && rollouts.revision <= rollouts_.revision) return false;
    rollouts_ = rollouts;
    ballots_at_ = now;   // the leader learns at once by which stage this proxy acts
    std::erase_if(watches_, [this](const auto& known) {
        const auto* rollout = rollouts_.find(known.first);
        return !rollout || !rollout->in_progress() || rollout->number != known.second.number;
    });
    for (const auto& rollout : rollouts_.all) {
        if (!rollout.in_progress() || watches_.count(rollout.service)) continue;
        auto& watch = watches_[rollout.service];
        watch.number = rollout.number;
        watch.known_since = now;
        watch.credit = chance_.uniform();   // so that the fleet's share holds although each proxy has few requests
    }
    return true;
}

bool Watcher::looks_plainly_bad(const Watch& watch) const {
    return watch.recent >= plain_recent && watch.recent_bad > plain_share * watch.recent;
}

bool Watcher::choose_candidate(const std::string& service, Time now) {
    const auto watched = watches_.find(service);
    if (watched == watches_.end()) return false;
    auto& watch = watched->second;
    const auto* rollout = rollouts_.find(service);
    const bool is_shared = rollout->stage == Stage::observing;
    if (is_shared) watch.credit = std::min(watch.credit + options_.candidate_share, 2.0);
    // Where the hosts that serve may have ended meanwhile, only its own evidence keeps a proxy from the candidates.
    if (looks_plainly_bad(watch)) return false;
    if (!is_shared) return true;
    if (now - heard_current_ > options_.control_timeout || watch.credit < 1) return false;
    watch.credit -= 1;
    return true;
}

bool Watcher::is_slow(const std::string& route, const AttemptResult& end) const {
    const auto known = usual_.find(route);
    if (known == usual_.end()) return false;
    const auto& usual = known->second;
    if (end.chunks >= least_pieces && usual.streams >= least_known)
        return logarithm(pace(end)) > usual.log_pace + std::log(slow_pace);
    return usual.answers >= least_known && logarithm(end.duration) > usual.log_total + std::log(slow_total);
}

void Watcher::learn(const std::string& route, const AttemptResult& end) {
    if (usual_.size() >= most_routes && !usual_.count(route)) return;
    auto& usual = usual_[route];
    take_in(usual.answers, usual.log_total, logarithm(end.duration));
    if (end.chunks >= least_pieces) take_in(usual.streams, usual.log_pace, logarithm(pace(end)));
}

void Watcher::record(const std::string& service, const AttemptResult& end) {
    const bool is_bad = end.failed || (!end.loaded && is_slow(end.route, end));
    if (end.cancelled && !is_bad) return;
    if (end.group == Group::serving && !is_bad) learn(end.route, end);
    if (const auto watch = watches_.find(service); watch != watches_.end()) note(watch->second, end, is_bad);
}

void Watcher::note(Watch& watch, const AttemptResult& end, bool is_bad) {
    if (watch.routes.size() >= most_routes_of_a_ballot && !watch.routes.count(end.route)) return;
    auto& evidence = watch.routes[end.route];
    evidence.route = end.route;
    if (end.group == Group::serving) return evidence.serving.add(is_bad);
    if (end.group != Group::candidate) return;
    watch.recent = watch.recent * fade + 1;
    watch.recent_bad = watch.recent_bad * fade + (is_bad ? 1 : 0);
    auto known = std::find_if(evidence.candidates.begin(), evidence.candidates.end(),
                              [&](const auto& candidate) { return candidate.host == end.host; });
    if (known == evidence.candidates.end()) {
        if (evidence.candidates.size() >= most_candidates_of_a_route)
            return evidence.candidates.back().tally.add(is_bad);
        known = evidence.candidates.insert(known, {end.host, {}});
    }
    known->tally.add(is_bad);
}

size_t Watcher::candidate_count(const Rollout& rollout, size_t serving, bool loaded) const {
    if (rollout.stage != Stage::observing) return most_hosts;
    const double even = options_.candidate_share * static_cast<double>(serving);
    return std::max(least_candidates, static_cast<size_t>(std::ceil(loaded ? even * (1 / load_when_loaded) : even)));
}

RolloutReport Watcher::ballot_of(const Rollout& rollout, Watch& watch, size_t open, Time now) const {
    RolloutReport ballot{
        options_.node, options_.zone, options_.incarnation, ++watch.sequence, rollout.number, 0, 0, open, {}};
    ballot.age = (now - watch.known_since).s;
    ballot.stage = static_cast<uint64_t>(rollout.stage);
    for (const auto& [route, evidence] : watch.routes) ballot.routes.push_back(evidence);
    return ballot;
}

std::vector<RolloutReport> Watcher::take_reports(size_t proxies,
                                                 const std::function<size_t(const std::string&)>& open_at_serving,
                                                 Time now) {
    if (watches_.empty() || now < ballots_at_) return {};
    const bool moves = std::any_of(rollouts_.all.begin(), rollouts_.all.end(),
                                   [](const auto& rollout) { return rollout.stage == Stage::moving; });
    ballots_at_ = now + (moves ? options_.report_interval_moving : options_.report_interval) *
                            std::max(1.0, static_cast<double>(proxies) / options_.nominal_proxies);
    std::vector<RolloutReport> ballots;
    for (auto& [service, watch] : watches_)
        ballots.push_back(ballot_of(*rollouts_.find(service), watch, open_at_serving(service), now));
    return ballots;
}

}   // namespace myrtleroute::rollout
