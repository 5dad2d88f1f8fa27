#include "lab/scenario.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "lab/random_stream.hpp"
#include "lab/toml_table.hpp"

namespace myrtleroute::lab {

namespace {

constexpr FaultInfo fault_infos[] = {
#define X(name, target, text) {#name, FaultTarget::target, text},
    MYRTLEROUTE_LAB_FAULTS(X)
#undef X
};
// The kinds drawn for every run; wrong_list is drawn separately.
constexpr int drawn_kinds = static_cast<int>(FaultKind::wrong_list);

constexpr int max_proxies = 64, max_servers = 256;
constexpr double max_seconds = 3600, max_rate = 10000;

Fault read_fault(const std::string& path, const toml::table& t, const Scenario& s) {
    const Table table(path, t, {"kind", "at_s", "lasts_s", "who", "how"});
    const auto* kind = t.get("kind");
    const auto kind_found = kind && kind->is_string() ? fault_from_name(**kind->as_string()) : std::nullopt;
    if (!kind_found) fail_at(path, kind ? kind->source() : t.source(), "kind must name a fault; `faults` lists them");
    const auto target = info_of(*kind_found).target;
    const int count = target == FaultTarget::server ? s.servers : target == FaultTarget::proxy ? s.proxies : 1;
    Fault f;
    f.kind = *kind_found;
    f.at = {table.number("at_s", 0, 0, max_seconds)};
    f.duration = {table.number("lasts_s", 1, 0, max_seconds)};
    f.target = table.integer("who", 0, 0, count - 1);
    f.strength = table.number("how", 0.5, 0, 1);
    return f;
}

}  // namespace

const FaultInfo& info_of(FaultKind kind) { return fault_infos[static_cast<int>(kind)]; }

std::optional<FaultKind> fault_from_name(std::string_view name) {
    for (int i = 0; i < static_cast<int>(FaultKind::kinds); ++i)
        if (name == fault_infos[i].name) return static_cast<FaultKind>(i);
    return {};
}

Scenario draw_scenario(uint64_t seed) {
    RandomStream random(seed, 0x5343454e);
    Scenario s;
    s.seed = seed;
    // From idle to slightly more than the capacity of the servers.
    s.calls_per_second =
        random.bernoulli(0.2) ? random.between(0.5, 8) : random.between(8, 130) * random.between(0.3, 2);
    s.disturbed_share = random.bernoulli(0.6) ? random.between(0.05, 1) : 0;
    // Mostly 3 to 14 faults, a third of them overlapping an earlier one; in 1 run of 25 a fault of every kind.
    const bool every_kind = random.bernoulli(0.04);
    const int count = every_kind ? drawn_kinds : 3 + random.below(12);
    for (int i = 0; i < count; ++i) {
        Fault f;
        f.kind = static_cast<FaultKind>(every_kind ? i : random.below(drawn_kinds));
        const auto target = info_of(f.kind).target;
        f.target = target == FaultTarget::server  ? random.below(s.servers)
                   : target == FaultTarget::proxy ? random.below(s.proxies)
                                                  : 0;
        f.at = {random.between(1, s.duration.s - 4)};
        f.duration = {std::min(random.between(0.3, 10), s.duration.s - f.at.s)};
        f.strength = random.uniform();
        if (!s.faults.empty() && random.bernoulli(0.35)) {
            const auto& other = s.faults[static_cast<size_t>(random.below(static_cast<int>(s.faults.size())))];
            f.at = {other.at.s + random.between(0, other.duration.s)};
            f.duration = {std::min(f.duration.s, s.duration.s - f.at.s)};
            if (info_of(other.kind).target == target) f.target = other.target;
        }
        s.faults.push_back(f);
    }
    // 1 run of 12 has many proxies with few calls each, and servers that restart cold: to each single proxy such a
    // server looks idle.
    RandomStream crowd(seed, 0x43524f57);
    if (crowd.bernoulli(1.0 / 12)) {
        s.proxies = 24 + crowd.below(25);
        s.calls_per_second = crowd.between(3, 16);
        for (const auto kind : {FaultKind::dies, FaultKind::replaced})
            s.faults.push_back({kind, {crowd.between(2, 15)}, {crowd.between(0.5, 4)}, crowd.below(s.servers), crowd.uniform()});
    }
    // In 1 run of 6 only draining excludes servers, and in most of these the list is wrong for a time.
    RandomStream lists(seed, 0x4c495354);
    s.drain_binds_alone = lists.bernoulli(1.0 / 6);
    for (int i = 0; s.drain_binds_alone && i < 2 && lists.bernoulli(0.8); ++i)
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
    s.duration = {table.number("lasts_s", s.duration.s, 0.1, max_seconds)};
    s.proxies = table.integer("proxies", s.proxies, 1, max_proxies);
    s.servers = table.integer("servers", s.servers, 1, max_servers);
    s.calls_per_second = table.number("calls_per_s", s.calls_per_second, 0, max_rate);
    s.disturbed_share = table.number("rough", s.disturbed_share, 0, 1);
    if (const auto* alone = t.get("drain_alone")) {
        if (!alone->is_boolean()) fail_at(path, alone->source(), "drain_alone must be true or false");
        s.drain_binds_alone = **alone->as_boolean();
    }
    if (const auto* ranges = t.get("left_out")) {
        if (!ranges->is_array()) fail_at(path, ranges->source(), "left_out must be a list of [first, last]");
        for (const auto& node : *ranges->as_array()) {
            const auto* range = node.as_array();
            const auto first = range && range->size() == 2 ? (*range)[0].value<int64_t>() : std::nullopt;
            const auto last = first ? (*range)[1].value<int64_t>() : std::nullopt;
            if (!last || *first < 0 || *last < *first)
                fail_at(path, node.source(), "left_out: each range must be [first, last]");
            s.omitted_calls.emplace_back(*first, *last);
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
    out << "seed = " << s.seed << "\nlasts_s = " << s.duration.s << "\nproxies = " << s.proxies
        << "\nservers = " << s.servers << "\ncalls_per_s = " << s.calls_per_second << "\nrough = " << s.disturbed_share
        << '\n';
    if (s.drain_binds_alone) out << "drain_alone = true\n";
    if (!s.omitted_calls.empty()) {
        out << "left_out = [";
        for (size_t i = 0; i < s.omitted_calls.size(); ++i)
            out << (i ? ", " : "") << '[' << s.omitted_calls[i].first << ", " << s.omitted_calls[i].second << ']';
        out << "]\n";
    }
    for (const auto& f : s.faults) {
        out << "\n[[fault]]   # " << info_of(f.kind).text << "\nkind = \"" << info_of(f.kind).name
            << "\"\nat_s = " << f.at.s << "\nlasts_s = " << f.duration.s << '\n';
        if (info_of(f.kind).target == FaultTarget::server || info_of(f.kind).target == FaultTarget::proxy)
            out << "who = " << f.target << '\n';
        out << "how = " << f.strength << '\n';
    }
    return out.str();
}

}  // namespace myrtleroute::lab
