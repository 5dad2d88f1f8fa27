#include "roles/control/rollout_service.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "configuration/configuration.hpp"
#include "rollout/order.hpp"

namespace myrtleroute::control {
namespace {

using rollout::Finding;
using rollout::Rollout;
using rollout::Stage;

constexpr size_t max_waiting = 64;
constexpr Span request_timeout{2.5};   // after this the response is 503: the order may or may not take effect
constexpr Span judge_interval{0.1}, log_interval{2};
constexpr Span resend_window{15};   // after the end: an order for the same version counts as a repetition of the first

// Requests move to the new version this long before the deadline, so that requests in progress at the old hosts have
// time to end. A longer time would leave too little observation of the new version; with a shorter one requests would
// be cut off.
constexpr double max_moving = 5, moving_fraction = 0.4;   // seconds, and fraction of the duration
// Fraction of the duration: with this much left, the rollout moves or is rolled back.
constexpr double undecided_fraction = 0.25;
// Seconds, and fraction of the duration: the rollout is completed this long before the deadline.
constexpr double max_margin = 1.5, margin_fraction = 0.15;
constexpr Span min_moving{1.5};   // under full load, before the hosts of the old version are released
constexpr uint64_t min_samples_to_lean = 10;
constexpr double min_capacity_ratio = 0.7;   // ready hosts of the new version per ready host of other versions

HttpResponse state_response(RequestId request, const Rollout& rollout) {
    const nlohmann::json body{{"state", rollout::state_name(rollout.stage)}, {"targetVersion", rollout.target_version}};
    return {request, 200, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), {}};
}

bool is_configured(const std::string& service, const PackedText& configuration) {
    const auto checked = configuration::read_configuration(configuration.text());
    const auto* known = std::get_if<configuration::Configuration>(&checked);
    return known && std::any_of(known->services.begin(), known->services.end(),
                                [&](const auto& entry) { return entry.name == service; });
}

}   // namespace

void RolloutService::handle_order(RequestId request, const std::string& body, Time now) {
    const auto checked = rollout::read_order(body);
    if (const auto* findings = std::get_if<Findings>(&checked)) {
        outputs_.push_back(findings_response(request, *findings));
        return;
    }
    const auto& order = std::get<rollout::Order>(checked);
    const auto& state = replica_.entry()->state;
    if (!is_configured(order.service, state.configuration)) {
        const Findings findings{{"/service", "there is no service '" + order.service + "'"}};
        return respond_after_barrier(findings_response(request, findings), now);
    }
    const auto* known = state.rollouts.find(order.service);
    const bool is_same = known && known->target_version == order.target_version;
    if (known && known->in_progress() && !is_same)
        return respond_after_barrier(
            error_response(request, 409,
                           "a rollout of this service to version '" + known->target_version + "' is in progress"),
            now);
    const auto ended = known ? ended_.find(known->number) : ended_.end();
    const bool has_just_ended = ended != ended_.end() && now - ended->second < resend_window;
    if (is_same && (known->in_progress() || known->stage == Stage::completed || has_just_ended))
        return respond_after_barrier(state_response(request, *known), now);
    begin(request, order, now);
}

void RolloutService::begin(RequestId request, const rollout::Order& order, Time now) {
    auto rollouts = rollout::with_new_rollout(replica_.entry()->state.rollouts, order.service, order.target_version,
                                              order.duration);
    const auto response = state_response(request, *rollouts.find(order.service));
    if (!propose(std::move(rollouts), now)) {
        outputs_.push_back(error_response(request, 503, "leadership was lost, send it again"));
        return;
    }
    waiting_.push_back({response, replica_.entry()->position.index, {}, now});
}

void RolloutService::handle_read(RequestId request, const std::string& service, Time now) {
    const auto* known = replica_.entry()->state.rollouts.find(service);
    respond_after_barrier(known ? state_response(request, *known)
                                : error_response(request, 404, "there is no rollout of service '" + service + "'"),
                          now);
}

// The response is based on the last entry; the barrier passes only once that entry is committed.
void RolloutService::respond_after_barrier(HttpResponse response, Time now) {
    if (waiting_.size() >= max_waiting) {
        ++bounds_.orders;
        outputs_.push_back(error_response(response.request, 503, "too many orders wait"));
        return;
    }
    const auto number = response.request;
    const auto barrier = replica_.barrier(consensus::BarrierAt::last, now);
    if (!barrier) {
        outputs_.push_back(error_response(number, 503, "leadership was lost, send it again"));
        return;
    }
    waiting_.push_back({std::move(response), {}, barrier, now});
}

bool RolloutService::propose(rollout::Rollouts rollouts, Time now) {
    auto state = replica_.entry()->state;
    state.rollouts = std::move(rollouts);
    return replica_.propose(std::move(state), now).has_value();
}

void RolloutService::entry_committed(uint64_t index) {
    std::erase_if(waiting_, [&](Waiting& waiting) {
        if (!waiting.index || *waiting.index > index) return false;
        outputs_.push_back(std::move(waiting.response));
        return true;
    });
}

bool RolloutService::barrier_passed(uint64_t number) {
    return std::erase_if(waiting_, [&](Waiting& waiting) {
               if (waiting.barrier != number) return false;
               outputs_.push_back(std::move(waiting.response));
               return true;
           }) > 0;
}

