// The rig's command line. Exit status: 0 all rules were kept, 1 one was broken, 2 what was asked is at fault or could
// not be started, 130 interrupted (what was measured is kept).
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

constexpr int kept = 0, broke = 1, at_fault = 2, stopped = 130;

size_t all_descriptors() {
    rlimit most{};
    ::getrlimit(RLIMIT_NOFILE, &most);
    most.rlim_cur = most.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &most);
    return most.rlim_cur;
}

int be_part(const std::string& kind, Experiment e, const std::string& dir, int number, int of) {
    const auto name = kind + "-" + std::to_string(number);
    try {
        if (kind == "servers") return Servers(std::move(e), dir, name, number, of).run();
        if (kind == "discovery") return Discovery(std::move(e), dir, name).run();
        if (kind == "relay") return Relay(std::move(e), dir, name, number, of).run();
        if (kind == "load") return Load(std::move(e), dir, name, number, of).run();
    } catch (const std::exception& trouble) {
        std::cerr << name << ": " << trouble.what() << '\n';
    }
    return at_fault;
}

// A run that kept the rules needs its processes' logs no more.
void tidy(const fs::path& dir) {
    std::vector<fs::path> logs;
    for (const auto& entry : fs::directory_iterator(dir))
        if (const auto name = entry.path().filename().string(); name.starts_with("p") && (name.ends_with(".log") || name.ends_with(".json")))
            logs.push_back(entry.path());
    for (const auto& path : logs) fs::remove(path);
}

struct Asked {
    std::string file, dir, only_arm;
    How how;
    int seed = -1, repeats = 0;
    bool keep = false, quiet = false;
};

// Folders of runs in or below one.
std::vector<std::string> runs_in(const std::string& dir) {
    std::vector<std::string> found;
    if (fs::exists(dir + "/run.json")) return {dir};
    for (const auto& entry : fs::directory_iterator(dir))
        if (fs::exists(entry.path() / "run.json")) found.push_back(entry.path().string());
    std::sort(found.begin(), found.end());
    return found;
}

void report(const std::string& dir) {
    std::vector<Seen> all;
    for (const auto& run : runs_in(dir)) {
        Seen seen{read_day(run), {}, {}};
        seen.figures = figures(seen.day);
        seen.verdict = judge(seen.day);
        all.push_back(std::move(seen));
    }
    const auto path = dir + "/report.html";
    std::ofstream page(path);
    write_report(page, all);
    if (!page.flush()) throw std::runtime_error(path + " can't be written");
    std::cout << path << '\n';
}

int run(Asked asked) {
    Experiment e = read_experiment(asked.file);
    if (asked.seed >= 0) e.seed = static_cast<uint64_t>(asked.seed);
    if (asked.repeats > 0) e.repeats = asked.repeats;
    if (asked.dir.empty()) {
        char stamp[32];
        const auto now = std::time(nullptr);
        std::strftime(stamp, sizeof stamp, "%Y%m%d-%H%M%S", std::localtime(&now));
        asked.dir = "fleet-runs/" + e.name + "-" + stamp + "-" + std::to_string(::getpid());
    }
    fs::create_directories(asked.dir);
    asked.how.file = asked.file;
    bool sound = true, met = false;
    for (int repeat = 0; repeat < e.repeats; ++repeat)
        for (size_t arm = 0; arm < e.arms.size(); ++arm) {
            if (!asked.only_arm.empty() && e.arms[arm].name != asked.only_arm) continue;
            met = true;
            Experiment one = e;
            one.seed = e.seed + static_cast<uint64_t>(repeat);   // arms are paired by seed
            const auto dir = asked.dir + "/" + std::to_string(arm) + "-" + std::to_string(repeat);
            Conductor conductor(one, arm, repeat, dir, asked.how);
            const Day day = conductor.run();
            const auto f = figures(day);
            const auto verdict = judge(day);
            if (!asked.quiet) print(std::cout, day, f);
            print(std::cout, verdict);
            std::ofstream results(asked.dir + "/results.jsonl", std::ios::app);
            auto line = to_json(day, f);
            line["broken"] = verdict.breaks.size();
            results << line.dump() << '\n';
            sound &= verdict.kept();
            if (verdict.kept() && !asked.keep) tidy(dir);
            if (conductor.interrupted()) {
                report(asked.dir);
                return stopped;
            }
        }
    if (!met) throw std::runtime_error("--arm: " + asked.only_arm + " is no arm of " + asked.file);
    report(asked.dir);
    return sound ? kept : broke;
}

