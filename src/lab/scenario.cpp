#include "lab/scenario.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "lab/random_stream.hpp"
#include "lab/toml_table.hpp"

namespace myrtleroute::lab {

namespace {

constexpr FaultName names[] = {
#define X(name, whom, text) {#name, Whom::whom, text},
    MYRTLEROUTE_LAB_FAULTS(X)
#undef X
};
constexpr int kinds = static_cast<int>(FaultKind::wrong_list);   // drawn for every day; wrong lists by themselves

constexpr int most_proxies = 64, most_servers = 256;
constexpr double most_seconds = 3600, most_rate = 10000;

Fault read_fault(const std::string& path, const toml::table& t, const Scenario& s) {
    const Table table(path, t, {"kind", "at_s", "lasts_s", "who", "how"});
    const auto* kind = t.get("kind");
    const auto found = kind && kind->is_string() ? fault_named(**kind->as_string()) : std::nullopt;
    if (!found) fail_at(path, kind ? kind->source() : t.source(), "kind must name a fault; `faults` lists them");
    const auto whom = name_of(*found).whom;
    const int most = whom == Whom::server ? s.servers : whom == Whom::proxy ? s.proxies : 1;
    Fault f;
    f.kind = *found;
    f.at = {table.number("at_s", 0, 0, most_seconds)};
    f.lasts = {table.number("lasts_s", 1, 0, most_seconds)};
    f.who = table.integer("who", 0, 0, most - 1);
    f.how = table.number("how", 0.5, 0, 1);
    return f;
}

}  // namespace

const FaultName& name_of(FaultKind kind) { return names[static_cast<int>(kind)]; }

std::optional<FaultKind> fault_named(std::string_view name) {
    for (int i = 0; i < static_cast<int>(FaultKind::kinds); ++i)
        if (name == names[i].name) return static_cast<FaultKind>(i);
    return {};
}

Scenario draw(uint64_t seed) {
    RandomStream chance(seed, 0x5343454e);
    Scenario s;
    s.seed = seed;
    // From idle to a little more than the servers can do.
    s.calls_a_second = chance.bernoulli(0.2) ? chance.between(0.5, 8) : chance.between(8, 130) * chance.between(0.3, 2);
    s.rough = chance.bernoulli(0.6) ? chance.between(0.05, 1) : 0;
    // Mostly three to fourteen faults, a third of them upon one before; on one day in twenty-five every kind.
    const bool all = chance.bernoulli(0.04);
    const int count = all ? kinds : 3 + chance.below(12);
    for (int i = 0; i < count; ++i) {
        Fault f;
        f.kind = static_cast<FaultKind>(all ? i : chance.below(kinds));
        const auto whom = name_of(f.kind).whom;
        f.who = whom == Whom::server ? chance.below(s.servers) : whom == Whom::proxy ? chance.below(s.proxies) : 0;
        f.at = {chance.between(1, s.lasts.s - 4)};
        f.lasts = {std::min(chance.between(0.3, 10), s.lasts.s - f.at.s)};
        f.how = chance.uniform();
        if (!s.faults.empty() && chance.bernoulli(0.35)) {
            const auto& other = s.faults[static_cast<size_t>(chance.below(static_cast<int>(s.faults.size())))];
            f.at = {other.at.s + chance.between(0, other.lasts.s)};
            f.lasts = {std::min(f.lasts.s, s.lasts.s - f.at.s)};
            if (name_of(other.kind).whom == whom) f.who = other.who;
        }
        s.faults.push_back(f);
    }
    // One day in twelve is a crowd's: many proxies with few calls each, and servers that come back cold, which
    // each of them would find idle.
    RandomStream crowd(seed, 0x43524f57);
    if (crowd.bernoulli(1.0 / 12)) {
        s.proxies = 24 + crowd.below(25);
        s.calls_a_second = crowd.between(3, 16);
        for (const auto kind : {FaultKind::dies, FaultKind::replaced})
            s.faults.push_back({kind, {crowd.between(2, 15)}, {crowd.between(0.5, 4)}, crowd.below(s.servers), crowd.uniform()});
    }
    // One day in six only draining binds, and on most of these the list is wrong for a time.
    RandomStream lists(seed, 0x4c495354);
    s.drain_alone = lists.bernoulli(1.0 / 6);
    for (int i = 0; s.drain_alone && i < 2 && lists.bernoulli(0.8); ++i)
        s.faults.push_back({FaultKind::wrong_list, {lists.between(1, 22)}, {lists.between(0.5, 8)}, 0, lists.uniform()});
    std::stable_sort(s.faults.begin(), s.faults.end(), [](auto& a, auto& b) { return a.at < b.at; });
    return s;
}

Scenario read_scenario(const std::string& path) {
    const toml::table t = parse_toml(path);
    const Table table(path, t, {"seed", "lasts_s", "proxies", "servers", "calls_per_s", "rough", "drain_alone", "left_out", "fault"});
    Scenario s;
    const auto* seed = t.get("seed");
    if (!seed || !seed->is_integer() || **seed->as_integer() < 0)
        fail_at(path, seed ? seed->source() : t.source(), "seed must be a whole number of 0 or more");
    s.seed = static_cast<uint64_t>(**seed->as_integer());
    s.lasts = {table.number("lasts_s", s.lasts.s, 0.1, most_seconds)};
    s.proxies = table.integer("proxies", s.proxies, 1, most_proxies);
    s.servers = table.integer("servers", s.servers, 1, most_servers);
    s.calls_a_second = table.number("calls_per_s", s.calls_a_second, 0, most_rate);
    s.rough = table.number("rough", s.rough, 0, 1);
    if (const auto* alone = t.get("drain_alone")) {
        if (!alone->is_boolean()) fail_at(path, alone->source(), "drain_alone must be true or false");
        s.drain_alone = **alone->as_boolean();
    }
    if (const auto* ranges = t.get("left_out")) {
        if (!ranges->is_array()) fail_at(path, ranges->source(), "left_out must be a list of [first, last]");
        for (const auto& node : *ranges->as_array()) {
            const auto* range = node.as_array();
            const auto first = range && range->size() == 2 ? (*range)[0].value<int64_t>() : std::nullopt;
            const auto last = first ? (*range)[1].value<int64_t>() : std::nullopt;
            if (!last || *first < 0 || *last < *first) fail_at(path, node.source(), "must be [first, last]");
            s.left_out.emplace_back(*first, *last);
        }
    }
    if (const auto* faults = t.get("fault")) {
        if (!faults->is_array_of_tables()) fail_at(path, faults->source(), "fault must be tables: [[fault]]");
        for (const auto& node : *faults->as_array()) s.faults.push_back(read_fault(path, *node.as_table(), s));
    }
    return s;
}

std::string write_scenario(const Scenario& s) {
    std::ostringstream out;
    out.precision(17);
    out << "seed = " << s.seed << "\nlasts_s = " << s.lasts.s << "\nproxies = " << s.proxies
        << "\nservers = " << s.servers << "\ncalls_per_s = " << s.calls_a_second << "\nrough = " << s.rough << '\n';
    if (s.drain_alone) out << "drain_alone = true\n";
    if (!s.left_out.empty()) {
        out << "left_out = [";
        for (size_t i = 0; i < s.left_out.size(); ++i)
            out << (i ? ", " : "") << '[' << s.left_out[i].first << ", " << s.left_out[i].second << ']';
        out << "]\n";
    }
    for (const auto& f : s.faults) {
        out << "\n[[fault]]   # " << name_of(f.kind).text << "\nkind = \"" << name_of(f.kind).name
            << "\"\nat_s = " << f.at.s << "\nlasts_s = " << f.lasts.s << '\n';
        if (name_of(f.kind).whom == Whom::server || name_of(f.kind).whom == Whom::proxy)
            out << "who = " << f.who << '\n';
        out << "how = " << f.how << '\n';
    }
    return out.str();
}

}  // namespace myrtleroute::lab
