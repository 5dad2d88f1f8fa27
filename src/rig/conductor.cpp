#include "rig/conductor.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <toml++/toml.h>

#include "lab/random_stream.hpp"
#include "rig/lines.hpp"
#include "rig/lists.hpp"

namespace myrtleroute::rig {

using memory::Connection;
using memory::CloseReason;

namespace {

constexpr Span start_timeout{60}, end_timeout{10}, list_lag{1}, throttle_period{0.05}, poll_interval{0.02};
constexpr double max_servers_per_proxy = 40;     // with open connections, for the count of descriptors
constexpr size_t spare_descriptors = 500, max_processes = 16;
constexpr double memory_mb = 192, sockets = 1024;

std::vector<int> one(int member) { return {member}; }

}  // namespace

ProcessCounts process_counts(const Experiment& e, size_t most) {
    const double connections =
        e.proxies * std::min<double>(e.servers, max_servers_per_proxy);   // connections between proxies and servers
    const auto needed = [&](double descriptors, const char* what) {
        const double n = std::ceil(descriptors / static_cast<double>(most > 2 * spare_descriptors ? most - spare_descriptors : 1));
        if (n > max_processes)
            throw StartFailure(std::string("too few descriptors: ") + what + " would take " +
                               std::to_string(static_cast<long>(descriptors)) + ", a process may have " +
                               std::to_string(most) + " and there are " + std::to_string(max_processes) +
                               " processes for it at most; fewer proxies or servers, or a higher limit");
        return static_cast<int>(n);
    };
    ProcessCounts s;
    s.servers = std::max({1, std::min({4, e.servers, e.proxies / 50}), needed(connections + e.servers, "the servers")});
    s.loads = std::max(1, e.proxies / 150);
    if (!e.relayed.empty()) {
        double cut = 0;   // unresponsive listeners, two descriptors each
        for (const auto& f : e.faults)
            if (f.kind == FaultKind::cut) cut += 2.0 * static_cast<double>(f.who.members.size() * f.to.members.size());
        s.relays = std::max(std::min(4, 1 + e.proxies / 100), needed(2 * connections + cut + e.servers, "the relays"));
    }
    return s;
}

struct Conductor::ControlConnection : Connection {
    ControlConnection(memory::ConnectionHandler& by, int fd, Part& of)
        : Connection(by, fd, 256 * 1024, 4 * 1024 * 1024), part(&of) {}
    std::string name() const override { return "part"; }
    Part* part;
    std::string text;
};

namespace {

struct Signals : Connection {
    Signals(memory::ConnectionHandler& by, int fd) : Connection(by, fd, 1, 1) { listens = true; }
    std::string name() const override { return "signals"; }
};

}  // namespace

Conductor::Conductor(const Experiment& e, size_t arm, int repeat, std::string directory, RunOptions options)
    : e_(e),
      arm_(e.arms[arm]),
      options_(std::move(options)),
      counts_(process_counts(e, options_.max_descriptors)),
      log_(run::Level::error, system_),
      loop_(log_, system_),
      proxies_(static_cast<size_t>(e.proxies)),
      server_incarnations_(static_cast<size_t>(e.servers)) {
    record_.e = e;
    record_.directory = std::move(directory);
    record_.arm = arm_.name;
    record_.repeat = repeat;
    record_.program = !arm_.program.empty()       ? arm_.program
                      : !options_.program.empty() ? options_.program
                                                  : "run of " + options_.deploy;
    const int signals = system_.watch_signals();
    if (signals >= 0) loop_.add(std::make_unique<Signals>(*this, signals));
}

// Kills and collects every process that is still running, also after an exception.
Conductor::~Conductor() {
    for (const auto& part : parts_)
        if (part->pid > 0) ::kill(part->pid, SIGKILL);
    for (const auto& [pid, number] : proxy_by_pid_) ::kill(pid, SIGKILL);
    const Time most = system_.now() + Span{2};
    while (system_.now() < most &&
           (!proxy_by_pid_.empty() || std::any_of(parts_.begin(), parts_.end(), [](auto& p) { return p->pid > 0; }))) {
        reap();
        system_.PosixSystem::poll(nullptr, 0, 5);   // sleeps 5 ms
    }
    if (proxy_port_fd_ >= 0) system_.close(proxy_port_fd_);
    loop_.close_all(CloseReason::stopping);
}

void Conductor::on_readable(Connection& c) {
    if (c.listens) {
        while (const int number = system_.next_signal(c.fd)) interrupted_ |= number == SIGINT || number == SIGTERM;
        return;
    }
    auto& connection = static_cast<ControlConnection&>(c);
    take_lines(connection.in, connection.text, [&](const std::string& text) { on_line(*connection.part, text); });
    if (!c.ended) return;
    connection.part->connection = nullptr;
    loop_.close(c, CloseReason::peer_closed);
}

void Conductor::on_error(Connection& c, int) {
    static_cast<ControlConnection&>(c).part->connection = nullptr;
    loop_.close(c, CloseReason::peer_reset);
}

void Conductor::on_line(Part& part, const std::string& text) {
    std::istringstream words(text);
    std::string word;
    words >> word;
    if (word == "ready") part.ready = true;
    if (word == "up") ++loads_up_;
    if (word == "done") ++loads_done_;
    if (word == "busiest") {
        for (auto& usage : record_.parts)
            if (usage.part == part.name) words >> usage.busiest;
    }
    if (word == "relayed") {
        double connections, most, bytes;
        words >> connections >> most >> bytes;
        record_.relayed.connections += connections;
        record_.relayed.max_at_once += most;
        record_.relayed.bytes += bytes;
    }
    if (word != "port") return;
    int kind, to;
    uint16_t port;
    words >> kind >> to >> port;
    if (part.name.starts_with("relay")) relay_ports_[{std::stoi(part.name.substr(6)), kind, to}] = port;
    else ports_[{kind, to}] = port;
}

void Conductor::send(Part& part, const std::string& line) {
    if (!part.connection) return;
    if (!part.connection->out.push(line + "\n"))
        throw std::runtime_error(part.name + ": the control connection's buffer is full");
    loop_.flush(*part.connection);
}

void Conductor::send_to_all(const std::string& kind, const std::string& line) {
    for (const auto& part : parts_)
        if (part->name.starts_with(kind)) send(*part, line);
}

Conductor::Part& Conductor::start_part(const std::string& kind, int number, int of) {
    int ends[2];
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends) != 0)
        throw StartFailure("no control connection: " + std::string(std::strerror(errno)));
    parts_.push_back(std::make_unique<Part>());
    auto& part = *parts_.back();
    part.name = kind + "-" + std::to_string(number);
    ProcessOptions what;
    what.arguments = {options_.self,
                      "part",
                      kind,
                      "--file",
                      options_.file,
                      "--seed",
                      std::to_string(e_.seed),
                      "--dir",
                      record_.directory,
                      "--number",
                      std::to_string(number),
                      "--of",
                      std::to_string(of)};
    what.output = record_.directory + "/" + part.name + ".log";
    what.control_fd = ends[1];
    part.pid = spawn(what);
    system_.close(ends[1]);
    if (part.pid < 0) throw StartFailure(part.name + " can't be started: " + std::strerror(errno));
    part.connection = &loop_.add(std::make_unique<ControlConnection>(*this, ends[0], part));
    record_.parts.push_back({part.name, 0, 0, 0});
    return part;
}

