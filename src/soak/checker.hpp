// What must hold of a run, whatever fails: judged by what clients, hosts and the operator have seen on their sockets.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "soak/quota_check.hpp"

namespace myrtleroute::soak {

// The rule that was broken, as its name stands in reports.
enum class Rule { quota, twice, refused, mixed, unasked, order, configuration, lost, recover, own_end, counter, kinds };
const char* name_of(Rule rule);

struct Violation {
    Rule rule = Rule::quota;
    double at = 0;   // seconds of the run
    std::string text;
};

// What a client sends.
struct SentRequest {
    std::string id;   // X-Request-Id
    std::string tenant;
    double cost = 0;
    bool repeatable = false;   // may run more than once
    size_t proxy = 0;          // the machine it is sent to
};

// What a client has got for it.
struct ReceivedResponse {
    int status = 0;   // 0: no answer, or not a whole one
    std::string id;   // X-Request-Id of the answer
    bool signed_by_host = false;
    bool body_matches = false;   // the whole of what a host sends for this request
};

// A limit of a tenant, as the operator sets it.
struct TenantLimit {
    double rate = 0, burst = 0;
    bool operator==(const TenantLimit&) const = default;
};
using Limits = std::map<std::string, TenantLimit>;   // by tenant

// Counts and judges. Everything is told with its time, in seconds of the run.
class Checker {
public:
    // `planned_only`: nothing but planned work befalls the fleet, so that every request that was read is answered.
    explicit Checker(QuotaBounds bounds, bool planned_only = false) : bounds_(bounds), planned_only_(planned_only) {}

    void request_sent(const SentRequest& request, double now);
    void request_ran(const std::string& id, const std::string& tenant, double now);
    void response_received(const std::string& id, const ReceivedResponse& answer, double now);

    // A connection ended without the whole answer: the proxy had read the request (`how` it ended follows "was cut"), or
    // had not.
    void response_cut(const std::string& id, const char* how, double now);
    void request_unread(const std::string& id, double now);

    void configuration_sent(uint64_t version, const Limits& limits, double now);
    // From `in_force` on every proxy must have it; unset: not known to be so before the run ends.
    void configuration_in_force(uint64_t version, double in_force);

    void report(Rule rule, double now, std::string text);

    // Judges what can only be judged when the run is over. Tenants' highest use is kept in `peaks`.
    void finish();

    const std::vector<Violation>& violations() const { return violations_; }
    const std::map<std::string, QuotaPeak>& peaks() const { return peaks_; }
    // Share of a tenant's requests sent in a span that were served; nothing where fewer than `least` were sent.
    std::optional<double> served_share(const std::string& tenant, double from, double until, size_t min_requests) const;
    std::string requests_text() const;   // a line of comma-separated values for each request
    size_t requests() const { return requests_.size(); }
    size_t served() const { return served_; }
    size_t cuts() const { return cuts_; }
    size_t left_unread() const { return unread_; }

private:
    struct Request {
        SentRequest sent;
        double sent_at = 0, answered_at = 0;
        std::vector<double> runs;
        int status = 0;
    };
    struct Version {
        uint64_t number = 0;
        Limits limits;
        double from = 0;
        std::optional<double> in_force;
    };
    std::vector<QuotaLimit> limits_of(const std::string& tenant) const;
    void check_quota(const std::string& tenant);
    void check_refused(const Request& request);

    QuotaBounds bounds_;
    bool planned_only_;
    std::vector<Request> requests_;   // in the order of their sending
    std::map<std::string, size_t> by_id_;
    std::vector<Version> versions_;
    std::vector<Violation> violations_;
    std::map<std::string, QuotaPeak> peaks_;
    size_t served_ = 0, cuts_ = 0, unread_ = 0;
};

// Names of counters in a metrics text (lines `name{labels} value`) that end in `_violations_total` and are above 0.
std::vector<std::string> violated_counters(const std::string& metrics);

// The first moment, not before `after`, at which nothing has been in trouble for `calm` seconds; troubles are spans of
// begin and end. Nothing where that is not before `until`.
std::optional<double> stable_since(const std::vector<std::pair<double, double>>& disturbances, double after,
                                   double quiet, double until);

}   // namespace myrtleroute::soak
