// What a proxy has observed of a rollout: the evidence on which the leader judges the version.
//
// The counts in a report cover one incarnation of the proxy's process and only increase, so a report that is lost, late
// or duplicated changes nothing: the newest one of an incarnation replaces all before it.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace myrtleroute::rollout {

// Counts requests whose attempt has ended, and those of them that failed or took several times as long as usual.
struct Tally {
    uint64_t requests = 0, bad = 0;
    bool operator==(const Tally&) const = default;
    void add(bool is_bad) {
        ++requests;
        bad += is_bad;
    }
};

struct CandidateTally {
    std::string host;   // host id
    Tally tally;
    bool operator==(const CandidateTally&) const = default;
};

// The evidence on one route: serving hosts together, each candidate separately.
struct RouteEvidence {
    std::string route;
    Tally serving;
    std::vector<CandidateTally> candidates;
    bool operator==(const RouteEvidence&) const = default;
};

struct RolloutReport {
    std::string node, zone;       // of the proxy
    uint64_t incarnation = 0;     // of the proxy's process
    uint64_t sequence = 0;        // increases with each report of an incarnation
    uint64_t rollout = 0;         // number of the rollout's order
    double age = 0;               // seconds since this incarnation learned of the order
    uint64_t stage = 0;           // the stage that the proxy acts on, as a number of Stage
    size_t open_at_serving = 0;   // the proxy's requests in progress at serving hosts
    std::vector<RouteEvidence> routes;
    bool operator==(const RolloutReport&) const = default;
};

}   // namespace myrtleroute::rollout