std::vector<std::string> Conductor::command_of(const Proxy& proxy) const {
    const auto& program = !proxy.program.empty()  ? proxy.program
                          : !arm_.program.empty() ? arm_.program
                                                  : options_.program;
    if (proxy.no_start) return {"/bin/sh", "-c", "exit 1"};
    if (!program.empty()) return {program};
    try {
        const auto deploy = toml::parse_file(options_.deploy);
        const auto run = deploy["run"].value<std::string>();
        if (!run) throw StartFailure(options_.deploy + ": run must be a string");
        return {"/bin/sh", "-c", *run};
    } catch (const toml::parse_error& fault) {
        throw StartFailure(options_.deploy + ": " + std::string(fault.description()));
    }
}

void Conductor::write_configuration(int i) {
    auto& proxy = proxies_[static_cast<size_t>(i)];
    static constexpr const char* repeats[] = {"read_like", "idempotency_key", "non_idempotent"};
    nlohmann::json products = nlohmann::json::array(), zones = nlohmann::json::array();
    for (const auto& p : e_.products) {
        nlohmann::json one{{"Name", p.name}, {"BilledValue", p.value}, {"LatencySloS", p.slo.s}, {"ClientTimeoutS", p.timeout.s},
                           {"Idempotency", repeats[static_cast<int>(p.idempotency)]}};
        if (p.idempotency == Idempotency::deduplicated) one["KeyScope"] = "all", one["DedupWindowS"] = p.window;
        products.push_back(one);
    }
    for (int z = 0; z < e_.zones; ++z) zones.push_back(std::string(1, static_cast<char>('a' + z)));
    nlohmann::json settings{
        {"Balancers", e_.proxies}, {"Me", i}, {"Locality", i % e_.zones}, {"Zones", zones}, {"Discovery", "on_request"},
        {"Products", products},
        {"Limits", {{"MaxShots", 4}, {"Cancel", true}, {"Probing", true}, {"RetryAfter", true}, {"MaxRetryAfterS", 2},
                    {"ConnectTimeoutS", 0.25}, {"IdleCloseS", 60}}},
        {"Guarantees", {{"GraceToAnswerS", e_.grace.s}, {"AskWithinS", e_.ask_within.s}, {"WarmAfterS", e_.warm_after.s},
                        {"StartCapacity", e_.start_capacity}, {"TipMultiple", e_.tip_multiple},
                        {"DrainGraceS", e_.drain_grace.s}, {"FallS", e_.fall.s}}},
        {"Prices", {{"CrossZone", 0.0}}}};
    settings.merge_patch(e_.settings);
    settings.merge_patch(arm_.settings);
    if (proxy.settings.is_object()) settings.merge_patch(proxy.settings);
    lab::RandomStream chance(e_.seed, 0x50524f58u + static_cast<uint64_t>(i) * 1000 + static_cast<uint64_t>(proxy.starts));
    std::ostringstream seed;
    seed << std::hex << std::setw(16) << std::setfill('0') << chance.number();
    const Link link{Kind::discovery, static_cast<uint16_t>(i), 0};
    const int kind = static_cast<int>(Kind::discovery);
    const auto port =
        e_.relays(Kind::discovery) ? relay_ports_.at({i % counts_.relays, kind, 0}) : ports_.at({kind, 0});
    const nlohmann::json config{
        {"name", "p" + std::to_string(i)}, {"listen", endpoint(listen_ip(i), proxy_port_)},
        {"discovery", endpoint(ip_of(link), port)}, {"seed", seed.str()},
        {"limits", {{"cores", 1.0}, {"memory_mb", memory_mb}, {"sockets", sockets}}}, {"settings", settings}};
    const auto path = record_.directory + "/p" + std::to_string(i) + ".json";
    std::ofstream file(path);
    file << config.dump() << '\n';
    if (!file.flush()) throw StartFailure(path + " can't be written");
}

