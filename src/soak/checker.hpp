// Checks the invariants that must hold in a run under any fault, from what clients, hosts and the operator observe on
// their sockets.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "soak/quota_check.hpp"

namespace myrtleroute::soak {

// The invariant that was violated; `name_of` gives its name in reports.
enum class Rule { quota, twice, refused, mixed, unasked, order, configuration, lost, recover, own_end, counter, kinds };
const char* name_of(Rule rule);

inline bool is_success(int status) { return status >= 200 && status < 300; }

struct Violation {
    Rule rule = Rule::quota;
    double at = 0;   // seconds since the start of the run
    std::string text;
};

// A request as a client sends it.
struct SentRequest {
    std::string id;   // X-Request-Id
    std::string tenant;
    double cost = 0;
    bool repeatable = false;   // a host may run it more than once
    size_t proxy = 0;          // machine of the proxy that it is sent to
};

// The response to a request as the client received it.
struct ReceivedResponse {
    int status = 0;   // 0: no response, or an incomplete one
    std::string id;   // X-Request-Id of the response
    bool signed_by_host = false;
    // It is exactly the body that a host sends for this request. Of streams, the order of events is checked instead.
    bool body_matches = false;
};

// Rate limit of a tenant, as the operator configures it: units a second and units of burst.
struct TenantLimit {
    double rate = 0, burst = 0;
    bool operator==(const TenantLimit&) const = default;
};
using Limits = std::map<std::string, TenantLimit>;   // by tenant

// Records events of a run and checks the invariants. All times are seconds since the start of the run.
class Checker {
public:
    // `planned_only`: the fleet has only planned stops and reloads, so every request that a proxy has read must be
    // answered.
    explicit Checker(QuotaBounds bounds, bool planned_only = false) : bounds_(bounds), planned_only_(planned_only) {}

    void request_sent(const SentRequest& request, double now);
    void request_ran(const std::string& id, const std::string& tenant, double now);
    void response_received(const std::string& id, const ReceivedResponse& answer, double now);
    // A client has received wrong events of a stream, or an end that comes too early.
    void stream_violated(const std::string& id, const std::string& how, double now);

    // A connection ended before the complete response. `response_cut`: the proxy had read the request; `how` is the
    // text after "was cut" in the report. `request_unread`: the proxy had not read it.
    void response_cut(const std::string& id, const std::string& how, double now);
    void request_unread(const std::string& id, double now);

    void configuration_sent(uint64_t version, const Limits& limits, double now);
    // Every proxy must apply the version from time `in_force` on. Without this call the version is not assumed to be
    // applied everywhere before the run ends.
    void configuration_in_force(uint64_t version, double in_force);

    void report(Rule rule, double now, std::string text);

    // Checks what needs the events of the whole run: quotas and refused requests. Stores each tenant's peak usage in
    // `peaks`.
    void finish();

    const std::vector<Violation>& violations() const { return violations_; }
    const std::map<std::string, QuotaPeak>& peaks() const { return peaks_; }
    // Share of the tenant's requests sent between `from` and `until` that were served; empty if fewer than
    // `min_requests` were sent.
    std::optional<double> served_share(const std::string& tenant, double from, double until, size_t min_requests) const;
    std::string requests_text() const;   // CSV with a header line and one line for each request
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
    std::vector<Request> requests_;   // in the order in which they were sent
    std::map<std::string, size_t> by_id_;
    std::vector<Version> versions_;
    std::vector<Violation> violations_;
    std::map<std::string, QuotaPeak> peaks_;
    size_t served_ = 0, cuts_ = 0, unread_ = 0;
};

// Lines (`name{labels} value`) of a metrics text whose counter name ends in `_violations_total` and whose value is
// above 0 or not a number.
std::vector<std::string> violated_counters(const std::string& metrics);

// The first time, `after` or later, at which no disturbance has been active for `quiet` seconds. Each disturbance is a
// pair of begin and end. Empty if that time is not before `until`. All times are in seconds.
std::optional<double> stable_since(const std::vector<std::pair<double, double>>& disturbances, double after,
                                   double quiet, double until);

}   // namespace myrtleroute::soak
