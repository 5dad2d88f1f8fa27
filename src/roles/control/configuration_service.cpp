#include "roles/control/configuration_service.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "configuration/configuration.hpp"

namespace myrtleroute::control {
namespace {

constexpr size_t most_waiting = 64;
constexpr Span patience{2.5};            // an order is left without a clear answer after this
constexpr size_t most_accepted = 1024;   // configurations that are recognised when sent again

constexpr size_t most_document = 4 << 20;            // bytes; a record on disk holds it with its escapes
constexpr std::string_view patch_mark = "PATCH\n";   // a patch is never taken for a whole configuration sent again

std::string digest(std::string_view text) {
    const auto hash = XXH3_128bits(text.data(), text.size());
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, hash);
    constexpr char digits[] = "0123456789abcdef";
    std::string hexadecimal;
    for (const unsigned char byte : canonical.digest) {
        hexadecimal.push_back(digits[byte >> 4]);
        hexadecimal.push_back(digits[byte & 15]);
    }
    return hexadecimal;
}

HttpResponse accepted(RequestId request, uint64_t version) {
    return {request, 200, nlohmann::json{{"version", version}}.dump(), {}};
}

}   // namespace

HttpResponse findings_answer(RequestId request, const Findings& findings) {
    auto list = nlohmann::json::array();
    for (const auto& finding : findings) list.push_back({{"place", finding.location}, {"fault", finding.message}});
    const nlohmann::json body{{"findings", std::move(list)}};
    return {request, 400, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), {}};
}

HttpResponse refusal(RequestId request, int status, const std::string& fault) {
    return {request, status, nlohmann::json{{"fault", fault}}.dump(), {}};
}

void ConfigurationService::put(RequestId request, std::optional<uint64_t> if_match, std::string body, Time now) {
    take({request, Kind::put, if_match, std::move(body), now}, now);
}

void ConfigurationService::patch(RequestId request, std::optional<uint64_t> if_match, std::string body, Time now) {
    take({request, Kind::patch, if_match, std::move(body), now}, now);
}

void ConfigurationService::get(RequestId request, Time now) { take({request, Kind::read, {}, {}, now}, now); }

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
    if (order.kind == Kind::read) {
        HttpResponse answer = state.version ? HttpResponse{request, 200, state.configuration, {}}
                                            : refusal(request, 404, "there is no configuration yet");
        return wait_for_barrier(std::move(order), std::move(answer), now);
    }
    const auto sent = digest_of(order);
    const auto known =
        std::find_if(state.accepted.rbegin(), state.accepted.rend(), [&](const auto& a) { return a.digest == sent; });
    if (known != state.accepted.rend())   // sent again: it is in force or has been
        return wait_for_barrier(std::move(order), accepted(request, known->version), now);
    decide(std::move(order), sent, now);
}

std::string ConfigurationService::digest_of(const Order& order) {
    return order.kind == Kind::put ? digest(order.body) : digest(std::string(patch_mark) + order.body);
}

ParseResult<configuration::Patched> ConfigurationService::result_of(const Order& order,
                                                                    const consensus::ClusterState& state) {
    if (order.kind == Kind::patch) return configuration::apply_patch(state.configuration.text(), order.body);
    auto checked = configuration::read_configuration(order.body);
    if (auto* findings = std::get_if<Findings>(&checked)) return std::move(*findings);
    return configuration::Patched{std::get<configuration::Configuration>(checked).version, order.body};
}

// An answer that depends on the current configuration waits for a barrier.
void ConfigurationService::decide(Order order, const std::string& sent, Time now) {
    const auto& state = replica_.entry()->state;
    const auto request = order.request;
    if (order.body.size() > most_document) {
        outputs_.push_back(refusal(request, 413, "the body may hold 4 MB"));
        return;
    }
    auto checked = result_of(order, state);
    const auto* findings = std::get_if<Findings>(&checked);
    if (findings && order.kind == Kind::put) {   // a whole configuration is at fault by itself
        outputs_.push_back(findings_answer(request, *findings));
        return;
    }
    if (!order.if_match) {
        outputs_.push_back(refusal(request, 428, "If-Match must name the version that this one builds on"));
        return;
    }
    if (*order.if_match != state.version) {
        auto answer = refusal(request, 412, "the current version is " + std::to_string(state.version));
        return wait_for_barrier(std::move(order), std::move(answer), now);
    }
    if (findings) return wait_for_barrier(std::move(order), findings_answer(request, *findings), now);
    auto& result = std::get<configuration::Patched>(checked);
    if (result.version <= state.version) {
        auto answer = findings_answer(
            request, {{"/version", "must be above the current version " + std::to_string(state.version)}});
        return wait_for_barrier(std::move(order), std::move(answer), now);
    }
    if (result.document.size() > most_document) {
        auto answer = refusal(request, 413, "the configuration that results may hold 4 MB");
        return wait_for_barrier(std::move(order), std::move(answer), now);
    }
    propose(std::move(order), std::move(result), sent, now);
}

void ConfigurationService::wait_for_barrier(Order order, HttpResponse answer, Time now) {
    in_progress_ = InProgress{std::move(order), std::move(answer), {}, {}};
    in_progress_->barrier = replica_.barrier(consensus::BarrierAt::last, now);
    if (!in_progress_->barrier) leadership_lost();
}

void ConfigurationService::propose(Order order, configuration::Patched result, const std::string& sent, Time now) {
    auto state = replica_.entry()->state;
    const auto version = result.version;
    state.version = version;
    state.configuration = std::move(result.document);
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
