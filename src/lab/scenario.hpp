// A day in the lab as it is drawn from a seed or written down: its size, its load and its faults. All else of
// it is drawn from the seed while it is played.
#pragma once
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "time.hpp"

namespace myrtleroute::lab {

// Each kind: name, whom it strikes, what it does. `how` (0 to 1) sets its strength.
#define MYRTLEROUTE_LAB_FAULTS(X)                                                                            \
    X(slow, server, "answers up to 12 times slower")                                                         \
    X(hung, server, "takes calls and connections and does nothing until it is over")                         \
    X(failing, server, "answers 500 or a bare 503 at once; half of the calls have run")                      \
    X(full, server, "turns calls away, provably not run")                                                    \
    X(no_connections, server, "accepts nothing, its queue of connections is full")                           \
    X(dies, server, "its process is killed and comes back cold, at the same address under the same uid")     \
    X(dies_after_effect, server, "dies between a call's effect and its answer, then as above")               \
    X(replaced, server, "dies, and another comes up at its address under a new uid")                         \
    X(cut, server, "its machine is cut off; what was sent arrives when it is back")                          \
    X(vanishes, server, "its machine is cut off and has forgotten all connections when it is back")          \
    X(drains, server, "is listed as draining, then gone, then back")                                         \
    X(resets, server, "resets connections before, within and after calls")                                   \
    X(spoilt, server, "answers nonsense, lengths that do not fit, or half an answer")                        \
    X(talkative, server, "sends noise or a second answer behind the answer, and 1xx ahead of it")            \
    X(reports, server, "its load reports can't be read")                                                     \
    X(edge, server, "answers at the very instant at which the proxy gives the shot up")                      \
    X(far, server, "everything to and from it takes up to 80 ms longer")                                     \
    X(costly, all, "calls are up to 8 times as heavy as they were")                                          \
    X(burst, all, "up to 6 times the calls")                                                                 \
    X(leavers, proxy, "clients leave in the middle of their calls, some as the answer comes")                \
    X(halves, proxy, "clients send half a call, then nothing, or close")                                     \
    X(strangers, proxy, "connections that say nothing, nonsense, or one call twice")                         \
    X(silent_list, discovery, "takes calls and answers none")                                                \
    X(late_list, discovery, "tells changes up to 5 s late")                                                  \
    X(no_list, discovery, "answers 503, or resets")                                                          \
    X(nonsense, discovery, "answers what is no list, or half a list")                                        \
    X(down, discovery, "nobody listens")                                                                     \
    X(moves, all, "a new configuration names another discovery, and SIGHUP says so")                         \
    X(bad_file, proxy, "SIGHUP finds a file that is at fault")                                               \
    X(descriptors, proxy, "the process may open hardly any more descriptors")                                \
    X(pause, proxy, "the process is stopped; its clock jumps when it goes on")                               \
    X(restart, proxy, "SIGTERM, and a new start with the list as it was then")                               \
    X(killed, proxy, "SIGKILL with calls out, and a new start with a list that is old")                      \
    X(wrong_list, all, "the list calls up to all servers gone, then names them again as they are")

enum class FaultKind {
#define X(name, whom, text) name,
    MYRTLEROUTE_LAB_FAULTS(X)
#undef X
    kinds
};
enum class Whom { server, proxy, discovery, all };

struct FaultName {
    const char* name;
    Whom whom;
    const char* text;
};
const FaultName& name_of(FaultKind kind);
std::optional<FaultKind> fault_named(std::string_view name);

struct Fault {
    FaultKind kind{};
    Span at, lasts;       // from the start of the day
    int who = 0;          // which server or proxy
    double how = 0.5;
};

struct Scenario {
    uint64_t seed = 0;
    Span lasts{30};       // of the load; what is out then is still watched until all is quiet
    int proxies = 4, servers = 8;
    double calls_a_second = 25;   // to each proxy
    double rough = 0;             // share of reads, writes and segments that are cut short
    bool drain_alone = false;     // only draining binds: what the list calls gone may still be sent to
    std::vector<Fault> faults;
    std::vector<std::pair<uint64_t, uint64_t>> left_out;   // calls that are not made: first, last
};

struct ScenarioError : std::runtime_error {   // file:line:column, key, what is wrong
    using std::runtime_error::runtime_error;
};

Scenario draw(uint64_t seed);
Scenario read_scenario(const std::string& path);
std::string write_scenario(const Scenario& scenario);   // as read_scenario takes it

}  // namespace myrtleroute::lab
