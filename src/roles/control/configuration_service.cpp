#include "roles/control/configuration_service.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "configuration/configuration.hpp"

namespace myrtleroute::control {
namespace {

constexpr size_t max_waiting = 64;
constexpr Span operation_timeout{2.5};   // after this the response is 503: the operation may or may not take effect
constexpr size_t max_accepted_digests = 1024;   // digests of accepted operations, to recognise one that is sent again

constexpr size_t max_document_bytes = 4 << 20;   // bytes; a disk record must hold it with its JSON escapes
// Hashed before a patch, so that a patch never has the digest of a PUT.
constexpr std::string_view patch_prefix = "PATCH\n";

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

HttpResponse accepted_response(RequestId request, uint64_t version) {
    return {request, 200, nlohmann::json{{"version", version}}.dump(), {}};
}

}   // namespace

HttpResponse findings_response(RequestId request, const Findings& findings) {
    auto list = nlohmann::json::array();
    for (const auto& finding : findings) list.push_back({{"place", finding.location}, {"fault", finding.message}});
    const nlohmann::json body{{"findings", std::move(list)}};
    return {request, 400, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), {}};
}

HttpResponse error_response(RequestId request, int status, const std::string& error) {
    return {request, status, nlohmann::json{{"fault", error}}.dump(), {}};
}

void ConfigurationService::put(RequestId request, std::optional<uint64_t> if_match, std::string body, Time now) {
    enqueue({request, Kind::put, if_match, std::move(body), now}, now);
}

void ConfigurationService::patch(RequestId request, std::optional<uint64_t> if_match, std::string body, Time now) {
    enqueue({request, Kind::patch, if_match, std::move(body), now}, now);
}

void ConfigurationService::get(RequestId request, Time now) { enqueue({request, Kind::read, {}, {}, now}, now); }

void ConfigurationService::enqueue(Operation operation, Time now) {
    if (waiting_.size() >= max_waiting) {
        ++bounds_.orders;
        outputs_.push_back(error_response(operation.request, 503, "too many orders wait"));
        return;
    }
    waiting_.push_back(std::move(operation));
    start_next(now);
}

void ConfigurationService::start_next(Time now) {
    while (!in_progress_ && !waiting_.empty()) {
        Operation operation = std::move(waiting_.front());
        waiting_.pop_front();
        start(std::move(operation), now);
    }
}

void ConfigurationService::start(Operation operation, Time now) {
    const auto& state = replica_.entry()->state;
    const auto request = operation.request;
    if (operation.kind == Kind::read) {
        HttpResponse response = state.version ? HttpResponse{request, 200, state.configuration, {}}
                                              : error_response(request, 404, "there is no configuration yet");
        return wait_for_barrier(std::move(operation), std::move(response), now);
    }
    const auto request_digest = digest_of(operation);
    const auto known = std::find_if(state.accepted.rbegin(), state.accepted.rend(),
                                    [&](const auto& a) { return a.digest == request_digest; });
    if (known != state.accepted.rend())   // sent again: it is or has been in effect
        return wait_for_barrier(std::move(operation), accepted_response(request, known->version), now);
    decide(std::move(operation), request_digest, now);
}

std::string ConfigurationService::digest_of(const Operation& operation) {
    return operation.kind == Kind::put ? digest(operation.body) : digest(std::string(patch_prefix) + operation.body);
}

ParseResult<configuration::Patched> ConfigurationService::result_of(const Operation& operation,
                                                                    const consensus::ClusterState& state) {
    if (operation.kind == Kind::patch) return configuration::apply_patch(state.configuration.text(), operation.body);
    auto checked = configuration::read_configuration(operation.body);
    if (auto* findings = std::get_if<Findings>(&checked)) return std::move(*findings);
    return configuration::Patched{std::get<configuration::Configuration>(checked).version, operation.body};
}

// A response that depends on the current configuration waits for a barrier.
void ConfigurationService::decide(Operation operation, const std::string& request_digest, Time now) {
    const auto& state = replica_.entry()->state;
    const auto request = operation.request;
    if (operation.body.size() > max_document_bytes) {
        outputs_.push_back(error_response(request, 413, "the body may hold 4 MB"));
        return;
    }
    auto checked = result_of(operation, state);
    const auto* findings = std::get_if<Findings>(&checked);
    if (findings && operation.kind == Kind::put) {   // a PUT is invalid whatever the current configuration is
        outputs_.push_back(findings_response(request, *findings));
        return;
    }
    if (!operation.if_match) {
        outputs_.push_back(error_response(request, 428, "If-Match must name the version that this one builds on"));
        return;
    }
    if (*operation.if_match != state.version) {
        auto response = error_response(request, 412, "the current version is " + std::to_string(state.version));
        return wait_for_barrier(std::move(operation), std::move(response), now);
    }
    if (findings) return wait_for_barrier(std::move(operation), findings_response(request, *findings), now);
    auto& result = std::get<configuration::Patched>(checked);
    if (result.version <= state.version) {
        auto response = findings_response(
            request, {{"/version", "must be above the current version " + std::to_string(state.version)}});
        return wait_for_barrier(std::move(operation), std::move(response), now);
    }
    if (result.document.size() > max_document_bytes) {
        auto response = error_response(request, 413, "the configuration that results may hold 4 MB");
        return wait_for_barrier(std::move(operation), std::move(response), now);
    }
    propose(std::move(operation), std::move(result), request_digest, now);
}

void ConfigurationService::wait_for_barrier(Operation operation, HttpResponse response, Time now) {
    in_progress_ = InProgress{std::move(operation), std::move(response), {}, {}};
    in_progress_->barrier = replica_.barrier(consensus::BarrierAt::last, now);
    if (!in_progress_->barrier) leadership_lost();
}

void ConfigurationService::propose(Operation operation, configuration::Patched result,
                                   const std::string& request_digest, Time now) {
    auto state = replica_.entry()->state;
    const auto version = result.version;
    state.version = version;
    state.configuration = std::move(result.document);
    if (state.accepted.size() >= max_accepted_digests) {
        state.accepted.erase(state.accepted.begin());
        ++bounds_.accepted_digests;
    }
    state.accepted.push_back({version, request_digest});
    auto response = accepted_response(operation.request, version);
    in_progress_ = InProgress{std::move(operation), std::move(response), {}, {}};
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
    outputs_.push_back(std::move(in_progress_->response));
    in_progress_.reset();
    start_next(now);
}

void ConfigurationService::leadership_lost() {
    const std::string error = "leadership was lost, send it again";
    if (in_progress_) outputs_.push_back(error_response(in_progress_->operation.request, 503, error));
    in_progress_.reset();
    for (const auto& operation : waiting_) outputs_.push_back(error_response(operation.request, 503, error));
    waiting_.clear();
}

void ConfigurationService::tick(Time now) {
    const std::string error = "no majority has answered in time, send it again";
    while (!waiting_.empty() && now - waiting_.front().arrived > operation_timeout) {
        outputs_.push_back(error_response(waiting_.front().request, 503, error));
        waiting_.pop_front();
    }
    if (!in_progress_ || now - in_progress_->operation.arrived <= operation_timeout) return;
    outputs_.push_back(error_response(in_progress_->operation.request, 503, error));
    in_progress_.reset();
    start_next(now);
}

}   // namespace myrtleroute::control
