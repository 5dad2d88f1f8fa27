#include "configuration/node_settings.hpp"

#include <algorithm>
#include <map>

#include "wire/text.hpp"

namespace myrtleroute::configuration {
namespace {

struct Line {
    size_t number = 0;
    std::string_view value;
};

// Reads typed values by key and collects findings about missing and invalid ones. An empty value counts as missing.
class Reader {
public:
    Reader(std::string_view text, const std::string& file) : file_(file) {
        size_t number = 0;
        while (!text.empty()) {
            const auto end = text.find('\n');
            add_line(++number, text.substr(0, end));
            text = end == text.npos ? std::string_view{} : text.substr(end + 1);
        }
    }

    Findings findings;

    bool has(const std::string& key) const { return lines_.count(key) > 0; }

    std::string text(const std::string& key, bool required) {
        const auto line = lines_.find(key);
        if (line != lines_.end() && !line->second.value.empty()) return std::string(line->second.value);
        if (required) report(key, "is missing");
        return {};
    }

    double number(const std::string& key, double fallback) {
        const auto line = lines_.find(key);
        if (line == lines_.end() || line->second.value.empty()) return fallback;
        const auto value = wire::parse_decimal(line->second.value);
        if (value && *value >= 0) return *value;
        report(key, "must be a number of 0 or more, not '" + std::string(line->second.value) + "'");
        return fallback;
    }

    bool boolean(const std::string& key, bool fallback) {
        const auto line = lines_.find(key);
        if (line == lines_.end() || line->second.value.empty()) return fallback;
        if (line->second.value == "true") return true;
        if (line->second.value != "false")
            report(key, "must be true or false, not '" + std::string(line->second.value) + "'");
        return false;
    }

    std::optional<Endpoint> endpoint(const std::string& key) {
        const auto value = text(key, false);
        if (value.empty()) return {};
        auto parsed = parse_endpoint(value);
        if (!parsed) report(key, "must be an address and port, not '" + value + "'");
        return parsed;
    }

    std::vector<std::string> list(const std::string& key) {
        std::vector<std::string> items;
        const auto value = text(key, false);
        for (std::string_view rest = value; !rest.empty();) items.emplace_back(wire::next_item(rest));
        return items;
    }

    void report(const std::string& key, std::string message) {
        const auto line = lines_.find(key);
        std::string location = file_;
        if (line != lines_.end()) location += ":" + std::to_string(line->second.number);
        findings.push_back({std::move(location), key + " " + std::move(message)});
    }

private:
    void add_line(size_t number, std::string_view line) {
        if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
        line = wire::trim(line);
        if (line.empty() || line.front() == '#') return;
        const auto equals = line.find('=');
        if (equals == line.npos) {
            findings.push_back({file_ + ":" + std::to_string(number), "is not of the form key=value"});
            return;
        }
        lines_[std::string(wire::trim(line.substr(0, equals)))] = {number, wire::trim(line.substr(equals + 1))};
    }

