// Runs the control plane in a simulated world. Exit status: 0 every invariant held, 1 an invariant was violated, 2
// invalid command line.
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

constexpr int exit_ok = 0, exit_violation = 1, exit_usage = 2;
constexpr size_t max_reports = 10;

struct Totals {
    Outcome sum;
    double longest_agreement = 0;
    uint64_t runs = 0, violating_runs = 0, digest = 0;
    std::array<size_t, invariant_kinds> runs_violating{};   // by invariant

    void add(uint64_t seed, const Outcome& outcome) {
        ++runs;
        sum.requests += outcome.requests;
        sum.executed += outcome.executed;
        sum.max_quota_usage = std::max(sum.max_quota_usage, outcome.max_quota_usage);
        for (size_t i = 0; i < invariant_kinds; ++i) {
            sum.violations[i] += outcome.violations[i];
            runs_violating[i] += outcome.violations[i] > 0;
        }
        violating_runs += outcome.violation.has_value();
        digest ^= outcome.digest * (2 * seed + 1);
        sum.steps += outcome.steps;
        sum.confirmed += outcome.confirmed;
        sum.refused += outcome.refused;
        sum.reads += outcome.reads;
        sum.unresolved += outcome.unresolved;
        sum.drains += outcome.drains;
        sum.undecided += outcome.undecided;
        longest_agreement = std::max(longest_agreement, outcome.agreement_time);
        for (size_t i = 0; i < fault_kinds; ++i) {
            sum.injected[i] += outcome.injected[i];
            for (size_t j = 0; j < fault_kinds; ++j) sum.overlapping_pairs[i][j] += outcome.overlapping_pairs[i][j];
        }
    }
    void print(std::ostream& out, bool with_pairs) const {
        out << sum.confirmed << " updates confirmed, " << sum.refused << " refused, " << sum.unresolved
            << " calls without a clear response, " << sum.reads << " reads, " << sum.drains << " hosts drained, "
            << sum.undecided
            << " histories undecided\nlongest time to agreement after the last fault: " << std::setprecision(3)
            << longest_agreement << " s\nfaults injected:";
        for (size_t i = 0; i < fault_kinds; ++i)
            out << ' ' << name_of(static_cast<FaultKind>(i)) << ' ' << sum.injected[i];
        out << "\nrequests of tenants: " << sum.requests << ", executed " << sum.executed
            << "; highest usage of a quota window: " << std::setprecision(3) << sum.max_quota_usage
            << " of what is allowed";
        for (size_t i = 0; i < invariant_kinds; ++i)
            if (runs_violating[i] > 0)
                out << "\nbroken: " << name_of(static_cast<Invariant>(i)) << " in " << runs_violating[i] << " runs, "
                    << sum.violations[i] << " violations";
        size_t covered = 0, possible = 0;
        for (size_t i = 0; i < fault_kinds; ++i)
            for (size_t j = i; j < fault_kinds; ++j) {
                ++possible;
                covered += sum.overlapping_pairs[i][j] > 0;
            }
        out << "\npairs of faults that overlapped: " << covered << " of " << possible << '\n';
        if (!with_pairs) return;
        for (size_t i = 0; i < fault_kinds; ++i)
            for (size_t j = i; j < fault_kinds; ++j)
                out << "  " << name_of(static_cast<FaultKind>(i)) << " + " << name_of(static_cast<FaultKind>(j)) << ' '
                    << sum.overlapping_pairs[i][j] << '\n';
    }
};

void report(std::ostream& out, uint64_t seed, const Violation& violation) {
    out << "seed " << seed << ", at " << std::fixed << std::setprecision(3) << violation.at.s - 100
        << " s: " << name_of(violation.invariant) << ": " << violation.what << std::defaultfloat << '\n';
}

// Violations of `quota` come last, so that they don't hide others.
void report_all(std::ostream& out, const std::map<uint64_t, Violation>& violations_by_seed) {
    size_t reported = 0;
    for (const bool is_quota : {false, true})
        for (const auto& [seed, violation] : violations_by_seed)
            if ((violation.invariant == Invariant::quota) == is_quota && ++reported <= max_reports)
                report(out, seed, violation);
}

int sweep(uint64_t from, uint64_t seeds, unsigned jobs, bool first, bool with_pairs, bool but_quota) {
    const auto start = std::chrono::steady_clock::now();
    std::atomic<uint64_t> next{0};
    std::mutex results_mutex;
    Totals totals;
    std::map<uint64_t, Violation> violations_by_seed;
    const auto work = [&] {
        for (uint64_t n = 0; (n = next++) < seeds;) {
            const auto outcome = run_plan(draw_plan(from + n));
            const std::lock_guard lock(results_mutex);
            totals.add(from + n, outcome);
            if (!outcome.violation) continue;
            violations_by_seed.emplace(from + n, *outcome.violation);
            if (first) next = seeds;
        }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < jobs; ++i) threads.emplace_back(work);
    for (auto& thread : threads) thread.join();
    report_all(std::cout, violations_by_seed);
    totals.print(std::cout, with_pairs);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    std::cout << totals.runs << " runs, " << totals.violating_runs << " violated an invariant; digest " << std::hex
              << totals.digest << std::dec << "; " << std::fixed << std::setprecision(1) << elapsed.count() << " s, "
              << static_cast<double>(totals.sum.steps) / 1e6 << " million steps\n";
    // A run's violation is of `quota` only if no other invariant was violated.
    const bool other = std::any_of(violations_by_seed.begin(), violations_by_seed.end(),
                                   [](const auto& entry) { return entry.second.invariant != Invariant::quota; });
    return other || (!but_quota && totals.violating_runs) ? exit_violation : exit_ok;
}

