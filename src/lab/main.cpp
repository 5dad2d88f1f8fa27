// The lab's command line. Exit status: 0 all rules were kept, 1 one was broken, 2 what was asked is at fault.
#include <CLI/CLI.hpp>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <thread>

#include "lab/play.hpp"

namespace {

using namespace myrtleroute::lab;

constexpr int kept = 0, broke = 1, at_fault = 2;

int show(const Scenario& scenario, const std::string& as, uint64_t until, const std::string& trace_to, bool quiet) {
    std::ofstream file;
    if (!trace_to.empty() && trace_to != "-") {
        file.open(trace_to);
        if (!file) {
            std::cerr << "--trace: " << trace_to << " can't be written\n";
            return at_fault;
        }
    }
    std::ostream& trace = trace_to == "-" ? std::cout : file;
    std::function<void(const std::string&)> line;
    if (!trace_to.empty()) line = [&trace](const std::string& text) { trace << text << '\n'; };
    const auto day = play(scenario, until, line);
    std::cout << "digest " << std::hex << std::setw(16) << std::setfill('0') << day.digest << std::dec << std::setfill(' ')
              << " after " << day.steps << " steps\n";
    if (!quiet) day.summary.print(std::cout);
    if (day.broken) report(std::cout, scenario, *day.broken, as);
    else std::cout << "all rules were kept\n";
    return day.broken ? broke : kept;
}

}  // namespace

int main(int count, char** words) {
    CLI::App app("The whole proxy on a virtual clock, under faults drawn from a seed");
    app.require_subcommand(1);

    Sweep what;
    what.jobs = std::max(1u, std::thread::hardware_concurrency());
    auto* sweeps = app.add_subcommand("sweep", "play many seeds");
    sweeps->add_option("--from", what.from, "the first seed")->required();
    sweeps->add_option("--seeds", what.seeds, "how many")->required()->check(CLI::Range(1, 100'000'000));
    sweeps->add_option("--jobs", what.jobs, "how many at a time")->check(CLI::Range(1, 1024));
    sweeps->add_flag("--first", what.first, "stop at the first break");
    sweeps->add_option("--record", what.record, "a file for a line a seed: steps, digest and rule");

    uint64_t seed = 0, until = 0;
    std::string trace_to, path, out = "shrunk.toml";
    bool quiet = false;
    auto* replays = app.add_subcommand("replay", "play one seed");
    replays->add_option("--seed", seed)->required();
    auto* runs = app.add_subcommand("run", "play a scenario that was written down");
    runs->add_option("FILE", path)->required();
    for (auto* each : {replays, runs}) {
        each->add_option("--until", until, "stop after that step");
        each->add_option("--trace", trace_to, "a file for a line an event; - for standard output");
        each->add_flag("--quiet", quiet, "no figures");
    }

    int most_runs = 600;
    auto* shrinks = app.add_subcommand("shrink", "find the smallest scenario in which a seed's break stays");
    auto* of_seed = shrinks->add_option("--seed", seed);
    shrinks->add_option("--file", path, "a scenario instead of a seed")->excludes(of_seed);
    shrinks->add_option("--out", out, "where it is written")->capture_default_str();
    shrinks->add_option("--most-runs", most_runs, "of the day, in all")->capture_default_str()->check(CLI::Range(1, 100'000));

    auto* shows = app.add_subcommand("scenario", "write a seed's scenario");
    shows->add_option("--seed", seed)->required();
    app.add_subcommand("faults", "list the kinds of faults");

    try {
        app.parse(count, words);
    } catch (const CLI::Success& asked) {
        return app.exit(asked);
    } catch (const CLI::ParseError& fault) {
        std::cerr << "myrtleroute_lab: " << fault.what() << '\n';
        return at_fault;
    }
    try {
        if (app.got_subcommand("faults")) {
            for (int i = 0; i < static_cast<int>(FaultKind::kinds); ++i) {
                const auto& name = name_of(static_cast<FaultKind>(i));
                static constexpr const char* whom[] = {"a server", "a proxy", "discovery", "all"};
                std::cout << std::left << std::setw(20) << name.name << std::setw(11) << whom[static_cast<int>(name.whom)]
                          << name.text << '\n';
            }
            return kept;
        }
        if (app.got_subcommand("scenario")) {
            std::cout << write_scenario(draw(seed));
            return kept;
        }
        if (sweeps->parsed()) return sweep(what, std::cout, std::cerr) ? kept : broke;
        if (replays->parsed()) return show(draw(seed), "replay --seed " + std::to_string(seed), until, trace_to, quiet);
        if (runs->parsed()) return show(read_scenario(path), "run " + path, until, trace_to, quiet);
        if (path.empty() && of_seed->count() == 0) {
            std::cerr << "myrtleroute_lab: shrink: --seed or --file is required\n";
            return at_fault;
        }
        const auto small = shrink(path.empty() ? draw(seed) : read_scenario(path), most_runs, std::cerr);
        if (!small) {
            std::cout << "it breaks no rule\n";
            return kept;
        }
        std::ofstream file(out);
        file << write_scenario(*small);
        if (!file.flush()) {
            std::cerr << "--out: " << out << " can't be written\n";
            return at_fault;
        }
        return show(*small, "run " + out, 0, "", true);
    } catch (const ScenarioError& fault) {
        std::cerr << fault.what() << '\n';
        return at_fault;
    }
}
