#include "rig/figures.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <set>

#include "lab/random_stream.hpp"
#include "rig/arrivals.hpp"

namespace myrtleroute::rig {

namespace {

constexpr int draws = 20;
constexpr double herd_window = 0.1;

struct Choice { double at; int server, proxy; };

double size_of(const Experiment& e, int server) { return e.sizes[static_cast<size_t>(server) % e.sizes.size()]; }

// Random draws of a server, weighted by size.
class RandomDraw {
public:
    RandomDraw(const Experiment& e, const std::vector<int>& servers) : servers_(servers) {
        for (const int s : servers) sums_.push_back((sums_.empty() ? 0 : sums_.back()) + size_of(e, s));
    }
    size_t draw_index(lab::RandomStream& chance) const {
        const double at = chance.uniform() * sums_.back();
        return static_cast<size_t>(std::upper_bound(sums_.begin(), sums_.end(), at) - sums_.begin());
    }

private:
    std::vector<int> servers_;
    std::vector<double> sums_;
};

Spread mean(const std::vector<Spread>& all) {
    Spread m;
    for (const auto& x : all) {
        m.max += x.max;
        m.min += x.min;
        m.cv += x.cv;
        m.idle += x.idle;
    }
    if (const auto n = static_cast<double>(all.size()); n > 0) m = {m.max / n, m.min / n, m.cv / n, m.idle / n};
    return m;
}

// Servers listed as serving during the whole interval.
std::vector<int> serving_throughout(const RunRecord& d, double from, double to) {
    std::vector<int> all;
    for (int s = 0; s < d.e.servers; ++s) {
        bool serving = true;
        for (const auto& l : d.list) {
            if (l.server != s || l.at > to) continue;
            if (l.at <= from) serving = l.state == ListedState::serving;
            else serving &= l.state == ListedState::serving;
        }
        if (serving) all.push_back(s);
    }
    return all;
}

Spread actual(const RunRecord& d, const std::vector<Choice>& chosen, const std::vector<int>& servers, double from,
              double to, uint64_t& n) {
    std::vector<double> calls(static_cast<size_t>(d.e.servers));
    for (const auto& c : chosen)
        if (c.at >= from && c.at < to) ++calls[static_cast<size_t>(c.server)];
    std::vector<double> reached;
    n = 0;
    for (const int s : servers) {
        n += static_cast<uint64_t>(calls[static_cast<size_t>(s)]);
        reached.push_back(calls[static_cast<size_t>(s)] / size_of(d.e, s));
    }
    return spread_of(reached);
}

Spread random_spread(const Experiment& e, const std::vector<int>& servers, uint64_t n, lab::RandomStream& chance) {
    if (servers.empty()) return {};
    const RandomDraw draw(e, servers);
    std::vector<Spread> all;
    for (int i = 0; i < draws; ++i) {
        std::vector<double> calls(servers.size());
        for (uint64_t k = 0; k < n; ++k) ++calls[draw.draw_index(chance)];
        for (size_t s = 0; s < servers.size(); ++s) calls[s] /= size_of(e, servers[s]);
        all.push_back(spread_of(calls));
    }
    return mean(all);
}

// Highest number of proxies that chose the same server within 0.1 s.
double herd(const std::vector<Choice>& in_order) {
    size_t max = 0;
    for (size_t i = 0; i < in_order.size();) {
        std::map<int, std::set<int>> who;
        const double until = in_order[i].at + herd_window;
        for (; i < in_order.size() && in_order[i].at < until; ++i) who[in_order[i].server].insert(in_order[i].proxy);
        for (const auto& [server, proxies] : who) max = std::max(max, proxies.size());
    }
    return static_cast<double>(max);
}

constexpr double pool_within = 10;

double variance(const std::vector<double>& values) {
    double sum = 0, squares = 0;
    for (const double v : values) sum += v;
    const double n = static_cast<double>(values.size()), mean = sum / n;
    for (const double v : values) squares += (v - mean) * (v - mean);
    return squares / n;
}

Causes causes(const RunRecord& d, const std::vector<Choice>& chosen, const std::vector<Window>& windows) {
    const auto servers = static_cast<size_t>(d.e.servers), proxies = static_cast<size_t>(d.e.proxies);
    Causes all;
    std::vector<double> rest_sum(servers);   // summed over windows, relative to each mean
    double chance_sum = 0, residual_sum = 0;
    for (const auto& w : windows) {
        const double to = w.from + d.e.window.s;
        std::vector<std::set<int>> pools(proxies);
        std::vector<double> by_proxy(proxies), by_server(servers);
        double total = 0;
        for (const auto& c : chosen) {
            if (c.at >= w.from - pool_within && c.at < to + pool_within) pools[static_cast<size_t>(c.proxy)].insert(c.server);
            if (c.at < w.from || c.at >= to) continue;
            ++by_proxy[static_cast<size_t>(c.proxy)];
            ++by_server[static_cast<size_t>(c.server)];
            ++total;
        }
        if (total <= 0) continue;
        std::vector<double> expected(servers), even_traffic(servers), rest(servers);
        double chance = 0, senders = 0;
        for (const auto& pool : pools) senders += !pool.empty();
        for (size_t p = 0; p < proxies; ++p) {
            const auto k = static_cast<double>(pools[p].size());
            for (const int s : pools[p]) {
                expected[static_cast<size_t>(s)] += by_proxy[p] / k;
                even_traffic[static_cast<size_t>(s)] += total / senders / k;
                chance += by_proxy[p] / k * (1 - 1 / k);
            }
        }
        const double n = static_cast<double>(servers), mean = total / n, square = mean * mean;
        for (size_t s = 0; s < servers; ++s) {
            rest[s] = by_server[s] - expected[s];
            rest_sum[s] += rest[s] / mean;
        }
        const double observed = variance(by_server), pools_and_traffic = variance(expected), residual = variance(rest);
        all.observed += observed / square;
        all.pools += variance(even_traffic) / square;
        all.traffic += (pools_and_traffic - variance(even_traffic)) / square;
        all.covariance += (observed - pools_and_traffic - residual) / square;
        chance_sum += chance / n / square;
        residual_sum += residual / square;
    }
    const auto n = static_cast<double>(std::max<size_t>(1, windows.size()));
    // If the choice were the same in each window, the mean over windows would have the variance of a single window.
    all.chance = chance_sum;
    const double excess = residual_sum - chance_sum;
    all.persistent = n > 1 ? (variance(rest_sum) / n - residual_sum / n) * n / (n - 1) : 0;
    all.transient = excess - all.persistent;
    for (double* part :
         {&all.observed, &all.pools, &all.traffic, &all.chance, &all.persistent, &all.transient, &all.covariance})
        *part /= n;
    return all;
}

void count_calls(const RunRecord& d, Figures& f) {
    const auto seconds = static_cast<size_t>(std::ceil(d.e.duration.s));
    std::vector<double> asked(seconds), got(seconds);
    f.calls_by_second.resize(seconds);
    f.latency.resize(d.e.products.size());
    double value = 0, served = 0;
    for (const auto& c : d.calls) {
        const auto& p = d.e.products[c.product];
        const auto second = std::min(seconds - 1, static_cast<size_t>(std::max(0.0, c.due - d.start)));
        ++f.calls;
        ++f.calls_by_second[second];
        value += p.value;
        asked[second] += p.value;
        const bool good = c.end == CallOutcome::answered && c.status == 200;
        if (good) {
            f.latency[c.product].add(c.ended - c.due);
            f.all_latency.add(c.ended - c.due);
        }
        if (good && c.ended - c.due <= p.slo.s) {
            ++f.fulfilled;
            served += p.value;
            got[second] += p.value;
        } else if (good) {
            ++f.late;
        } else if (c.end == CallOutcome::answered) {
            ++(c.status == 429 || c.status == 503 ? f.rate_limited : f.errored);
        } else {
            ++(c.end == CallOutcome::not_connected ? f.not_connected : f.lost);
        }
    }
    f.service = value > 0 ? served / value : 1;
    for (size_t i = 0; i < seconds; ++i) f.service_by_second.push_back(asked[i] > 0 ? got[i] / asked[i] : 1);
}

// Computes Figures::even_after; 0 if no fault was applied.
double even_after(const RunRecord& d, const std::vector<Choice>& chosen, double duration, lab::RandomStream& chance) {
    double over = -1;
    for (const auto& b : d.applied_faults)
        over = std::max(over, std::min(b.to > 0 ? b.to - d.start : duration, duration));
    if (over < 0) return 0;
    double since = -1;
    for (double from = over; from + d.e.window.s <= duration + 1e-9; from += 1) {
        const auto servers = serving_throughout(d, d.start + from, d.start + from + d.e.window.s);
        uint64_t n = 0;
        const auto now = actual(d, chosen, servers, from, from + d.e.window.s, n);
        const bool is = now.cv <= even_threshold * random_spread(d.e, servers, n, chance).cv;
        if (!is) since = -1;
        else if (since < 0) since = from - over;
    }
    return since;
}

}  // namespace

Spread spread_of(const std::vector<double>& calls) {
    Spread e;
    if (calls.empty()) return e;
    double sum = 0, squares = 0;
    for (const double c : calls) {
        sum += c;
        e.idle += c <= 0;
    }
    const double n = static_cast<double>(calls.size()), mean = sum / n;
    if (mean <= 0) return e;
    for (const double c : calls) squares += (c - mean) * (c - mean);
    e.max = *std::max_element(calls.begin(), calls.end()) / mean;
    e.min = *std::min_element(calls.begin(), calls.end()) / mean;
    e.cv = std::sqrt(squares / n) / mean;
    return e;
}

Figures figures(const RunRecord& d) {
    Figures f;
    count_calls(d, f);
    const auto seconds = static_cast<size_t>(std::ceil(d.e.duration.s));
    f.heat.assign(static_cast<size_t>(d.e.servers), std::vector<double>(seconds));
    std::vector<Choice> chosen;
    for (const auto& s : d.attempts) {
        if (s.call == 0) {
            ++f.probes;
            continue;
        }
        ++f.attempts;
        const double at = s.received - d.start;
        chosen.push_back({at, s.server, s.proxy});
        if (at >= 0 && at < static_cast<double>(seconds)) ++f.heat[s.server][static_cast<size_t>(at)];
    }
    std::sort(chosen.begin(), chosen.end(), [](auto& a, auto& b) { return a.at < b.at; });
    lab::RandomStream chance(d.e.seed, 0x46494755);
    const double duration = std::min(d.e.duration.s, d.end - d.start);
    std::vector<Spread> all_ours, all_random;
    for (double from = 0; from + d.e.window.s <= duration + 1e-9; from += d.e.window.s) {
        const double to = from + d.e.window.s;
        const auto servers = serving_throughout(d, d.start + from, d.start + to);
        Window w{from, 0, static_cast<int>(servers.size()), {}, {}, true};
        w.actual = actual(d, chosen, servers, from, to, w.calls);
        w.random = random_spread(d.e, servers, w.calls, chance);
        for (const auto& b : d.applied_faults) {
            // Servers that were restarted get less load until they are warm.
            const auto kind = d.e.faults[static_cast<size_t>(b.fault)].kind;
            const Span cold = kind == FaultKind::die || kind == FaultKind::drain ? d.e.warm_after : Span{};
            w.fault_free &= b.from - d.start > to || b.to - d.start + cold.s < from - d.e.window.s;
        }
        if (w.fault_free && w.random.cv > 0)
            f.worst_fault_free = std::max(f.worst_fault_free, w.actual.cv / w.random.cv);
        f.windows.push_back(w);
        all_ours.push_back(w.actual);
        all_random.push_back(w.random);
    }
    f.even_after = even_after(d, chosen, duration, chance);
    f.causes = causes(d, chosen, f.windows);
    f.actual = mean(all_ours);
    f.random = mean(all_random);
    std::vector<int> all_servers;
    for (int s = 0; s < d.e.servers; ++s) all_servers.push_back(s);
    uint64_t n = 0;
    f.whole_run = actual(d, chosen, all_servers, 0, duration, n);
    f.whole_run_random = random_spread(d.e, all_servers, n, chance);
    f.herd = herd(chosen);
    const RandomDraw draw(d.e, all_servers);
    for (int i = 0; i < draws; ++i) {
        auto random = chosen;
        for (auto& c : random) c.server = static_cast<int>(draw.draw_index(chance));
        f.herd_random += herd(random) / draws;
    }
    f.opened = d.connections.size();
    for (const auto& t : d.discovery_records) f.list_calls += t.request;
    for (int s = 0; s < d.e.servers; ++s) {
        std::vector<std::pair<double, int>> steps;
        for (const auto& c : d.connections) {
            if (c.server != s) continue;
            steps.emplace_back(c.at, 1);
            if (c.ended > 0) steps.emplace_back(c.ended, -1);
        }
        std::sort(steps.begin(), steps.end());
        int open = 0, max = 0;
        for (const auto& [at, step] : steps) max = std::max(max, open += step);
        f.max_connections += static_cast<double>(max) / d.e.servers;
    }
    return f;
}

nlohmann::json to_json(const RunRecord& d, const Figures& f) {
    const auto spread = [](const Spread& e) {
        return nlohmann::json{{"max", e.max}, {"min", e.min}, {"cv", e.cv}, {"idle", e.idle}};
    };
    auto windows = nlohmann::json::array();
    for (const auto& w : f.windows)
        windows.push_back({{"from_s", w.from},
                           {"calm", w.fault_free},
                           {"servers", w.servers},
                           {"spread", spread(w.actual)},
                           {"random", spread(w.random)}});
    nlohmann::json latency;
    for (size_t i = 0; i < f.latency.size(); ++i)
        latency[d.e.products[i].name] = {{"p50", f.latency[i].quantile(0.5)}, {"p99", f.latency[i].quantile(0.99)}};
    const auto calls = static_cast<double>(std::max<uint64_t>(1, f.calls));
    return {{"experiment", d.e.name},
            {"arm", d.arm},
            {"program", d.program},
            {"repeat", d.repeat},
            {"seed", d.e.seed},
            {"whole", d.complete},
            {"directory", d.directory},
            {"spread", spread(f.actual)},
            {"random", spread(f.random)},
            {"windows", windows},
            {"worst_calm", f.worst_fault_free},
            {"even_again_s", f.even_after},
            {"causes",
             {{"observed", f.causes.observed},
              {"pools", f.causes.pools},
              {"traffic", f.causes.traffic},
              {"chance", f.causes.chance},
              {"lasting", f.causes.persistent},
              {"passing", f.causes.transient},
              {"together", f.causes.covariance}}},
            {"run", spread(f.whole_run)},
            {"run_random", spread(f.whole_run_random)},
            {"herd", f.herd},
            {"herd_random", f.herd_random},
            {"service", f.service},
            {"calls", f.calls},
            {"fulfilled", f.fulfilled},
            {"late", f.late},
            {"rate_limited", f.rate_limited},
            {"errored", f.errored},
            {"not_connected", f.not_connected},
            {"lost", f.lost},
            {"shots_a_call", static_cast<double>(f.attempts) / calls},
            {"probes_a_call", static_cast<double>(f.probes) / calls},
            {"opens_a_call", static_cast<double>(f.opened) / calls},
            {"connections_a_server", f.max_connections},
            {"list_calls", f.list_calls},
            {"latency_s", latency},
            {"p50_s", f.all_latency.quantile(0.5)},
            {"p99_s", f.all_latency.quantile(0.99)},
            {"cpu_s_a_proxy", d.cpu / d.e.proxies},
            {"memory_mb_a_proxy", d.memory_mb},
            {"started_in_s", d.started_in},
            {"ended_in_s", d.ended_in}};
}

void print(std::ostream& out, const RunRecord& d, const Figures& f) {
    const auto row = [&](const char* what, const Spread& actual, const Spread& random) {
        out << "  " << std::left << std::setw(26) << what << std::right << std::fixed << std::setprecision(2)
            << std::setw(7) << actual.max << std::setw(7) << actual.min << std::setw(7) << actual.cv << std::setw(7)
            << actual.idle << "   |" << std::setw(7) << random.max << std::setw(7) << random.min << std::setw(7)
            << random.cv << std::setw(7) << random.idle << '\n';
    };
    const auto calls = static_cast<double>(std::max<uint64_t>(1, f.calls));
    out << d.e.name << ", " << d.arm << ", seed " << d.e.seed << ": " << d.e.proxies << " proxies (" << d.program
        << ") by " << d.e.servers << " servers, " << f.calls << " calls in " << d.e.duration.s << " s"
        << (d.complete ? "" : ", INTERRUPTED") << '\n'
        << "  calls by server" << std::setw(20) << "max" << std::setw(7) << "min" << std::setw(7) << "cv"
        << std::setw(7) << "idle"
        << "   | of random draws\n";
    std::ostringstream each;
    each << "windows of " << d.e.window.s << " s, mean";
    row(each.str().c_str(), f.actual, f.random);
    std::vector<Spread> fault_free, fault_free_random;
    for (const auto& w : f.windows)
        if (w.fault_free) fault_free.push_back(w.actual), fault_free_random.push_back(w.random);
    if (!d.applied_faults.empty() && !fault_free.empty())
        row("those without a fault", mean(fault_free), mean(fault_free_random));
    if (!fault_free.empty())
        out << std::setprecision(2) << "  the least even of them: cv " << f.worst_fault_free
            << " times that of random draws\n";
    if (!d.applied_faults.empty() && f.even_after < 0) out << "  not even again before the end\n";
    else if (!d.applied_faults.empty())
        out << std::setprecision(0) << "  even again " << f.even_after << " s after the last fault\n";
    row("the whole run", f.whole_run, f.whole_run_random);
    out << std::setprecision(4) << "  cv squared " << f.causes.observed << " = pools " << f.causes.pools
        << " + unequal traffic " << f.causes.traffic << " + chance in pools " << f.causes.chance
        << " + choice, lasting " << f.causes.persistent << ", passing " << f.causes.transient << " + both together "
        << f.causes.covariance << '\n';
    out << std::setprecision(1) << "  herds: at most " << f.herd << " proxies chose one server within 0.1 s, "
        << f.herd_random << " by chance\n"
        << std::setprecision(4) << "  service " << f.service << ": " << f.fulfilled << " in time, " << f.late
        << " late, " << f.rate_limited << " rate-limited, " << f.errored << " errored, " << f.not_connected
        << " not connected, " << f.lost << " lost\n"
        << std::setprecision(3) << "  latency p50 " << f.all_latency.quantile(0.5) << " s, p99 "
        << f.all_latency.quantile(0.99) << " s; a call: " << static_cast<double>(f.attempts) / calls << " shots, "
        << static_cast<double>(f.probes) / calls << " probes, " << static_cast<double>(f.opened) / calls << " opens; "
        << std::setprecision(1) << f.max_connections << " connections a server; " << f.list_calls << " list calls\n"
        << std::setprecision(3) << "  a proxy: " << d.cpu / d.e.proxies << " s of processor, " << std::setprecision(1)
        << d.memory_mb << " MB; started in " << d.started_in << " s, ended in " << d.ended_in << " s\n";
    for (const auto& p : d.parts)
        if (p.busiest > 0.8) out << "  " << p.part << " WAS THE BOTTLENECK: " << std::setprecision(2) << p.busiest << " of a core in its busiest second\n";
    out << std::defaultfloat << std::setprecision(6);
}

}  // namespace myrtleroute::rig
