// A fleet of proxies that observe one rollout, with the real watchers and the real judge, and hosts whose responses the
// test draws.
#pragma once
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "random.hpp"
#include "rollout/judge.hpp"
#include "rollout/watcher.hpp"

namespace myrtleroute::testing {

// The response to a request at a host.
struct Response {
    bool failed = false;
    double slowdown = 1;   // multiple of the usual response time
};

class RolloutFleet {
public:
    struct Request {
        size_t proxy = 0, host = 0;   // candidates are numbered separately from 0
        std::string route;
        bool at_candidate = false;
        Time now;
        double since_order = 0;   // seconds
    };
    using Hosts = std::function<Response(const Request&, Pcg&)>;
    struct Options {
        size_t proxies = 96, candidates = 5, zones = 4;
        double requests = 500;         // requests per second to the service
        double observed = 11;          // seconds
        bool leader_changes = false;   // 4 s after the order a new leader begins without reports
        size_t biased_proxies = 0;     // proxies that report failures at candidates only
    };
    struct Outcome {
        rollout::Finding finding = rollout::Finding::undecided;
        double found_after = 0;   // seconds since the order
        size_t at_candidates = 0, of_all = 0, bad = 0;
    };

    RolloutFleet(Options options, uint64_t seed) : options_(options), rng_(seed) {
        for (size_t i = 0; i < options_.proxies; ++i) {
            rollout::WatcherOptions own;
            own.node = "edge-" + std::to_string(i);
            own.zone = "zone-" + std::to_string(i % options_.zones);
            own.incarnation = i + 1;
            watchers_.emplace_back(own, seed * 1000 + i);
        }
    }

    // Serves until the version is found bad, or until the observation time is over.
    Outcome observe(const Hosts& hosts) {
        serve(hosts, Span{5}, [](Time) { return false; });
        order();
        Outcome outcome;
        const auto decided = [&](Time now) {
            outcome.finding = judge_.finding(now);
            outcome.found_after = (now - *ordered_).s;
            return outcome.finding == rollout::Finding::bad;
        };
        serve(hosts, Span{options_.observed}, decided);
        outcome.at_candidates = at_candidates_;
        outcome.of_all = of_all_;
        outcome.bad = bad_;
        return outcome;
    }

private:
    static constexpr Span step{0.05}, judge_interval{0.1};

    void order() {
        ordered_ = now_;
        rollout::Rollouts rollouts = rollout::with_new_rollout({}, "s", "v2", 16);
        for (auto& watcher : watchers_) {
            watcher.update(rollouts, now_);
        }
    }
    void serve(const Hosts& hosts, Span span, const std::function<bool(Time)>& decided) {
        for (const Time end = now_ + span; now_ < end; now_ = now_ + step) {
            for (due_requests_ += options_.requests * step.s; due_requests_ >= 1; --due_requests_) request(hosts);
            if (!ordered_) continue;
            send_reports();
            if (now_ < judged_at_) continue;
            judged_at_ = now_ + judge_interval;
            if (decided(now_)) return;
        }
    }
    void request(const Hosts& hosts) {
        static const std::vector<std::string> routes{"draft", "query", "query", "summary", "summary"};
        Request request;
        request.proxy = rng_.next() % watchers_.size();
        request.route = routes[rng_.next() % routes.size()];
        request.now = now_;
        auto& watcher = watchers_[request.proxy];
        watcher.confirm_control(now_);
        if (ordered_) {
            ++of_all_;
            request.since_order = (now_ - *ordered_).s;
            request.at_candidate = request.since_order > 1 && watcher.choose_candidate("s", now_);
        }
        request.host = rng_.next() % (request.at_candidate ? options_.candidates : 60);
        record(request, hosts(request, rng_), watcher);
    }
    void record(const Request& request, const Response& response, rollout::Watcher& watcher) {
        const bool reports_failure = request.proxy < options_.biased_proxies && request.at_candidate;
        rollout::AttemptResult result;
        result.route = request.route;
        result.host = (request.at_candidate ? "new-" : "old-") + std::to_string(request.host);
        result.group = request.at_candidate ? rollout::Group::candidate : rollout::Group::serving;
        result.failed = response.failed || reports_failure;
        const double usual_time = request.route == "summary" ? 0.1 : 0.5;
        result.duration = Span{usual_time * response.slowdown * std::exp(rng_.uniform() - 0.5)};
        result.chunks = request.route == "summary" ? 2 : 20;
        result.streaming_time = result.duration * 0.8;
        if (request.at_candidate) {
            ++at_candidates_;
            bad_ += response.failed || response.slowdown > 2;
        }
        watcher.record("s", result);
    }
    void send_reports() {
        const bool changes = options_.leader_changes && (now_ - *ordered_).s > 4 && !changed_;
        if (changes) judge_ = rollout::Judge{};
        changed_ = changed_ || changes;
        for (auto& watcher : watchers_)
            for (const auto& report : watcher.take_reports(
                     watchers_.size(), [](const auto&) { return size_t{0}; }, now_))
                judge_.add(report, now_);
    }

    Options options_;
    Pcg rng_;
    Time now_{100}, judged_at_ = long_ago;
    std::optional<Time> ordered_;
    std::vector<rollout::Watcher> watchers_;
    rollout::Judge judge_;
    bool changed_ = false;
    double due_requests_ = 0;
    size_t at_candidates_ = 0, of_all_ = 0, bad_ = 0;
};

}   // namespace myrtleroute::testing
