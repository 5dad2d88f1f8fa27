#include "lab/world.hpp"

#include <signal.h>

#include <algorithm>

#include "lab/held_bytes.hpp"

namespace myrtleroute::lab {

namespace {

// After the load: until its calls are over, until connections that stand idle are closed, and until all have
// ended.
constexpr Span calls_end{5}, idle_ends{14}, all_end{5};
constexpr Span most_stop{4.2};          // from SIGTERM to the end
constexpr uint64_t most_rounds = 3000;  // in 0.1 s: hundreds are many

class Lines : public std::streambuf {   // a proxy's log, into the trace where that is read
public:
    Lines(Trace& trace, int proxy) : trace_(trace), proxy_("proxy " + std::to_string(proxy) + ": ") {}

protected:
    std::streamsize xsputn(const char* text, std::streamsize n) override {
        const NotHeld ours;
        if (!trace_.read()) return n;
        std::istringstream lines(std::string(text, static_cast<size_t>(n)));
        for (std::string line; std::getline(lines, line);) trace_.say("    " + proxy_ + line);
        return n;
    }
    int overflow(int c) override { return c; }

private:
    Trace& trace_;
    std::string proxy_;
};

}  // namespace

struct World::Instance {
    Instance(Trace& trace, int n) : number(n), machine{n, true}, lines(trace, n), log(&lines) {}
    int number;
    Machine machine;
    Lines lines;
    std::ostream log;
    std::unique_ptr<VirtualSystem> system;
    std::unique_ptr<run::Proxy> proxy;
    uint64_t starts = 0, plans = 0;
    bool planned = false;
    Time next, busy_until, paused_until;
    bool told_to_stop = false;
    Time known_at;                 // what it will know at its next start
    Time counted_from;             // rounds since then
    uint64_t rounds = 0;
    ptrdiff_t held_bytes = 0;
};

World::World(const Scenario& scenario)
    : scenario_(scenario), queue_(Time{100}), net_(queue_, scenario.seed), oracle_(queue_, trace_, scenario_),
      site_{scenario_, queue_, net_, trace_, oracle_}, chance_(scenario.seed, 0x574f524c), over_at_(Time{100} + scenario.lasts) {
    net_.tapped_by(oracle_);
    net_.rough = scenario.rough;
    if (net_.rough > 0 && chance_.bernoulli(0.5)) net_.window = static_cast<size_t>(chance_.between(2'000, 64'000));
    for (int i = 0; i < 2; ++i)
        discoveries_.push_back(std::make_unique<Discovery>(site_, registry_, i, static_cast<uint64_t>(1 + i * 5000)));
    discoveries_[0]->opens();
    for (int i = 0; i < scenario_.servers; ++i) {
        servers_.push_back(std::make_unique<Server>(site_, registry_, i, [this] { list_changed(); }));
        servers_[i]->starts(false);
        servers_[i]->on_answer = [this](uint64_t call, Time when) {
            applications_[call / calls_a_proxy]->answer_comes(call, when);
        };
    }
    for (int i = 0; i < scenario_.proxies; ++i) {
        applications_.push_back(std::make_unique<Application>(site_, i));
        instances_.push_back(std::make_unique<Instance>(trace_, i));
    }
    oracle_.on_discovery_bytes = [this](int proxy, Socket& s) {
        for (auto& d : discoveries_)
            if (d->has(proxy, s)) return;
    };
    oracle_.connecting = [this](int proxy, int server) {
        const auto& system = instances_[proxy]->system;
        return system && system->connecting_to(server_ip + 1 + static_cast<uint32_t>(server));
    };
    for (auto& i : instances_)
        queue_.in({chance_.between(0, 0.1)}, [this, &i = *i] { start(i, queue_.now() - Span{chance_.between(0, 3)}); });
    std::set<FaultKind> all;
    for (const auto& fault : scenario_.faults) {
        all.insert(fault.kind);
        ++oracle_.summary.faults[static_cast<size_t>(fault.kind)];
        queue_.in(fault.at, [this, &fault] { begins(fault); });
        queue_.in(fault.at + fault.lasts, [this, &fault] { ends(fault); });
    }
    if (all.size() >= static_cast<size_t>(FaultKind::wrong_list)) oracle_.summary.met(Hard::all_at_once);
    oracle_.summary.days = 1;
    queue_.at(over_at_, [this] {
        for (auto& a : applications_) a->stops();
    });
    queue_.at(over_at_ + idle_ends, [this] { quiet(); });
}

World::~World() {
    for (auto& i : instances_)
        if (i->proxy) gone(*i);
}

bool World::step() {
    if (oracle_.broken()) return false;
    return queue_.step(over_at_ + idle_ends + all_end) && !oracle_.broken();
}

const Summary& World::summary() {
    oracle_.summary.steps = queue_.steps();
    oracle_.summary.resets = net_.resets();
    return oracle_.summary;
}

void World::list_changed() {
    for (auto& d : discoveries_) d->changed();
}

std::string World::known(Time at, std::vector<Oracle::Told>& told) const {
    const auto rev = std::max<uint64_t>(registry_.rev_at(at), static_cast<uint64_t>(scenario_.servers));
    const auto entries = registry_.standing(rev);
    told = Registry::told(entries);
    // Numbered as by the discovery that takes calls; lists of another are of no use there.
    return Registry::words(rev + 1 + discovery_ * 5000, true, entries);
}

void World::configure(Instance& i) {
    std::vector<Oracle::Told> told;
    const auto list = known(i.known_at, told);
    const auto seed = mix(scenario_.seed ^ mix(static_cast<uint64_t>(i.number) * 1000 + i.starts));
    i.system->files["config.json"] = configuration(scenario_, i.number, seed, discoveries_[discovery_]->ip(), list);
}

void World::start(Instance& i, Time known_at) {
    if (stopping_ || i.proxy) return;
    ++i.starts;
    i.known_at = known_at;
    i.told_to_stop = false;
    i.paused_until = i.busy_until = i.counted_from = queue_.now();
    i.planned = false;
    i.rounds = 0;
    i.held_bytes = 0;
    i.system = std::make_unique<VirtualSystem>(queue_, net_, i.machine, [this, &i] { plan(i, queue_.now()); });
    i.system->variables["BALANCER_CONFIG"] = "config.json";
    i.system->variables["MYRTLEROUTE_LOG"] = trace_.read() ? "debug" : "error";
    configure(i);
    std::vector<Oracle::Told> told;
    known(known_at, told);
    oracle_.starts(i.number, told);
    const auto environment = [&](const char* name) { return i.system->environment_variable(name); };
    const HeldBytes held(i.held_bytes);
    i.proxy = std::make_unique<run::Proxy>(run::read_config(*i.system, environment), *i.system, i.log);
    if (!i.proxy->start()) return oracle_.breaks(Rule::no_crash, {}, "proxy " + std::to_string(i.number) + " can't start");
    plan(i, queue_.now());
}

void World::plan(Instance& i, Time at) {
    if (!i.proxy) return;
    at = std::max({at, i.paused_until, i.busy_until});
    if (i.planned && at >= i.next) return;
    i.planned = true;
    i.next = at;
    queue_.at(at, [this, &i, plan = ++i.plans] {
        if (plan == i.plans && i.proxy) turn(i);
    });
}

// One round of its loop. The next comes after what a round takes; the later ones when it has slept enough or
// hears of something.
void World::turn(Instance& i) {
    i.planned = false;
    if (i.paused_until > queue_.now()) return plan(i, i.paused_until);
    ++oracle_.summary.rounds;
    ++i.rounds;
    bool goes_on = false;
    try {
        const HeldBytes held(i.held_bytes);
        goes_on = i.proxy->round();
    } catch (const std::exception& trouble) {
        return oracle_.breaks(Rule::no_crash, {}, "proxy " + std::to_string(i.number) + ": " + trouble.what());
    }
    if (!goes_on) {
        if (!i.told_to_stop)
            return oracle_.breaks(Rule::ends_in_time, {}, "proxy " + std::to_string(i.number) + " ended by itself");
        gone(i);
        return queue_.in({0.2}, [this, &i, at = i.known_at] { start(i, at); });
    }
    check(i);
    i.busy_until = queue_.now() + Span{0.00001 + chance_.exponential(0.00003)};
    plan(i, i.system->is_waiting() ? i.system->waits_until() : i.busy_until);
}

// What it holds is what the system holds for it.
void World::check(Instance& i) {
    auto& state = i.proxy->state();
    const auto breaks = [&](Rule rule, const std::string& what, size_t has, size_t is) {
        if (has != is)
            oracle_.breaks(rule, {}, "proxy " + std::to_string(i.number) + " counts " + std::to_string(has) + ' ' + what +
                                         ", there are " + std::to_string(is));
    };
    breaks(Rule::beliefs, "descriptors", state.loop.connections(), i.system->open());
    size_t lines = 0, idle = 0, waiting = 0;
    state.servers.each([&](memory::Server& s) {
        lines += static_cast<size_t>(s.connections);
        idle += s.idle.size();
    });
    breaks(Rule::beliefs, "connections to servers", lines, i.system->to_servers());
    const auto busy = static_cast<size_t>(oracle_.lines_busy(i.number)) + i.system->connecting_to_servers();
    breaks(Rule::beliefs, "connections to servers with something out", lines - idle, busy);
    state.calls.each([&](memory::PendingCall& call) { waiting += call.client != nullptr; });
    const auto open = static_cast<size_t>(oracle_.calls_open(i.number));
    // An answer counts when it is written whole.
    if (open < waiting || open > waiting + state.loop.unwritten_connections())
        breaks(Rule::beliefs, "calls without an answer", waiting, open);
    if (queue_.now() - i.counted_from > Span{0.1}) {
        i.counted_from = queue_.now();
        i.rounds = 0;
    }
    if (i.rounds > most_rounds)
        oracle_.breaks(Rule::no_busy_loop, {}, "proxy " + std::to_string(i.number) + " went round " +
                                                   std::to_string(i.rounds) + " times in 0.1 s");
    oracle_.summary.most_held_bytes = std::max(oracle_.summary.most_held_bytes, static_cast<uint64_t>(std::max<ptrdiff_t>(0, i.held_bytes)));
    if (i.held_bytes > static_cast<ptrdiff_t>(state.config.memory_mb << 20))
        oracle_.breaks(Rule::bounded_memory, {}, "proxy " + std::to_string(i.number) + " holds " + std::to_string(i.held_bytes));
}

void World::tell_to_stop(Instance& i) {
    if (!i.proxy || i.told_to_stop) return;
    i.told_to_stop = true;
    i.known_at = queue_.now() - Span{chance_.between(0, 4)};
    if (oracle_.calls_open(i.number) > 0) oracle_.summary.met(Hard::stops_with_calls_out);
    site_.note(Event::signal, static_cast<uint64_t>(i.number), SIGTERM);
    i.system->signal(SIGTERM);
    check_stop(i, i.starts, queue_.now() + most_stop);
}

void World::check_stop(Instance& i, uint64_t starts, Time by) {
    queue_.at(by, [this, &i, starts, by] {
        if (!i.proxy || i.starts != starts) return;
        const Time later = oracle_.due(i.number, by - most_stop, most_stop);
        if (later > queue_.now()) return check_stop(i, starts, later);
        oracle_.breaks(Rule::ends_in_time, {}, "proxy " + std::to_string(i.number) + " goes on after SIGTERM");
    });
}

void World::gone(Instance& i) {
    oracle_.dies(i.number);
    i.system->end_process();
    i.proxy.reset();
    oracle_.ended(i.number);
}

void World::begins(const Fault& fault) {
    if (oracle_.broken()) return;
    site_.note(Event::fault_begins, static_cast<uint64_t>(fault.kind), static_cast<uint64_t>(fault.who));
    const auto whom = name_of(fault.kind).whom;
    if (whom == Whom::server) return servers_[fault.who]->begins(fault);
    if (whom == Whom::discovery) {
        for (auto& d : discoveries_) d->begins(fault);
        return;
    }
    if (whom == Whom::proxy) applications_[fault.who]->begins(fault);
    auto& i = *instances_[whom == Whom::proxy ? fault.who : 0];
    switch (fault.kind) {
        case FaultKind::costly:
            for (auto& s : servers_) s->costly(1 + 7 * fault.how);
            break;
        case FaultKind::burst:
            for (auto& a : applications_) a->burst(1 + 5 * fault.how);
            break;
        case FaultKind::moves:
            discoveries_[discovery_]->closes_soon();
            discovery_ ^= 1;
            discoveries_[discovery_]->opens();
            for (auto& each : instances_) {
                if (!each->proxy || each->told_to_stop) continue;
                if (discoveries_[discovery_ ^ 1]->watched(each->number)) oracle_.summary.met(Hard::moves_while_watching);
                configure(*each);
                site_.note(Event::signal, static_cast<uint64_t>(each->number), SIGHUP);
                each->system->signal(SIGHUP);
            }
            break;
        case FaultKind::bad_file:
            if (!i.proxy) break;
            i.system->files["config.json"] = fault.how < 0.3 ? "" : "{\"listen\":" + std::string(fault.how < 0.6 ? "7}" : "");
            i.system->signal(SIGHUP);
            break;
        case FaultKind::descriptors:
            oracle_.short_of_descriptors(i.number);
            if (i.system) i.system->descriptors = std::max<size_t>(16, i.system->open() + static_cast<size_t>(fault.how * 10));
            break;
        case FaultKind::pause: {
            const Span lasts{std::min(fault.lasts.s, 0.05 + fault.how * 1.2)};
            i.paused_until = std::max(i.paused_until, queue_.now() + lasts);
            oracle_.paused(i.number, queue_.now(), i.paused_until);
            site_.note(Event::paused, static_cast<uint64_t>(i.number));
            break;
        }
        case FaultKind::wrong_list:
            registry_.lies(queue_.now(), 0.3 + fault.how);   // the upper three tenths of `how`: all of them
            list_changed();
            break;
        case FaultKind::restart: tell_to_stop(i); break;
        case FaultKind::killed:
            if (!i.proxy) break;
            if (oracle_.calls_open(i.number) > 0) oracle_.summary.met(Hard::restart_with_calls_out);
            site_.note(Event::killed, static_cast<uint64_t>(i.number));
            gone(i);
            queue_.in({0.05 + fault.how}, [this, &i, at = queue_.now() - Span{fault.how * 8}] { start(i, at); });
            break;
        default: break;
    }
}

void World::ends(const Fault& fault) {
    if (oracle_.broken()) return;
    site_.note(Event::fault_ends, static_cast<uint64_t>(fault.kind), static_cast<uint64_t>(fault.who));
    const auto whom = name_of(fault.kind).whom;
    if (whom == Whom::server) return servers_[fault.who]->ends(fault);
    if (whom == Whom::discovery)
        for (auto& d : discoveries_) d->ends(fault);
    if (whom == Whom::proxy) applications_[fault.who]->ends(fault);
    if (fault.kind == FaultKind::costly)
        for (auto& s : servers_) s->costly(1);
    if (fault.kind == FaultKind::burst)
        for (auto& a : applications_) a->burst(1);
    if (fault.kind == FaultKind::descriptors && instances_[fault.who]->system)
        instances_[fault.who]->system->descriptors = VirtualSystem::rlimit;
    if (fault.kind == FaultKind::bad_file && instances_[fault.who]->proxy) configure(*instances_[fault.who]);
    if (fault.kind != FaultKind::wrong_list) return;
    registry_.tells_truth(queue_.now());
    list_changed();
}

// All calls are over and what stood idle is closed: nothing may be left but the listener, the signals, the
// watch and probes. Then all are told to stop.
void World::quiet() {
    stopping_ = true;
    for (auto& i : instances_) {
        if (!i->proxy) continue;
        auto& state = i->proxy->state();
        const auto none = [&](const char* what, size_t n, size_t most) {
            if (n > most)
                oracle_.breaks(Rule::nothing_left, {}, "proxy " + std::to_string(i->number) + " still has " + std::to_string(n) + ' ' + what);
        };
        none("calls", state.calls.size(), 0);
        none("descriptors", i->system->open(), 3 + static_cast<size_t>(scenario_.servers));
        none("clients", i->system->accepted(), 0);
        none("wakes", state.loop.scheduled(), 2);
        none("timers", state.loop.timers(), i->system->open());
        tell_to_stop(*i);
    }
}

}  // namespace myrtleroute::lab
