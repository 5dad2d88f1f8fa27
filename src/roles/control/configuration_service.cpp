#include "roles/control/configuration_service.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace myrtleroute::control {
namespace {

constexpr size_t most_waiting = 64;
constexpr Span patience{2.5};            // an order is left without a clear answer after this
constexpr size_t most_accepted = 1024;   // configurations that are recognised when sent again

std::string digest(std::string_view body) {
    const auto hash = XXH3_128bits(body.data(), body.size());
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, hash);
    constexpr char digits[] = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : canonical.digest) {
        text.push_back(digits[byte >> 4]);
        text.push_back(digits[byte & 15]);
    }
    return text;
}

Answer findings_answer(RequestNumber request, const Findings& findings) {
    auto list = nlohmann::json::array();
    for (const auto& finding : findings) list.push_back({{"place", finding.place}, {"fault", finding.text}});
    const nlohmann::json body{{"findings", std::move(list)}};
    return {request, 400, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), {}};
}

Answer accepted(RequestNumber request, uint64_t version) {
    return {request, 200, nlohmann::json{{"version", version}}.dump(), {}};
}

}   // namespace

Answer refusal(RequestNumber request, int status, const std::string& fault) {
    return {request, status, nlohmann::json{{"fault", fault}}.dump(), {}};
}

void ConfigurationService::put(RequestNumber request, std::optional<uint64_t> if_match, std::string body, Time now) {
    take({request, false, if_match, std::move(body), now}, now);
}

void ConfigurationService::get(RequestNumber request, Time now) { take({request, true, {}, {}, now}, now); }

void ConfigurationService::take(Order order, Time now) {
    if (waiting_.size() >= most_waiting) {
        ++bounds_.orders;
        outputs_.push_back(refusal(order.request, 503, "too many orders wait"));
        return;
    }
    waiting_.push_back(std::move(order));
    proceed(now);
}

void ConfigurationService::proceed(Time now) {
    while (!in_progress_ && !waiting_.empty()) {
        Order order = std::move(waiting_.front());
        waiting_.pop_front();
        begin(std::move(order), now);
    }
}

void ConfigurationService::begin(Order order, Time now) {
    const auto& state = replica_.entry()->state;
    const auto request = order.request;
    if (order.reads) {
        Answer answer = state.version ? Answer{request, 200, state.configuration, {}}
                                      : refusal(request, 404, "there is no configuration yet");
        return wait_for_barrier(std::move(order), std::move(answer), now);
    }
    const auto sent = digest(order.body);
    const auto known =
        std::find_if(state.accepted.rbegin(), state.accepted.rend(), [&](const auto& a) { return a.digest == sent; });
    if (known != state.accepted.rend())   // sent again: it is in force or has been
        return wait_for_barrier(std::move(order), accepted(request, known->version), now);
    const auto checked = configuration::read_configuration(order.body);
    if (const auto* findings = std::get_if<Findings>(&checked)) {
        outputs_.push_back(findings_answer(request, *findings));
        return;
    }
    const auto version = std::get<configuration::Configuration>(checked).version;
    if (!order.if_match) {
        outputs_.push_back(refusal(request, 428, "If-Match must name the version that this one builds on"));
        return;
    }
    if (*order.if_match != state.version) {
        auto answer = refusal(request, 412, "the current version is " + std::to_string(state.version));
        return wait_for_barrier(std::move(order), std::move(answer), now);
    }
    if (version <= state.version) {
        auto answer = findings_answer(
            request, {{"/version", "must be above the current version " + std::to_string(state.version)}});
        return wait_for_barrier(std::move(order), std::move(answer), now);
    }
    propose(std::move(order), version, sent, now);
}

void ConfigurationService::wait_for_barrier(Order order, Answer answer, Time now) {
    in_progress_ = InProgress{std::move(order), std::move(answer), {}, {}};
    in_progress_->barrier = replica_.barrier(consensus::BarrierAt::last, now);
    if (!in_progress_->barrier) leadership_lost();
}

void ConfigurationService::propose(Order order, uint64_t version, const std::string& sent, Time now) {
    auto state = replica_.entry()->state;
    state.version = version;
    state.configuration = order.body;
    if (state.accepted.size() >= most_accepted) {
        state.accepted.erase(state.accepted.begin());
        ++bounds_.accepted_digests;
    }
    state.accepted.push_back({version, sent});
    auto answer = accepted(order.request, version);
    in_progress_ = InProgress{std::move(order), std::move(answer), {}, {}};
    const auto position = replica_.propose(std::move(state), now);
    if (!position) return leadership_lost();
    in_progress_->index = position->index;
}

void ConfigurationService::committed(uint64_t index, Time now) {
    if (in_progress_ && in_progress_->index && *in_progress_->index <= index) finish(now);
}

void ConfigurationService::barrier_passed(uint64_t number, Time now) {
    if (in_progress_ && in_progress_->barrier == number) finish(now);
}

void ConfigurationService::finish(Time now) {
    outputs_.push_back(std::move(in_progress_->answer));
    in_progress_.reset();
    proceed(now);
}

void ConfigurationService::leadership_lost() {
    const std::string fault = "leadership was lost, send it again";
    if (in_progress_) outputs_.push_back(refusal(in_progress_->order.request, 503, fault));
    in_progress_.reset();
    for (const auto& order : waiting_) outputs_.push_back(refusal(order.request, 503, fault));
    waiting_.clear();
}

void ConfigurationService::tick(Time now) {
    const std::string fault = "no majority has answered in time, send it again";
    while (!waiting_.empty() && now - waiting_.front().arrived > patience) {
        outputs_.push_back(refusal(waiting_.front().request, 503, fault));
        waiting_.pop_front();
    }
    if (!in_progress_ || now - in_progress_->order.arrived <= patience) return;
    outputs_.push_back(refusal(in_progress_->order.request, 503, fault));
    in_progress_.reset();
    proceed(now);
}

}   // namespace myrtleroute::control
