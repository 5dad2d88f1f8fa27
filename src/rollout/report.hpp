// What a proxy has seen of a rollout: its vote, with the evidence that it rests on.
//
// The sums of a ballot run over one life of the proxy's process and only rise, so a ballot that is lost, late or told twice
// changes nothing: the newest of a life stands for all before it.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace myrtleroute::rollout {

// Requests whose attempt has ended, and those of them that failed or took several times as long as usual.
struct Tally {
    uint64_t requests = 0, bad = 0;
    bool operator==(const Tally&) const = default;
    void add(bool is_bad) {
        ++requests;
        bad += is_bad;
    }
};

struct CandidateTally {
    std::string host;   // its id
    Tally tally;
    bool operator==(const CandidateTally&) const = default;
};

// Of one route: the hosts that serve all together, the candidates one by one.
struct RouteEvidence {
    std::string route;
    Tally serving;
    std::vector<CandidateTally> candidates;
    bool operator==(const RouteEvidence&) const = default;
};

struct RolloutReport {
    std::string node, zone;       // of the proxy
    uint64_t incarnation = 0;     // of its process
    uint64_t sequence = 0;        // rises with each ballot of a life
    uint64_t rollout = 0;         // number of the order
    double age = 0;               // s since this life has known of the order
    uint64_t stage = 0;           // that it acts by, as a number of Stage
    size_t open_at_serving = 0;   // its requests that are under way at hosts that serve
    std::vector<RouteEvidence> routes;
    bool operator==(const RolloutReport&) const = default;
};

}   // namespace myrtleroute::rollout
