// A small deployment on loopback: machines with a control and a proxy process each, started by the commands of the deploy
// file, and host stand-ins. The platform's part: an ended process is started again after a short delay, without
// `bootstrap`. Everything that was started is killed by the destructor.
#pragma once
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <functional>
#include <memory>
#include <random>
#include <sstream>
#include <stdexcept>

#include "net.hpp"

namespace standin {

namespace fs = std::filesystem;

struct Sizes {
    int machines = 3;
};

class Fleet {
public:
    static constexpr uint16_t front_port = 8360, ready_port = 8365, control_port = 8367, host_port = 9000;

    // Runs at the repository's root. Throws if a case can't run here.
    Fleet(Sizes sizes, Record& record) : sizes_(sizes), record_(record) {
        if (!fs::exists(program)) throw std::runtime_error(std::string(program) + " is missing: run the deploy file's build");
        std::string name = (fs::temp_directory_path() / "myrtleroute-review-XXXXXX").string();
        if (!::mkdtemp(name.data())) throw std::runtime_error("can't make a temporary folder");
        directory_ = name;
        find_block();
        for (int machine = 0; machine < sizes_.machines; ++machine)
            for (const char* role : {"control", "proxy"}) processes_.push_back({role, machine});
    }
    ~Fleet() {
        stopping_ = true;
        if (platform_.joinable()) platform_.join();
        for (auto& process : processes_) end(process.pid, SIGKILL);
        for (auto& [id, pid] : hosts_) end(pid, SIGKILL);
        std::error_code ignored;
        fs::remove_all(directory_, ignored);
    }

    std::string directory() const { return directory_; }
    int machines() const { return sizes_.machines; }
    std::string machine_ip(int machine) const { return block_ + "0." + std::to_string(machine + 1); }
    Address control(int machine) const { return {machine_ip(machine), control_port}; }
    Address front(int machine) const { return {machine_ip(machine), front_port}; }
    Address host(int number) const { return {block_ + "1." + std::to_string(number + 1), host_port}; }
    std::vector<Address> controls() const {
        std::vector<Address> all;
        for (int machine = 0; machine < sizes_.machines; ++machine) all.push_back(control(machine));
        return all;
    }

    void start() {
        for (auto& process : processes_) start(process);
        first_start_ = false;
        platform_ = std::thread([this] { keep_running(); });
    }

    // Starts a host process; `arguments` follow its id, service, address, zone and control nodes.
    void start_host(const std::string& id, int number, const std::string& service,
                    const std::vector<std::string>& arguments) {
        std::string controls;
        for (const auto& at : this->controls()) controls += (controls.empty() ? "" : ",") + at.text();
        std::vector<std::string> command{"target/review/host", id, service, host(number).text(), zone(number), controls};
        command.insert(command.end(), arguments.begin(), arguments.end());
        if (!fs::exists(command[0])) throw std::runtime_error(command[0] + " is missing: run review/build.sh");
        hosts_[id] = spawn(command, {}, directory_ + "/host-" + id + ".log");
        record_.line("host " + id + " of " + service + " starts at " + host(number).text());
    }
    void kill_host(const std::string& id) {
        end(hosts_.at(id), SIGKILL);
        hosts_.erase(id);
        record_.line("host " + id + " is killed", true);
    }

    // The operator: sends the call to one control node after the other, follows redirects twice, until an answer is clear.
    Message order(const std::string& method, const std::string& if_match, const std::string& body, double patience) {
        const double until = seconds_now() + patience;
        Message reply;
        for (int attempt = 0; seconds_now() < until; ++attempt) {
            auto to = control(attempt % sizes_.machines);
            for (int redirects = 0; redirects < 3; ++redirects) {
                Fields fields{{"Content-Type", "application/json"}, {"Connection", "close"}};
                if (!if_match.empty()) fields.emplace_back("If-Match", if_match);
                reply = call(to, request_text(method, "/config", to.text(), fields, body), 2);
                if (reply.status() != 307) break;
                auto location = field(reply.fields, "Location").substr(7);
                to = address_of(location.substr(0, location.find('/')));
            }
            const int status = reply.status();
            record_.line(method + " /config to " + to.text() + ": " +
                         (status ? std::to_string(status) : "no answer (" + reply.how + ")"));
            if (status == 200 || (status >= 400 && status < 500 && status != 408 && status != 429)) return reply;
            sleep_for(0.3);
        }
        return reply;
    }