void RolloutService::leadership_lost() {
    for (const auto& waiting : waiting_)
        outputs_.push_back(error_response(waiting.response.request, 503, "leadership was lost, send it again"));
    waiting_.clear();
}

bool RolloutService::set_committed(const rollout::Rollouts& rollouts, Time now) {
    if (rollouts.revision <= rollouts_.revision) return false;
    rollouts_ = rollouts;
    for (const auto& rollout : rollouts_.all) {
        if (!rollout.in_progress()) {
            ended_.try_emplace(rollout.number, now);
            continue;
        }
        auto& progress =
            progress_.try_emplace(rollout.number, Progress{now, now, rollout.stage, rollout::Judge{}}).first->second;
        if (std::exchange(progress.stage, rollout.stage) != rollout.stage) progress.stage_since = now;
    }
    const auto is_known = [this](uint64_t number, bool in_progress) {
        return std::any_of(rollouts_.all.begin(), rollouts_.all.end(), [&](const auto& rollout) {
            return rollout.number == number && rollout.in_progress() == in_progress;
        });
    };
    std::erase_if(progress_, [&](const auto& known) { return !is_known(known.first, true); });
    std::erase_if(ended_, [&](const auto& known) { return !is_known(known.first, false); });
    return true;
}

void RolloutService::add_report(const rollout::RolloutReport& report, Time now) {
    const auto progress = progress_.find(report.rollout);
    if (progress != progress_.end()) progress->second.judge.add(report, now);
}

bool RolloutService::has_committed_in_term() const {
    const auto& entry = replica_.entry();
    return replica_.role() == consensus::Role::leader && entry && entry->position.term == replica_.term() &&
           replica_.committed() >= entry->position.index;
}

void RolloutService::tick(Time now) {
    std::erase_if(waiting_, [&](const Waiting& waiting) {
        if (now - waiting.since <= request_timeout) return false;
        outputs_.push_back(
            error_response(waiting.response.request, 503, "no majority has answered in time, send it again"));
        return true;
    });
    if (progress_.empty() || now < next_judgement_ || !has_committed_in_term()) return;
    next_judgement_ = now + judge_interval;
    for (const auto& rollout : std::vector(rollouts_.all)) {
        const auto progress = progress_.find(rollout.number);
        if (progress != progress_.end() && has_committed_in_term()) advance(rollout, progress->second, now);
    }
}

void RolloutService::log_progress(const Rollout& rollout, const Progress& progress, Time now) {
    if (now < next_log_) return;
    next_log_ = now + log_interval;
    std::string hosts;
    for (const auto& [version, ready] : fleet_.versions(rollout.service))
        hosts += " " + std::to_string(ready) + " of '" + version + "'";
    fleet_.log("rollout of " + rollout.service + " to " + rollout.target_version +
               " is in progress; hosts ready:" + hosts + "; " + progress.judge.summary());
}

void RolloutService::advance(const Rollout& rollout, const Progress& progress, Time now) {
    const auto next = next_stage(rollout, progress, now);
    if (next == rollout.stage) return log_progress(rollout, progress, now);
    std::ostringstream line;
    line << "rollout of " << rollout.service << " to " << rollout.target_version << ": "
         << (next == Stage::moving ? "requests move" : rollout::state_name(next)) << " after "
         << elapsed(progress, now).s << " s; " << progress.judge.summary();
    fleet_.log(line.str());
    propose(rollout::with_stage(replica_.entry()->state.rollouts, rollout.service, next), now);
}

// A node that started after the order knows the rollout's age only from the proxies' reports.
Span RolloutService::elapsed(const Progress& progress, Time now) {
    return std::max(now - progress.since, Span{progress.judge.age()});
}

Stage RolloutService::next_stage(const Rollout& rollout, const Progress& progress, Time now) const {
    const auto& judge = progress.judge;
    const Span elapsed_now = elapsed(progress, now), duration{rollout.duration};
    const auto finding = judge.finding(now);
    if (finding == Finding::bad) return Stage::rolled_back;
    const bool has_most_reports = 2 * judge.reporting_proxies() > fleet_.proxies();
    if (rollout.stage == Stage::moving) {
        const bool has_moved = now - progress.stage_since >= min_moving && has_most_reports &&
                               judge.has_drained_serving(Stage::moving, now);
        const Span margin{std::min(max_margin, margin_fraction * duration.s)};
        return has_moved || elapsed_now >= duration - margin ? Stage::completed : Stage::moving;
    }
    if (elapsed_now < duration - Span{std::min(max_moving, moving_fraction * duration.s)}) return Stage::observing;
    if (finding == Finding::good && has_most_reports && has_capacity(rollout)) return Stage::moving;
    if (elapsed_now < duration * (1 - undecided_fraction)) return Stage::observing;
    const bool may_move = judge.is_probably_good(min_samples_to_lean) || judge.has_too_little_traffic();
    return has_most_reports && may_move && has_capacity(rollout) ? Stage::moving : Stage::rolled_back;
}

bool RolloutService::has_capacity(const Rollout& rollout) const {
    size_t candidates = 0, serving = 0;
    for (const auto& [version, ready] : fleet_.versions(rollout.service))
        (version == rollout.target_version ? candidates : serving) += ready;
    return static_cast<double>(candidates) >= min_capacity_ratio * static_cast<double>(serving);
}

}   // namespace myrtleroute::control
