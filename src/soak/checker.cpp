#include "soak/checker.hpp"

#include <algorithm>
#include <iomanip>
#include <set>
#include <sstream>

#include "wire/text.hpp"

namespace myrtleroute::soak {
namespace {

constexpr double never = 1e18;
constexpr size_t max_violations = 200;   // reported for one run

// Whether the status guarantees that the request has not run and never will.
bool promises_not_run(int status) { return status == 429 || status == 503 || status == 408 || status == 421; }

}   // namespace

const char* name_of(Rule rule) {
    constexpr const char* names[] = {"QUOTA",  "TWICE", "REFUSED", "MIXED",   "UNASKED", "ORDER",
                                     "CONFIG", "LOST",  "RECOVER", "OWN END", "COUNTER"};
    static_assert(std::size(names) == static_cast<size_t>(Rule::kinds));
    return names[static_cast<size_t>(rule)];
}

void Checker::report(Rule rule, double now, std::string text) {
    if (violations_.size() < max_violations) violations_.push_back({rule, now, std::move(text)});
}

void Checker::request_sent(const SentRequest& request, double now) {
    by_id_[request.id] = requests_.size();
    requests_.push_back({request, now, 0, {}, 0});
}

void Checker::request_ran(const std::string& id, const std::string& tenant, double now) {
    const auto known = by_id_.find(id);
    if (known == by_id_.end())
        return report(Rule::unasked, now, "a host ran request '" + id + "', which no client sent");
    auto& request = requests_[known->second];
    request.runs.push_back(now);
    if (tenant != request.sent.tenant)
        report(Rule::unasked, now,
               "request " + id + " of tenant " + request.sent.tenant + " ran as a request of tenant '" + tenant + "'");
    if (request.runs.size() > 1 && !request.sent.repeatable)
        report(Rule::twice, now, "request " + id + " ran more than once");
}

void Checker::response_received(const std::string& id, const ReceivedResponse& answer, double now) {
    auto& request = requests_[by_id_.at(id)];
    request.status = answer.status;
    request.answered_at = now;
    if (!is_success(answer.status)) return;
    ++served_;
    const std::string of = " response to request " + id;
    if (!answer.signed_by_host) report(Rule::mixed, now, "no host signature in the" + of);
    if (answer.id != id) report(Rule::mixed, now, "request id '" + answer.id + "' in the" + of);
    if (!answer.body_matches) report(Rule::mixed, now, "the body differs from that of the host in the" + of);
    if (request.runs.empty()) report(Rule::mixed, now, "no host ran the request before the" + of);
}

void Checker::stream_violated(const std::string& id, const std::string& how, double now) {
    const auto& request = requests_[by_id_.at(id)];
    report(Rule::order, now,
           "response to request " + id + ", sent to machine " + std::to_string(request.sent.proxy) + " at " +
               std::to_string(request.sent_at) + ": " + how);
}

void Checker::response_cut(const std::string& id, const std::string& how, double now) {
    auto& request = requests_[by_id_.at(id)];
    request.answered_at = now;
    ++cuts_;
    if (!planned_only_) return;
    report(Rule::lost, now,
           "request " + id + ", sent to machine " + std::to_string(request.sent.proxy) + " " +
               std::to_string(now - request.sent_at) + " s before, was cut " + how);
}

void Checker::request_unread(const std::string& id, double now) {
    auto& request = requests_[by_id_.at(id)];
    request.answered_at = now;
    ++unread_;
    if (!planned_only_ || request.runs.empty()) return;
    report(Rule::lost, now, "request " + id + " was run, but its connection was reset without a response");
}

void Checker::configuration_sent(uint64_t version, const Limits& limits, double now) {
    versions_.push_back({version, limits, now, {}});
}

void Checker::configuration_in_force(uint64_t version, double in_force) {
    for (auto& known : versions_)
        if (known.number == version) known.in_force = in_force;
}

// A limit ends when a later version must be in force on every proxy.
std::vector<QuotaLimit> Checker::limits_of(const std::string& tenant) const {
    std::vector<QuotaLimit> limits;
    double until = never;
    for (auto version = versions_.rbegin(); version != versions_.rend(); ++version) {
        if (const auto limit = version->limits.find(tenant); limit != version->limits.end())
            limits.push_back({limit->second.rate, limit->second.burst, version->from, until});
        until = std::min(until, version->in_force.value_or(never));
    }
    return limits;
}

void Checker::check_quota(const std::string& tenant) {
    std::vector<QuotaUse> uses;
    for (const auto& request : requests_)
        if (request.sent.tenant == tenant && !request.runs.empty())
            uses.push_back({request.sent_at, request.runs.front(), request.sent.cost});
    const auto peak = peaks_[tenant] = peak_usage(uses, limits_of(tenant), bounds_);
    if (!peak.is_exceeded()) return;
    std::ostringstream text;
    text << std::fixed << std::setprecision(0) << "tenant " << tenant << " was granted " << peak.granted << " in "
         << bounds_.window << " s from " << std::setprecision(3) << peak.from << " on, " << std::setprecision(0)
         << peak.allowed << " were allowed (" << std::setprecision(1) << (peak.share() - 1) * 100 << "% over)";
    report(Rule::quota, peak.from, text.str());
}

void Checker::check_refused(const Request& request) {
    if (request.sent.repeatable || request.runs.empty() || !promises_not_run(request.status)) return;
    report(
        Rule::refused, request.answered_at,
        "request " + request.sent.id + " was answered with status " + std::to_string(request.status) + " but was run");
}

void Checker::finish() {
    std::set<std::string> tenants;
    for (const auto& request : requests_) {
        tenants.insert(request.sent.tenant);
        check_refused(request);
    }
    for (const auto& tenant : tenants) check_quota(tenant);
}

std::optional<double> Checker::served_share(const std::string& tenant, double from, double until,
                                            size_t min_requests) const {
    size_t sent = 0, served = 0;
    for (auto request = requests_.rbegin(); request != requests_.rend() && request->sent_at >= from; ++request) {
        if (request->sent_at > until || request->sent.tenant != tenant) continue;
        ++sent;
        served += is_success(request->status);
    }
    if (sent < min_requests) return {};
    return static_cast<double>(served) / static_cast<double>(sent);
}

std::string Checker::requests_text() const {
    std::ostringstream text;
    text << "id,tenant,proxy,cost,repeatable,sent,runs,answered,status\n" << std::fixed << std::setprecision(4);
    for (const auto& request : requests_) {
        text << request.sent.id << ',' << request.sent.tenant << ',' << request.sent.proxy << ',' << request.sent.cost
             << ',' << request.sent.repeatable << ',' << request.sent_at << ',';
        for (const double run : request.runs) text << run << ' ';
        text << ',' << request.answered_at << ',' << request.status << '\n';
    }
    return text.str();
}

std::vector<std::string> violated_counters(const std::string& metrics) {
    constexpr std::string_view ending = "_violations_total";
    std::vector<std::string> violated;
    std::istringstream lines(metrics);
    for (std::string line; std::getline(lines, line);) {
        const auto space = line.rfind(' ');
        const auto name = std::string_view(line).substr(0, std::min(line.find('{'), space));
        if (line.starts_with('#') || space == line.npos || !name.ends_with(ending)) continue;
        if (wire::parse_decimal(wire::trim(std::string_view(line).substr(space))).value_or(1) > 0)
            violated.push_back(line);
    }
    return violated;
}

std::optional<double> stable_since(const std::vector<std::pair<double, double>>& disturbances, double after,
                                   double quiet, double until) {
    auto sorted = disturbances;
    std::sort(sorted.begin(), sorted.end());
    double moment = after;
    for (const auto& [begin, end] : sorted)
        if (begin < moment && moment < end + quiet) moment = end + quiet;
    if (moment >= until) return {};
    return moment;
}

}   // namespace myrtleroute::soak