    bool is_ready(int machine) const {
        const Address at{machine_ip(machine), ready_port};
        return call(at, request_text("GET", "/ready", at.text(), {{"Connection", "close"}}, ""), 1).status() == 200;
    }
    void wait_until_ready(double patience) const {
        const double until = seconds_now() + patience;
        for (int machine = 0; machine < sizes_.machines; ++machine)
            while (!is_ready(machine)) {
                if (seconds_now() > until) throw std::runtime_error("the proxies did not become ready");
                sleep_for(0.1);
            }
    }

    // A further machine, as the platform adds one: empty, with the settings of that moment.
    int add_machine() {
        const std::lock_guard lock(mutex_);
        const int machine = sizes_.machines++;
        for (const char* role : {"control", "proxy"}) {
            processes_.push_back({role, machine});
            start(processes_.back());
        }
        return machine;
    }
    // SIGTERM to a machine that leaves for good, SIGKILL after the grace. Returns once its processes have ended.
    void remove_machine(int machine) {
        {
            const std::lock_guard lock(mutex_);
            for (auto& process : processes_)
                if (process.machine == machine) {
                    process.is_held = true;
                    ::kill(process.pid, SIGTERM);
                }
        }
        record_.line("machine " + std::to_string(machine) + " gets SIGTERM and leaves for good", true);
        const double grace_ends = seconds_now() + grace;
        while (has_process(machine, "control")) {
            if (seconds_now() > grace_ends) throw std::runtime_error("the control process did not end within the grace");
            sleep_for(0.01);
        }
        record_.line("its control process has ended", true);
    }
    // Kills every process at the same moment; they start again after `down` seconds. One machine's disk is lost.
    void kill_all(int loses_disk, double down) {
        const std::lock_guard lock(mutex_);
        for (auto& process : processes_)
            if (process.pid > 0) ::kill(process.pid, SIGKILL);
        for (auto& process : processes_) {
            if (process.pid <= 0) continue;
            ::waitpid(process.pid, nullptr, 0);
            process.pid = -1;
            process.start_at = seconds_now() + down;
        }
        fs::remove_all(directory_ + "/data-" + std::to_string(loses_disk));
        record_.line("all processes are killed, machine " + std::to_string(loses_disk) + " loses its disk", true);
    }

    struct Process {
        std::string role;
        int machine = 0;
        pid_t pid = -1;
        double start_at = 0;   // when the platform starts it again
        int own_ends = 0;      // how often it ended by itself
        bool is_held = false;  // the test has ended it and starts it itself
    };
    Process& process(const std::string& role, int machine) {
        for (auto& process : processes_)
            if (process.role == role && process.machine == machine) return process;
        throw std::runtime_error("no such process");
    }
    // How often processes ended by themselves; each end is in the record.
    int own_ends(const std::string& role) const {
        const std::lock_guard lock(mutex_);
        int sum = 0;
        for (const auto& process : processes_) sum += process.role == role ? process.own_ends : 0;
        return sum;
    }
    int processes_that_ended(const std::string& role) const {
        const std::lock_guard lock(mutex_);
        int sum = 0;
        for (const auto& process : processes_) sum += process.role == role && process.own_ends > 0;
        return sum;
    }

private:
    static constexpr const char* program = "target/myrtlerouted";
    static constexpr double grace = 8;   // bounds.graceS

    bool has_process(int machine, const std::string& role) const {
        const std::lock_guard lock(mutex_);
        return std::any_of(processes_.begin(), processes_.end(), [&](const auto& process) {
            return process.machine == machine && process.role == role && process.pid > 0;
        });
    }
    static constexpr double restart_delay = 0.3;

    static std::string zone(int number) { return "zone-" + std::to_string(number % 3); }

    // A block 127.N.0.0/16 of which nothing is in use.
    void find_block() {
        std::mt19937 random(std::random_device{}());
        for (int attempt = 0; attempt < 100; ++attempt) {
            block_ = "127." + std::to_string(20 + random() % 200) + ".";
            lock_ = listen_at({block_ + "255.254", 7499});
            if (lock_.valid() && listen_at({machine_ip(0), control_port}).valid() && listen_at(host(0)).valid()) return;
        }
        throw std::runtime_error("no free loopback addresses");
    }