void Conductor::start_proxy(int i) {
    auto& proxy = proxies_[static_cast<size_t>(i)];
    write_configuration(i);
    const auto base = record_.directory + "/p" + std::to_string(i);
    ProcessOptions what;
    what.arguments = command_of(proxy);
    what.environment = {{"BALANCER_CONFIG", base + ".json"}};
    if (!options_.log_level.empty()) what.environment.emplace_back("MYRTLEROUTE_LOG", options_.log_level);
    what.output = base + ".log";
    proxy.pid = spawn(what);
    if (proxy.pid < 0) throw StartFailure("proxy " + std::to_string(i) + " can't be started: " + std::strerror(errno));
    ++proxy.starts;
    proxy.expected_running = !proxy.no_start;
    proxy.restart_on_exit = false;
    proxy_by_pid_[proxy.pid] = i;
    proxy.incarnation = record_.incarnations.size();
    record_.incarnations.push_back({i, system_.now().s, 0, ""});
}

void Conductor::reap() {
    for (ProcessExit ended; (ended = next_exit()).pid > 0;) {
        for (const auto& part : parts_) {
            if (part->pid != ended.pid) continue;
            part->pid = 0;
            for (auto& usage : record_.parts)
                if (usage.part == part->name) {
                    usage.cpu = ended.cpu;
                    usage.memory_mb = static_cast<double>(ended.max_memory) / 1024;
                }
            if (!ending_ || ended.by_signal || ended.code)
                record_.lost.push_back(part->name + (ended.by_signal ? " ended by signal " : " ended with status ") +
                                    std::to_string(ended.code));
        }
        const auto it = proxy_by_pid_.find(ended.pid);
        if (it == proxy_by_pid_.end()) continue;
        const int number = it->second;
        proxy_by_pid_.erase(it);
        auto& proxy = proxies_[static_cast<size_t>(number)];
        auto& incarnation = record_.incarnations[proxy.incarnation];
        incarnation.to = system_.now().s;
        incarnation.exit = (ended.by_signal ? "signal " : "status ") + std::to_string(ended.code);
        proxy.pid = 0;
        record_.cpu += ended.cpu;
        record_.max_memory_mb = std::max(record_.max_memory_mb, static_cast<double>(ended.max_memory) / 1024);
        record_.memory_mb += static_cast<double>(ended.max_memory) / 1024;   // sum; divided in stop_all()
        const bool sound = !proxy.expected_running && (proxy.no_start || ended.by_signal || ended.code == 0);
        if (!sound)
            record_.lost.push_back("proxy " + std::to_string(number) + " ended: " + incarnation.exit + "; " +
                                   record_.directory + "/p" + std::to_string(number) + ".log has the rest");
        if (proxy.no_start && !ending_) schedule(system_.now() + Span{1}, [this, number] {
            if (proxies_[static_cast<size_t>(number)].pid == 0) start_proxy(number);
        });
        else if (proxy.restart_on_exit && !ending_) start_proxy(number);
    }
}

