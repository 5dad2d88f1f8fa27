// Command line of the lab. Exit status: 0 all rules were kept, 1 a rule was broken, 2 the arguments or the scenario
// file are invalid.
#include <CLI/CLI.hpp>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <thread>

#include "lab/play.hpp"

namespace {

using namespace myrtleroute::lab;

constexpr int rules_kept = 0, rule_broken = 1, bad_request = 2;

int run_and_print(const Scenario& scenario, const std::string& as, uint64_t until, const std::string& trace_path,
                  bool quiet) {
    std::ofstream file;
    if (!trace_path.empty() && trace_path != "-") {
        file.open(trace_path);
        if (!file) {
            std::cerr << "myrtleroute_lab: --trace: can't write " << trace_path << '\n';
            return bad_request;
        }
    }
    std::ostream& trace = trace_path == "-" ? std::cout : file;
    std::function<void(const std::string&)> line;
    if (!trace_path.empty()) line = [&trace](const std::string& text) { trace << text << '\n'; };
    const auto result = run_scenario(scenario, until, line);
    std::cout << "digest " << std::hex << std::setw(16) << std::setfill('0') << result.digest << std::dec
              << std::setfill(' ') << " after " << result.steps << " steps\n";
    if (!quiet) result.summary.print(std::cout);
    if (result.violation) report(std::cout, scenario, *result.violation, as);
    else std::cout << "all rules were kept\n";
    return result.violation ? rule_broken : rules_kept;
}

}  // namespace

int main(int count, char** arguments) {
    CLI::App app("Runs whole proxies on a virtual clock, under faults drawn from a seed");
    app.require_subcommand(1);

    Sweep options;
    options.jobs = std::max(1u, std::thread::hardware_concurrency());
    auto* sweep_command = app.add_subcommand("sweep", "run many seeds");
    sweep_command->add_option("--from", options.from, "the first seed")->required();
    sweep_command->add_option("--seeds", options.seeds, "number of seeds")
        ->required()
        ->check(CLI::Range(1, 100'000'000));
    sweep_command->add_option("--jobs", options.jobs, "runs at the same time")->check(CLI::Range(1, 1024));
    sweep_command->add_flag("--first", options.stop_at_first, "stop at the first broken rule");
    sweep_command->add_option("--record", options.record,
                              "write a line for each seed to this file: steps, digest and rule");

    uint64_t seed = 0, until = 0;
    std::string trace_path, path, out = "shrunk.toml";
    bool quiet = false;
    auto* replay_command = app.add_subcommand("replay", "run one seed");
    replay_command->add_option("--seed", seed)->required();
    auto* run_command = app.add_subcommand("run", "run a scenario file");
    run_command->add_option("FILE", path)->required();
    for (auto* each : {replay_command, run_command}) {
        each->add_option("--until", until, "stop after this step");
        each->add_option("--trace", trace_path, "write a line for each event to this file; - for standard output");
        each->add_flag("--quiet", quiet, "don't print the summary");
    }

    int max_runs = 600;
    auto* shrink_command = app.add_subcommand("shrink", "find the smallest scenario that still breaks the same rule");
    auto* of_seed = shrink_command->add_option("--seed", seed);
    shrink_command->add_option("--file", path, "a scenario file instead of a seed")->excludes(of_seed);
    shrink_command->add_option("--out", out, "file for the smallest scenario")->capture_default_str();
    shrink_command->add_option("--most-runs", max_runs, "maximum number of runs")
        ->capture_default_str()
        ->check(CLI::Range(1, 100'000));

    auto* scenario_command = app.add_subcommand("scenario", "print the scenario of a seed");
    scenario_command->add_option("--seed", seed)->required();
    app.add_subcommand("faults", "list the kinds of faults");

    try {
        app.parse(count, arguments);
    } catch (const CLI::Success& success) {
        return app.exit(success);
    } catch (const CLI::ParseError& error) {
        std::cerr << "myrtleroute_lab: " << error.what() << '\n';
        return bad_request;
    }
    try {
        if (app.got_subcommand("faults")) {
            for (int i = 0; i < static_cast<int>(FaultKind::kinds); ++i) {
                const auto& name = info_of(static_cast<FaultKind>(i));
                static constexpr const char* target[] = {"a server", "a proxy", "discovery", "all"};
                std::cout << std::left << std::setw(20) << name.name << std::setw(11)
                          << target[static_cast<int>(name.target)] << name.text << '\n';
            }
            return rules_kept;
        }
        if (app.got_subcommand("scenario")) {
            std::cout << write_scenario(draw_scenario(seed));
            return rules_kept;
        }
        if (sweep_command->parsed()) return sweep(options, std::cout, std::cerr) ? rules_kept : rule_broken;
        if (replay_command->parsed())
            return run_and_print(draw_scenario(seed), "replay --seed " + std::to_string(seed), until, trace_path,
                                 quiet);
        if (run_command->parsed()) return run_and_print(read_scenario(path), "run " + path, until, trace_path, quiet);
        if (path.empty() && of_seed->count() == 0) {
            std::cerr << "myrtleroute_lab: shrink: --seed or --file is required\n";
            return bad_request;
        }
        const auto smallest = shrink(path.empty() ? draw_scenario(seed) : read_scenario(path), max_runs, std::cerr);
        if (!smallest) {
            std::cout << "the scenario breaks no rule\n";
            return rules_kept;
        }
        std::ofstream file(out);
        file << write_scenario(*smallest);
        if (!file.flush()) {
            std::cerr << "myrtleroute_lab: --out: can't write " << out << '\n';
            return bad_request;
        }
        return run_and_print(*smallest, "run " + out, 0, "", true);
    } catch (const ScenarioError& error) {
        std::cerr << error.what() << '\n';
        return bad_request;
    }
}
