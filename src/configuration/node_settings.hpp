// The settings file of a process: the machine's identity, its listening addresses and the bounds that apply.
//
// The file has lines of the form a.b=value; items of a list are separated by commas. Unknown keys are ignored, since
// later versions may add some. No library is used, because the libraries for this format don't report the line of an
// error.
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

// Where a process serves its metrics: `metrics=PORT/PATH`.
struct MetricsAddress {
    uint16_t port = 0;   // at the machine's address
    std::string path;    // with the leading slash
    bool operator==(const MetricsAddress&) const = default;
};

struct NodeSettings {
    std::string node_name;
    std::string address;                             // IPv4 address of this machine, at which its processes listen
    std::optional<std::string> advertised_address;   // where others reach its internal and control ports, if different
    std::string zone;
    std::optional<Endpoint> front;           // where clients connect
    std::optional<Endpoint> ready;           // readiness checks of the platform
    std::optional<Endpoint> control;         // where hosts and the operator connect
    std::optional<MetricsAddress> metrics;   // nullopt: metrics aren't served
    uint16_t first_internal_port = 0;        // range of ports for messages between processes of the system
    uint16_t last_internal_port = 0;
    std::vector<Endpoint> seeds;   // `control` addresses of some control nodes
    bool bootstrap = false;        // the whole system starts for the first time, with empty disks
    bool counts_for_quorum = false;
    int tolerated_machines = 1;   // machines counting for the quorum that may be lost at the same time
    std::string data_directory;   // empty: this machine stores nothing on disk
    size_t memory_megabytes = 256;
    size_t max_descriptors = 1024;
    double link_megabits = 1000;       // bandwidth of the machine's link in Mbit/s
    Span heartbeat{1.2};               // interval of a host's heartbeats
    Span contact{3};                   // faults longer ago than this no longer excuse failures
    Span drain{2};                     // from a drain's acknowledgement to the last request sent there
    Span termination_grace{8};         // from SIGTERM to SIGKILL
    double retry_budget_ratio = 0.2;   // retries per request
    Span retry_budget_window{10};
    double retry_budget_slack = 0;   // retries beyond the ratio, of all proxies together
    Span quota_window{8};
    double quota_tolerance = 0;   // tolerated excess over a tenant's quota, as a fraction of it
    double quota_slack = 0;       // units that all proxies together may use beyond that
    // Maximum time for which an API key is still accepted after its removal was acknowledged, also by a proxy that is
    // cut off from the control nodes; nullopt: there is no such bound.
    std::optional<Span> revocation_bound;

    // The address at which other machines reach this one.
    const std::string& reachable_address() const { return advertised_address ? *advertised_address : address; }
};

// Parses the contents of a settings file; `file` is its name in findings.
ParseResult<NodeSettings> read_node_settings(std::string_view text, const std::string& file);

}   // namespace myrtleroute::configuration
