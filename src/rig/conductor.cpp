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

constexpr Span most_start{60}, most_end{10}, list_lag{1}, turn{0.05}, look_every{0.02};
constexpr double most_members = 40;     // servers that a proxy has connections to at a time, for the count of descriptors
constexpr size_t spare_descriptors = 500, most_processes = 16;
constexpr double memory_mb = 192, sockets = 1024;

std::vector<int> one(int member) { return {member}; }

}  // namespace

Shape shape(const Experiment& e, size_t most) {
    const double lines = e.proxies * std::min<double>(e.servers, most_members);   // between proxies and servers
    const auto needed = [&](double descriptors, const char* what) {
        const double n = std::ceil(descriptors / static_cast<double>(most > 2 * spare_descriptors ? most - spare_descriptors : 1));
        if (n > most_processes)
            throw CantStart(std::string("too few descriptors: ") + what + " would take " + std::to_string(static_cast<long>(descriptors)) +
                            ", a process may have " + std::to_string(most) + " and there are " + std::to_string(most_processes) +
                            " processes for it at most; fewer proxies or servers, or a higher limit");
        return static_cast<int>(n);
    };
    Shape s;
    s.servers = std::max({1, std::min({4, e.servers, e.proxies / 50}), needed(lines + e.servers, "the servers")});
    s.loads = std::max(1, e.proxies / 150);
    if (!e.relayed.empty()) {
        double cut = 0;   // deaf listeners, two descriptors each
        for (const auto& f : e.faults)
            if (f.kind == FaultKind::cut) cut += 2.0 * static_cast<double>(f.who.members.size() * f.to.members.size());
        s.relays = std::max(std::min(4, 1 + e.proxies / 100), needed(2 * lines + cut + e.servers, "the relays"));
    }
    return s;
}

struct Conductor::Line : Connection {
    Line(memory::ConnectionHandler& by, int fd, Part& of)
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

Conductor::Conductor(const Experiment& e, size_t arm, int repeat, std::string directory, How how)
    : e_(e), arm_(e.arms[arm]), how_(std::move(how)), shape_(shape(e, how_.most_descriptors)), log_(run::Level::error, system_),
      loop_(log_, system_), proxies_(static_cast<size_t>(e.proxies)), server_lives_(static_cast<size_t>(e.servers)) {
    day_.e = e;
    day_.directory = std::move(directory);
    day_.arm = arm_.name;
    day_.repeat = repeat;
    day_.program = !arm_.program.empty() ? arm_.program : !how_.program.empty() ? how_.program : "run of " + how_.deploy;
    const int signals = system_.watch_signals();
    if (signals >= 0) loop_.add(std::make_unique<Signals>(*this, signals));
}

// Whatever happened before, nothing that was started is left.
Conductor::~Conductor() {
    for (const auto& part : parts_)
        if (part->pid > 0) ::kill(part->pid, SIGKILL);
    for (const auto& [pid, number] : ids_) ::kill(pid, SIGKILL);
    const Time most = system_.now() + Span{2};
    while (system_.now() < most && (!ids_.empty() || std::any_of(parts_.begin(), parts_.end(), [](auto& p) { return p->pid > 0; }))) {
        reap();
        system_.PosixSystem::poll(nullptr, 0, 5);   // nothing but time
    }
    if (door_fd_ >= 0) system_.close(door_fd_);
    loop_.close_all(CloseReason::stopping);
}

void Conductor::on_readable(Connection& c) {
    if (c.listens) {
        while (const int number = system_.next_signal(c.fd)) interrupted_ |= number == SIGINT || number == SIGTERM;
        return;
    }
    auto& line = static_cast<Line&>(c);
    take_lines(line.in, line.text, [&](const std::string& text) { heard(*line.part, text); });
    if (!c.ended) return;
    line.part->line = nullptr;
    loop_.close(c, CloseReason::peer_closed);
}

void Conductor::on_error(Connection& c, int) {
    static_cast<Line&>(c).part->line = nullptr;
    loop_.close(c, CloseReason::peer_reset);
}

void Conductor::heard(Part& part, const std::string& text) {
    std::istringstream words(text);
    std::string word;
    words >> word;
    if (word == "ready") part.ready = true;
    if (word == "up") ++up_;
    if (word == "done") ++done_;
    if (word == "busiest") {
        for (auto& worked : day_.parts)
            if (worked.part == part.name) words >> worked.busiest;
    }
    if (word == "relayed") {
        double connections, most, bytes;
        words >> connections >> most >> bytes;
        day_.relayed.connections += connections;
        day_.relayed.most_at_once += most;
        day_.relayed.bytes += bytes;
    }
    if (word != "port") return;
    int kind, to;
    uint16_t port;
    words >> kind >> to >> port;
    if (part.name.starts_with("relay")) relay_ports_[{std::stoi(part.name.substr(6)), kind, to}] = port;
    else ports_[{kind, to}] = port;
}

void Conductor::tell(Part& part, const std::string& line) {
    if (!part.line) return;
    if (!part.line->out.push(line + "\n")) throw std::runtime_error(part.name + " does not take what it is told");
    loop_.flush(*part.line);
}

void Conductor::tell_all(const std::string& kind, const std::string& line) {
    for (const auto& part : parts_)
        if (part->name.starts_with(kind)) tell(*part, line);
}

Conductor::Part& Conductor::start_part(const std::string& kind, int number, int of) {
    int ends[2];
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends) != 0)
        throw CantStart("no control line: " + std::string(std::strerror(errno)));
    parts_.push_back(std::make_unique<Part>());
    auto& part = *parts_.back();
    part.name = kind + "-" + std::to_string(number);
    Start what;
    what.words = {how_.self, "part", kind, "--file", how_.file, "--seed", std::to_string(e_.seed), "--dir", day_.directory,
                  "--number", std::to_string(number), "--of", std::to_string(of)};
    what.output = day_.directory + "/" + part.name + ".log";
    what.control = ends[1];
    part.pid = start(what);
    system_.close(ends[1]);
    if (part.pid < 0) throw CantStart(part.name + " can't be started: " + std::strerror(errno));
    part.line = &loop_.add(std::make_unique<Line>(*this, ends[0], part));
    day_.parts.push_back({part.name, 0, 0, 0});
    return part;
}

