#include "rollout/watcher.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace myrtleroute::rollout {
namespace {

constexpr double loaded_multiple = 2.2;   // multiple of a serving host's load
constexpr size_t max_hosts = 1 << 20;
constexpr size_t min_candidates = 2;   // so that a bad host can be distinguished from a bad version
constexpr size_t max_routes = 1024;    // routes with a baseline
constexpr size_t max_routes_per_report = 64;
constexpr size_t max_candidates_per_route = 32;
constexpr double min_answers = 8;          // answers of a route needed before any can be called slow
constexpr double averaged_answers = 200;   // number of answers over which a baseline is averaged
// Multiples of the baseline. A cold host processes prompts anew, but sends chunks no more slowly.
constexpr double slow_duration_ratio = 5, slow_pace_ratio = 3.5;
constexpr int min_chunks = 5;   // chunks a stream needs for its pace to be evidence
constexpr Span min_time{1e-4};
constexpr double decay = 0.9;   // decay of the weight of recent answers with each further one
constexpr double min_recent = 4, bad_recent_share = 0.6;

double logarithm(Span span) { return std::log(std::max(span, min_time).s); }

void update_mean(double& count, double& mean, double value) {
    count = std::min(count + 1, averaged_answers);
    mean += (value - mean) / count;
}

Span pace(const AttemptResult& result) { return result.streaming_time * (1.0 / (result.chunks - 1)); }

}   // namespace

Watcher::Watcher(WatcherOptions options, uint64_t seed) : options_(std::move(options)), rng_(seed) {}

bool Watcher::update(const Rollouts& rollouts, Time now) {
    const bool is_first = !std::exchange(has_rollouts_, true);
    if (!is_first && rollouts.revision <= rollouts_.revision) return false;
    rollouts_ = rollouts;
    next_report_at_ = now;   // report the stage on which this proxy acts to the leader at once
    std::erase_if(observed_, [this](const auto& known) {
        const auto* rollout = rollouts_.find(known.first);
        return !rollout || !rollout->in_progress() || rollout->number != known.second.number;
    });
    for (const auto& rollout : rollouts_.all) {
        if (!rollout.in_progress() || observed_.count(rollout.service)) continue;
        auto& observed = observed_[rollout.service];
        observed.number = rollout.number;
        observed.known_since = now;
        // Random, so that the fleet's share holds although each proxy has few requests.
        observed.credit = rng_.uniform();
    }
    return true;
}

bool Watcher::looks_bad(const Observed& observed) const {
    return observed.recent_requests >= min_recent && observed.recent_bad > bad_recent_share * observed.recent_requests;
}

bool Watcher::choose_candidate(const std::string& service, Time now) {
    const auto found = observed_.find(service);
    if (found == observed_.end()) return false;
    auto& observed = found->second;
    const auto* rollout = rollouts_.find(service);
    const bool is_observing = rollout->stage == Stage::observing;
    if (is_observing) observed.credit = std::min(observed.credit + options_.candidate_share, 2.0);
    // The serving hosts may have ended meanwhile, so only this proxy's own evidence keeps it from the candidates.
    if (looks_bad(observed)) return false;
    if (!is_observing) return true;
    if (now - control_confirmed_at_ > options_.control_timeout || observed.credit < 1) return false;
    observed.credit -= 1;
    return true;
}

bool Watcher::is_slow(const std::string& route, const AttemptResult& result) const {
    const auto known = baselines_.find(route);
    if (known == baselines_.end()) return false;
    const auto& baseline = known->second;
    if (result.chunks >= min_chunks && baseline.streams >= min_answers)
        return logarithm(pace(result)) > baseline.log_chunk_time + std::log(slow_pace_ratio);
    return baseline.answers >= min_answers &&
           logarithm(result.duration) > baseline.log_duration + std::log(slow_duration_ratio);
}

void Watcher::update_baseline(const std::string& route, const AttemptResult& result) {
    if (baselines_.size() >= max_routes && !baselines_.count(route)) return;
    auto& baseline = baselines_[route];
    update_mean(baseline.answers, baseline.log_duration, logarithm(result.duration));
    if (result.chunks >= min_chunks) update_mean(baseline.streams, baseline.log_chunk_time, logarithm(pace(result)));
}

void Watcher::record(const std::string& service, const AttemptResult& result) {
    const bool is_bad = result.failed || (!result.loaded && is_slow(result.route, result));
    if (result.cancelled && !is_bad) return;
    if (result.group == Group::serving && !is_bad) update_baseline(result.route, result);
    if (const auto observed = observed_.find(service); observed != observed_.end())
        count(observed->second, result, is_bad);
}

void Watcher::count(Observed& observed, const AttemptResult& result, bool is_bad) {
    if (observed.routes.size() >= max_routes_per_report && !observed.routes.count(result.route)) return;
    auto& evidence = observed.routes[result.route];
    evidence.route = result.route;
    if (result.group == Group::serving) return evidence.serving.add(is_bad);
    if (result.group != Group::candidate) return;
    observed.recent_requests = observed.recent_requests * decay + 1;
    observed.recent_bad = observed.recent_bad * decay + (is_bad ? 1 : 0);
    auto known = std::find_if(evidence.candidates.begin(), evidence.candidates.end(),
                              [&](const auto& candidate) { return candidate.host == result.host; });
    if (known == evidence.candidates.end()) {
        if (evidence.candidates.size() >= max_candidates_per_route) return evidence.candidates.back().tally.add(is_bad);
        known = evidence.candidates.insert(known, {result.host, {}});
    }
    known->tally.add(is_bad);
}

size_t Watcher::candidate_count(const Rollout& rollout, size_t serving, bool loaded) const {
    if (rollout.stage != Stage::observing) return max_hosts;
    const double even = options_.candidate_share * static_cast<double>(serving);
    return std::max(min_candidates, static_cast<size_t>(std::ceil(loaded ? even * (1 / loaded_multiple) : even)));
}

RolloutReport Watcher::make_report(const Rollout& rollout, Observed& observed, size_t open, Time now) const {
    RolloutReport report{
        options_.node, options_.zone, options_.incarnation, ++observed.sequence, rollout.number, 0, 0, open, {}};
    report.age = (now - observed.known_since).s;
    report.stage = static_cast<uint64_t>(rollout.stage);
    for (const auto& [route, evidence] : observed.routes) report.routes.push_back(evidence);
    return report;
}

std::vector<RolloutReport> Watcher::take_reports(size_t proxies,
                                                 const std::function<size_t(const std::string&)>& open_at_serving,
                                                 Time now) {
    if (observed_.empty() || now < next_report_at_) return {};
    const bool is_moving = std::any_of(rollouts_.all.begin(), rollouts_.all.end(),
                                       [](const auto& rollout) { return rollout.stage == Stage::moving; });
    next_report_at_ = now + (is_moving ? options_.report_interval_moving : options_.report_interval) *
                                std::max(1.0, static_cast<double>(proxies) / options_.nominal_proxies);
    std::vector<RolloutReport> reports;
    for (auto& [service, observed] : observed_)
        reports.push_back(make_report(*rollouts_.find(service), observed, open_at_serving(service), now));
    return reports;
}

}   // namespace myrtleroute::rollout