void Conductor::schedule(Time when, std::function<void()> what) {
    scheduled_[next_scheduled_] = std::move(what);
    loop_.schedule(when, next_scheduled_++);
}

void Conductor::run_once() {
    schedule(loop_.now() + poll_interval, [] {});
    loop_.run_once(
        [this](uint64_t cookie) {
            const auto it = scheduled_.find(cookie);
            const auto what = std::move(it->second);
            scheduled_.erase(it);
            what();
        },
        [] {});
    reap();
    print_progress();
}

bool Conductor::wait_for(const std::function<bool()>& condition, Span most) {
    const Time until = system_.now() + most;
    while (!condition()) {
        if (interrupted_) throw std::runtime_error("interrupted");
        if (!ending_)
            for (const auto& lost : record_.lost)
                if (start_ == long_ago || !lost.starts_with("proxy")) throw StartFailure(lost);
        if (system_.now() > until) return false;
        run_once();
    }
    return true;
}

void Conductor::start_all() {
    const Time from = system_.now();
    proxy_port_fd_ = system_.reserve_port(proxy_port_);
    if (proxy_port_fd_ < 0) throw StartFailure("no free port for the proxies");
    for (int i = 0; i < counts_.servers; ++i) start_part("servers", i, counts_.servers);
    start_part("discovery", 0, 1);
    const auto ready = [this] {
        return std::all_of(parts_.begin(), parts_.end(), [](auto& p) { return p->ready || !p->name.starts_with("servers"); }) &&
               std::any_of(parts_.begin(), parts_.end(), [](auto& p) { return p->ready && p->name == "discovery-0"; });
    };
    if (!wait_for(ready, start_timeout))
        throw StartFailure("the server and discovery processes are not ready after " + std::to_string(start_timeout.s) +
                           " s");

    size_t wanted = 0;
    for (int r = 0; r < counts_.relays; ++r) {
        auto& relay = start_part("relay", r, counts_.relays);
        const auto stands_for = [&](Kind kind, int to, uint32_t ip, uint16_t port) {
            ++wanted;
            send(relay, "backend " + std::to_string(static_cast<int>(kind)) + " " + std::to_string(to) + " " +
                            std::to_string(ip) + " " + std::to_string(port));
        };
        if (e_.relays(Kind::server))
            for (int j = 0; j < e_.servers; ++j) stands_for(Kind::server, j, 0, ports_[{static_cast<int>(Kind::server), j}]);
        if (e_.relays(Kind::discovery)) stands_for(Kind::discovery, 0, 0, ports_[{static_cast<int>(Kind::discovery), 0}]);
        if (e_.relays(Kind::application))
            for (int i = r; i < e_.proxies; i += counts_.relays)
                stands_for(Kind::application, i, listen_ip(i), proxy_port_);
        if (e_.relays(Kind::peer))
            for (int i = 0; i < e_.proxies; ++i) stands_for(Kind::peer, i, listen_ip(i), proxy_port_);
    }
    if (!wait_for([&] { return relay_ports_.size() == wanted; }, start_timeout))
        throw StartFailure("the relays are not ready");

    auto& discovery = **std::find_if(parts_.begin(), parts_.end(), [](auto& p) { return p->name == "discovery-0"; });
    const int kind = static_cast<int>(Kind::server);
    for (int r = 0; r < std::max(1, counts_.relays); ++r)
        for (int j = 0; j < e_.servers; ++j)
            send(discovery, "port " + std::to_string(r) + " " + std::to_string(j) + " " +
                                std::to_string(e_.relays(Kind::server) ? relay_ports_.at({r, kind, j}) : ports_.at({kind, j})));
    send(discovery, "first");
    for (int i = 0; i < e_.proxies; ++i) start_proxy(i);
    for (int i = 0; i < counts_.loads; ++i) {
        auto& load = start_part("load", i, counts_.loads);
        for (int p = i; p < e_.proxies; p += counts_.loads) {
            const Link link{Kind::application, static_cast<uint16_t>(p), static_cast<uint16_t>(p)};
            const bool relayed = e_.relays(Kind::application);
            send(load, "proxy " + std::to_string(p) + " " + std::to_string(relayed ? ip_of(link) : listen_ip(p)) + " " +
                           std::to_string(
                               relayed ? relay_ports_.at({p % counts_.relays, static_cast<int>(Kind::application), p})
                                       : proxy_port_));
        }
        send(load, "ask");
    }
    if (!wait_for([this] { return loads_up_ == static_cast<size_t>(counts_.loads); }, start_timeout))
        throw StartFailure("not all proxies are up after " + std::to_string(start_timeout.s) +
                           " s; their logs are in " + record_.directory);
    record_.started_in = (system_.now() - from).s;
}