    std::string settings(const Process& process) const {
        const auto ip = machine_ip(process.machine);
        const bool is_control = process.role == "control";
        std::ostringstream text;
        text << "nodeName=edge-" << process.machine + 1 << "\nrole=" << process.role << "\nmachineClass=edge\nserves="
             << (is_control ? "control_plane" : "edge") << "\nip=" << ip << "\nzone=" << zone(process.machine)
             << "\nregion=here\nzones.zone-0=here\nzones.zone-1=here\nzones.zone-2=here\n";
        if (is_control)
            text << "listen.control=" << ip << ":" << control_port << "\ndataDir=" << directory_ << "/data-"
                 << process.machine << "\n";
        else
            text << "listen.front=" << ip << ":" << front_port << "\nlisten.ready=" << ip << ":" << ready_port << "\n";
        text << "internalPorts=7500,7515\nseeds=";
        for (int seed = 0; seed < std::min(3, sizes_.machines); ++seed) text << (seed ? "," : "") << control(seed).text();
        text << "\nbootstrap=" << (first_start_ ? "true" : "false") << "\ncountsForQuorum=true\n"
             << "limits.cpuShare=0.45\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\n"
             << "limits.diskMb=64\ndiscovery=self_register\nentry=vip\nheartbeatMs=1200\n"
             << "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota\n"
             << "faultTolerance.machines=1\nfaultTolerance.zones=0\nfaultTolerance.regions=0\n"
             << "bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\n"
             << "bounds.drainMs=2000\nbounds.graceS=8\nbounds.lostMs=200\nbounds.configMs=2000\n"
             << "bounds.rollbackSlackMs=250\nbounds.maxSkewMs=5000\nbounds.closed=false\nbounds.revokeMs=5000\n"
             << "bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetSlack=58\nbounds.quotaWindowS=8\n"
             << "bounds.quotaOver=0.1\nbounds.quotaSlack=140000\nbounds.recoveryS=12\nbounds.pass_ms=120\n"
             << "bounds.again_s=10\n";
        return text.str();
    }

    void start(Process& process) {
        const auto name = process.role + "-" + std::to_string(process.machine);
        const auto path = directory_ + "/" + name + ".conf";
        std::ofstream(path) << settings(process);
        if (process.role == "control") fs::create_directories(directory_ + "/data-" + std::to_string(process.machine));
        process.pid = spawn({program, process.role}, {"MYRTLEROUTE_SETTINGS=" + path}, directory_ + "/" + name + ".log");
        record_.line(name + " starts, process " + std::to_string(process.pid));
    }

    static pid_t spawn(const std::vector<std::string>& command, std::vector<std::string> environment,
                       const std::string& log) {
        environment.push_back("PATH=/usr/local/bin:/usr/bin:/bin");
        environment.push_back("LANG=C");
        std::vector<char*> arguments, variables;
        for (const auto& argument : command) arguments.push_back(const_cast<char*>(argument.c_str()));
        for (const auto& variable : environment) variables.push_back(const_cast<char*>(variable.c_str()));
        arguments.push_back(nullptr), variables.push_back(nullptr);
        const pid_t parent = ::getpid(), pid = ::fork();
        if (pid < 0) throw std::runtime_error("can't start a process");
        if (pid > 0) return pid;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);   // ends with the test, however that ends
        if (::getppid() != parent) ::_exit(1);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1), ::dup2(out, 2);
        ::execve(arguments[0], arguments.data(), variables.data());
        ::_exit(127);
    }

    static void end(pid_t pid, int signal) {
        if (pid <= 0) return;
        ::kill(pid, signal);
        ::waitpid(pid, nullptr, 0);
    }

    // The platform: starts ended processes again.
    void keep_running() {
        while (!stopping_) {
            sleep_for(0.02);
            const std::lock_guard lock(mutex_);
            for (auto& process : processes_) {
                int status = 0;
                if (process.pid > 0 && ::waitpid(process.pid, &status, WNOHANG) == process.pid) {
                    process.pid = -1;
                    process.start_at = seconds_now() + restart_delay;
                    if (process.is_held) continue;
                    ++process.own_ends;
                    record_.line(process.role + "-" + std::to_string(process.machine) + " ENDED BY ITSELF, " +
                                     (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                                          : "status " + std::to_string(WEXITSTATUS(status))),
                                 true);
                }
                if (process.pid < 0 && !process.is_held && seconds_now() >= process.start_at) start(process);
            }
        }
    }

    Sizes sizes_;
    Record& record_;
    std::string directory_, block_;
    Socket lock_;
    std::vector<Process> processes_;
    std::map<std::string, pid_t> hosts_;
    bool first_start_ = true;
    std::atomic<bool> stopping_ = false;
    std::thread platform_;
    mutable std::mutex mutex_;
};

// 1: the rule was broken; 0: it held. Every exception means that the case could not run: 2.
inline int run_case(const std::function<int()>& body) {
    ::signal(SIGPIPE, SIG_IGN);
    try {
        return body();
    } catch (const std::exception& reason) {
        std::fprintf(stderr, "can't run: %s\n", reason.what());
        return 2;
    }
}

inline bool has_trouble() {
    const char* trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

}   // namespace standin
