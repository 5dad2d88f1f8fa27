// Command line of the rig. Exit status: 0 all rules were kept, 1 a rule was broken, 2 invalid arguments or experiment, or a
// process could not be started, 130 interrupted (the results so far are kept).
#include <CLI/CLI.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>

#include "rig/conductor.hpp"
#include "rig/discovery.hpp"
#include "rig/load.hpp"
#include "rig/relay.hpp"
#include "rig/relay_cost.hpp"
#include "rig/report.hpp"
#include "rig/servers.hpp"

namespace {

using namespace myrtleroute::rig;
namespace fs = std::filesystem;

constexpr int success = 0, rule_broken = 1, failed = 2, interrupted_status = 130;

size_t all_descriptors() {
    rlimit most{};
    ::getrlimit(RLIMIT_NOFILE, &most);
    most.rlim_cur = most.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &most);
    return most.rlim_cur;
}

int run_part(const std::string& kind, Experiment e, const std::string& dir, int number, int of) {
    const auto name = kind + "-" + std::to_string(number);
    try {
        if (kind == "servers") return Servers(std::move(e), dir, name, number, of).run();
        if (kind == "discovery") return Discovery(std::move(e), dir, name).run();
        if (kind == "relay") return Relay(std::move(e), dir, name, number, of).run();
        if (kind == "load") return Load(std::move(e), dir, name, number, of).run();
    } catch (const std::exception& error) {
        std::cerr << name << ": " << error.what() << '\n';
    }
    return failed;
}

// Removes the proxies' logs and configurations; used for runs without a violation.
void remove_logs(const fs::path& dir) {
    std::vector<fs::path> logs;
    for (const auto& entry : fs::directory_iterator(dir))
        if (const auto name = entry.path().filename().string(); name.starts_with("p") && (name.ends_with(".log") || name.ends_with(".json")))
            logs.push_back(entry.path());
    for (const auto& path : logs) fs::remove(path);
}

struct CommandLine {
    std::string file, dir, only_arm;
    RunOptions options;
    int seed = -1, repeats = 0;
    bool keep = false, quiet = false;
};

// Run folders: the folder itself or its direct subfolders.
std::vector<std::string> runs_in(const std::string& dir) {
    std::vector<std::string> found;
    if (fs::exists(dir + "/run.json")) return {dir};
    for (const auto& entry : fs::directory_iterator(dir))
        if (fs::exists(entry.path() / "run.json")) found.push_back(entry.path().string());
    std::sort(found.begin(), found.end());
    return found;
}

void report(const std::string& dir) {
    std::vector<ReportedRun> all;
    for (const auto& run : runs_in(dir)) {
        ReportedRun run_data{read_record(run), {}, {}};
        run_data.figures = figures(run_data.record);
        run_data.verdict = judge(run_data.record);
        all.push_back(std::move(run_data));
    }
    const auto path = dir + "/report.html";
    std::ofstream page(path);
    write_report(page, all);
    if (!page.flush()) throw std::runtime_error(path + " can't be written");
    std::cout << path << '\n';
}

int run(CommandLine arguments) {
    Experiment e = read_experiment(arguments.file);
    if (arguments.seed >= 0) e.seed = static_cast<uint64_t>(arguments.seed);
    if (arguments.repeats > 0) e.repeats = arguments.repeats;
    if (arguments.dir.empty()) {
        char stamp[32];
        const auto now = std::time(nullptr);
        std::strftime(stamp, sizeof stamp, "%Y%m%d-%H%M%S", std::localtime(&now));
        arguments.dir = "fleet-runs/" + e.name + "-" + stamp + "-" + std::to_string(::getpid());
    }
    fs::create_directories(arguments.dir);
    arguments.options.file = arguments.file;
    bool all_passed = true, arm_found = false;
    for (int repeat = 0; repeat < e.repeats; ++repeat)
        for (size_t arm = 0; arm < e.arms.size(); ++arm) {
            if (!arguments.only_arm.empty() && e.arms[arm].name != arguments.only_arm) continue;
            arm_found = true;
            Experiment one = e;
            one.seed = e.seed + static_cast<uint64_t>(repeat);   // arms are paired by seed
            const auto dir = arguments.dir + "/" + std::to_string(arm) + "-" + std::to_string(repeat);
            Conductor conductor(one, arm, repeat, dir, arguments.options);
            const RunRecord record = conductor.run();
            const auto f = figures(record);
            const auto verdict = judge(record);
            if (!arguments.quiet) print(std::cout, record, f);
            print(std::cout, verdict);
            std::ofstream results(arguments.dir + "/results.jsonl", std::ios::app);
            auto line = to_json(record, f);
            line["broken"] = verdict.violations.size();
            results << line.dump() << '\n';
            all_passed &= verdict.passed();
            if (verdict.passed() && !arguments.keep) remove_logs(dir);
            if (conductor.interrupted()) {
                report(arguments.dir);
                return interrupted_status;
            }
        }
    if (!arm_found) throw std::runtime_error("--arm: " + arguments.only_arm + " is not an arm of " + arguments.file);
    report(arguments.dir);
    return all_passed ? success : rule_broken;
}