void Conductor::run_load() {
    start_ = system_.now() + Span{0.2};
    record_.start = start_.s;
    record_.end = start_.s + e_.duration.s;
    std::ostringstream go;
    go.precision(17);
    go << "go " << start_.s;
    for (const auto& part : parts_) send(*part, go.str());
    for (int f = 0; f < static_cast<int>(e_.faults.size()); ++f)
        schedule(start_ + e_.faults[static_cast<size_t>(f)].at, [this, f] { start_fault(f); });
    Span most;
    for (const auto& p : e_.products) most = std::max(most, p.timeout);
    if (!wait_for([this] { return loads_done_ == static_cast<size_t>(counts_.loads); }, e_.duration + most + Span{30}))
        throw std::runtime_error("the load processes did not finish in time");
    // Faults that last beyond the load end with it; stopped processes must continue in order to exit.
    for (const auto& [pid, number] : proxy_by_pid_) ::kill(pid, SIGCONT);
}

size_t Conductor::record_fault(int fault, std::vector<int> who, double duration) {
    record_.applied_faults.push_back({fault, system_.now().s, system_.now().s + duration, std::move(who)});
    return record_.applied_faults.size() - 1;
}

void Conductor::start_fault(int number) {
    const auto& f = e_.faults[static_cast<size_t>(number)];
    const auto target = name_of(f.kind).target;
    const auto over = [this, number](const std::string& kind) {
        schedule(system_.now() + e_.faults[static_cast<size_t>(number)].duration,
           [this, number, kind] { send_to_all(kind, "over " + std::to_string(number)); });
    };
    if (target == FaultTarget::process || f.kind == FaultKind::die || f.kind == FaultKind::drain) {
        for (size_t k = 0; k < f.who.members.size(); ++k) {
            const int member = f.who.members[k];
            const Span wait = f.stagger * (static_cast<double>(k) / static_cast<double>(f.who.members.size()));
            schedule(system_.now() + wait, [this, number, member, target] {
                target == FaultTarget::process ? process_fault(number, member) : server_fault(number, member);
            });
        }
    } else if (target == FaultTarget::server) {
        record_fault(number, f.who.members, f.duration.s);
        send_to_all("servers", "fault " + std::to_string(number) + " " + std::to_string(static_cast<int>(f.kind)) +
                                   " " + std::to_string(f.how) + " " + write_list(f.who.members));
        over("servers");
    } else if (target == FaultTarget::discovery) {
        record_fault(number, {0}, f.duration.s + (f.kind == FaultKind::late ? f.how : 0));
        send_to_all("discovery",
                    "fault " + std::to_string(number) + " " + name_of(f.kind).name + " " + std::to_string(f.how));
        over("discovery");
        if (f.kind != FaultKind::absent) return;
        const auto backend = " " + std::to_string(static_cast<int>(Kind::discovery)) + " 0";
        send_to_all("relay", "down" + backend);
        schedule(system_.now() + f.duration, [this, backend] { send_to_all("relay", "up" + backend); });
    } else {
        record_fault(number, f.who.members, f.duration.s);
        std::ostringstream rule;
        rule << "rule " << number << ' ' << static_cast<int>(f.link) << ' ' << f.way << ' ' << f.delay << ' ' << f.jitter << ' '
             << f.rate << ' ' << (f.kind == FaultKind::lossy ? f.how : 0) << ' ' << (f.kind == FaultKind::mangle ? f.how : 0) << ' '
             << (f.kind == FaultKind::half_close ? f.how : 0) << ' '
             << (f.kind == FaultKind::duplicate ? f.how : 0) << ' ' << (f.kind == FaultKind::stall) << ' '
             << (f.kind == FaultKind::cut) << ' ' << (f.kind == FaultKind::cut_hard) << ' ' << write_list(f.who.members) << ' '
             << write_list(f.to.members);
        send_to_all("relay", rule.str());
        over("relay");
    }
}

