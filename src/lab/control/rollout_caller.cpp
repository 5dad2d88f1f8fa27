#include "lab/control/rollout_caller.hpp"

#include <nlohmann/json.hpp>

namespace myrtleroute::lab::control {
namespace {

using myrtleroute::control::HttpRequest;
using myrtleroute::control::HttpResponse;

constexpr Span response_timeout{1};
constexpr int max_attempts = 10, max_redirects = 2;
constexpr double bad_version_share = 0.5, read_share = 0.6;

}   // namespace

void RolloutOperator::schedule_next() {
    queue_.in({random_.exponential(1)}, [this] {
        if (stopped_) return;
        if (!busy_) start_call(in_progress_ || random_.bernoulli(read_share));
        schedule_next();
    });
}

void RolloutOperator::read_now() {
    has_read_ = false;
    start_call(true);
}

void RolloutOperator::start_call(bool is_read) {
    busy_ = true;
    is_read_ = is_read;
    attempts_ = 0;
    if (!is_read) {
        target_version_ = (random_.bernoulli(bad_version_share) ? "bad-" : "good-") + std::to_string(++rollouts_sent_);
        checker_.rollouts().sent(target_version_);
    }
    call(choose_machine(), 0);
}

Machine* RolloutOperator::choose_machine() {
    const auto machines = environment_.machines();
    return machines.empty() ? nullptr : machines[static_cast<size_t>(random_.below(static_cast<int>(machines.size())))];
}

void RolloutOperator::call(Machine* machine, int redirects) {
    if (!machine) return retry();
    const auto number = ++call_number_;
    HttpRequest request;
    request.method = is_read_ ? "GET" : "POST";
    request.path = is_read_ ? "/rollouts/s" : "/rollouts";
    if (!is_read_)
        request.body = nlohmann::json{{"service", "s"}, {"targetVersion", target_version_}, {"durationS", 6}}.dump();
    environment_.send_request(*machine, request, [this, number, redirects](const std::optional<HttpResponse>& answer) {
        if (answer && environment_.drops_responses() && random_.bernoulli(0.7)) return;   // the call then times out
        if (number == call_number_) completed(answer, redirects);
    });
    queue_.in(response_timeout, [this, number, redirects] {
        if (number == call_number_) completed({}, redirects);
    });
}

void RolloutOperator::completed(const std::optional<HttpResponse>& answer, int redirects) {
    ++call_number_;
    if (!answer || answer->status == 503) return retry();
    if (answer->status == 307) {
        if (redirects < max_redirects) return call(environment_.machine_for_location(answer->location), redirects + 1);
        return retry();
    }
    busy_ = false;
    if (is_read_) return handle_reading(*answer);
    if (answer->status == 200) checker_.rollouts().acknowledged(target_version_);
    in_progress_ = in_progress_ || answer->status == 200 || answer->status == 409;
}

void RolloutOperator::handle_reading(const HttpResponse& answer) {
    has_read_ = true;
    auto error = checker_.rollouts().read_none();
    if (answer.status == 200) {
        const auto body = nlohmann::json::parse(answer.body);
        const RolloutReading reading{body.at("targetVersion"), body.at("state")};
        in_progress_ = reading.state == "in_progress";
        error = checker_.rollouts().read(reading);
    }
    if (error) checker_.report_violation(Invariant::rollout_kept, *error);
}

void RolloutOperator::retry() {
    if (++attempts_ >= max_attempts) {
        busy_ = false;
        return;
    }
    queue_.in({random_.between(0.05, 0.1 + 0.1 * attempts_)}, [this, number = ++call_number_] {
        if (number == call_number_) call(choose_machine(), 0);
    });
}

}   // namespace myrtleroute::lab::control
