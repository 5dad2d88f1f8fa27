// An experiment of the rig, as read from a TOML file: the fleet, its load, faults over time, and the arms to compare.
// docs/rig.md lists the keys; an error in a file is reported with line, column, key and the allowed values.
#pragma once
#include <cstdint>
#include <optional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "lab/scenario.hpp"   // ScenarioError
#include "model.hpp"
#include "rig/links.hpp"
#include "time.hpp"

namespace myrtleroute::rig {

using lab::ScenarioError;

enum class Party { proxies, servers, discovery, applications };

// A subset of the fleet: "proxies", "proxies 0-99", "servers 3", "proxies every 3", "servers zone b".
struct Group {
    Party party = Party::proxies;
    std::vector<int> members;
    std::string words;
};

#define MYRTLEROUTE_RIG_FAULTS(X)                                                                            \
    X(kill, process, "SIGKILL; restarted after lasts_s under the same name with a new seed, 0: never")            \
    X(pause, process, "SIGSTOP for lasts_s")                                                                 \
    X(slow_process, process, "stopped for the share `how` of the time, in periods of 50 ms")                   \
    X(restart, process, "SIGTERM, then restarted under the same name with a new seed")                   \
    X(no_start, process, "killed; each restart exits at once, for lasts_s")                     \
    X(other_build, process, "SIGTERM, then restarted as `program`, or with `settings`")                  \
    X(reread, process, "SIGHUP")                                                                             \
    X(die, server, "connections are reset, nothing listens; back cold after lasts_s, 0: never")     \
    X(hang, server, "accepts connections and calls but answers none; resumes afterwards")                         \
    X(slow, server, "work takes `how` times as long")                                                        \
    X(fail, server, "answers 500 to the share `how` of the calls, half of them executed")                         \
    X(full, server, "refuses the share `how` of the calls, none of them executed")                             \
    X(break_off, server, "resets the connection of the share `how` of the calls, half of them executed")       \
    X(drain, server, "listed as draining, stops after the grace, back cold under a new name after lasts_s") \
    X(late, discovery, "changes are reported `how` seconds later")                                           \
    X(silent, discovery, "accepts calls, answers none")                                                        \
    X(absent, discovery, "nothing listens, watches end")                                                      \
    X(shrink, discovery, "the list omits the share `how` of the servers")                               \
    X(delay, link, "delay_ms later, plus a random part of jitter_ms, in order")                               \
    X(stall, link, "nothing passes, connections are still accepted; held bytes pass afterwards")               \
    X(cut, link, "nothing passes, no connection is accepted, not even with one way cut")         \
    X(cut_hard, link, "connections are reset, new ones too")                                                 \
    X(throttle, link, "rate bytes per second and connection")                                                    \
    X(lossy, link, "the share `how` of the pieces arrives 200 ms later; of datagrams is lost")                 \
    X(mangle, link, "the share `how` of the pieces loses bytes in the middle, then a reset")         \
    X(half_close, link, "after the share `how` of the pieces, the direction is closed")                        \
    X(duplicate, link, "the share `how` of the datagrams arrives twice")

enum class FaultTarget { process, server, discovery, link };
enum class FaultKind {
#define X(name, target, text) name,
    MYRTLEROUTE_RIG_FAULTS(X)
#undef X
    kinds
};
struct FaultName { const char* name; FaultTarget target; const char* text; };
const FaultName& name_of(FaultKind kind);

enum Way { both, forward_way, backward_way };   // forward: as the call goes, from applications to servers

struct Fault {
    FaultKind kind{};
    Group who, to;        // `to`: the other end, for faults of links
    Kind link{};          // kind of the links between `who` and `to`
    Way way = both;
    Span at, duration, stagger;
    double how = 0.5, delay = 0, jitter = 0, rate = 0;   // `how`: share or factor; seconds, bytes per second
    std::string program;
    nlohmann::json settings;
};

struct Product {
    std::string name;
    double value = 1, work = 0.05, share = 1, window = 0;
    Span slo{0.5}, timeout{2};
    Idempotency idempotency = Idempotency::idempotent;
};

struct Burst {
    Group who;
    Span at, duration;
    double factor = 2;
};

struct Arm {
    std::string name, program;      // program empty: `run` of deploy/balancer.toml
    nlohmann::json settings;        // merged over the experiment's settings
};

struct Experiment {
    std::string path, name, text;
    uint64_t seed = 1;
    int proxies = 100, servers = 30, zones = 1, repeats = 1;
    Span duration{25}, window{5};
    // Load
    double rate = 4, alpha = 1.5;           // mean calls per second and proxy; exponent
    std::string distribution = "equal";              // of the rates: equal, pareto, zipf, one (gets `share` of all)
    double share = 0.2;
    Span shift_period{0};                          // after which the traffic shifts to the next proxies; 0: never
    std::vector<Product> products;
    std::vector<Burst> bursts;
    // Servers
    int cores = 8, queue = 64, connections = 512;
    std::vector<double> sizes{1};           // relative; assigned round-robin
    bool work_varies = true;                // half of it random; else constant
    // The platform's guarantees, as in the proxies' settings
    Span warm_after{9}, drain_grace{3}, ask_within{10}, fall{1.5}, grace{0.05};
    double start_capacity = 0.3, tip_multiple = 4;
    nlohmann::json settings;
    std::vector<Fault> faults;
    std::vector<Arm> arms;
    std::vector<Kind> relayed;              // kinds of links that pass through relays; includes all that faults name
    bool relays(Kind kind) const;
    Span slack{0.25};                       // added to each time limit, for a busy machine
};

// Throws BadScenario with file, line, column, key and the allowed values.
Experiment read_experiment(const std::string& path);

// Throws std::invalid_argument with the allowed forms in its text.
Group read_group(const std::string& words, const Experiment& e);

}  // namespace myrtleroute::rig