std::vector<std::string> Conductor::words_of(const Proxy& proxy) const {
    const auto& program = !proxy.program.empty() ? proxy.program : !arm_.program.empty() ? arm_.program : how_.program;
    if (proxy.no_start) return {"/bin/sh", "-c", "exit 1"};
    if (!program.empty()) return {program};
    try {
        const auto deploy = toml::parse_file(how_.deploy);
        const auto run = deploy["run"].value<std::string>();
        if (!run) throw CantStart(how_.deploy + ": run must be a text");
        return {"/bin/sh", "-c", *run};
    } catch (const toml::parse_error& fault) {
        throw CantStart(how_.deploy + ": " + std::string(fault.description()));
    }
}

void Conductor::configure(int i) {
    auto& proxy = proxies_[static_cast<size_t>(i)];
    static constexpr const char* repeats[] = {"read_like", "idempotency_key", "non_idempotent"};
    nlohmann::json products = nlohmann::json::array(), zones = nlohmann::json::array();
    for (const auto& p : e_.products) {
        nlohmann::json one{{"Name", p.name}, {"BilledValue", p.value}, {"LatencySloS", p.slo.s}, {"ClientTimeoutS", p.timeout.s},
                           {"Idempotency", repeats[static_cast<int>(p.repeat)]}};
        if (p.repeat == Idempotency::deduplicated) one["KeyScope"] = "all", one["DedupWindowS"] = p.window;
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
    const auto port = e_.relays(Kind::discovery) ? relay_ports_.at({i % shape_.relays, kind, 0}) : ports_.at({kind, 0});
    const nlohmann::json config{
        {"name", "p" + std::to_string(i)}, {"listen", endpoint(door_ip(i), door_port_)},
        {"discovery", endpoint(ip_of(link), port)}, {"seed", seed.str()},
        {"limits", {{"cores", 1.0}, {"memory_mb", memory_mb}, {"sockets", sockets}}}, {"settings", settings}};
    const auto path = day_.directory + "/p" + std::to_string(i) + ".json";
    std::ofstream file(path);
    file << config.dump() << '\n';
    if (!file.flush()) throw CantStart(path + " can't be written");
}

void Conductor::start_proxy(int i) {
    auto& proxy = proxies_[static_cast<size_t>(i)];
    configure(i);
    const auto base = day_.directory + "/p" + std::to_string(i);
    Start what;
    what.words = words_of(proxy);
    what.variables = {{"BALANCER_CONFIG", base + ".json"}};
    if (!how_.variables.empty()) what.variables.emplace_back("MYRTLEROUTE_LOG", how_.variables);
    what.output = base + ".log";
    proxy.pid = start(what);
    if (proxy.pid < 0) throw CantStart("proxy " + std::to_string(i) + " can't be started: " + std::strerror(errno));
    ++proxy.starts;
    proxy.wanted = !proxy.no_start;
    proxy.again = false;
    ids_[proxy.pid] = i;
    proxy.life = day_.lives.size();
    day_.lives.push_back({i, system_.now().s, 0, ""});
}

void Conductor::reap() {
    for (Ended ended; (ended = next_ended()).pid > 0;) {
        for (const auto& part : parts_) {
            if (part->pid != ended.pid) continue;
            part->pid = 0;
            for (auto& worked : day_.parts)
                if (worked.part == part->name) {
                    worked.cpu = ended.cpu;
                    worked.memory_mb = static_cast<double>(ended.most_memory) / 1024;
                }
            if (!ending_ || ended.by_signal || ended.code)
                day_.lost.push_back(part->name + (ended.by_signal ? " ended by signal " : " ended with status ") +
                                    std::to_string(ended.code));
        }
        const auto it = ids_.find(ended.pid);
        if (it == ids_.end()) continue;
        const int number = it->second;
        ids_.erase(it);
        auto& proxy = proxies_[static_cast<size_t>(number)];
        auto& life = day_.lives[proxy.life];
        life.to = system_.now().s;
        life.how = (ended.by_signal ? "signal " : "status ") + std::to_string(ended.code);
        proxy.pid = 0;
        day_.cpu += ended.cpu;
        day_.most_memory_mb = std::max(day_.most_memory_mb, static_cast<double>(ended.most_memory) / 1024);
        day_.memory_mb += static_cast<double>(ended.most_memory) / 1024;   // made a mean at the end
        const bool sound = !proxy.wanted && (proxy.no_start || ended.by_signal || ended.code == 0);
        if (!sound) day_.lost.push_back("proxy " + std::to_string(number) + " ended: " + life.how + "; " + day_.directory + "/p" +
                                        std::to_string(number) + ".log has the rest");
        if (proxy.no_start && !ending_) at(system_.now() + Span{1}, [this, number] {
            if (proxies_[static_cast<size_t>(number)].pid == 0) start_proxy(number);
        });
        else if (proxy.again && !ending_) start_proxy(number);
    }
}

void Conductor::at(Time when, std::function<void()> what) {
    plans_[next_plan_] = std::move(what);
    loop_.schedule(when, next_plan_++);
}

void Conductor::pump() {
    at(loop_.now() + look_every, [] {});
    loop_.run_once(
        [this](uint64_t cookie) {
            const auto it = plans_.find(cookie);
            const auto what = std::move(it->second);
            plans_.erase(it);
            what();
        },
        [] {});
    reap();
    progress();
}

bool Conductor::wait_for(const std::function<bool()>& so, Span most) {
    const Time until = system_.now() + most;
    while (!so()) {
        if (interrupted_) throw std::runtime_error("interrupted");
        if (!ending_)
            for (const auto& lost : day_.lost)
                if (start_ == long_ago || !lost.starts_with("proxy")) throw CantStart(lost);
        if (system_.now() > until) return false;
        pump();
    }
    return true;
}

void Conductor::start_all() {
    const Time from = system_.now();
    door_fd_ = system_.hold_port(door_port_);
    if (door_fd_ < 0) throw CantStart("no port for the proxies");
    for (int i = 0; i < shape_.servers; ++i) start_part("servers", i, shape_.servers);
    start_part("discovery", 0, 1);
    const auto ready = [this] {
        return std::all_of(parts_.begin(), parts_.end(), [](auto& p) { return p->ready || !p->name.starts_with("servers"); }) &&
               std::any_of(parts_.begin(), parts_.end(), [](auto& p) { return p->ready && p->name == "discovery-0"; });
    };
    if (!wait_for(ready, most_start)) throw CantStart("the servers' stand-ins are not ready after " + std::to_string(most_start.s) + " s");

    size_t wanted = 0;
    for (int r = 0; r < shape_.relays; ++r) {
        auto& relay = start_part("relay", r, shape_.relays);
        const auto stands_for = [&](Kind kind, int to, uint32_t ip, uint16_t port) {
            ++wanted;
            tell(relay, "backend " + std::to_string(static_cast<int>(kind)) + " " + std::to_string(to) + " " + std::to_string(ip) +
                            " " + std::to_string(port));
        };
        if (e_.relays(Kind::server))
            for (int j = 0; j < e_.servers; ++j) stands_for(Kind::server, j, 0, ports_[{static_cast<int>(Kind::server), j}]);
        if (e_.relays(Kind::discovery)) stands_for(Kind::discovery, 0, 0, ports_[{static_cast<int>(Kind::discovery), 0}]);
        if (e_.relays(Kind::application))
            for (int i = r; i < e_.proxies; i += shape_.relays) stands_for(Kind::application, i, door_ip(i), door_port_);
        if (e_.relays(Kind::peer))
            for (int i = 0; i < e_.proxies; ++i) stands_for(Kind::peer, i, door_ip(i), door_port_);
    }
    if (!wait_for([&] { return relay_ports_.size() == wanted; }, most_start)) throw CantStart("the relays are not ready");

    auto& discovery = **std::find_if(parts_.begin(), parts_.end(), [](auto& p) { return p->name == "discovery-0"; });
    const int kind = static_cast<int>(Kind::server);
    for (int r = 0; r < std::max(1, shape_.relays); ++r)
        for (int j = 0; j < e_.servers; ++j)
            tell(discovery, "port " + std::to_string(r) + " " + std::to_string(j) + " " +
                                std::to_string(e_.relays(Kind::server) ? relay_ports_.at({r, kind, j}) : ports_.at({kind, j})));
    tell(discovery, "first");
    for (int i = 0; i < e_.proxies; ++i) start_proxy(i);
    for (int i = 0; i < shape_.loads; ++i) {
        auto& load = start_part("load", i, shape_.loads);
        for (int p = i; p < e_.proxies; p += shape_.loads) {
            const Link link{Kind::application, static_cast<uint16_t>(p), static_cast<uint16_t>(p)};
            const bool relayed = e_.relays(Kind::application);
            tell(load, "proxy " + std::to_string(p) + " " + std::to_string(relayed ? ip_of(link) : door_ip(p)) + " " +
                           std::to_string(relayed ? relay_ports_.at({p % shape_.relays, static_cast<int>(Kind::application), p})
                                                  : door_port_));
        }
        tell(load, "ask");
    }
    if (!wait_for([this] { return up_ == static_cast<size_t>(shape_.loads); }, most_start))
        throw CantStart("not all proxies are up after " + std::to_string(most_start.s) + " s; their logs are in " + day_.directory);
    day_.started_in = (system_.now() - from).s;
}

void Conductor::play() {
    start_ = system_.now() + Span{0.2};
    day_.start = start_.s;
    day_.end = start_.s + e_.lasts.s;
    std::ostringstream go;
    go.precision(17);
    go << "go " << start_.s;
    for (const auto& part : parts_) tell(*part, go.str());
    for (int f = 0; f < static_cast<int>(e_.faults.size()); ++f)
        at(start_ + e_.faults[static_cast<size_t>(f)].at, [this, f] { begin(f); });
    Span most;
    for (const auto& p : e_.products) most = std::max(most, p.timeout);
    if (!wait_for([this] { return done_ == static_cast<size_t>(shape_.loads); }, e_.lasts + most + Span{30}))
        throw std::runtime_error("the load did not come to its end");
    // Faults that last beyond the load are over with it; what was stopped has to go on to end.
    for (const auto& [pid, number] : ids_) ::kill(pid, SIGCONT);
}

size_t Conductor::befalls(int fault, std::vector<int> who, double lasts) {
    day_.befell.push_back({fault, system_.now().s, system_.now().s + lasts, std::move(who)});
    return day_.befell.size() - 1;
}

void Conductor::begin(int number) {
    const auto& f = e_.faults[static_cast<size_t>(number)];
    const auto whom = name_of(f.kind).whom;
    const auto over = [this, number](const std::string& kind) {
        at(system_.now() + e_.faults[static_cast<size_t>(number)].lasts,
           [this, number, kind] { tell_all(kind, "over " + std::to_string(number)); });
    };
    if (whom == Whom::process || f.kind == FaultKind::die || f.kind == FaultKind::drain) {
        for (size_t k = 0; k < f.who.members.size(); ++k) {
            const int member = f.who.members[k];
            const Span wait = f.staggered * (static_cast<double>(k) / static_cast<double>(f.who.members.size()));
            at(system_.now() + wait, [this, number, member, whom] {
                whom == Whom::process ? process_fault(number, member) : server_fault(number, member);
            });
        }
    } else if (whom == Whom::server) {
        befalls(number, f.who.members, f.lasts.s);
        tell_all("servers", "fault " + std::to_string(number) + " " + std::to_string(static_cast<int>(f.kind)) + " " +
                                std::to_string(f.how) + " " + write_list(f.who.members));
        over("servers");
    } else if (whom == Whom::discovery) {
        befalls(number, {0}, f.lasts.s + (f.kind == FaultKind::late ? f.how : 0));
        tell_all("discovery", "fault " + std::to_string(number) + " " + name_of(f.kind).name + " " + std::to_string(f.how));
        over("discovery");
        if (f.kind != FaultKind::absent) return;
        const auto door = " " + std::to_string(static_cast<int>(Kind::discovery)) + " 0";
        tell_all("relay", "down" + door);
        at(system_.now() + f.lasts, [this, door] { tell_all("relay", "up" + door); });
    } else {
        befalls(number, f.who.members, f.lasts.s);
        std::ostringstream rule;
        rule << "rule " << number << ' ' << static_cast<int>(f.link) << ' ' << f.way << ' ' << f.delay << ' ' << f.jitter << ' '
             << f.rate << ' ' << (f.kind == FaultKind::lossy ? f.how : 0) << ' ' << (f.kind == FaultKind::mangle ? f.how : 0) << ' '
             << (f.kind == FaultKind::half_close ? f.how : 0) << ' '
             << (f.kind == FaultKind::duplicate ? f.how : 0) << ' ' << (f.kind == FaultKind::stall) << ' '
             << (f.kind == FaultKind::cut) << ' ' << (f.kind == FaultKind::cut_hard) << ' ' << write_list(f.who.members) << ' '
             << write_list(f.to.members);
        tell_all("relay", rule.str());
        over("relay");
    }
}

void Conductor::restart(int member) {
    auto& proxy = proxies_[static_cast<size_t>(member)];
    proxy.wanted = false;
    proxy.again = true;
    if (proxy.pid > 0) ::kill(proxy.pid, SIGTERM);
    else start_proxy(member);
}

void Conductor::stop_in_turns(int member, double share, Time until, bool now) {
    auto& proxy = proxies_[static_cast<size_t>(member)];
    if (proxy.pid > 0) ::kill(proxy.pid, now ? SIGSTOP : SIGCONT);
    if (!now && system_.now() >= until) return;
    at(system_.now() + turn * (now ? share : 1 - share), [=, this] { stop_in_turns(member, share, until, !now); });
}

void Conductor::process_fault(int number, int member) {
    const auto& f = e_.faults[static_cast<size_t>(number)];
    auto& proxy = proxies_[static_cast<size_t>(member)];
    const auto later = [&](std::function<void()> what) {
        if (f.lasts > Span{}) at(system_.now() + f.lasts, std::move(what));
    };
    switch (f.kind) {
        case FaultKind::kill: case FaultKind::no_start:
            befalls(number, one(member), 0);
            proxy.wanted = false;
            proxy.no_start = f.kind == FaultKind::no_start;
            if (proxy.pid > 0) ::kill(proxy.pid, SIGKILL);
            later([this, member] {
                auto& p = proxies_[static_cast<size_t>(member)];
                p.no_start = false;
                if (p.pid == 0) start_proxy(member);
            });
            return;
        case FaultKind::pause:
            befalls(number, one(member), f.lasts.s);
            if (proxy.pid > 0) ::kill(proxy.pid, SIGSTOP);
            later([this, member] {
                if (const auto pid = proxies_[static_cast<size_t>(member)].pid; pid > 0) ::kill(pid, SIGCONT);
            });
            return;
        case FaultKind::slow_process:
            befalls(number, one(member), f.lasts.s);
            return stop_in_turns(member, std::min(f.how, 0.99), system_.now() + f.lasts, true);
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
            befalls(number, one(member), 0);
            return restart(member);
        case FaultKind::reread:
            befalls(number, one(member), 0);
            if (f.settings.is_object() && !f.settings.empty()) proxy.settings = f.settings, configure(member);
            if (proxy.pid > 0) ::kill(proxy.pid, SIGHUP);
            return;
        default: return;
    }
}

void Conductor::server_fault(int number, int member) {
    const auto& f = e_.faults[static_cast<size_t>(number)];
    auto& life = server_lives_[static_cast<size_t>(member)];
    const auto who = std::to_string(member), door = " " + std::to_string(static_cast<int>(Kind::server)) + " " + who;
    const auto list = [this, who](Listed state, double boot, int of_life) {
        std::ostringstream line;
        line.precision(17);
        line << "list " << who << ' ' << static_cast<int>(state) << ' ' << boot << ' ' << of_life;
        tell_all("discovery", line.str());
    };
    const auto die = [this, who, door] {
        tell_all("servers", "die " + who);
        tell_all("relay", "down" + door);
    };
    const auto back = [this, who, door, list](int of_life) {
        tell_all("servers", "back " + who);
        tell_all("relay", "up" + door);
        list(Listed::serving, system_.unix_time(), of_life);
    };
    const Time now = system_.now();
    if (f.kind == FaultKind::die) {
        befalls(number, one(member), f.lasts > Span{} ? f.lasts.s : e_.lasts.s);
        die();
        if (f.lasts <= Span{} || f.lasts > list_lag) at(now + list_lag, [=, &life] { list(Listed::gone, 0, life); });
        if (f.lasts > Span{}) at(now + f.lasts, [=, &life] { back(life); });
        return;
    }
    befalls(number, one(member), std::max(f.lasts, e_.drain_grace).s);
    list(Listed::draining, 0, life);
    const Time leaves = now + e_.drain_grace + Span{0.5};
    at(leaves, [=, &life] {
        die();
        list(Listed::gone, 0, life);
    });
    at(std::max(leaves + Span{0.1}, now + f.lasts), [=, &life] { back(++life); });
}

void Conductor::end_all() {
    const Time from = system_.now();
    ending_ = true;
    for (auto& proxy : proxies_) proxy.wanted = proxy.no_start = proxy.again = false;
    for (const auto& [pid, number] : ids_) {
        ::kill(pid, SIGCONT);
        ::kill(pid, SIGTERM);
    }
    const Time proxies_until = system_.now() + most_end;
    while (!ids_.empty() && system_.now() < proxies_until) pump();
    for (const auto& [pid, number] : ids_) {
        day_.left.push_back("proxy " + std::to_string(number) + " did not end within " + std::to_string(most_end.s) + " s of SIGTERM");
        ::kill(pid, SIGKILL);
    }
    for (const auto& part : parts_) tell(*part, "end");
    const auto running = [this] { return std::any_of(parts_.begin(), parts_.end(), [](auto& p) { return p->pid > 0; }); };
    const Time until = system_.now() + most_end;
    while ((running() || !ids_.empty()) && system_.now() < until) pump();
    for (const auto& part : parts_)
        if (part->pid > 0) day_.left.push_back(part->name + " did not end");
    day_.ended_in = (system_.now() - from).s;
    day_.memory_mb /= std::max<double>(1, static_cast<double>(day_.lives.size()));
}

void Conductor::progress() {
    if (!how_.terminal || system_.now() - shown_ < Span{1}) return;
    shown_ = system_.now();
    std::cerr << '\r' << e_.name << ", " << arm_.name << ' ' << day_.repeat + 1 << '/' << e_.repeats << ": ";
    if (start_ == long_ago) std::cerr << "starting, " << ids_.size() << " of " << e_.proxies << " proxies   ";
    else if (ending_) std::cerr << "ending                    ";
    else std::cerr << std::max(0.0, std::ceil(e_.lasts.s - (system_.now() - start_).s)) << " s left             ";
    std::cerr << std::flush;
}

Day Conductor::run() {
    std::filesystem::create_directories(day_.directory);
    if (std::filesystem::weakly_canonical(how_.file) != std::filesystem::weakly_canonical(day_.directory + "/experiment.toml"))
        std::filesystem::copy_file(how_.file, day_.directory + "/experiment.toml",
                                   std::filesystem::copy_options::overwrite_existing);
    std::exception_ptr trouble;
    try {
        start_all();
        play();
        day_.whole = true;
    } catch (const CantStart&) {
        throw;
    } catch (const std::exception&) {
        if (!interrupted_) trouble = std::current_exception();
    }
    day_.end = std::min(day_.end, system_.now().s);
    end_all();
    if (how_.terminal) std::cerr << "\r\033[K";
    write_day(day_);
    if (trouble) std::rethrow_exception(trouble);
    return read_day(day_.directory);
}

}  // namespace myrtleroute::rig
