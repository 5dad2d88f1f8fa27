// The plan of a simulated run of the control plane: how many machines there are and which faults occur when. Drawn
// from one seed.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "time.hpp"

namespace myrtleroute::lab::control {

// Faults of one control machine unless stated otherwise.
enum class FaultKind {
    kill,                // the process ends; what it wrote stays
    power_loss,          // as kill, and unsynced writes may be lost
    kill_all,            // every control process at once, back within a second
    power_loss_all,      // every control machine at once, back within a second
    freeze,              // the process stops running; what is sent to it waits
    cut,                 // off from all others
    cut_control,         // off from the other control machines only
    cut_site,            // it and half of the proxies, off from all others
    cut_inward,          // it receives nothing
    cut_outward,         // nothing that it sends arrives
    disk_hang,           // no write to its disk completes
    disk_full,           // every write to its disk fails
    disk_slow,           // disk writes take thirty times as long
    stop,                // SIGTERM and a restart
    wipe,                // its disk is lost
    rot,                 // durable bytes on its disk are corrupted
    replace,             // it is removed for good; one with an empty disk starts at another address
    replace_planned,     // the replacement starts first, then the old machine is stopped and its disk removed
    proxy_restart,       // a proxy is killed and restarted
    proxy_cut,           // a proxy is cut off from all others
    proxy_freeze,        // a proxy stops running; what is sent to it waits
    proxy_cut_inward,    // a proxy receives nothing
    proxy_cut_outward,   // nothing that a proxy sends arrives
    proxy_herd,          // half of the proxies are killed at once
    answers_lost,        // most responses to operators are dropped
    closing,             // the last fault of a run: disks are lost, and every other machine loses power
    kinds
};
const char* name_of(FaultKind kind);
bool loses_disk(FaultKind kind);
bool affects_proxies(FaultKind kind);

// How the machine that a fault affects is chosen.
enum class Target { random, leader, oldest_disk };

struct Fault {
    FaultKind kind = FaultKind::kill;
    Target target = Target::random;
    double at = 0;         // seconds from the start of the run
    double duration = 1;   // seconds
    uint32_t selector = 0;
    bool after_acknowledgement = false;   // occurs right after the next acknowledgement, on the machine that sent it
};

// The last fault of a run: as many disks are lost as are tolerated, and at the same moment all other machines lose
// power, including those of the proxies. It occurs right after an acknowledgement, or some time after an update was
// sent.
struct Closing {
    bool oldest_disks = false;   // of the machines whose disks have lasted longest; else chosen at random
    bool acknowledger = false;   // the machine of the last acknowledgement loses its disk first
    double delay = 0;            // seconds from the acknowledgement
    double downtime = 0.5;       // seconds without power
    uint32_t selector = 0;
};

constexpr size_t tenant_count = 3;

// A tenant's demand rises to several times its usual rate.
struct Surge {
    size_t tenant = 0;
    double at = 0, duration = 1;   // seconds
    double factor = 4;
};

struct Plan {
    uint64_t seed = 1;
    size_t seeds = 3, joiners = 1;   // control machines: named in the settings, and others
    size_t tolerated_losses = 1;
    bool orderly = true;   // no more machines are lost at once than is tolerated; else no disk is lost
    double length = 40;    // seconds with faults
    std::vector<Fault> faults;
    std::vector<Surge> surges;
    bool changes_limits = true;   // of tenants, from version to version
    bool revokes_keys = false;    // keys are removed, and must not be served for longer than a bound
    std::optional<Closing> closing;
};

Plan draw_plan(uint64_t seed);
std::string text_of(const Plan& plan);

}   // namespace myrtleroute::lab::control