void list(const std::string& dir) {
    std::vector<fs::path> files;
    for (const auto& entry : fs::directory_iterator(dir))
        if (entry.path().extension() == ".toml") files.push_back(entry.path());
    std::sort(files.begin(), files.end());
    for (const auto& file : files) {
        const auto e = read_experiment(file.string());
        std::cout << std::left << std::setw(36) << file.string() << e.proxies << " by " << e.servers << ", "
                  << e.duration.s << " s" << (e.arms.size() > 1 ? ", " + std::to_string(e.arms.size()) + " arms" : "")
                  << ": " << e.text << '\n';
    }
}

}  // namespace

int main(int count, char** words) {
    CLI::App app(
        "Runs a fleet of hundreds of real processes on loopback under injected faults and checks it against rules");
    app.require_subcommand(1);
    CommandLine arguments;
    auto* runs = app.add_subcommand("run", "run an experiment");
    runs->add_option("FILE", arguments.file, "the experiment")->required();
    runs->add_option("--program", arguments.options.program, "the proxies' program (else `run` of the deploy file)");
    runs->add_option("--deploy", arguments.options.deploy, "the deploy file")->capture_default_str();
    runs->add_option("--dir", arguments.dir, "folder for the runs");
    runs->add_option("--seed", arguments.seed, "overrides the value in the file")->check(CLI::Range(0, 1 << 30));
    runs->add_option("--repeats", arguments.repeats, "overrides the value in the file")->check(CLI::Range(1, 1000));
    runs->add_option("--arm", arguments.only_arm, "run only this arm");
    runs->add_option("--log", arguments.options.log_level, "log level of the proxies");
    runs->add_flag("--keep", arguments.keep, "keep the logs of runs without a violation too");
    runs->add_flag("--quiet", arguments.quiet, "print the verdict only");

    std::string dir = "rig", kind;
    auto* lists = app.add_subcommand("list", "list the experiments in a folder");
    lists->add_option("DIR", dir)->capture_default_str();
    auto* reports = app.add_subcommand("report", "write the report of the runs in a folder");
    reports->add_option("DIR", dir)->required();
    auto* judges = app.add_subcommand("judge", "judge the runs in a folder again");
    judges->add_option("DIR", dir)->required();
    app.add_subcommand("faults", "list the kinds of faults");

    std::vector<int> links{1, 100, 3000};
    auto* costs =
        app.add_subcommand("relay-cost", "measure the cost of a relay: latency, connections and bytes per second");
    costs->add_option("--links", links, "numbers of links to measure")->capture_default_str();

    int number = 0, of = 1;
    auto* parts = app.add_subcommand("part", "one of the rig's own processes; started by `run`")->group("");
    parts->add_option("KIND", kind)->required();
    parts->add_option("--file", arguments.file)->required();
    parts->add_option("--seed", arguments.seed)->required();
    parts->add_option("--dir", arguments.dir)->required();
    parts->add_option("--number", number);
    parts->add_option("--of", of);

    try {
        app.parse(count, words);
    } catch (const CLI::Success& done) {
        return app.exit(done);
    } catch (const CLI::ParseError& fault) {
        std::cerr << "myrtleroute_fleet: " << fault.what() << '\n';
        return failed;
    }
    try {
        arguments.options.max_descriptors = all_descriptors();
        arguments.options.terminal = ::isatty(2) == 1;
        arguments.options.self = fs::read_symlink("/proc/self/exe").string();
        if (runs->parsed()) return run(arguments);
        if (lists->parsed()) list(dir);
        if (reports->parsed()) report(dir);
        if (costs->parsed()) relay_cost(std::cout, arguments.options.self, links);
        if (parts->parsed()) {
            Experiment e = read_experiment(arguments.file);
            e.seed = static_cast<uint64_t>(arguments.seed);
            return run_part(kind, std::move(e), arguments.dir, number, of);
        }
        bool all_passed = true;
        if (judges->parsed())
            for (const auto& each : runs_in(dir)) {
                const RunRecord record = read_record(each);
                const auto verdict = judge(record);
                print(std::cout, record, figures(record));
                print(std::cout, verdict);
                all_passed &= verdict.passed();
            }
        if (app.got_subcommand("faults"))
            for (int i = 0; i < static_cast<int>(FaultKind::kinds); ++i) {
                static constexpr const char* target[] = {"proxies", "servers", "discovery", "links"};
                const auto& name = name_of(static_cast<FaultKind>(i));
                std::cout << std::left << std::setw(14) << name.name << std::setw(11)
                          << target[static_cast<int>(name.target)] << name.text << '\n';
            }
        return all_passed ? success : rule_broken;
    } catch (const std::exception& error) {
        std::cerr << "myrtleroute_fleet: " << error.what() << '\n';
        return failed;
    }
}
