// The settings file of a process: what this machine is, where it listens and which bounds hold.
//
// The file has lines of the form a.b=value; lists are joined by commas. Keys that are not known are ignored, since
// further ones may appear. No library is used: those that read this format don't tell the line of a fault.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.hpp"
#include "base/findings.hpp"
#include "time.hpp"

namespace myrtleroute::configuration {

// Where a process tells its figures: `metrics=PORT/PATH`.
struct MetricsAddress {
    uint16_t port = 0;   // at the machine's address
    std::string path;    // with its leading slash
    bool operator==(const MetricsAddress&) const = default;
};

struct NodeSettings {
    std::string node_name;
    std::string address;                             // of this machine: where its processes listen
    std::optional<std::string> advertised_address;   // where others reach its internal and control ports, if elsewhere
    std::string zone;
    std::optional<Endpoint> front;           // where clients connect
    std::optional<Endpoint> ready;           // where the platform asks for readiness
    std::optional<Endpoint> control;         // where hosts and the operator connect
    std::optional<MetricsAddress> metrics;   // nothing: no figures are served
    uint16_t first_internal_port = 0;        // free ports for what processes of the system say to each other
    uint16_t last_internal_port = 0;
    std::vector<Endpoint> seeds;   // `control` addresses of some machines that serve it
    bool bootstrap = false;        // the whole system starts for the first time, on empty disks
    bool counts_for_quorum = false;
    int tolerated_machines = 1;   // that count for the quorum and may be lost at once
    std::string data_directory;   // empty: this machine has no disk
    size_t memory_megabytes = 256;
    size_t max_descriptors = 1024;
    double link_megabits = 1000;       // Mbit/s of the machine's own link
    Span heartbeat{1.2};               // between a host's heartbeats
    Span contact{3};                   // trouble older than this no longer excuses
    Span drain{2};                     // from a drain's acknowledgement to the last request sent there
    Span termination_grace{8};         // from SIGTERM to SIGKILL
    double retry_budget_ratio = 0.2;   // repeats for each request
    Span retry_budget_window{10};
    double retry_budget_slack = 0;   // repeats beyond the ratio, of all proxies together
    Span quota_window{8};
    double quota_tolerance = 0;   // tolerated share above a tenant's quota
    double quota_slack = 0;       // tokens that all proxies together may use beyond it
    // An API key is served for so long at most after its removal was acknowledged, also by a proxy that can't know of it;
    // nothing: there is no such bound.
    std::optional<Span> revocation_bound;

    // The address that others are told.
    const std::string& reachable_address() const { return advertised_address ? *advertised_address : address; }
};

// Reads settings; `file` names them in findings.
ParseResult<NodeSettings> read_node_settings(std::string_view text, const std::string& file);

}   // namespace myrtleroute::configuration
