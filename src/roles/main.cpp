// Main program of the router fleet, `myrtlerouted ROLE`. The settings file is given by MYRTLEROUTE_SETTINGS or
// --settings.
#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <random>
#include <sstream>

#include "configuration/configuration.hpp"
#include "configuration/node_settings.hpp"
#include "roles/control/runtime.hpp"
#include "roles/log.hpp"
#include "roles/proxy/proxy.hpp"
#include "run/posix_system.hpp"

namespace {

using namespace myrtleroute;

constexpr const char* version = "1.0.0";
constexpr const char* settings_variable = "MYRTLEROUTE_SETTINGS";
constexpr int exit_ok = 0, exit_findings = 1, exit_error = 2;

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::string text(std::istreambuf_iterator<char>(file), {});
    if (!file) return {};
    return text;
}

ParseResult<configuration::NodeSettings> read_settings(const std::string& path) {
    if (path.empty()) return Findings{{settings_variable, "is not set, and --settings is not given"}};
    const auto text = read_file(path);
    if (!text) return Findings{{path, "can't be read"}};
    return configuration::read_node_settings(*text, path);
}

uint64_t random_seed() {
    std::random_device source;
    return static_cast<uint64_t>(source()) << 32 | source();
}

int run_proxy(const configuration::NodeSettings& settings, const std::string& path) {
    run::PosixSystem system;
    const auto reread = [path]() -> std::optional<configuration::NodeSettings> {
        auto checked = read_settings(path);
        if (auto* findings = std::get_if<Findings>(&checked)) {
            log_error() << "settings not reloaded, the previous ones stay in use: " << join_findings(*findings);
            return {};
        }
        return std::get<configuration::NodeSettings>(std::move(checked));
    };
    return proxy::Proxy(settings, system, random_seed(), reread).run();
}

// Validates a configuration or a settings file and prints every finding.
int check(const std::string& path) {
    const auto text = read_file(path);
    if (!text) {
        std::cout << path << ": can't be read\n";
        return exit_error;
    }
    const bool is_configuration =
        text->find_first_not_of(" \t\r\n") != text->npos && (*text)[text->find_first_not_of(" \t\r\n")] == '{';
    Findings findings;
    if (is_configuration) {
        auto checked = configuration::read_configuration(*text);
        if (auto* found = std::get_if<Findings>(&checked)) findings = std::move(*found);
    } else {
        auto checked = configuration::read_node_settings(*text, path);
        if (auto* found = std::get_if<Findings>(&checked)) findings = std::move(*found);
    }
    for (const auto& finding : findings) std::cout << finding.location << ": " << finding.message << '\n';
    if (findings.empty()) std::cout << path << ": sound\n";
    return findings.empty() ? exit_ok : exit_findings;
}

int run_role(const std::string& role, const std::string& path) {
    auto checked = read_settings(path);
    if (const auto* findings = std::get_if<Findings>(&checked)) {
        log_error() << join_findings(*findings);
        return exit_error;
    }
    const auto& settings = std::get<configuration::NodeSettings>(checked);
    return role == "proxy" ? run_proxy(settings, path) : control::run(settings);
}

}   // namespace

int main(int argc, char** argv) {
    std::signal(SIGHUP, SIG_IGN);   // ignored until the role handles it; the settings are still to be read then
    try {
        TCLAP::CmdLine command("Router fleet for a language model. Roles run until SIGTERM.", ' ', version);
        std::vector<std::string> commands{"proxy", "control", "check"};
        TCLAP::ValuesConstraint<std::string> roles(commands);
        TCLAP::UnlabeledValueArg<std::string> role("command", "The role to run, or `check` to validate a file.", true,
                                                   "", &roles);
        TCLAP::UnlabeledValueArg<std::string> file("file", "The file to check: a settings file or a configuration.",
                                                   false, "", "path");
        const char* from_environment = std::getenv(settings_variable);
        TCLAP::ValueArg<std::string> settings("s", "settings", "Settings file; defaults to MYRTLEROUTE_SETTINGS.",
                                              false, from_environment ? from_environment : "", "path", command);
        std::vector<std::string> levels{"debug", "info", "warning", "error"};
        TCLAP::ValuesConstraint<std::string> known_levels(levels);
        TCLAP::ValueArg<std::string> level("l", "log", "Minimum level of log lines.", false, "info", &known_levels,
                                           command);
        command.add(role);
        command.add(file);
        command.setExceptionHandling(false);   // command line errors have their own exit status
        command.parse(argc, argv);
        start_log(argc, argv, level.getValue());
        if (role.getValue() == "check") return check(file.getValue());
        return run_role(role.getValue(), settings.getValue());
    } catch (const TCLAP::ExitException& exit) {   // --help and --version
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException& error) {
        std::cerr << error.argId() << ": " << error.error() << '\n';
        return exit_error;
    }
}
