// Plays days of the control plane in a virtual world. Exit status: 0 every invariant held, 1 one broke, 2 what was asked is
// at fault.
#include <tclap/CmdLine.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>

#include "lab/control/explorer.hpp"
#include "lab/control/world.hpp"
#include "roles/log.hpp"

namespace {

using namespace myrtleroute::lab::control;

constexpr int held = 0, broke = 1, at_fault = 2;
constexpr size_t most_reports = 10;

struct Totals {
    Outcome sum;
    double longest_agreement = 0;
    uint64_t days = 0, broken = 0, digest = 0;
    std::array<size_t, invariant_kinds> days_broken{};   // by invariant

    void add(uint64_t seed, const Outcome& day) {
        ++days;
        sum.requests += day.requests;
        sum.ran += day.ran;
        sum.fullest_window = std::max(sum.fullest_window, day.fullest_window);
        for (size_t i = 0; i < invariant_kinds; ++i) {
            sum.violations[i] += day.violations[i];
            days_broken[i] += day.violations[i] > 0;
        }
        broken += day.broken.has_value();
        digest ^= day.digest * (2 * seed + 1);
        sum.steps += day.steps;
        sum.confirmed += day.confirmed;
        sum.refused += day.refused;
        sum.readings += day.readings;
        sum.unclear += day.unclear;
        sum.drains += day.drains;
        sum.undecided += day.undecided;
        longest_agreement = std::max(longest_agreement, day.agreed_after);
        for (size_t i = 0; i < fault_kinds; ++i) {
            sum.met[i] += day.met[i];
            for (size_t j = 0; j < fault_kinds; ++j) sum.pairs[i][j] += day.pairs[i][j];
        }
    }
    void print(std::ostream& out, bool with_pairs) const {
        out << sum.confirmed << " orders confirmed, " << sum.refused << " refused, " << sum.unclear
            << " calls without a clear answer, " << sum.readings << " readings, " << sum.drains << " hosts drained, "
            << sum.undecided
            << " histories undecided\nlongest time to agreement after the last fault: " << std::setprecision(3)
            << longest_agreement << " s\nfaults met:";
        for (size_t i = 0; i < fault_kinds; ++i) out << ' ' << name_of(static_cast<FaultKind>(i)) << ' ' << sum.met[i];
        out << "\nrequests of tenants: " << sum.requests << ", run " << sum.ran
            << "; fullest window: " << std::setprecision(3) << sum.fullest_window << " of what is allowed";
        for (size_t i = 0; i < invariant_kinds; ++i)
            if (days_broken[i] > 0)
                out << "\nbroken: " << name_of(static_cast<Invariant>(i)) << " on " << days_broken[i] << " days, "
                    << sum.violations[i] << " violations";
        size_t met = 0, possible = 0;
        for (size_t i = 0; i < fault_kinds; ++i)
            for (size_t j = i; j < fault_kinds; ++j) {
                ++possible;
                met += sum.pairs[i][j] > 0;
            }
        out << "\npairs of faults at one time: " << met << " of " << possible << '\n';
        if (!with_pairs) return;
        for (size_t i = 0; i < fault_kinds; ++i)
            for (size_t j = i; j < fault_kinds; ++j)
                out << "  " << name_of(static_cast<FaultKind>(i)) << " + " << name_of(static_cast<FaultKind>(j)) << ' '
                    << sum.pairs[i][j] << '\n';
    }
};

void report(std::ostream& out, uint64_t seed, const Break& broken) {
    out << "seed " << seed << ", at " << std::fixed << std::setprecision(3) << broken.at.s - 100
        << " s: " << name_of(broken.invariant) << ": " << broken.what << std::defaultfloat << '\n';
}

// Those of `quota` last: they must not hide others.
void report_all(std::ostream& out, const std::map<uint64_t, Break>& breaks) {
    size_t reported = 0;
    for (const bool of_quota : {false, true})
        for (const auto& [seed, broken] : breaks)
            if ((broken.invariant == Invariant::quota) == of_quota && ++reported <= most_reports)
                report(out, seed, broken);
}

int sweep(uint64_t from, uint64_t seeds, unsigned jobs, bool first, bool with_pairs, bool but_quota) {
    const auto began = std::chrono::steady_clock::now();
    std::atomic<uint64_t> next{0};
    std::mutex together;
    Totals totals;
    std::map<uint64_t, Break> breaks;
    const auto work = [&] {
        for (uint64_t n = 0; (n = next++) < seeds;) {
            const auto day = play(draw_plan(from + n));
            const std::lock_guard lock(together);
            totals.add(from + n, day);
            if (!day.broken) continue;
            breaks.emplace(from + n, *day.broken);
            if (first) next = seeds;
        }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < jobs; ++i) threads.emplace_back(work);
    for (auto& thread : threads) thread.join();
    report_all(std::cout, breaks);
    totals.print(std::cout, with_pairs);
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
    std::cout << totals.days << " days, " << totals.broken << " broke an invariant; digest " << std::hex
              << totals.digest << std::dec << "; " << std::fixed << std::setprecision(1) << took.count() << " s, "
              << static_cast<double>(totals.sum.steps) / 1e6 << " million steps\n";
    // A day's break is of `quota` only where no other invariant broke.
    const bool other = std::any_of(breaks.begin(), breaks.end(),
                                   [](const auto& known) { return known.second.invariant != Invariant::quota; });
    return other || (!but_quota && totals.broken) ? broke : held;
}

int replay(uint64_t seed, bool shrinks) {
    auto plan = draw_plan(seed);
    if (shrinks) plan = shrink(plan);
    std::cout << text_of(plan);
    const auto day = play(plan, [](const std::string& line) { std::cout << line << '\n'; });
    if (day.broken) report(std::cout, seed, *day.broken);
    std::cout << "digest " << std::hex << day.digest << std::dec << " after " << day.steps << " steps\n";
    return day.broken ? broke : held;
}

// Budgets that end within seconds each; `depth` above 0 replaces theirs.
int explore_all(size_t depth, uint64_t states) {
    struct Named {
        const char* name;
        Exploration what;
    };
    const Named explorations[] = {
        {"first election: three voters, two time-outs", {3, 0, false, 60, 2, 0, 0, 0, 0, 0}},
        {"three voters, a time-out, a proposal, a crash", {3, 0, true, 60, 1, 0, 1, 1, 0, 0}},
        {"three voters, two time-outs, two proposals", {3, 0, true, 60, 2, 0, 2, 0, 0, 0}},
        {"three voters, a time-out, two proposals, two broken connections", {3, 0, true, 60, 1, 1, 2, 0, 0, 2}},
        {"three voters, a lost disk, a time-out, a proposal", {3, 0, true, 60, 1, 3, 1, 0, 1, 0}},
        {"three voters and one that joins, a time-out, a proposal", {3, 1, true, 60, 1, 2, 1, 0, 0, 0}},
        {"four voters, a time-out, a proposal, a crash", {4, 0, true, 60, 1, 0, 1, 1, 0, 0}},
        {"four voters, a lost disk, a proposal", {4, 0, true, 60, 0, 4, 1, 0, 1, 0}},
    };
    struct Done {
        std::string text;
        bool sound = true;
    };
    std::vector<std::future<Done>> all;
    for (const auto& named : explorations)
        all.push_back(std::async(std::launch::async, [named, depth, states] {
            auto what = named.what;
            if (depth) what.depth = depth;
            what.most_states = states;
            const auto began = std::chrono::steady_clock::now();
            const auto found = explore(what);
            const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
            std::ostringstream text;
            text << named.name << ": depth " << what.depth << ", " << found.states << " states"
                 << (found.complete ? "" : " (the limit)") << ", " << found.transitions << " transitions, "
                 << found.elections << " elections, " << found.commits << " commits, " << std::fixed
                 << std::setprecision(1) << took.count() << " s\n";
            if (found.broken) text << "broken: " << *found.broken << '\n';
            return Done{text.str(), !found.broken};
        }));
    bool sound = true;
    for (auto& each : all) {
        const auto done = each.get();
        std::cout << done.text;
        sound = sound && done.sound;
    }
    return sound ? held : broke;
}

}   // namespace

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine command("The control plane on virtual disks, network and clock, under faults drawn from a seed.",
                               ' ', "1.0.0");
        std::vector<std::string> words{"sweep", "replay", "shrink", "explore"};
        TCLAP::ValuesConstraint<std::string> verbs(words);
        TCLAP::UnlabeledValueArg<std::string> verb(
            "command", "sweep: many seeds; replay: one; shrink: its least plan; explore: states of replicas.", true, "",
            &verbs, command);
        TCLAP::ValueArg<uint64_t> from("", "from", "The first seed, or the only one.", false, 1, "seed", command);
        TCLAP::ValueArg<uint64_t> seeds("", "seeds", "How many.", false, 1000, "count", command);
        TCLAP::ValueArg<unsigned> jobs("", "jobs", "How many at a time.", false,
                                       std::max(1U, std::thread::hardware_concurrency()), "count", command);
        TCLAP::ValueArg<size_t> depth("", "depth", "Actions on a path; 0: as many as end in seconds.", false, 0,
                                      "count", command);
        TCLAP::ValueArg<uint64_t> states("", "states", "States of an exploration at the most.", false, 60000, "count",
                                         command);
        TCLAP::SwitchArg first("", "first", "Stop at the first break.", command);
        TCLAP::SwitchArg pairs("", "pairs", "Print how often each pair of faults was met.", command);
        TCLAP::SwitchArg but_quota("", "but-quota", "Breaks of `quota` are printed and don't set the exit status.",
                                   command);
        command.setExceptionHandling(false);   // a fault of the command line has an exit status of its own
        command.parse(argc, argv);
        myrtleroute::start_log(argc, argv, "error");
        if (verb.getValue() == "sweep")
            return sweep(from.getValue(), seeds.getValue(), std::max(1U, jobs.getValue()), first.getValue(),
                         pairs.getValue(), but_quota.getValue());
        if (verb.getValue() == "explore") return explore_all(depth.getValue(), states.getValue());
        return replay(from.getValue(), verb.getValue() == "shrink");
    } catch (const TCLAP::ExitException& asked) {
        return asked.getExitStatus();
    } catch (const TCLAP::ArgException& fault) {
        std::cerr << fault.argId() << ": " << fault.error() << '\n';
        return at_fault;
    }
}
