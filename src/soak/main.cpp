// Runs fleets of real processes under random faults. Exit status: 0 every invariant held, 1 an invariant was violated,
// 2 usage or start-up error, 3 interrupted.
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>

#include "soak/soak.hpp"

namespace {

using namespace myrtleroute::soak;
namespace fs = std::filesystem;

constexpr int invariants_held = 0, invariant_broken = 1, error_status = 2, interrupted_status = 3;

struct Command {
    SoakOptions soak;
    std::string keep;   // directory for logs; empty: a temporary one, kept only if an invariant was violated
    uint64_t from = 1, seeds = 20;
    unsigned jobs = 1;
};

fs::path make_directory(const Command& command) {
    const auto of_seed = "seed-" + std::to_string(command.soak.seed);
    if (command.keep.empty()) {
        std::string name = (fs::temp_directory_path() / ("myrtleroute-soak-" + of_seed + "-XXXXXX")).string();
        if (!::mkdtemp(name.data()))
            throw std::runtime_error("cannot create a temporary directory for seed " +
                                     std::to_string(command.soak.seed));
        return name;
    }
    auto directory = fs::absolute(command.keep) / of_seed;
    fs::remove_all(directory);
    fs::create_directories(directory);
    return directory;
}

void print(const Outcome& outcome, uint64_t seed) {
    const char* result = outcome.interrupted ? "interrupted" : outcome.violations.empty() ? "held" : "BROKE";
    std::ostringstream text;   // written in one piece, as parallel processes print as well
    text << "seed " << seed << ": " << result << "; " << outcome.summary << '\n';
    for (const auto& violation : outcome.violations)
        text << "  " << name_of(violation.rule) << " at " << violation.at << ": " << violation.text << '\n';
    if (!outcome.violations.empty()) text << outcome.timeline;
    std::cout << text.str() << std::flush;
}

// Runs one seed and prints the outcome.
int run(Command command) {
    const auto directory = make_directory(command);
    command.soak.directory = directory.string();
    Soak soak(command.soak);
    const auto outcome = soak.run();
    print(outcome, command.soak.seed);
    std::ofstream(directory / "timeline.txt") << outcome.timeline;
    std::ofstream(directory / "requests.csv") << soak.requests_text();
    if (command.keep.empty()) fs::remove_all(directory / "data");
    if (command.keep.empty() && outcome.violations.empty())
        fs::remove_all(directory);
    else
        std::cout << "  logs: " << directory.string() << std::endl;
    if (outcome.interrupted) return interrupted_status;
    return outcome.violations.empty() ? invariants_held : invariant_broken;
}

volatile sig_atomic_t stop_requested = 0;
void request_stop(int) { stop_requested = 1; }

// Runs each seed in its own process, up to `jobs` at a time.
class Sweep {
public:
    explicit Sweep(const Command& command) : command_(command) {}

    int run() {
        struct sigaction action {};   // no SA_RESTART, so that it interrupts waitpid
        action.sa_handler = request_stop;
        ::sigaction(SIGINT, &action, nullptr);
        ::sigaction(SIGTERM, &action, nullptr);
        uint64_t next = command_.from;
        const uint64_t end = command_.from + command_.seeds;
        while (!stop_requested && (next < end || !running_.empty())) {
            if (next < end && running_.size() < command_.jobs)
                start(next++);
            else
                wait_for_one();
        }
        for (const auto& [pid, seed] : running_) ::kill(pid, SIGTERM);
        while (!running_.empty()) wait_for_one();
        if (stop_requested) return interrupted_status;
        std::cout << command_.seeds << " seeds run, " << failed_seeds_.size() << " broken";
        for (const auto seed : failed_seeds_) std::cout << ' ' << seed;
        std::cout << std::endl;
        return failed_seeds_.empty() ? invariants_held : invariant_broken;
    }

private:
    void start(uint64_t seed) {
        const pid_t sweep = ::getpid(), pid = ::fork();
        if (pid < 0) throw std::runtime_error("cannot fork a process for seed " + std::to_string(seed));
        if (pid > 0) {
            running_[pid] = seed;
            return;
        }
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);   // killed when the sweep ends, for whatever reason
        if (::getppid() != sweep) ::_exit(error_status);
        command_.soak.seed = seed;
        ::_exit(run_seed(command_));
    }

    static int run_seed(const Command& command) {
        try {
            return ::run(command);
        } catch (const std::exception& error) {
            std::cerr << "seed " << command.soak.seed << ": " << error.what() << std::endl;
            return error_status;
        }
    }

    void wait_for_one() {
        int status = 0;
        const auto ended = running_.extract(::waitpid(-1, &status, 0));
        if (ended.empty()) return;
        if (!WIFEXITED(status) || WEXITSTATUS(status) != invariants_held) failed_seeds_.push_back(ended.mapped());
    }

    Command command_;
    std::map<pid_t, uint64_t> running_;   // seeds
    std::vector<uint64_t> failed_seeds_;
};

void add_common(CLI::App& app, Command& command) {
    app.add_option("--program", command.soak.program, "Path of myrtlerouted")->required()->check(CLI::ExistingFile);
    app.add_option("--seconds", command.soak.seconds, "Duration of the fault phase in seconds")
        ->check(CLI::Range(2.0, 86400.0));
    app.add_option("--control", command.soak.size.controls, "Machines with a control node")->check(CLI::Range(3, 20));
    app.add_option("--proxies", command.soak.size.proxies, "Machines, each with a proxy")->check(CLI::Range(3, 250));
    app.add_flag("--planned", command.soak.planned,
                 "Only planned work: stops, reloads and configuration changes in series");
    app.add_flag("--storm", command.soak.storm, "All parts of the configuration change without a pause");
    app.add_option("--kept-clients", command.soak.kept_clients, "Number of clients with persistent connections")
        ->check(CLI::Range(0, 5000));
    app.add_option("--unframed-share", command.soak.unframed_share,
                   "Share of the hosts' responses without a length, which end with their connection")
        ->check(CLI::Range(0.0, 1.0));
    app.add_option("--keep", command.keep, "Directory in which the logs and data directories of every seed are kept");
}

}   // namespace

int main(int argc, char** argv) {
    Command command;
    CLI::App app("Fleets of real processes under random faults: docs/soak.md.");
    app.require_subcommand(1);
    auto* one = app.add_subcommand("run", "Runs one seed");
    add_common(*one, command);
    one->add_option("--seed", command.soak.seed, "Seed of faults, traffic and configuration changes");
    auto* many = app.add_subcommand("sweep", "Runs several seeds, each in its own process");
    add_common(*many, command);
    many->add_option("--from", command.from, "First seed");
    many->add_option("--seeds", command.seeds, "Number of seeds");
    many->add_option("--jobs", command.jobs, "Number of seeds run in parallel")->check(CLI::Range(1, 16));
    try {
        app.parse(argc, argv);
        if (command.soak.size.proxies < command.soak.size.controls)
            throw CLI::ValidationError("--proxies",
                                       "must be at least --control, as every machine with a control node has a proxy");
        command.soak.program = fs::absolute(command.soak.program).string();
        return one->parsed() ? run(command) : Sweep(command).run();
    } catch (const CLI::ParseError& error) {
        return app.exit(error) ? error_status : invariants_held;
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return error_status;
    }
}
