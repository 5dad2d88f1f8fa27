// The invariant `quota`: what hosts run of a tenant's requests, against the limits that may be in force.
//
// In no window are more tokens both sent by clients and arrived at hosts than (rate x window + burst) x (1 + over) +
// slack. A window that breaks this has one that ends at an arrival and breaks it too, so that only those are looked at.
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
    // A request arrives at its host; the sum of the window that ends now. Arrivals are told in their order.
    double add(Time sent, double cost, Time now);

private:
    struct Use {
        Time sent;
        double cost;
    };
    Span window_;
    std::deque<Use> uses_;   // by the time at which they were sent
    double sum_ = 0;
};

// Which versions' limits may still be in force. A version ends those before it one window after every proxy has been in
// touch, at some moment `config` or more after its acknowledgement.
class LimitsInForce {
public:
    LimitsInForce(Span window, Span config_delay) : window_(window), config_delay_(config_delay) {}
    void committed(uint64_t version, std::shared_ptr<const Tenants> tenants);   // it is committed
    void acknowledged(uint64_t version, Time now);
    // Who is in touch now, of so many proxies.
    void proxies_in_contact(const std::set<size_t>& proxies, size_t proxy_count, Time now);
    // The highest that a tenant may use within a window that ends now.
    double max_allowed(const std::string& tenant, Time now);

private:
    struct Version {
        std::shared_ptr<const Tenants> tenants;
        std::optional<Time> acknowledged;
        std::set<size_t> contacted;        // proxies that have been since
        std::optional<Time> in_force_at;   // alone, or with later ones, from then on
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
    // A request arrives at a host that runs it. What is wrong, where the tenant is over its quota.
    std::optional<std::string> check_arrival(const TenantRequest& request, Time now);
    // What the fullest window yet held, as a share of what it might.
    double max_usage() const { return max_usage_; }

private:
    LimitsInForce limits_;
    std::map<std::string, SlidingSum> uses_;
    double max_usage_ = 0;
};

}   // namespace myrtleroute::lab::control
