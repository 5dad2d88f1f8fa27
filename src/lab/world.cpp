#include "lab/world.hpp"

#include <signal.h>

#include <algorithm>

#include "lab/held_bytes.hpp"

namespace myrtleroute::lab {

namespace {

// After the load ends: until its calls are over, until idle connections are closed, and until all processes have ended.
constexpr Span calls_end{5}, idle_time{14}, shutdown_time{5};
constexpr Span max_stop_time{4.2};      // from SIGTERM to the end of the process
constexpr uint64_t max_rounds = 3000;   // per 0.1 s; hundreds are already many

class LogSink : public std::streambuf {   // adds a proxy's log to the trace if that has a sink
public:
    LogSink(Trace& trace, int proxy) : trace_(trace), proxy_("proxy " + std::to_string(proxy) + ": ") {}

protected:
    std::streamsize xsputn(const char* text, std::streamsize n) override {
        const HeapCounterPause pause;
        if (!trace_.has_sink()) return n;
        std::istringstream lines(std::string(text, static_cast<size_t>(n)));
        for (std::string line; std::getline(lines, line);) trace_.log("    " + proxy_ + line);
        return n;
    }
    int overflow(int c) override { return c; }

private:
    Trace& trace_;
    std::string proxy_;
};

}  // namespace

struct World::Instance {
    Instance(Trace& trace, int n) : number(n), machine{n, true}, log_sink(trace, n), log(&log_sink) {}
    int number;
    Machine machine;
    LogSink log_sink;
    std::ostream log;
    std::unique_ptr<VirtualSystem> system;
    std::unique_ptr<run::Proxy> proxy;
    uint64_t starts = 0, schedule_version = 0;
    bool scheduled = false;
    Time next_round, busy_until, paused_until;
    bool stop_requested = false;
    Time list_known_at;          // its next start gets the server list as of then
    Time rounds_counted_since;   // `rounds` counts from here
    uint64_t rounds = 0;
    ptrdiff_t held_bytes = 0;
};

World::World(const Scenario& scenario)
    : scenario_(scenario),
      queue_(Time{100}),
      net_(queue_, scenario.seed),
      oracle_(queue_, trace_, scenario_),
      site_{scenario_, queue_, net_, trace_, oracle_},
      random_(scenario.seed, 0x574f524c),
      load_ends_at_(Time{100} + scenario.duration) {
    net_.set_tap(oracle_);
    net_.disturbed_share = scenario.disturbed_share;
    if (net_.disturbed_share > 0 && random_.bernoulli(0.5))
        net_.window = static_cast<size_t>(random_.between(2'000, 64'000));
    for (int i = 0; i < 2; ++i)
        discoveries_.push_back(std::make_unique<Discovery>(site_, registry_, i, static_cast<uint64_t>(1 + i * 5000)));
    discoveries_[0]->open();
    for (int i = 0; i < scenario_.servers; ++i) {
        servers_.push_back(std::make_unique<Server>(site_, registry_, i, [this] { list_changed(); }));
        servers_[i]->start(false);
        servers_[i]->on_response = [this](uint64_t call, Time when) {
            applications_[call / call_numbers_per_proxy]->response_expected(call, when);
        };
    }
    for (int i = 0; i < scenario_.proxies; ++i) {
        applications_.push_back(std::make_unique<Application>(site_, i));
        instances_.push_back(std::make_unique<Instance>(trace_, i));
    }
    oracle_.on_discovery_bytes = [this](int proxy, Socket& s) {
        for (auto& d : discoveries_)
            if (d->bytes_arrived(proxy, s)) return;
    };
    oracle_.is_connecting = [this](int proxy, int server) {
        const auto& system = instances_[proxy]->system;
        return system && system->connecting_to(server_ip + 1 + static_cast<uint32_t>(server));
    };
    for (auto& i : instances_)
        queue_.in({random_.between(0, 0.1)}, [this, &i = *i] { start(i, queue_.now() - Span{random_.between(0, 3)}); });
    std::set<FaultKind> all;
    for (const auto& fault : scenario_.faults) {
        all.insert(fault.kind);
        ++oracle_.summary.faults[static_cast<size_t>(fault.kind)];
        queue_.in(fault.at, [this, &fault] { fault_begins(fault); });
        queue_.in(fault.at + fault.duration, [this, &fault] { fault_ends(fault); });
    }
    if (all.size() >= static_cast<size_t>(FaultKind::wrong_list)) oracle_.summary.met(Hard::all_at_once);
    oracle_.summary.runs = 1;
    queue_.at(load_ends_at_, [this] {
        for (auto& a : applications_) a->stop();
    });
    queue_.at(load_ends_at_ + idle_time, [this] { check_nothing_left(); });
}

World::~World() {
    for (auto& i : instances_)
        if (i->proxy) process_ended(*i);
}

bool World::step() {
    if (oracle_.violation()) return false;
    return queue_.step(load_ends_at_ + idle_time + shutdown_time) && !oracle_.violation();
}

const Summary& World::summary() {
    oracle_.summary.steps = queue_.steps();
    oracle_.summary.resets = net_.resets();
    return oracle_.summary;
}

void World::list_changed() {
    for (auto& d : discoveries_) d->registry_changed();
}

std::string World::server_list(Time at, std::vector<Oracle::ListedServer>& servers) const {
    const auto rev = std::max<uint64_t>(registry_.rev_at(at), static_cast<uint64_t>(scenario_.servers));
    const auto entries = registry_.listed_at(rev);
    servers = Registry::to_listed(entries);
    // The revision is that of the active discovery service; revisions of another one are meaningless to it.
    return Registry::to_json(rev + 1 + current_discovery_ * 5000, true, entries);
}

void World::configure(Instance& i) {
    std::vector<Oracle::ListedServer> servers;
    const auto list = server_list(i.list_known_at, servers);
    const auto seed = mix(scenario_.seed ^ mix(static_cast<uint64_t>(i.number) * 1000 + i.starts));
    i.system->files["config.json"] =
        configuration(scenario_, i.number, seed, discoveries_[current_discovery_]->ip(), list);
}

void World::start(Instance& i, Time list_known_at) {
    if (stopping_ || i.proxy) return;
    ++i.starts;
    i.list_known_at = list_known_at;
    i.stop_requested = false;
    i.paused_until = i.busy_until = i.rounds_counted_since = queue_.now();
    i.scheduled = false;
    i.rounds = 0;
    i.held_bytes = 0;
    i.system =
        std::make_unique<VirtualSystem>(queue_, net_, i.machine, [this, &i] { schedule_round(i, queue_.now()); });
    i.system->variables["BALANCER_CONFIG"] = "config.json";
    i.system->variables["MYRTLEROUTE_LOG"] = trace_.has_sink() ? "debug" : "error";
    configure(i);
    std::vector<Oracle::ListedServer> servers;
    server_list(list_known_at, servers);
    oracle_.proxy_started(i.number, servers);
    const auto environment = [&](const char* name) { return i.system->environment_variable(name); };
    const HeapCounter held(i.held_bytes);
    i.proxy = std::make_unique<run::Proxy>(run::read_config(*i.system, environment), *i.system, i.log);
    if (!i.proxy->start())
        return oracle_.report_violation(Rule::no_crash, {}, "proxy " + std::to_string(i.number) + " can't start");
    schedule_round(i, queue_.now());
}

void World::schedule_round(Instance& i, Time at) {
    if (!i.proxy) return;
    at = std::max({at, i.paused_until, i.busy_until});
    if (i.scheduled && at >= i.next_round) return;
    i.scheduled = true;
    i.next_round = at;
    queue_.at(at, [this, &i, version = ++i.schedule_version] {
        if (version == i.schedule_version && i.proxy) run_round(i);
    });
}

// Runs one round of the proxy's loop. The next one follows after the duration of a round if there is more to do,
// otherwise when its wait ends or an event arrives.
void World::run_round(Instance& i) {
    i.scheduled = false;
    if (i.paused_until > queue_.now()) return schedule_round(i, i.paused_until);
    ++oracle_.summary.rounds;
    ++i.rounds;
    bool continues = false;
    try {
        const HeapCounter held(i.held_bytes);
        continues = i.proxy->round();
    } catch (const std::exception& error) {
        return oracle_.report_violation(Rule::no_crash, {}, "proxy " + std::to_string(i.number) + ": " + error.what());
    }
    if (!continues) {
        if (!i.stop_requested)
            return oracle_.report_violation(Rule::ends_in_time, {},
                                            "proxy " + std::to_string(i.number) + " ended without SIGTERM");
        process_ended(i);
        return queue_.in({0.2}, [this, &i, at = i.list_known_at] { start(i, at); });
    }
    check(i);
    i.busy_until = queue_.now() + Span{0.00001 + random_.exponential(0.00003)};
    schedule_round(i, i.system->is_waiting() ? i.system->waits_until() : i.busy_until);
}

// Compares the proxy's own counts with those of the system.
void World::check(Instance& i) {
    auto& state = i.proxy->state();
    const auto compare = [&](Rule rule, const std::string& what, size_t has, size_t is) {
        if (has != is)
            oracle_.report_violation(rule, {},
                                     "proxy " + std::to_string(i.number) + " counts " + std::to_string(has) + ' ' +
                                         what + ", there are " + std::to_string(is));
    };
    compare(Rule::beliefs, "descriptors", state.loop.connections(), i.system->open());
    size_t connections = 0, idle = 0, waiting = 0;
    state.servers.each([&](memory::Server& s) {
        connections += static_cast<size_t>(s.connections);
        idle += s.idle.size();
    });
    compare(Rule::beliefs, "connections to servers", connections, i.system->server_connections());
    const auto busy = static_cast<size_t>(oracle_.busy_connections(i.number)) + i.system->pending_server_connections();
    compare(Rule::beliefs, "busy connections to servers", connections - idle, busy);
    state.calls.each([&](memory::PendingCall& call) { waiting += call.client != nullptr; });
    const auto open = static_cast<size_t>(oracle_.open_calls(i.number));
    // The oracle counts an answer when it is written whole.
    if (open < waiting || open > waiting + state.loop.unwritten_connections())
        compare(Rule::beliefs, "calls without an answer", waiting, open);
    if (queue_.now() - i.rounds_counted_since > Span{0.1}) {
        i.rounds_counted_since = queue_.now();
        i.rounds = 0;
    }
    if (i.rounds > max_rounds)
        oracle_.report_violation(Rule::no_busy_loop, {}, "proxy " + std::to_string(i.number) + " ran " +
                                                   std::to_string(i.rounds) + " rounds in 0.1 s");
    oracle_.summary.max_held_bytes =
        std::max(oracle_.summary.max_held_bytes, static_cast<uint64_t>(std::max<ptrdiff_t>(0, i.held_bytes)));
    if (i.held_bytes > static_cast<ptrdiff_t>(state.config.memory_mb << 20))
        oracle_.report_violation(
            Rule::bounded_memory, {},
            "proxy " + std::to_string(i.number) + " holds " + std::to_string(i.held_bytes) + " bytes");
}

void World::request_stop(Instance& i) {
    if (!i.proxy || i.stop_requested) return;
    i.stop_requested = true;
    i.list_known_at = queue_.now() - Span{random_.between(0, 4)};
    if (oracle_.open_calls(i.number) > 0) oracle_.summary.met(Hard::stops_with_calls_out);
    site_.record(Event::signal, static_cast<uint64_t>(i.number), SIGTERM);
    i.system->signal(SIGTERM);
    check_stop(i, i.starts, queue_.now() + max_stop_time);
}

void World::check_stop(Instance& i, uint64_t starts, Time by) {
    queue_.at(by, [this, &i, starts, by] {
        if (!i.proxy || i.starts != starts) return;
        const Time later = oracle_.deadline(i.number, by - max_stop_time, max_stop_time);
        if (later > queue_.now()) return check_stop(i, starts, later);
        oracle_.report_violation(Rule::ends_in_time, {},
                                 "proxy " + std::to_string(i.number) + " still runs after SIGTERM");
    });
}

void World::process_ended(Instance& i) {
    oracle_.process_ending(i.number);
    i.system->end_process();
    i.proxy.reset();
    oracle_.proxy_ended(i.number);
}

void World::fault_begins(const Fault& fault) {
    if (oracle_.violation()) return;
    site_.record(Event::fault_begins, static_cast<uint64_t>(fault.kind), static_cast<uint64_t>(fault.target));
    const auto target = info_of(fault.kind).target;
    if (target == FaultTarget::server) return servers_[fault.target]->fault_begins(fault);
    if (target == FaultTarget::discovery) {
        for (auto& d : discoveries_) d->fault_begins(fault);
        return;
    }
    if (target == FaultTarget::proxy) applications_[fault.target]->fault_begins(fault);
    auto& i = *instances_[target == FaultTarget::proxy ? fault.target : 0];
    switch (fault.kind) {
        case FaultKind::costly:
            for (auto& s : servers_) s->set_cost_factor(1 + 7 * fault.strength);
            break;
        case FaultKind::burst:
            for (auto& a : applications_) a->set_load_factor(1 + 5 * fault.strength);
            break;
        case FaultKind::moves:
            discoveries_[current_discovery_]->close_soon();
            current_discovery_ ^= 1;
            discoveries_[current_discovery_]->open();
            for (auto& each : instances_) {
                if (!each->proxy || each->stop_requested) continue;
                if (discoveries_[current_discovery_ ^ 1]->is_watched_by(each->number))
                    oracle_.summary.met(Hard::moves_while_watching);
                configure(*each);
                site_.record(Event::signal, static_cast<uint64_t>(each->number), SIGHUP);
                each->system->signal(SIGHUP);
            }
            break;
        case FaultKind::bad_file:
            if (!i.proxy) break;
            i.system->files["config.json"] =
                fault.strength < 0.3 ? "" : "{\"listen\":" + std::string(fault.strength < 0.6 ? "7}" : "");
            i.system->signal(SIGHUP);
            break;
        case FaultKind::descriptors:
            oracle_.set_descriptors_limited(i.number);
            if (i.system)
                i.system->descriptors =
                    std::max<size_t>(16, i.system->open() + static_cast<size_t>(fault.strength * 10));
            break;
        case FaultKind::pause: {
            const Span lasts{std::min(fault.duration.s, 0.05 + fault.strength * 1.2)};
            i.paused_until = std::max(i.paused_until, queue_.now() + lasts);
            oracle_.proxy_paused(i.number, queue_.now(), i.paused_until);
            site_.record(Event::paused, static_cast<uint64_t>(i.number));
            break;
        }
        case FaultKind::wrong_list:
            registry_.hide(queue_.now(), 0.3 + fault.strength);   // all servers from a strength of 0.7 on
            list_changed();
            break;
        case FaultKind::restart: request_stop(i); break;
        case FaultKind::killed:
            if (!i.proxy) break;
            if (oracle_.open_calls(i.number) > 0) oracle_.summary.met(Hard::restart_with_calls_out);
            site_.record(Event::killed, static_cast<uint64_t>(i.number));
            process_ended(i);
            queue_.in({0.05 + fault.strength},
                      [this, &i, at = queue_.now() - Span{fault.strength * 8}] { start(i, at); });
            break;
        default: break;
    }
}

void World::fault_ends(const Fault& fault) {
    if (oracle_.violation()) return;
    site_.record(Event::fault_ends, static_cast<uint64_t>(fault.kind), static_cast<uint64_t>(fault.target));
    const auto target = info_of(fault.kind).target;
    if (target == FaultTarget::server) return servers_[fault.target]->fault_ends(fault);
    if (target == FaultTarget::discovery)
        for (auto& d : discoveries_) d->fault_ends(fault);
    if (target == FaultTarget::proxy) applications_[fault.target]->fault_ends(fault);
    if (fault.kind == FaultKind::costly)
        for (auto& s : servers_) s->set_cost_factor(1);
    if (fault.kind == FaultKind::burst)
        for (auto& a : applications_) a->set_load_factor(1);
    if (fault.kind == FaultKind::descriptors && instances_[fault.target]->system)
        instances_[fault.target]->system->descriptors = VirtualSystem::rlimit;
    if (fault.kind == FaultKind::bad_file && instances_[fault.target]->proxy) configure(*instances_[fault.target]);
    if (fault.kind != FaultKind::wrong_list) return;
    registry_.restore(queue_.now());
    list_changed();
}

// All calls are over and idle connections are closed: only the listener, the signal descriptor, the watch and probes
// may be left. Then all proxies get SIGTERM.
void World::check_nothing_left() {
    stopping_ = true;
    for (auto& i : instances_) {
        if (!i->proxy) continue;
        auto& state = i->proxy->state();
        const auto check_at_most = [&](const char* what, size_t n, size_t most) {
            if (n > most)
                oracle_.report_violation(
                    Rule::nothing_left, {},
                    "proxy " + std::to_string(i->number) + " still has " + std::to_string(n) + ' ' + what);
        };
        check_at_most("calls", state.calls.size(), 0);
        check_at_most("descriptors", i->system->open(), 3 + static_cast<size_t>(scenario_.servers));
        check_at_most("clients", i->system->accepted(), 0);
        check_at_most("wakes", state.loop.scheduled(), 2);
        check_at_most("timers", state.loop.timers(), i->system->open());
        request_stop(*i);
    }
}

}  // namespace myrtleroute::lab
