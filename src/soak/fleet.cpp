#include "soak/fleet.hpp"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include "rig/process.hpp"
#include "wire/text.hpp"

namespace myrtleroute::soak {
namespace {

constexpr double stop_grace = 8;        // seconds from SIGTERM to SIGKILL
constexpr double restart_delay = 0.2;   // seconds from the end of a process to its next start
constexpr double exec_delay = 0.1;      // seconds after the start; until exec the process is still a copy of the soak
constexpr size_t max_seed_nodes = 3;
constexpr size_t machine_group = 0, advertised_group = 1, host_group = 2;
constexpr uint16_t lock_port = 7499;
constexpr int first_block = 20, block_count = 200;

std::string role_name(Role role) { return role == Role::control ? "control" : "proxy"; }

}   // namespace

AddressBlock::AddressBlock(asio::io_context& context) : lock_(context) {
    using asio::ip::tcp;
    for (int i = 0; i < block_count; ++i) {
        number_ = first_block + (static_cast<int>(::getpid()) + i) % block_count;
        const tcp::endpoint at(asio::ip::make_address("127." + std::to_string(number_) + ".255.254"), lock_port);
        asio::error_code error;
        lock_.open(at.protocol());
        lock_.bind(at, error);
        if (!error) lock_.listen(1, error);
        if (!error) return;
        lock_.close();
    }
    throw std::runtime_error("no free block of loopback addresses in 127.20.0.0 to 127.219.255.255");
}

std::string Addresses::at(size_t group, size_t number) const {
    return "127." + std::to_string(block_) + "." + std::to_string(group) + "." + std::to_string(number + 1);
}
std::string Addresses::machine(size_t number) const { return at(machine_group, number); }
std::string Addresses::advertised(size_t number) const {
    return at(relayed_ ? advertised_group : machine_group, number);
}
std::string Addresses::host(size_t number) const { return at(host_group, number); }
Endpoint Addresses::control(size_t machine) const { return {advertised(machine), control_port}; }
Endpoint Addresses::metrics(Role role, size_t machine) const {
    return {this->machine(machine), static_cast<uint16_t>(role == Role::control ? 9101 : 9102)};
}

Fleet::Fleet(FleetOptions options, Addresses addresses, std::function<void(const std::string&)> on_unexpected_exit)
    : options_(std::move(options)), addresses_(addresses), on_unexpected_exit_(std::move(on_unexpected_exit)) {
    for (const auto role : {Role::control, Role::proxy}) {
        const size_t count = role == Role::control ? options_.size.controls : options_.size.proxies;
        for (size_t machine = 0; machine < count; ++machine) {
            Process process;
            process.role = role;
            process.machine = machine;
            process.name = role_name(role) + "-" + std::to_string(machine);
            if (role == Role::control)
                std::filesystem::create_directories(options_.directory + "/data/" + process.name);
            processes_.push_back(std::move(process));
        }
    }
}

Fleet::Process& Fleet::process(Role role, size_t machine) {
    return *std::find_if(processes_.begin(), processes_.end(),
                         [&](const auto& p) { return p.role == role && p.machine == machine; });
}

// The settings file for this start of the process; only the first start of the fleet bootstraps the cluster.
std::string Fleet::settings(const Process& process) const {
    const auto ip = addresses_.machine(process.machine);
    const auto listen = [&](const char* what, uint16_t port) {
        return "listen." + std::string(what) + "=" + ip + ":" + std::to_string(port) + "\n";
    };
    std::string text = "nodeName=machine-" + std::to_string(process.machine) + "\nip=" + ip +
                       "\nadvertise.address=" + addresses_.advertised(process.machine) + "\nzone=zone-" +
                       std::to_string(process.machine % 2) + "\ninternalPorts=7500,7515\nseeds=";
    for (size_t seed = 0; seed < std::min(max_seed_nodes, options_.size.controls); ++seed)
        text += (seed ? "," : "") + addresses_.control(seed).text();
    const auto metrics = addresses_.metrics(process.role, process.machine);
    text += "\nmetrics=" + std::to_string(metrics.port) + "/metrics\n";
    if (process.role == Role::control)
        text += listen("control", Addresses::control_port) + "dataDir=" + options_.directory + "/data/" + process.name +
                "\ncountsForQuorum=true\nbootstrap=" + (first_start_ ? "true" : "false") + "\n";
    else
        text += listen("front", Addresses::front_port) + listen("ready", Addresses::ready_port);
    return text + "faultTolerance.machines=1\nlimits.memoryMb=260\nlimits.maxFds=1000\nheartbeatMs=1200\n" +
           "bounds.contactMs=3000\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.configMs=2000\n" +
           "bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetSlack=64\n" +
           "bounds.quotaWindowS=" + std::to_string(options_.quota_window) +
           "\nbounds.quotaOver=" + std::to_string(options_.quota_over) +
           "\nbounds.quotaSlack=" + std::to_string(options_.quota_slack) + "\n";
}

bool handles_signal(std::string_view status, int number) {
    constexpr std::string_view masks[] = {"SigBlk:", "SigIgn:", "SigCgt:"};   // hexadecimal, the lowest bit is signal 1
    for (const auto name : masks) {
        const auto at = status.find(name);
        if (at == status.npos) continue;
        const auto digits = wire::trim(status.substr(at + name.size(), status.find('\n', at) - at - name.size()));
        uint64_t mask = 0;
        std::from_chars(digits.data(), digits.data() + digits.size(), mask, 16);
        if (mask >> (number - 1) & 1) return true;
    }
    return false;
}

// A signal that arrives before the program has installed its handler would terminate the process, and on a busy machine
// that can take any length of time. A service manager avoids this by waiting for the readiness notification.
bool Fleet::can_handle(const Process& process, int signal, double now) {
    if (!process.pid || now < process.started_at + exec_delay) return false;
    std::ifstream file("/proc/" + std::to_string(process.pid) + "/status");
    const std::string status{std::istreambuf_iterator<char>(file), {}};
    return handles_signal(status, signal);
}

void Fleet::launch(Process& process, double now) {
    const auto file = options_.directory + "/" + process.name;
    std::ofstream(file + ".conf") << settings(process);
    rig::ProcessOptions start;
    start.arguments = {options_.program, role_name(process.role)};
    start.environment = {{"MYRTLEROUTE_SETTINGS", file + ".conf"}};
    start.output = file + ".log";
    process.pid = std::max<pid_t>(0, rig::spawn(start));
    process.end_requested = false;
    process.kill_at = 0;
    process.started_at = now;
    if (process.pid && process.pause_count > 0) ::kill(process.pid, SIGSTOP);
}

void Fleet::start() {
    for (auto& process : processes_) launch(process, 0);
    first_start_ = false;
}

void Fleet::tick(double now) {
    reap(now);
    for (auto& process : processes_) {
        if (process.pid && process.kill_at > 0 && now >= process.kill_at) ::kill(process.pid, SIGKILL);
        if (!process.pid && now >= process.restart_at) launch(process, now);
    }
}

void Fleet::reap(double now) {
    for (auto ended = rig::next_exit(); ended.pid; ended = rig::next_exit()) {
        const auto process =
            std::find_if(processes_.begin(), processes_.end(), [&](const auto& p) { return p.pid == ended.pid; });
        if (process == processes_.end()) continue;
        const bool expected = process->end_requested && (ended.by_signal ? ended.code == SIGKILL : ended.code == 0);
        if (!expected)
            on_unexpected_exit_(process->name + (ended.by_signal ? " was ended by signal " : " ended with status ") +
                                std::to_string(ended.code));
        process->pid = 0;
        process->restart_at = std::max(process->restart_at, now + restart_delay);
    }
}

void Fleet::kill(Role role, size_t machine, double restart_at) {
    auto& killed = process(role, machine);
    killed.restart_at = std::max(killed.restart_at, restart_at);
    killed.end_requested = true;
    if (killed.pid) ::kill(killed.pid, SIGKILL);
}

void Fleet::stop(Role role, size_t machine, double now) {
    auto& stopped = process(role, machine);
    if (!can_handle(stopped, SIGTERM, now) || stopped.end_requested) return;
    stopped.end_requested = true;
    stopped.kill_at = now + stop_grace;
    ::kill(stopped.pid, SIGTERM);
}

void Fleet::pause(Role role, size_t machine, bool paused) {
    auto& target = process(role, machine);
    target.pause_count += paused ? 1 : -1;
    if (target.pid) ::kill(target.pid, target.pause_count > 0 ? SIGSTOP : SIGCONT);
}

void Fleet::reload(Role role, size_t machine, double now) {
    const auto& reloaded = process(role, machine);
    if (can_handle(reloaded, SIGHUP, now)) ::kill(reloaded.pid, SIGHUP);
}

// Erases the data directory after the process has ended, so that nothing writes to it any more.
void Fleet::wipe(size_t machine, double restart_at) {
    kill(Role::control, machine, restart_at);
    auto& wiped = process(Role::control, machine);
    if (wiped.pid) ::waitpid(wiped.pid, nullptr, 0);
    wiped.pid = 0;
    const auto disk = options_.directory + "/data/" + wiped.name;
    std::filesystem::remove_all(disk);
    std::filesystem::create_directories(disk);
}

void Fleet::kill_all() {
    for (auto& process : processes_) {
        if (!process.pid) continue;
        ::kill(process.pid, SIGKILL);
        ::waitpid(process.pid, nullptr, 0);
        process.pid = 0;
    }
}

}   // namespace myrtleroute::soak