void list(const std::string& dir) {
    std::vector<fs::path> files;
    for (const auto& entry : fs::directory_iterator(dir))
        if (entry.path().extension() == ".toml") files.push_back(entry.path());
    std::sort(files.begin(), files.end());
    for (const auto& file : files) {
        const auto e = read_experiment(file.string());
        std::cout << std::left << std::setw(36) << file.string() << e.proxies << " by " << e.servers << ", " << e.lasts.s << " s"
                  << (e.arms.size() > 1 ? ", " + std::to_string(e.arms.size()) + " arms" : "") << ": " << e.text << '\n';
    }
}

}  // namespace

int main(int count, char** words) {
    CLI::App app("Hundreds of real processes on loopback, faults between them, and what they do together");
    app.require_subcommand(1);
    Asked asked;
    auto* runs = app.add_subcommand("run", "play an experiment");
    runs->add_option("FILE", asked.file, "the experiment")->required();
    runs->add_option("--program", asked.how.program, "the proxies' program (else `run` of the deploy file)");
    runs->add_option("--deploy", asked.how.deploy, "the deploy file")->capture_default_str();
    runs->add_option("--dir", asked.dir, "where the runs are left");
    runs->add_option("--seed", asked.seed, "instead of the file's")->check(CLI::Range(0, 1 << 30));
    runs->add_option("--repeats", asked.repeats, "instead of the file's")->check(CLI::Range(1, 1000));
    runs->add_option("--arm", asked.only_arm, "only this one");
    runs->add_option("--log", asked.how.variables, "log level of the proxies");
    runs->add_flag("--keep", asked.keep, "keep the logs of sound runs too");
    runs->add_flag("--quiet", asked.quiet, "the verdict only");

    std::string dir = "rig", kind;
    auto* lists = app.add_subcommand("list", "the experiments in a folder");
    lists->add_option("DIR", dir)->capture_default_str();
    auto* reports = app.add_subcommand("report", "the page of the runs in a folder");
    reports->add_option("DIR", dir)->required();
    auto* judges = app.add_subcommand("judge", "judge the runs in a folder again");
    judges->add_option("DIR", dir)->required();
    app.add_subcommand("faults", "the kinds of faults");

    std::vector<int> links{1, 100, 3000};
    auto* costs = app.add_subcommand("relay-cost", "what a relay adds: latency, connections and bytes a second");
    costs->add_option("--links", links, "at so many")->capture_default_str();

    int number = 0, of = 1;
    auto* parts = app.add_subcommand("part", "one of the rig's own processes; started by `run`")->group("");
    parts->add_option("KIND", kind)->required();
    parts->add_option("--file", asked.file)->required();
    parts->add_option("--seed", asked.seed)->required();
    parts->add_option("--dir", asked.dir)->required();
    parts->add_option("--number", number);
    parts->add_option("--of", of);

    try {
        app.parse(count, words);
    } catch (const CLI::Success& done) {
        return app.exit(done);
    } catch (const CLI::ParseError& fault) {
        std::cerr << "myrtleroute_fleet: " << fault.what() << '\n';
        return at_fault;
    }
    try {
        asked.how.most_descriptors = all_descriptors();
        asked.how.terminal = ::isatty(2) == 1;
        asked.how.self = fs::read_symlink("/proc/self/exe").string();
        if (runs->parsed()) return run(asked);
        if (lists->parsed()) list(dir);
        if (reports->parsed()) report(dir);
        if (costs->parsed()) relay_cost(std::cout, asked.how.self, links);
        if (parts->parsed()) {
            Experiment e = read_experiment(asked.file);
            e.seed = static_cast<uint64_t>(asked.seed);
            return be_part(kind, std::move(e), asked.dir, number, of);
        }
        bool sound = true;
        if (judges->parsed())
            for (const auto& each : runs_in(dir)) {
                const Day day = read_day(each);
                const auto verdict = judge(day);
                print(std::cout, day, figures(day));
                print(std::cout, verdict);
                sound &= verdict.kept();
            }
        if (app.got_subcommand("faults"))
            for (int i = 0; i < static_cast<int>(FaultKind::kinds); ++i) {
                static constexpr const char* whom[] = {"proxies", "servers", "discovery", "links"};
                const auto& name = name_of(static_cast<FaultKind>(i));
                std::cout << std::left << std::setw(14) << name.name << std::setw(11) << whom[static_cast<int>(name.whom)] << name.text << '\n';
            }
        return sound ? kept : broke;
    } catch (const std::exception& trouble) {
        std::cerr << "myrtleroute_fleet: " << trouble.what() << '\n';
        return at_fault;
    }
}
