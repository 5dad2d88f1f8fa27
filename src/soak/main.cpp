// Runs fleets of real processes under random faults. Exit status: 0 every invariant held, 1 one broke, 2 what was asked is
// at fault, 3 interrupted.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <thread>

#include "rig/process.hpp"
#include "soak/soak.hpp"

namespace {

using namespace myrtleroute::soak;

constexpr int held = 0, broke = 1, at_fault = 2, interrupted = 3;

volatile sig_atomic_t end_asked = 0;
void ask_for_end(int) { end_asked = 1; }

struct Command {
    SoakOptions soak;
    std::string keep;   // folder for logs; empty: a temporary one, kept where an invariant broke
    uint64_t from = 1, seeds = 20;
    unsigned jobs = 1;
};

std::string make_directory(const Command& command) {
    if (command.keep.empty()) {
        std::string name = (std::filesystem::temp_directory_path() / "myrtleroute-soak-XXXXXX").string();
        if (!::mkdtemp(name.data())) throw std::runtime_error("no temporary folder can be made");
        return name;
    }
    const auto directory = std::filesystem::absolute(command.keep) / ("seed-" + std::to_string(command.soak.seed));
    std::filesystem::remove_all(directory);
    std::filesystem::create_directories(directory);
    return directory.string();
}

// Plays one seed and tells what was found.
int run(Command command) {
    command.soak.directory = make_directory(command);
    const std::filesystem::path directory = command.soak.directory;
    Soak soak(command.soak);
    const auto outcome = soak.run();
    const bool keeps = !command.keep.empty() || !outcome.violations.empty();
    std::ofstream(directory / "timeline.txt") << outcome.timeline;
    std::ofstream(directory / "requests.csv") << soak.requests_text();
    if (command.keep.empty()) std::filesystem::remove_all(directory / "data");
    if (!keeps) std::filesystem::remove_all(directory);
    std::cout << "seed " << command.soak.seed << ": "
              << (outcome.interrupted          ? "interrupted"
                  : outcome.violations.empty() ? "held"
                                               : "BROKE")
              << "; " << outcome.summary << '\n';
    for (const auto& violation : outcome.violations)
        std::cout << "  " << name_of(violation.rule) << " at " << violation.at << ": " << violation.text << '\n';
    if (!outcome.violations.empty()) std::cout << outcome.timeline;
    if (keeps) std::cout << "  logs: " << directory.string() << '\n';
    std::cout.flush();
    if (outcome.interrupted) return interrupted;
    return outcome.violations.empty() ? held : broke;
}

// Plays seeds in processes of their own, some at a time.
class Sweep {
public:
    explicit Sweep(const Command& command) : command_(command), directory_(temporary()) {}
    ~Sweep() { std::filesystem::remove_all(directory_); }
    Sweep(const Sweep&) = delete;
    Sweep& operator=(const Sweep&) = delete;

    int run() {
        ::signal(SIGINT, ask_for_end);
        ::signal(SIGTERM, ask_for_end);
        uint64_t next = command_.from;
        const uint64_t end = command_.from + command_.seeds;
        while (next < end || !running_.empty()) {
            if (end_asked) return give_up();
            while (next < end && running_.size() < command_.jobs) start(next++);
            reap();
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        std::cout << command_.seeds << " seeds played, " << broken_.size() << " broken";
        for (const auto seed : broken_) std::cout << ' ' << seed;
        std::cout << '\n';
        return broken_.empty() ? held : broke;
    }

private:
    static std::string temporary() {
        std::string name = (std::filesystem::temp_directory_path() / "myrtleroute-soak-sweep-XXXXXX").string();
        if (!::mkdtemp(name.data())) throw std::runtime_error("no temporary folder can be made");
        return name;
    }

    std::string output_of(uint64_t seed) const { return directory_ + "/" + std::to_string(seed); }

    void start(uint64_t seed) {
        myrtleroute::rig::Start start;
        start.words = {std::filesystem::read_symlink("/proc/self/exe").string(),
                       "run",
                       "--program",
                       command_.soak.program,
                       "--seed",
                       std::to_string(seed),
                       "--seconds",
                       std::to_string(command_.soak.seconds),
                       "--control",
                       std::to_string(command_.soak.size.controls),
                       "--proxies",
                       std::to_string(command_.soak.size.proxies)};
        if (!command_.keep.empty()) start.words.insert(start.words.end(), {"--keep", command_.keep});
        start.output = output_of(seed);
        const auto pid = myrtleroute::rig::start(start);
        if (pid < 0) throw std::runtime_error("no process can be started");
        running_[pid] = seed;
    }

    void reap() {
        for (auto ended = myrtleroute::rig::next_ended(); ended.pid; ended = myrtleroute::rig::next_ended()) {
            const auto run = running_.extract(ended.pid);
            if (run.empty()) continue;
            std::cout << std::ifstream(output_of(run.mapped())).rdbuf() << std::flush;
            if (ended.by_signal || ended.code != held) broken_.push_back(run.mapped());
            if (ended.by_signal) std::cout << "seed " << run.mapped() << " was ended by signal " << ended.code << '\n';
        }
    }

    int give_up() {
        for (const auto& [pid, seed] : running_) ::kill(pid, SIGTERM);
        for (const auto& [pid, seed] : running_) ::waitpid(pid, nullptr, 0);
        return interrupted;
    }

    Command command_;
    std::string directory_;   // of what runs print
    std::map<pid_t, uint64_t> running_;
    std::vector<uint64_t> broken_;
};

void add_common(CLI::App& app, Command& command) {
    app.add_option("--program", command.soak.program, "Path of myrtlerouted")->required()->check(CLI::ExistingFile);
    app.add_option("--seconds", command.soak.seconds, "With faults")->check(CLI::Range(2.0, 86400.0));
    app.add_option("--control", command.soak.size.controls, "Machines with a control node")->check(CLI::Range(3, 20));
    app.add_option("--proxies", command.soak.size.proxies, "Machines, each with a proxy")->check(CLI::Range(3, 100));
    app.add_option("--keep", command.keep, "Folder in which logs and disks of every seed are kept");
}

}   // namespace

int main(int argc, char** argv) {
    Command command;
    CLI::App app("Fleets of real processes under random faults: docs/soak.md.");
    app.require_subcommand(1);
    auto* one = app.add_subcommand("run", "Plays one seed");
    add_common(*one, command);
    one->add_option("--seed", command.soak.seed, "Of faults, traffic and orders");
    auto* many = app.add_subcommand("sweep", "Plays seeds, each in a process of its own");
    add_common(*many, command);
    many->add_option("--from", command.from, "First seed");
    many->add_option("--seeds", command.seeds, "How many");
    many->add_option("--jobs", command.jobs, "At a time")->check(CLI::Range(1, 16));
    try {
        app.parse(argc, argv);
        if (command.soak.size.proxies < command.soak.size.controls)
            throw CLI::ValidationError("--proxies", "every control machine has a proxy: at least as many are needed");
        command.soak.program = std::filesystem::absolute(command.soak.program).string();
        return one->parsed() ? run(command) : Sweep(command).run();
    } catch (const CLI::ParseError& fault) {
        const int code = app.exit(fault);
        return code ? at_fault : held;
    } catch (const std::exception& fault) {
        std::cerr << fault.what() << '\n';
        return at_fault;
    }
}