int replay(uint64_t seed, bool shrinks) {
    auto plan = draw_plan(seed);
    if (shrinks) plan = shrink(plan);
    std::cout << text_of(plan);
    const auto outcome = run_plan(plan, [](const std::string& line) { std::cout << line << '\n'; });
    if (outcome.violation) report(std::cout, seed, *outcome.violation);
    std::cout << "digest " << std::hex << outcome.digest << std::dec << " after " << outcome.steps << " steps\n";
    return outcome.violation ? exit_violation : exit_ok;
}

// Budgets with which each exploration takes seconds; a `depth` above 0 replaces theirs.
int explore_all(size_t depth, uint64_t states) {
    struct NamedExploration {
        const char* name;
        ExplorationOptions options;
    };
    const NamedExploration explorations[] = {
        {"first election: three voters, two timeouts", {3, 0, false, 60, 2, 0, 0, 0, 0, 0}},
        {"three voters, a timeout, a proposal, a crash", {3, 0, true, 60, 1, 0, 1, 1, 0, 0}},
        {"three voters, two timeouts, two proposals", {3, 0, true, 60, 2, 0, 2, 0, 0, 0}},
        {"three voters, a timeout, two proposals, two broken connections", {3, 0, true, 60, 1, 1, 2, 0, 0, 2}},
        {"three voters, a lost disk, a timeout, a proposal", {3, 0, true, 60, 1, 3, 1, 0, 1, 0}},
        {"three voters and a joining machine, a timeout, a proposal", {3, 1, true, 60, 1, 2, 1, 0, 0, 0}},
        {"four voters, a timeout, a proposal, a crash", {4, 0, true, 60, 1, 0, 1, 1, 0, 0}},
        {"four voters, a lost disk, a proposal", {4, 0, true, 60, 0, 4, 1, 0, 1, 0}},
    };
    struct ExplorationReport {
        std::string text;
        bool passed = true;
    };
    std::vector<std::future<ExplorationReport>> all;
    for (const auto& named : explorations)
        all.push_back(std::async(std::launch::async, [named, depth, states] {
            auto options = named.options;
            if (depth) options.depth = depth;
            options.max_states = states;
            const auto start = std::chrono::steady_clock::now();
            const auto result = explore(options);
            const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
            std::ostringstream text;
            text << named.name << ": depth " << options.depth << ", " << result.states << " states"
                 << (result.complete ? "" : " (limit reached)") << ", " << result.transitions << " transitions, "
                 << result.elections << " elections, " << result.commits << " commits, " << std::fixed
                 << std::setprecision(1) << elapsed.count() << " s\n";
            if (result.violation) text << "broken: " << *result.violation << '\n';
            return ExplorationReport{text.str(), !result.violation};
        }));
    bool passed = true;
    for (auto& each : all) {
        const auto done = each.get();
        std::cout << done.text;
        passed = passed && done.passed;
    }
    return passed ? exit_ok : exit_violation;
}

}   // namespace

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine command("The control plane on virtual disks, network and clock, under faults drawn from a seed.",
                               ' ', "1.0.0");
        std::vector<std::string> words{"sweep", "replay", "shrink", "explore"};
        TCLAP::ValuesConstraint<std::string> verbs(words);
        TCLAP::UnlabeledValueArg<std::string> verb("command",
                                                   "sweep: many seeds; replay: one seed; shrink: one seed, with its "
                                                   "plan reduced; explore: states of replicas.",
                                                   true, "", &verbs, command);
        TCLAP::ValueArg<uint64_t> from("", "from", "The first seed, or the only one.", false, 1, "seed", command);
        TCLAP::ValueArg<uint64_t> seeds("", "seeds", "Number of seeds.", false, 1000, "count", command);
        TCLAP::ValueArg<unsigned> jobs("", "jobs", "Number of runs in parallel.", false,
                                       std::max(1U, std::thread::hardware_concurrency()), "count", command);
        TCLAP::ValueArg<size_t> depth("", "depth", "Max actions on a path; 0: the default of each exploration.", false,
                                      0, "count", command);
        TCLAP::ValueArg<uint64_t> states("", "states", "Max states of an exploration.", false, 60000, "count", command);
        TCLAP::SwitchArg first("", "first", "Stop at the first violation.", command);
        TCLAP::SwitchArg pairs("", "pairs", "Print how often each pair of faults overlapped.", command);
        TCLAP::SwitchArg but_quota("", "but-quota", "Violations of `quota` are printed but don't set the exit status.",
                                   command);
        command.setExceptionHandling(false);   // command line errors have their own exit status
        command.parse(argc, argv);
        myrtleroute::start_log(argc, argv, "error");
        if (verb.getValue() == "sweep")
            return sweep(from.getValue(), seeds.getValue(), std::max(1U, jobs.getValue()), first.getValue(),
                         pairs.getValue(), but_quota.getValue());
        if (verb.getValue() == "explore") return explore_all(depth.getValue(), states.getValue());
        return replay(from.getValue(), verb.getValue() == "shrink");
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException& error) {
        std::cerr << error.argId() << ": " << error.error() << '\n';
        return exit_usage;
    }
}
