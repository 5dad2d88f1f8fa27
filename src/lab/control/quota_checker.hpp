// The invariant `quota`: what hosts run of a tenant's requests, against the limits that may be in force.
//
// In no window are more tokens both sent by clients and received by hosts than (rate x window + burst) x (1 + over) +
// slack. If a window violates this, so does one that ends at an arrival; hence only those are checked.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "lab/control/tenants.hpp"

namespace myrtleroute::lab::control {

// Tokens of one tenant that were both sent and run within the last window.
class SlidingSum {
public:
    explicit SlidingSum(Span window) : window_(window) {}
    // Adds a request that arrives at its host; returns the sum of the window that ends now. Calls must be in order of
    // arrival.
    double add(Time sent, double cost, Time now);

private:
    struct Use {
        Time sent;
        double cost;
    };
    Span window_;
    std::deque<Use> uses_;   // in order of sending
    double sum_ = 0;
};

// Tracks which versions' limits may still be in force. A version ends the earlier ones one window after every proxy
// has been in contact at some time at least `config_delay` after its acknowledgement.
class LimitsInForce {
public:
    LimitsInForce(Span window, Span config_delay) : window_(window), config_delay_(config_delay) {}
    void committed(uint64_t version, std::shared_ptr<const Tenants> tenants);   // the version is committed
    void acknowledged(uint64_t version, Time now);
    // `proxies`: those in contact now, out of `proxy_count`.
    void proxies_in_contact(const std::set<size_t>& proxies, size_t proxy_count, Time now);
    // The most tokens that a tenant may use within a window that ends now.
    double max_allowed(const std::string& tenant, Time now);

private:
    struct Version {
        std::shared_ptr<const Tenants> tenants;
        std::optional<Time> acknowledged;
        std::set<size_t> contacted;        // proxies that have been in contact since
        std::optional<Time> in_force_at;   // from then on earlier versions no longer apply
    };
    void drop_ended(Time now);

    Span window_, config_delay_;
    std::map<uint64_t, Version> versions_;
};

double allowed_in_window(const configuration::Tenant& tenant);

class QuotaChecker {
public:
    QuotaChecker();
    LimitsInForce& limits() { return limits_; }
    // A request arrives at a host that runs it. Returns a description of the violation if the tenant is over its
    // quota.
    std::optional<std::string> check_arrival(const TenantRequest& request, Time now);
    // The highest usage of a window so far, as a share of what was allowed.
    double max_usage() const { return max_usage_; }

private:
    LimitsInForce limits_;
    std::map<std::string, SlidingSum> uses_;
    double max_usage_ = 0;
};

}   // namespace myrtleroute::lab::control
