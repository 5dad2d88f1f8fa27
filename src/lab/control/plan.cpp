#include "lab/control/plan.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include "lab/random_stream.hpp"

namespace myrtleroute::lab::control {
namespace {

constexpr uint64_t plan_stream = 0x504c414e, surge_stream = 0x53555247, closing_stream = 0x434c4f53;
constexpr const char* names[] = {
    "kill",         "power_loss",       "kill_all",          "power_loss_all", "freeze",
    "cut",          "cut_control",      "cut_site",          "cut_inward",     "cut_outward",
    "disk_hang",    "disk_full",        "disk_slow",         "stop",           "wipe",
    "rot",          "replace",          "replace_planned",   "proxy_restart",  "proxy_cut",
    "proxy_freeze", "proxy_cut_inward", "proxy_cut_outward", "proxy_herd",     "answers_lost",
    "closing"};
static_assert(std::size(names) == static_cast<size_t>(FaultKind::kinds));

double draw_span(FaultKind kind, RandomStream& chance) {
    switch (kind) {
        case FaultKind::freeze:
        case FaultKind::cut:
        case FaultKind::cut_control:
        case FaultKind::cut_site:
        case FaultKind::cut_inward:
        case FaultKind::cut_outward:
        case FaultKind::proxy_freeze:
        case FaultKind::proxy_cut_inward:
        case FaultKind::proxy_cut_outward:
            return chance.bernoulli(0.3) ? chance.between(8, 21) : chance.between(0.3, 6);
        case FaultKind::disk_hang:
        case FaultKind::disk_full:
        case FaultKind::disk_slow:
        case FaultKind::answers_lost: return chance.between(1, 8);
        case FaultKind::kill_all:
        case FaultKind::power_loss_all: return chance.between(0.1, 0.9);
        default: return chance.between(0.2, 3);
    }
}

Fault draw_fault(double length, RandomStream& chance) {
    Fault fault;
    fault.kind = static_cast<FaultKind>(chance.below(static_cast<int>(FaultKind::closing)));
    fault.target = static_cast<Target>(chance.below(3));
    fault.at = chance.between(4, length);
    fault.span = draw_span(fault.kind, chance);
    fault.lot = static_cast<uint32_t>(chance.number());
    fault.after_acknowledgement = chance.bernoulli(0.35);
    return fault;
}

std::vector<Surge> draw_surges(uint64_t seed, double length) {
    RandomStream chance(seed, surge_stream);
    std::vector<Surge> surges(2 + static_cast<size_t>(chance.below(3)));
    for (auto& surge : surges) {
        surge.tenant = static_cast<size_t>(chance.below(static_cast<int>(tenant_count)));
        surge.at = chance.between(4, length - 4);
        surge.span = chance.between(4, 14);
        surge.factor = chance.between(4, 10);
    }
    return surges;
}

std::optional<Closing> draw_closing(uint64_t seed) {
    constexpr double closes = 0.5, just_after = 0.6;
    RandomStream chance(seed, closing_stream);
    if (!chance.bernoulli(closes)) return {};
    Closing closing;
    closing.oldest_disks = chance.bernoulli(0.4);
    closing.acknowledger = chance.bernoulli(0.5);
    closing.delay = chance.bernoulli(just_after) ? chance.between(0, 0.005) : chance.between(0.005, 0.4);
    closing.down = chance.between(0.1, 2);
    closing.lot = static_cast<uint32_t>(chance.number());
    return closing;
}

}   // namespace

const char* name_of(FaultKind kind) { return names[static_cast<size_t>(kind)]; }

bool loses_disk(FaultKind kind) {
    return kind == FaultKind::wipe || kind == FaultKind::rot || kind == FaultKind::replace ||
           kind == FaultKind::replace_planned;
}

bool strikes_proxies(FaultKind kind) { return kind >= FaultKind::proxy_restart && kind <= FaultKind::proxy_herd; }

Plan draw_plan(uint64_t seed) {
    RandomStream chance(seed, plan_stream);
    Plan plan;
    plan.seed = seed;
    const int shape = chance.below(8);   // three or four machines, five now and then
    plan.joiners = shape == 7 ? 2 : static_cast<size_t>(shape % 2);
    plan.tolerated = shape == 7 ? 2 : 1;
    plan.orderly = chance.bernoulli(0.7);
    const int count = 2 + chance.below(9);
    for (int i = 0; i < count; ++i) {
        const auto fault = draw_fault(plan.length, chance);
        if (plan.orderly || !loses_disk(fault.kind)) plan.faults.push_back(fault);
    }
    std::sort(plan.faults.begin(), plan.faults.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    plan.surges = draw_surges(seed, plan.length);
    plan.limits_change = seed % 2 == 0;
    plan.revokes = seed % 4 >= 2;
    if (plan.orderly) plan.closing = draw_closing(seed);
    return plan;
}

std::string text_of(const Plan& plan) {
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << "seed " << plan.seed << ": " << plan.seeds + plan.joiners
         << " control machines, " << plan.tolerated << " tolerated, " << (plan.orderly ? "orderly" : "wild") << '\n';
    for (const auto& fault : plan.faults) {
        constexpr const char* targets[] = {"a machine by lot", "the leader", "the oldest disk"};
        text << "  " << fault.at << " s  " << name_of(fault.kind) << " for " << fault.span << " s, "
             << targets[static_cast<size_t>(fault.target)] << ' ' << fault.lot % 97
             << (fault.after_acknowledgement ? ", right after the next acknowledgement" : "") << '\n';
    }
    for (const auto& surge : plan.surges)
        text << "  " << surge.at << " s  tenant " << surge.tenant << " asks for " << surge.factor
             << " times its usual for " << surge.span << " s\n";
    if (!plan.limits_change) text << "  limits of tenants stay\n";
    if (plan.revokes) text << "  keys are taken away\n";
    if (plan.closing)
        text << "  at the end disks are lost, " << (plan.closing->oldest_disks ? "the oldest" : "by lot")
             << (plan.closing->acknowledger ? ", that of the last acknowledgement first" : "")
             << ", and all others lose power, " << plan.closing->delay << " s after an acknowledgement, for "
             << plan.closing->down << " s\n";
    return text.str();
}

}   // namespace myrtleroute::lab::control