void Conductor::restart(int member) {
    auto& proxy = proxies_[static_cast<size_t>(member)];
    proxy.expected_running = false;
    proxy.restart_on_exit = true;
    if (proxy.pid > 0) ::kill(proxy.pid, SIGTERM);
    else start_proxy(member);
}

void Conductor::throttle_process(int member, double share, Time until, bool now) {
    auto& proxy = proxies_[static_cast<size_t>(member)];
    if (proxy.pid > 0) ::kill(proxy.pid, now ? SIGSTOP : SIGCONT);
    if (!now && system_.now() >= until) return;
    schedule(system_.now() + throttle_period * (now ? share : 1 - share),
             [=, this] { throttle_process(member, share, until, !now); });
}

void Conductor::process_fault(int number, int member) {
    const auto& f = e_.faults[static_cast<size_t>(number)];
    auto& proxy = proxies_[static_cast<size_t>(member)];
    const auto later = [&](std::function<void()> what) {
        if (f.duration > Span{}) schedule(system_.now() + f.duration, std::move(what));
    };
    switch (f.kind) {
        case FaultKind::kill: case FaultKind::no_start:
            record_fault(number, one(member), 0);
            proxy.expected_running = false;
            proxy.no_start = f.kind == FaultKind::no_start;
            if (proxy.pid > 0) ::kill(proxy.pid, SIGKILL);
            later([this, member] {
                auto& p = proxies_[static_cast<size_t>(member)];
                p.no_start = false;
                if (p.pid == 0) start_proxy(member);
            });
            return;
        case FaultKind::pause:
            record_fault(number, one(member), f.duration.s);
            if (proxy.pid > 0) ::kill(proxy.pid, SIGSTOP);
            later([this, member] {
                if (const auto pid = proxies_[static_cast<size_t>(member)].pid; pid > 0) ::kill(pid, SIGCONT);
            });
            return;
        case FaultKind::slow_process:
            record_fault(number, one(member), f.duration.s);
            return throttle_process(member, std::min(f.how, 0.99), system_.now() + f.duration, true);
        case FaultKind::other_build:
            proxy.program = f.program;
            proxy.settings = f.settings;
            later([this, member] {
                auto& p = proxies_[static_cast<size_t>(member)];
                p.program.clear();
                p.settings = nullptr;
                restart(member);
            });
            [[fallthrough]];
        case FaultKind::restart:
            record_fault(number, one(member), 0);
            return restart(member);
        case FaultKind::reread:
            record_fault(number, one(member), 0);
            if (f.settings.is_object() && !f.settings.empty()) proxy.settings = f.settings, write_configuration(member);
            if (proxy.pid > 0) ::kill(proxy.pid, SIGHUP);
            return;
        default: return;
    }
}

