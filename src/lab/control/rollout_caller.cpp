#include "lab/control/rollout_caller.hpp"

#include <nlohmann/json.hpp>

namespace myrtleroute::lab::control {
namespace {

using myrtleroute::control::HttpRequest;
using myrtleroute::control::HttpResponse;

constexpr Span answer_within{1};
constexpr int most_tries = 10, most_redirects = 2;
constexpr double bad_share = 0.5, reading_share = 0.6;

}   // namespace

void RolloutOperator::think() {
    queue_.in({chance_.exponential(1)}, [this] {
        if (stopped_) return;
        if (!busy_) begin_call(in_progress_ || chance_.bernoulli(reading_share));
        think();
    });
}

void RolloutOperator::read_now() {
    has_read_ = false;
    begin_call(true);
}

void RolloutOperator::begin_call(bool reads) {
    busy_ = true;
    reads_ = reads;
    tries_ = 0;
    if (!reads) {
        target_version_ = (chance_.bernoulli(bad_share) ? "bad-" : "good-") + std::to_string(++orders_);
        checker_.rollouts().sent(target_version_);
    }
    call(choose(), 0);
}

Machine* RolloutOperator::choose() {
    const auto machines = platform_.machines();
    return machines.empty() ? nullptr : machines[static_cast<size_t>(chance_.below(static_cast<int>(machines.size())))];
}

void RolloutOperator::call(Machine* machine, int redirects) {
    if (!machine) return try_again();
    const auto number = ++call_;
    HttpRequest request;
    request.method = reads_ ? "GET" : "POST";
    request.path = reads_ ? "/rollouts/s" : "/rollouts";
    if (!reads_)
        request.body = nlohmann::json{{"service", "s"}, {"targetVersion", target_version_}, {"durationS", 6}}.dump();
    platform_.ask(*machine, request, [this, number, redirects](const std::optional<HttpResponse>& answer) {
        if (answer && platform_.loses_answers() && chance_.bernoulli(0.7)) return;   // a time-out follows
        if (number == call_) ended(answer, redirects);
    });
    queue_.in(answer_within, [this, number, redirects] {
        if (number == call_) ended({}, redirects);
    });
}

void RolloutOperator::ended(const std::optional<HttpResponse>& answer, int redirects) {
    ++call_;
    if (!answer || answer->status == 503) return try_again();
    if (answer->status == 307) {
        if (redirects < most_redirects) return call(platform_.machine_at(answer->location), redirects + 1);
        return try_again();
    }
    busy_ = false;
    if (reads_) return read(*answer);
    if (answer->status == 200) checker_.rollouts().acknowledged(target_version_);
    in_progress_ = in_progress_ || answer->status == 200 || answer->status == 409;
}

void RolloutOperator::read(const HttpResponse& answer) {
    has_read_ = true;
    auto fault = checker_.rollouts().read_nothing();
    if (answer.status == 200) {
        const auto body = nlohmann::json::parse(answer.body);
        const RolloutReading reading{body.at("targetVersion"), body.at("state")};
        in_progress_ = reading.state == "in_progress";
        fault = checker_.rollouts().read(reading);
    }
    if (fault) checker_.breaks(Invariant::rollout_kept, *fault);
}

void RolloutOperator::try_again() {
    if (++tries_ >= most_tries) {
        busy_ = false;
        return;
    }
    queue_.in({chance_.between(0.05, 0.1 + 0.1 * tries_)}, [this, number = ++call_] {
        if (number == call_) call(choose(), 0);
    });
}

}   // namespace myrtleroute::lab::control
