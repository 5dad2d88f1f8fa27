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

constexpr size_t most_waiting = 64;
constexpr Span patience{2.5};   // an order is left without a clear answer after this
constexpr Span judged_every{0.1}, logged_every{2};
constexpr Span sent_again_within{15};   // of its end: an order for the same version is the same order, sent again

// The requests move before the deadline: what runs at the hosts that serve has so long to end. Later a version would be seen for
// too short a time, or requests broken off.
constexpr double most_move = 5, move_part = 0.4;   // s, and of the duration
constexpr double undecided_part = 0.25;            // of the duration, left: then the rollout is decided either way
constexpr double most_margin = 1.5, margin_part = 0.15;   // s, and of the duration: completed by then
constexpr Span least_moving{1.5};                         // under full load, before the hosts that served are given up
constexpr uint64_t least_to_lean = 10;
constexpr double least_room = 0.7;   // candidates, of the hosts that serve

HttpResponse state_answer(RequestId request, const Rollout& rollout) {
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

void RolloutService::order(RequestId request, const std::string& body, Time now) {
    const auto checked = rollout::read_order(body);
    if (const auto* findings = std::get_if<Findings>(&checked)) {
        outputs_.push_back(findings_answer(request, *findings));
        return;
    }
    const auto& order = std::get<rollout::Order>(checked);
    const auto& state = replica_.entry()->state;
    if (!is_configured(order.service, state.configuration)) {
        const Findings findings{{"/service", "there is no service '" + order.service + "'"}};
        return answer_behind_barrier(findings_answer(request, findings), now);
    }
    const auto* known = state.rollouts.find(order.service);
    const bool is_same = known && known->target_version == order.target_version;
    if (known && known->in_progress() && !is_same)
        return answer_behind_barrier(
            refusal(request, 409,
                    "a rollout of this service to version '" + known->target_version + "' is in progress"),
            now);
    const auto ended = known ? ended_.find(known->number) : ended_.end();
    const bool has_just_ended = ended != ended_.end() && now - ended->second < sent_again_within;
    if (is_same && (known->in_progress() || known->stage == Stage::completed || has_just_ended))
        return answer_behind_barrier(state_answer(request, *known), now);
    begin(request, order, now);
}

void RolloutService::begin(RequestId request, const rollout::Order& order, Time now) {
    auto rollouts = rollout::with_new_rollout(replica_.entry()->state.rollouts, order.service, order.target_version,
                                              order.duration);
    const auto answer = state_answer(request, *rollouts.find(order.service));
    if (!propose(std::move(rollouts), now)) {
        outputs_.push_back(refusal(request, 503, "leadership was lost, send it again"));
        return;
    }
    waiting_.push_back({answer, replica_.entry()->position.index, {}, now});
}

void RolloutService::read(RequestId request, const std::string& service, Time now) {
    const auto* known = replica_.entry()->state.rollouts.find(service);
    answer_behind_barrier(known ? state_answer(request, *known)
                                : refusal(request, 404, "there is no rollout of service '" + service + "'"),
                          now);
}

// What the answer says rests on the last entry, which the barrier waits for.
void RolloutService::answer_behind_barrier(HttpResponse answer, Time now) {
    if (waiting_.size() >= most_waiting) {
        ++bounds_.orders;
        outputs_.push_back(refusal(answer.request, 503, "too many orders wait"));
        return;
    }
    const auto number = answer.request;
    const auto barrier = replica_.barrier(consensus::BarrierAt::last, now);
    if (!barrier) {
        outputs_.push_back(refusal(number, 503, "leadership was lost, send it again"));
        return;
    }
    waiting_.push_back({std::move(answer), {}, barrier, now});
}

bool RolloutService::propose(rollout::Rollouts rollouts, Time now) {
    auto state = replica_.entry()->state;
    state.rollouts = std::move(rollouts);
    return replica_.propose(std::move(state), now).has_value();
}

void RolloutService::committed_index(uint64_t index) {
    std::erase_if(waiting_, [&](Waiting& waiting) {
        if (!waiting.index || *waiting.index > index) return false;
        outputs_.push_back(std::move(waiting.answer));
        return true;
    });
}

bool RolloutService::barrier_passed(uint64_t number) {
    return std::erase_if(waiting_, [&](Waiting& waiting) {
               if (waiting.barrier != number) return false;
               outputs_.push_back(std::move(waiting.answer));
               return true;
           }) > 0;
}

void RolloutService::leadership_lost() {
    for (const auto& waiting : waiting_)
        outputs_.push_back(refusal(waiting.answer.request, 503, "leadership was lost, send it again"));
    waiting_.clear();
}

bool RolloutService::committed(const rollout::Rollouts& rollouts, Time now) {
    if (rollouts.revision <= known_.revision) return false;
    known_ = rollouts;
    for (const auto& rollout : known_.all) {
        if (!rollout.in_progress()) {
            ended_.try_emplace(rollout.number, now);
            continue;
        }
        auto& watched =
            watched_.try_emplace(rollout.number, Watched{now, now, rollout.stage, rollout::Judge{}}).first->second;
        if (std::exchange(watched.stage, rollout.stage) != rollout.stage) watched.stage_since = now;
    }
    const auto is_known = [this](uint64_t number, bool in_progress) {
        return std::any_of(known_.all.begin(), known_.all.end(), [&](const auto& rollout) {
            return rollout.number == number && rollout.in_progress() == in_progress;
        });
    };
    std::erase_if(watched_, [&](const auto& known) { return !is_known(known.first, true); });
    std::erase_if(ended_, [&](const auto& known) { return !is_known(known.first, false); });
    return true;
}

void RolloutService::ballot(const rollout::RolloutReport& ballot, Time now) {
    const auto watched = watched_.find(ballot.rollout);
    if (watched != watched_.end()) watched->second.judge.add(ballot, now);
}

bool RolloutService::is_settled() const {
    const auto& entry = replica_.entry();
    return replica_.role() == consensus::Role::leader && entry && entry->position.term == replica_.term() &&
           replica_.committed() >= entry->position.index;
}

void RolloutService::tick(Time now) {
    std::erase_if(waiting_, [&](const Waiting& waiting) {
        if (now - waiting.since <= patience) return false;
        outputs_.push_back(refusal(waiting.answer.request, 503, "no majority has answered in time, send it again"));
        return true;
    });
    if (watched_.empty() || now < judged_at_ || !is_settled()) return;
    judged_at_ = now + judged_every;
    for (const auto& rollout : std::vector(known_.all)) {
        const auto watched = watched_.find(rollout.number);
        if (watched != watched_.end() && is_settled()) move_on(rollout, watched->second, now);
    }
}

void RolloutService::log_progress(const Rollout& rollout, const Watched& watched, Time now) {
    if (now < logged_at_) return;
    logged_at_ = now + logged_every;
    std::string hosts;
    for (const auto& [version, ready] : fleet_.versions(rollout.service))
        hosts += " " + std::to_string(ready) + " of '" + version + "'";
    fleet_.log("rollout of " + rollout.service + " to " + rollout.target_version +
               " is in progress; hosts ready:" + hosts + "; " + watched.judge.summary());
}

void RolloutService::move_on(const Rollout& rollout, const Watched& watched, Time now) {
    const auto next = next_stage(rollout, watched, now);
    if (next == rollout.stage) return log_progress(rollout, watched, now);
    std::ostringstream line;
    line << "rollout of " << rollout.service << " to " << rollout.target_version << ": "
         << (next == Stage::moving ? "requests move" : rollout::state_name(next)) << " after "
         << elapsed(watched, now).s << " s; " << watched.judge.summary();
    fleet_.log(line.str());
    propose(rollout::with_stage(replica_.entry()->state.rollouts, rollout.service, next), now);
}

// A node that has started since the order knows its age by the word of the proxies.
Span RolloutService::elapsed(const Watched& watched, Time now) {
    return std::max(now - watched.since, Span{watched.judge.age()});
}

Stage RolloutService::next_stage(const Rollout& rollout, const Watched& watched, Time now) const {
    const auto& judge = watched.judge;
    const Span elapsed_now = elapsed(watched, now), duration{rollout.duration};
    const auto finding = judge.finding(now);
    if (finding == Finding::bad) return Stage::rolled_back;
    const bool hears_fleet = 2 * judge.reporting_proxies() > fleet_.proxies();
    if (rollout.stage == Stage::moving) {
        const bool has_moved =
            now - watched.stage_since >= least_moving && hears_fleet && judge.has_drained_serving(Stage::moving, now);
        const Span margin{std::min(most_margin, margin_part * duration.s)};
        return has_moved || elapsed_now >= duration - margin ? Stage::completed : Stage::moving;
    }
    if (elapsed_now < duration - Span{std::min(most_move, move_part * duration.s)}) return Stage::observing;
    if (finding == Finding::good && hears_fleet && has_room(rollout)) return Stage::moving;
    if (elapsed_now < duration * (1 - undecided_part)) return Stage::observing;
    const bool may_move = judge.is_probably_good(least_to_lean) || judge.has_too_little_traffic();
    return hears_fleet && may_move && has_room(rollout) ? Stage::moving : Stage::rolled_back;
}

bool RolloutService::has_room(const Rollout& rollout) const {
    size_t candidates = 0, serving = 0;
    for (const auto& [version, ready] : fleet_.versions(rollout.service))
        (version == rollout.target_version ? candidates : serving) += ready;
    return static_cast<double>(candidates) >= least_room * static_cast<double>(serving);
}

}   // namespace myrtleroute::control
