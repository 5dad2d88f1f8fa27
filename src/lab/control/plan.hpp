// The plan of a day of the control plane: how many machines there are and which faults come when. Drawn from one seed.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "time.hpp"

namespace myrtleroute::lab::control {

// Of one control machine where nothing else is said.
enum class FaultKind {
    kill,                // the process ends; what it wrote stays
    power_loss,          // and what was not synced may be lost
    kill_all,            // every control process at once, back within a second
    power_loss_all,      // every control machine at once, back within a second
    freeze,              // it stands still; what was sent to it waits
    cut,                 // from all others
    cut_control,         // from the other control machines only
    cut_site,            // it and half of the proxies, from all others
    cut_inward,          // it hears nothing
    cut_outward,         // nobody hears it
    disk_hang,           // its disk ends no write
    disk_full,           // its disk refuses every write
    disk_slow,           // thirty times as long
    stop,                // SIGTERM, and it starts again
    wipe,                // its disk is lost
    rot,                 // its disk loses bits of what was safe
    replace,             // it is gone for good; an empty one comes at another address
    replace_planned,     // the new one comes first, then the old one is stopped and its disk is gone
    proxy_restart,       // of a proxy
    proxy_cut,           // of a proxy
    proxy_freeze,        // a proxy stands still; what was sent to it waits
    proxy_cut_inward,    // a proxy hears no control machine
    proxy_cut_outward,   // no control machine hears a proxy
    proxy_herd,          // half of the proxies are killed at once
    answers_lost,        // most of what the operators are answered
    closing,             // the last fault of a day: disks are lost, and every other machine loses power
    kinds
};
const char* name_of(FaultKind kind);
bool loses_disk(FaultKind kind);
bool affects_proxies(FaultKind kind);

// Which machine a fault strikes.
enum class Target { random, leader, oldest_disk };

struct Fault {
    FaultKind kind = FaultKind::kill;
    Target target = Target::random;
    double at = 0;         // seconds from the start of the day
    double duration = 1;   // seconds
    uint32_t selector = 0;
    bool after_acknowledgement = false;   // waits until an order has just been acknowledged, and strikes who did
};

// The last fault of a day: as many disks are lost as is borne, and at that moment all other machines lose power, those of
// the proxies too. Right after an acknowledgement, or some time after an order was sent.
struct Closing {
    bool oldest_disks = false;   // those whose disks have lasted longest, else by lot
    bool acknowledger = false;   // the machine that has acknowledged last is among them
    double delay = 0;            // seconds from the acknowledgement
    double downtime = 0.5;       // seconds without power
    uint32_t selector = 0;
};

constexpr size_t tenant_count = 3;

// A tenant asks for several times its usual.
struct Surge {
    size_t tenant = 0;
    double at = 0, duration = 1;   // seconds
    double factor = 4;
};

struct Plan {
    uint64_t seed = 1;
    size_t seeds = 3, joiners = 1;   // control machines: named by the settings, and others
    size_t tolerated_losses = 1;
    bool orderly = true;   // no more machines are lost at once than is tolerated; else no disk is
    double length = 40;    // seconds with faults
    std::vector<Fault> faults;
    std::vector<Surge> surges;
    bool changes_limits = true;   // of tenants, from version to version
    bool revokes_keys = false;    // keys are taken away, and must not be served for longer than a bound
    std::optional<Closing> closing;
};

Plan draw_plan(uint64_t seed);
std::string text_of(const Plan& plan);

}   // namespace myrtleroute::lab::control