void Conductor::server_fault(int number, int member) {
    const auto& f = e_.faults[static_cast<size_t>(number)];
    auto& incarnation = server_incarnations_[static_cast<size_t>(member)];
    const auto who = std::to_string(member), backend = " " + std::to_string(static_cast<int>(Kind::server)) + " " + who;
    const auto list = [this, who](ListedState state, double boot, int of_incarnation) {
        std::ostringstream line;
        line.precision(17);
        line << "list " << who << ' ' << static_cast<int>(state) << ' ' << boot << ' ' << of_incarnation;
        send_to_all("discovery", line.str());
    };
    const auto die = [this, who, backend] {
        send_to_all("servers", "die " + who);
        send_to_all("relay", "down" + backend);
    };
    const auto back = [this, who, backend, list](int of_incarnation) {
        send_to_all("servers", "back " + who);
        send_to_all("relay", "up" + backend);
        list(ListedState::serving, system_.unix_time(), of_incarnation);
    };
    const Time now = system_.now();
    if (f.kind == FaultKind::die) {
        record_fault(number, one(member), f.duration > Span{} ? f.duration.s : e_.duration.s);
        die();
        if (f.duration <= Span{} || f.duration > list_lag)
            schedule(now + list_lag, [=, &incarnation] { list(ListedState::removed, 0, incarnation); });
        if (f.duration > Span{}) schedule(now + f.duration, [=, &incarnation] { back(incarnation); });
        return;
    }
    record_fault(number, one(member), std::max(f.duration, e_.drain_grace).s);
    list(ListedState::draining, 0, incarnation);
    const Time leaves = now + e_.drain_grace + Span{0.5};
    schedule(leaves, [=, &incarnation] {
        die();
        list(ListedState::removed, 0, incarnation);
    });
    schedule(std::max(leaves + Span{0.1}, now + f.duration), [=, &incarnation] { back(++incarnation); });
}

void Conductor::stop_all() {
    const Time from = system_.now();
    ending_ = true;
    for (auto& proxy : proxies_) proxy.expected_running = proxy.no_start = proxy.restart_on_exit = false;
    for (const auto& [pid, number] : proxy_by_pid_) {
        ::kill(pid, SIGCONT);
        ::kill(pid, SIGTERM);
    }
    const Time proxies_until = system_.now() + end_timeout;
    while (!proxy_by_pid_.empty() && system_.now() < proxies_until) run_once();
    for (const auto& [pid, number] : proxy_by_pid_) {
        record_.left.push_back("proxy " + std::to_string(number) + " did not end within " +
                               std::to_string(end_timeout.s) + " s of SIGTERM");
        ::kill(pid, SIGKILL);
    }
    for (const auto& part : parts_) send(*part, "end");
    const auto running = [this] { return std::any_of(parts_.begin(), parts_.end(), [](auto& p) { return p->pid > 0; }); };
    const Time until = system_.now() + end_timeout;
    while ((running() || !proxy_by_pid_.empty()) && system_.now() < until) run_once();
    for (const auto& part : parts_)
        if (part->pid > 0) record_.left.push_back(part->name + " did not end");
    record_.ended_in = (system_.now() - from).s;
    record_.memory_mb /= std::max<double>(1, static_cast<double>(record_.incarnations.size()));
}

void Conductor::print_progress() {
    if (!options_.terminal || system_.now() - shown_ < Span{1}) return;
    shown_ = system_.now();
    std::cerr << '\r' << e_.name << ", " << arm_.name << ' ' << record_.repeat + 1 << '/' << e_.repeats << ": ";
    if (start_ == long_ago) std::cerr << "starting, " << proxy_by_pid_.size() << " of " << e_.proxies << " proxies   ";
    else if (ending_) std::cerr << "ending                    ";
    else std::cerr << std::max(0.0, std::ceil(e_.duration.s - (system_.now() - start_).s)) << " s left             ";
    std::cerr << std::flush;
}

RunRecord Conductor::run() {
    std::filesystem::create_directories(record_.directory);
    if (std::filesystem::weakly_canonical(options_.file) !=
        std::filesystem::weakly_canonical(record_.directory + "/experiment.toml"))
        std::filesystem::copy_file(options_.file, record_.directory + "/experiment.toml",
                                   std::filesystem::copy_options::overwrite_existing);
    std::exception_ptr error;
    try {
        start_all();
        run_load();
        record_.complete = true;
    } catch (const StartFailure&) {
        throw;
    } catch (const std::exception&) {
        if (!interrupted_) error = std::current_exception();
    }
    record_.end = std::min(record_.end, system_.now().s);
    stop_all();
    if (options_.terminal) std::cerr << "\r\033[K";
    write_record(record_);
    if (error) std::rethrow_exception(error);
    return read_record(record_.directory);
}

}  // namespace myrtleroute::rig