    std::string file_;
    std::map<std::string, Line> lines_;
};

void read_internal_ports(Reader& reader, NodeSettings& settings) {
    const auto ports = reader.list("internalPorts");
    const auto first = ports.size() == 2 ? wire::parse_integer<uint16_t>(ports[0]) : std::nullopt;
    const auto last = ports.size() == 2 ? wire::parse_integer<uint16_t>(ports[1]) : std::nullopt;
    if (!first || !last || *first == 0 || *first > *last) {
        reader.report("internalPorts", "must be two ports, the lower first");
        return;
    }
    settings.first_internal_port = *first;
    settings.last_internal_port = *last;
}

// Characters that a URL path may contain without percent-encoding, since request paths are compared literally.
bool is_path_character(char c) { return c > ' ' && c <= '~' && c != '?' && c != '#'; }

std::optional<MetricsAddress> parse_metrics_address(std::string_view text) {
    const auto slash = text.find('/');
    if (slash == text.npos) return {};
    const auto port = wire::parse_integer<uint16_t>(text.substr(0, slash));
    const auto path = text.substr(slash);
    if (!port || *port == 0 || path.size() < 2) return {};
    if (!std::all_of(path.begin(), path.end(), is_path_character)) return {};
    return MetricsAddress{*port, std::string(path)};
}

void read_metrics(Reader& reader, NodeSettings& settings) {
    const auto value = reader.text("metrics", false);
    if (value.empty()) return;
    settings.metrics = parse_metrics_address(value);
    if (!settings.metrics) reader.report("metrics", "must be a port and a path, PORT/PATH, not '" + value + "'");
}

std::optional<std::string> read_advertised_address(Reader& reader) {
    constexpr const char* key = "advertise.address";
    const auto address = reader.text(key, false);
    if (address.empty()) return {};
    if (!parse_endpoint(address + ":1")) reader.report(key, "must be an IPv4 address, not '" + address + "'");
    return address;
}

void read_seeds(Reader& reader, NodeSettings& settings) {
    for (const auto& seed : reader.list("seeds")) {
        const auto endpoint = parse_endpoint(seed);
        if (endpoint)
            settings.seeds.push_back(*endpoint);
        else
            reader.report("seeds", "must be addresses with ports, not '" + seed + "'");
    }
    if (settings.seeds.empty()) reader.report("seeds", "must name at least one address");
}

}   // namespace

ParseResult<NodeSettings> read_node_settings(std::string_view text, const std::string& file) {
    constexpr double seconds_per_millisecond = 1e-3;
    Reader reader(text, file);
    NodeSettings settings;
    settings.node_name = reader.text("nodeName", true);
    settings.address = reader.text("ip", true);
    settings.advertised_address = read_advertised_address(reader);
    settings.zone = reader.text("zone", true);
    settings.front = reader.endpoint("listen.front");
    settings.ready = reader.endpoint("listen.ready");
    settings.control = reader.endpoint("listen.control");
    read_metrics(reader, settings);
    read_internal_ports(reader, settings);
    read_seeds(reader, settings);
    settings.bootstrap = reader.boolean("bootstrap", false);
    settings.counts_for_quorum = reader.boolean("countsForQuorum", false);
    settings.tolerated_machines = static_cast<int>(reader.number("faultTolerance.machines", 1));
    settings.data_directory = reader.text("dataDir", false);
    settings.memory_megabytes = static_cast<size_t>(reader.number("limits.memoryMb", 256));
    settings.max_descriptors = static_cast<size_t>(reader.number("limits.maxFds", 1024));
    settings.link_megabits = reader.number("limits.linkMbps", 1000);
    settings.heartbeat = Span{reader.number("heartbeatMs", 1200) * seconds_per_millisecond};
    settings.contact = Span{reader.number("bounds.contactMs", 3000) * seconds_per_millisecond};
    settings.drain = Span{reader.number("bounds.drainMs", 2000) * seconds_per_millisecond};
    settings.termination_grace = Span{reader.number("bounds.graceS", 8)};
    settings.retry_budget_ratio = reader.number("bounds.retryBudgetRatio", settings.retry_budget_ratio);
    settings.retry_budget_window = Span{reader.number("bounds.budgetWindowS", 10)};
    settings.retry_budget_slack = reader.number("bounds.budgetSlack", 0);
    settings.quota_window = Span{reader.number("bounds.quotaWindowS", 8)};
    settings.quota_tolerance = reader.number("bounds.quotaOver", 0);
    settings.quota_slack = reader.number("bounds.quotaSlack", 0);
    if (reader.boolean("bounds.closed", false))
        settings.revocation_bound = Span{reader.number("bounds.revokeMs", 5000) * seconds_per_millisecond};
    if (!reader.findings.empty()) return std::move(reader.findings);
    return settings;
}

}   // namespace myrtleroute::configuration
