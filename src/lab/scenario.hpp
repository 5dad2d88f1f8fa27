// A scenario of the lab, drawn from a seed or read from a TOML file: number of processes, load and faults. Everything
// else is drawn from the seed during the run.
#pragma once
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "time.hpp"

namespace myrtleroute::lab {

// Kinds of faults: name, target, effect. The key `how` (0 to 1) of a fault sets its strength.
#define MYRTLEROUTE_LAB_FAULTS(X)                                                                            \
    X(slow, server, "answers up to 12 times slower")                                                         \
    X(hung, server, "accepts connections and calls and does nothing until the fault is over")                \
    X(failing, server, "answers 500 or a bare 503 at once; half of the calls have run")                      \
    X(full, server, "rejects calls, provably not run")                                                       \
    X(no_connections, server, "accepts no connection, its backlog is full")                                  \
    X(dies, server, "its process is killed and restarts cold, at the same address and with the same uid")    \
    X(dies_after_effect, server, "killed between a call's effect and its answer, then restarts cold")        \
    X(replaced, server, "its process is killed, and another starts at its address with a new uid")           \
    X(cut, server, "its machine is unreachable; what was sent arrives afterwards")                           \
    X(vanishes, server, "its machine is unreachable and afterwards has lost all connections")                \
    X(drains, server, "is listed as draining, then as gone, then as ready again")                            \
    X(resets, server, "resets connections before, within and after calls")                                   \
    X(spoilt, server, "answers garbage, wrong lengths or half an answer")                                    \
    X(talkative, server, "sends garbage or a second answer after the answer, and 1xx before it")             \
    X(reports, server, "its load reports can't be parsed")                                                   \
    X(edge, server, "answers at the moment at which the proxy times the attempt out")                        \
    X(far, server, "everything to and from it takes up to 80 ms longer")                                     \
    X(costly, all, "calls need up to 8 times the work")                                                      \
    X(burst, all, "up to 6 times the calls")                                                                 \
    X(leavers, proxy, "clients disconnect during their calls, some as the answer arrives")                   \
    X(halves, proxy, "clients send half a call, then nothing, or close")                                     \
    X(strangers, proxy, "connections that send nothing, garbage or half a call")                             \
    X(silent_list, discovery, "accepts requests and answers none")                                           \
    X(late_list, discovery, "publishes changes up to 5 s late")                                              \
    X(no_list, discovery, "answers 503, or resets")                                                          \
    X(nonsense, discovery, "answers something that is no list, or half a list")                              \
    X(down, discovery, "refuses connections")                                                                \
    X(moves, all, "a new configuration names another discovery, announced by SIGHUP")                        \
    X(bad_file, proxy, "SIGHUP finds an invalid configuration file")                                         \
    X(descriptors, proxy, "the process may open hardly any more descriptors")                                \
    X(pause, proxy, "the process is stopped; its clock jumps when it continues")                             \
    X(restart, proxy, "SIGTERM, and a new start with the list as of SIGTERM")                                \
    X(killed, proxy, "SIGKILL with open calls, and a new start with an old list")                            \
    X(wrong_list, all, "the list shows up to all servers as gone, then as they are again")

enum class FaultKind {
#define X(name, target, text) name,
    MYRTLEROUTE_LAB_FAULTS(X)
#undef X
    kinds
};
enum class FaultTarget { server, proxy, discovery, all };

struct FaultInfo {
    const char* name;
    FaultTarget target;
    const char* text;
};
const FaultInfo& info_of(FaultKind kind);
std::optional<FaultKind> fault_from_name(std::string_view name);

struct Fault {
    FaultKind kind{};
    Span at, duration;   // at: from the start of the run
    int target = 0;      // index of the server or proxy
    double strength = 0.5;
};

struct Scenario {
    uint64_t seed = 0;
    Span duration{30};   // of the load; the run goes on until all calls are over and all proxies have stopped
    int proxies = 4, servers = 8;
    double calls_per_second = 25;   // to each proxy
    double disturbed_share = 0;   // of reads, writes and segments: cut short, split or stalled
    // Only draining excludes a server: one that the list shows as gone may still get calls.
    bool drain_binds_alone = false;
    std::vector<Fault> faults;
    std::vector<std::pair<uint64_t, uint64_t>> omitted_calls;   // numbers of calls that are not made: first, last
};

struct ScenarioError : std::runtime_error {   // file:line:column, key and what is wrong
    using std::runtime_error::runtime_error;
};

// The same seed always gives the same scenario.
Scenario draw_scenario(uint64_t seed);
Scenario read_scenario(const std::string& path);
std::string write_scenario(const Scenario& scenario);   // as TOML for read_scenario()

}  // namespace myrtleroute::lab
