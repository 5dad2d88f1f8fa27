// An experiment of the rig as a file tells it: the fleet, its load, faults over time, and the arms to compare.
// docs/rig.md lists the keys; a file at fault is told by line, column, key and what is allowed.
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

// Some of the fleet: "proxies", "proxies 0-99", "servers 3", "proxies every 3", "servers zone b".
struct Group {
    Party party = Party::proxies;
    std::vector<int> members;
    std::string words;
};

#define MYRTLEROUTE_RIG_FAULTS(X)                                                                            \
    X(kill, process, "SIGKILL; back after lasts_s under the same name with a new seed, 0: never")            \
    X(pause, process, "SIGSTOP for lasts_s")                                                                 \
    X(slow_process, process, "stopped for the share `how` of the time, in turns of 50 ms")                   \
    X(restart, process, "SIGTERM, then started again under the same name with a new seed")                   \
    X(no_start, process, "killed, and ends at once whenever it is started, for lasts_s")                     \
    X(other_build, process, "SIGTERM, then started again as `program`, or with `settings`")                  \
    X(reread, process, "SIGHUP")                                                                             \
    X(die, server, "its process: connections reset, nothing listens; back cold after lasts_s, 0: never")     \
    X(hang, server, "takes connections and calls, says nothing; goes on afterwards")                         \
    X(slow, server, "work takes `how` times as long")                                                        \
    X(fail, server, "answers 500 to the share `how` of the calls, half of them run")                         \
    X(full, server, "turns away the share `how` of the calls, none of them run")                             \
    X(break_off, server, "resets the connection under the share `how` of the calls, half of them run")       \
    X(drain, server, "listed as draining, leaves after the grace, back cold under a new name after lasts_s") \
    X(late, discovery, "what changes is told `how` seconds later")                                           \
    X(silent, discovery, "takes calls, answers none")                                                        \
    X(absent, discovery, "nobody listens, watches end")                                                      \
    X(shrink, discovery, "the list leaves out the share `how` of the servers")                               \
    X(delay, link, "delay_ms later, up to jitter_ms more by chance, in order")                               \
    X(stall, link, "nothing passes, connections still come up; what waited passes afterwards")               \
    X(cut, link, "nothing passes, nothing comes up; one way only cuts new connections all the same")         \
    X(cut_hard, link, "connections are reset, new ones too")                                                 \
    X(throttle, link, "rate bytes a second a connection")                                                    \
    X(lossy, link, "the share `how` of the pieces comes 200 ms later; of datagrams is lost")                 \
    X(mangle, link, "from the share `how` of the pieces bytes get lost in the middle, then a reset")         \
    X(half_close, link, "the share `how` of the pieces is the last in its direction")                        \
    X(duplicate, link, "the share `how` of the datagrams comes twice")

enum class Whom { process, server, discovery, link };
enum class FaultKind {
#define X(name, whom, text) name,
    MYRTLEROUTE_RIG_FAULTS(X)
#undef X
    kinds
};
struct FaultName { const char* name; Whom whom; const char* text; };
const FaultName& name_of(FaultKind kind);

enum Way { both, there, back };   // there: as the call goes, from applications to servers

struct Fault {
    FaultKind kind{};
    Group who, to;        // `to` for links: the other end
    Kind link{};          // of what kind these are
    Way way = both;
    Span at, lasts, staggered;
    double how = 0.5, delay = 0, jitter = 0, rate = 0;   // seconds, bytes a second
    std::string program;
    nlohmann::json settings;
};

struct Product {
    std::string name;
    double value = 1, work = 0.05, share = 1, window = 0;
    Span slo{0.5}, timeout{2};
    Idempotency repeat = Idempotency::idempotent;
};

struct Burst {
    Group who;
    Span at, lasts;
    double factor = 2;
};

struct Arm {
    std::string name, program;      // of the program: empty: `run` of deploy/balancer.toml
    nlohmann::json settings;        // laid over the experiment's
};

struct Experiment {
    std::string path, name, text;
    uint64_t seed = 1;
    int proxies = 100, servers = 30, zones = 1, repeats = 1;
    Span lasts{25}, window{5};
    // Load
    double rate = 4, alpha = 1.5;           // calls a second a proxy in the mean
    std::string law = "equal";              // equal, pareto, zipf, one (has `share` of all)
    double share = 0.2;
    Span moves{0};                          // the traffic moves on to the next proxies each so often; 0: never
    std::vector<Product> products;
    std::vector<Burst> bursts;
    // Servers
    int cores = 8, queue = 64, connections = 512;
    std::vector<double> sizes{1};           // in turns
    bool work_varies = true;                // by chance, half of it; else always the same
    // The platform's guarantees, as the proxies are told
    Span warm_after{9}, drain_grace{3}, ask_within{10}, fall{1.5}, grace{0.05};
    double start_capacity = 0.3, tip_multiple = 4;
    nlohmann::json settings;
    std::vector<Fault> faults;
    std::vector<Arm> arms;
    std::vector<Kind> relayed;              // kinds of links that run through relays; all that faults name
    bool relays(Kind kind) const;
    Span slack{0.25};                       // beyond each limit of time, for a busy machine
};

Experiment read_experiment(const std::string& path);

// Throws std::invalid_argument that says what is allowed.
Group read_group(const std::string& words, const Experiment& e);

}  // namespace myrtleroute::rig
