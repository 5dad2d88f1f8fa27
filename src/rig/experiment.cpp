#include "rig/experiment.hpp"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <set>
#include <sstream>
#include <stdexcept>

#include "lab/toml_table.hpp"

namespace myrtleroute::rig {

using lab::fail_at;
using lab::Table;

namespace {

constexpr FaultName names[] = {
#define X(name, target, text) {#name, FaultTarget::target, text},
    MYRTLEROUTE_RIG_FAULTS(X)
#undef X
};
constexpr double max_seconds = 3600, max_rate = 10000;

std::optional<FaultKind> fault_named(std::string_view name) {
    for (size_t i = 0; i < std::size(names); ++i)
        if (name == names[i].name) return static_cast<FaultKind>(i);
    return {};
}

nlohmann::json to_json(const toml::node& node) {
    if (const auto* t = node.as_table()) {
        auto object = nlohmann::json::object();
        for (const auto& [key, value] : *t) object[std::string(key.str())] = to_json(value);
        return object;
    }
    if (const auto* a = node.as_array()) {
        auto list = nlohmann::json::array();
        for (const auto& value : *a) list.push_back(to_json(value));
        return list;
    }
    if (const auto* s = node.as_string()) return **s;
    if (const auto* b = node.as_boolean()) return **b;
    if (const auto* i = node.as_integer()) return **i;
    if (const auto* f = node.as_floating_point()) return **f;
    return nullptr;
}

nlohmann::json settings_of(const Table& t, std::string_view key) {
    const auto* part = t.subtable(key);
    return part ? to_json(*part) : nlohmann::json::object();
}

Group group(const Table& t, std::string_view key, const std::string& otherwise, const Experiment& e) {
    try {
        return read_group(t.text(key, otherwise), e);
    } catch (const std::invalid_argument& fault) {
        t.fail(key, fault.what());
    }
}

Product read_product(const std::string& path, const toml::table& source) {
    const Table t(path, source, {"name", "value", "slo_s", "timeout_s", "kind", "work_s", "share", "window_s"});
    Product p;
    p.name = t.text("name", "");
    if (p.name.empty()) t.fail("name", "must be given");
    p.value = t.number("value", 1, 0, 1e6);
    p.slo = {t.number("slo_s", 0.5, 0.001, 60)};
    p.timeout = {t.number("timeout_s", 2, 0.001, 3)};
    p.work = t.number("work_s", 0.05, 0, 60);
    p.share = t.number("share", 1, 0, 1e6);
    const auto kind = t.one_of("kind", "idempotent", {"idempotent", "deduplicated", "non_idempotent"});
    p.idempotency = kind == "idempotent" ? Idempotency::idempotent
               : kind == "deduplicated" ? Idempotency::deduplicated : Idempotency::non_idempotent;
    p.window = t.number("window_s", 30, 0.01, 3600);
    return p;
}

Fault read_fault(const std::string& path, const toml::table& source, const Experiment& e) {
    const Table t(path, source, {"kind", "who", "to", "way", "at_s", "lasts_s", "staggered_s", "how", "delay_ms",
                                 "jitter_ms", "rate", "program", "settings"});
    const auto found = fault_named(t.text("kind", ""));
    if (!found) t.fail("kind", "must name a fault; `myrtleroute_fleet faults` lists them");
    Fault f;
    f.kind = *found;
    const auto target = name_of(*found).target;
    f.at = {t.number("at_s", 0, 0, max_seconds)};
    f.duration = {t.number("lasts_s", 1, 0, max_seconds)};
    f.stagger = {t.number("staggered_s", 0, 0, max_seconds)};
    f.how = t.number("how", 0.5, 0, 1000);
    f.delay = t.number("delay_ms", 0, 0, 60000) / 1000;
    f.jitter = t.number("jitter_ms", 0, 0, 60000) / 1000;
    f.rate = t.number("rate", 0, 0, 1e9);
    f.program = t.text("program", "");
    f.settings = settings_of(t, "settings");
    const auto way = t.one_of("way", "both", {"both", "there", "back"});
    f.way = way == "both" ? both : way == "there" ? forward_way : backward_way;
    if (f.kind == FaultKind::throttle && f.rate <= 0) t.fail("rate", "must be above 0");
    if (f.kind == FaultKind::delay && f.delay + f.jitter <= 0) t.fail("delay_ms", "or jitter_ms must be above 0");
    static constexpr const char* whose[] = {"proxies", "servers", "discovery", "proxies"};
    f.who = group(t, "who", whose[static_cast<int>(target)], e);
    const auto must_be = [&](Party party, const char* word) {
        if (f.who.party != party) t.fail("who", std::string("of this kind of fault must be ") + word);
    };
    if (target == FaultTarget::process) must_be(Party::proxies, "proxies");
    if (target == FaultTarget::server) must_be(Party::servers, "servers");
    if (target == FaultTarget::discovery) must_be(Party::discovery, "discovery");
    if (target != FaultTarget::link) {
        if (t.has("to")) t.fail("to", "goes with faults of links only");
        return f;
    }
    f.to = group(t, "to", "servers", e);
    if (f.who.party == Party::applications && f.to.party == Party::proxies) f.link = Kind::application;
    else if (f.who.party == Party::proxies && f.to.party == Party::servers) f.link = Kind::server;
    else if (f.who.party == Party::proxies && f.to.party == Party::discovery) f.link = Kind::discovery;
    else if (f.who.party == Party::proxies && f.to.party == Party::proxies) f.link = Kind::peer;
    else t.fail("to", "must be proxies where `who` is applications, or servers, discovery or proxies where it is proxies");
    return f;
}

void read_load(const std::string& path, const toml::table& source, Experiment& e) {
    const Table t(path, source, {"calls_per_s", "law", "alpha", "share", "moves_s", "burst"});
    e.rate = t.number("calls_per_s", e.rate, 0, max_rate);
    e.distribution = t.one_of("law", e.distribution, {"equal", "pareto", "zipf", "one"});
    e.alpha = t.number("alpha", e.alpha, 0.1, 10);
    e.share = t.number("share", e.share, 0, 1);
    e.shift_period = {t.number("moves_s", 0, 0, max_seconds)};
    for (const auto* each : t.tables("burst")) {
        const Table b(path, *each, {"who", "at_s", "lasts_s", "factor"});
        Burst burst;
        burst.who = group(b, "who", "proxies", e);
        if (burst.who.party != Party::proxies) b.fail("who", "must be proxies: their applications call more often");
        burst.at = {b.number("at_s", 0, 0, max_seconds)};
        burst.duration = {b.number("lasts_s", 1, 0.01, max_seconds)};
        burst.factor = b.number("factor", 2, 0, 1000);
        e.bursts.push_back(burst);
    }
}

void read_servers(const std::string& path, const toml::table& source, Experiment& e) {
    const Table t(path, source, {"cores", "queue", "connections", "sizes", "work_varies"});
    e.cores = t.integer("cores", e.cores, 1, 1024);
    e.queue = t.integer("queue", e.queue, 0, 1 << 20);
    e.connections = t.integer("connections", e.connections, 1, 1 << 20);
    e.work_varies = t.boolean("work_varies", e.work_varies);
    const auto* sizes = source.get("sizes");
    if (!sizes) return;
    e.sizes.clear();
    if (const auto* list = sizes->as_array())
        for (const auto& size : *list) e.sizes.push_back(size.value<double>().value_or(0));
    if (e.sizes.empty() || std::any_of(e.sizes.begin(), e.sizes.end(), [](double s) { return s <= 0 || s > 64; }))
        t.fail("sizes", "must be a list of numbers above 0, 64 at most");
}

int parse_index(std::string_view text, const std::string& said) {
    int n = -1;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (error != std::errc{} || end != text.data() + text.size() || n < 0)
        throw std::invalid_argument("is not a group: " + said +
                                    "; allowed: proxies, servers, discovery, applications, then "
                                    "nothing, N, N-M, `every N` or `zone NAME`");
    return n;
}

}  // namespace

const FaultName& name_of(FaultKind kind) { return names[static_cast<int>(kind)]; }

bool Experiment::relays(Kind kind) const { return std::find(relayed.begin(), relayed.end(), kind) != relayed.end(); }

Group read_group(const std::string& words, const Experiment& e) {
    std::istringstream in(words);
    std::string party, first, second, more;
    in >> party >> first >> second >> more;
    Group g;
    g.words = words;
    int count = 1;
    if (party == "proxies" || party == "applications") {
        g.party = party == "proxies" ? Party::proxies : Party::applications;
        count = e.proxies;
    } else if (party == "servers") {
        g.party = Party::servers;
        count = e.servers;
    } else if (party == "discovery") {
        g.party = Party::discovery;
    } else {
        parse_index("", words);
    }
    if (!more.empty()) parse_index("", words);
    int from = 0, to = count - 1, step = 1;
    if (first == "every") {
        step = std::max(1, parse_index(second, words));
    } else if (first == "zone") {
        if (second.size() != 1 || second[0] < 'a' || second[0] >= 'a' + e.zones)
            throw std::invalid_argument("names an unknown zone: " + words + "; allowed: a to " +
                                        static_cast<char>('a' + e.zones - 1));
        from = second[0] - 'a';
        step = e.zones;
    } else if (!first.empty()) {
        if (!second.empty()) parse_index("", words);
        const auto dash = first.find('-');
        from = parse_index(std::string_view(first).substr(0, dash), words);
        to = dash == first.npos ? from : parse_index(std::string_view(first).substr(dash + 1), words);
        if (to >= count || from > to)
            throw std::invalid_argument("is out of range: " + words + "; there are 0 to " + std::to_string(count - 1));
    }
    for (int i = from; i <= to; i += step) g.members.push_back(i);
    return g;
}

Experiment read_experiment(const std::string& path) {
    const toml::table source = lab::parse_toml(path);
    const Table t(path, source, {"name", "text", "seed", "proxies", "servers", "zones", "repeats", "lasts_s", "window_s",
                                 "slack_s", "relayed", "load", "server", "product", "guarantees", "settings", "fault", "arm"});
    Experiment e;
    e.path = path;
    e.name = t.text("name", std::filesystem::path(path).stem().string());
    e.text = t.text("text", "");
    e.seed = static_cast<uint64_t>(t.integer("seed", 1, 0, 1 << 30));
    e.proxies = t.integer("proxies", e.proxies, 1, max_parties);
    e.servers = t.integer("servers", e.servers, 1, max_parties);
    e.zones = t.integer("zones", 1, 1, 26);
    e.repeats = t.integer("repeats", 1, 1, 1000);
    e.duration = {t.number("lasts_s", e.duration.s, 0.5, max_seconds)};
    e.window = {t.number("window_s", e.window.s, 0.1, max_seconds)};
    e.slack = {t.number("slack_s", e.slack.s, 0, 60)};
    if (const auto* load = t.subtable("load")) read_load(path, *load, e);
    if (const auto* server = t.subtable("server")) read_servers(path, *server, e);
    if (const auto* part = t.subtable("guarantees")) {
        const Table g(path, *part, {"warm_after_s", "drain_grace_s", "ask_within_s", "fall_s", "start_capacity", "tip_multiple"});
        e.warm_after = {g.number("warm_after_s", e.warm_after.s, 0.1, 600)};
        e.drain_grace = {g.number("drain_grace_s", e.drain_grace.s, 0.1, 600)};
        e.ask_within = {g.number("ask_within_s", e.ask_within.s, 0.1, 600)};
        e.fall = {g.number("fall_s", e.fall.s, 0.1, 600)};
        e.start_capacity = g.number("start_capacity", e.start_capacity, 0.01, 1);
        e.tip_multiple = g.number("tip_multiple", e.tip_multiple, 1, 1000);
    }
    e.settings = settings_of(t, "settings");
    for (const auto* each : t.tables("product")) e.products.push_back(read_product(path, *each));
    if (e.products.empty()) e.products.push_back({.name = "timetable"});
    std::set<std::string> said;
    for (const auto& p : e.products)
        if (!said.insert(p.name).second) t.fail("product", "must have names of their own; twice: " + p.name);
    for (const auto* each : t.tables("fault")) {
        e.faults.push_back(read_fault(path, *each, e));
        if (e.faults.back().link != Kind::none && !e.relays(e.faults.back().link)) e.relayed.push_back(e.faults.back().link);
    }
    if (const auto* relayed = source.get("relayed")) {
        if (!relayed->is_array()) t.fail("relayed", "must be a list");
        for (const auto& node : *relayed->as_array()) {
            const auto word = node.value<std::string>().value_or("");
            const auto* at = std::find(std::begin(kind_names) + 1, std::end(kind_names), word);
            if (at == std::end(kind_names)) fail_at(path, node.source(), "must be one of applications, servers, discovery, proxies");
            const auto kind = static_cast<Kind>(at - std::begin(kind_names));
            if (!e.relays(kind)) e.relayed.push_back(kind);
        }
    }
    for (const auto* each : t.tables("arm")) {
        const Table a(path, *each, {"name", "program", "settings"});
        e.arms.push_back({a.text("name", "arm " + std::to_string(e.arms.size())), a.text("program", ""), settings_of(a, "settings")});
    }
    if (e.arms.empty()) e.arms.push_back({"program", "", nlohmann::json::object()});
    return e;
}

}  // namespace myrtleroute::rig
