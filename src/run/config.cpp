#include "run/config.hpp"

#include <map>
#include <vector>

#include "wire/endpoint.hpp"

namespace myrtleroute::run {
namespace {

// Flattens nested JSON into path=value pairs; the server list `known` in it goes to its own reader.
class Flattener : public wire::JsonHandler {
public:
    explicit Flattener(wire::ServerListReader& known) : known_(known) {}
    std::map<std::string, std::string> values;
    bool has_known_list = false, is_object = false;

    void on_open(bool list) override {
        if (known_depth_ || (open_.size() == 1 && key_ == "known")) {
            has_known_list = true;
            ++known_depth_;
            return known_.on_open(list);
        }
        if (open_.empty()) is_object = !list;
        open_.push_back({open_.empty() ? "" : path(), list, 0, {}});
    }
    void on_close(bool list) override {
        if (known_depth_) {
            --known_depth_;
            return known_.on_close(list);
        }
        const auto ended = std::move(open_.back());
        open_.pop_back();
        if (!ended.list) return;
        values[ended.path] = ended.joined;
        values[ended.path + ".count"] = std::to_string(ended.count);
    }
    void on_key(std::string_view name) override {
        if (known_depth_) return known_.on_key(name);
        key_ = name;
    }
    void on_value(Kind kind, std::string_view text) override {
        if (known_depth_) return known_.on_value(kind, text);
        if (open_.empty() || kind == Kind::null) return;
        std::string escaped(text);
        for (char& c : escaped)
            if (c == ' ' || c == ',' || c == '\n') c = '_';
        if (!open_.back().list) {
            values[path()] = escaped;
            return;
        }
        auto& list = open_.back();
        if (list.count++) list.joined += ',';
        list.joined += escaped;
    }

private:
    struct Open {
        std::string path;
        bool list;
        int count;
        std::string joined;
    };
    std::string path() {
        auto& in = open_.back();
        const auto name = in.list ? std::to_string(in.count++) : key_;
        return in.path.empty() ? name : in.path + "." + name;
    }
    wire::ServerListReader& known_;
    std::vector<Open> open_;
    std::string key_;
    int known_depth_ = 0;
};

bool flatten(std::string_view text, Flattener& into) {
    wire::JsonParser machine(into);
    return machine.feed(text) && machine.finish() && into.is_object;
}

[[noreturn]] void fail(const std::string& key, const std::string& what) {
    throw ConfigError("configuration: " + key + " " + what);
}

class Keys {
public:
    Keys(const std::map<std::string, std::string>& values, const Environment& environment)
        : values_(values), environment_(environment) {}
    std::string text(const char* key, const char* variable, const char* default_value = nullptr) const {
        if (const char* set = variable ? environment_(variable) : nullptr; set && *set) return set;
        if (const auto it = values_.find(key); it != values_.end()) return it->second;
        if (!default_value) fail(key, "is missing");
        return default_value;
    }
    sockaddr_in endpoint(const char* key, const char* variable) const {
        const auto value = text(key, variable);
        const auto at = wire::parse_endpoint(value);
        if (!at) fail(key, "is not an address and port: " + value);
        return *at;
    }
    size_t count(const char* key, const char* default_value, size_t min, size_t max) const {
        const auto value = text(key, nullptr, default_value);
        const auto n = wire::parse_decimal(value);
        if (!n || *n < static_cast<double>(min) || *n > static_cast<double>(max))
            fail(key, "must be between " + std::to_string(min) + " and " + std::to_string(max) +
                         ": " + value);
        return static_cast<size_t>(*n);
    }

private:
    const std::map<std::string, std::string>& values_;
    const Environment& environment_;
};

}  // namespace

Config read_config(std::string text, const Environment& environment) {
    wire::ServerListReader known;
    Flattener flat(known);
    if (!flatten(text, flat)) fail("BALANCER_CONFIG", "names a file that is not a JSON object");
    if (flat.has_known_list && !known.valid()) fail(std::string("known.") + known.fault(), "is missing or invalid");
    const Keys keys(flat.values, environment);
    Config c;
    c.name = keys.text("name", "BALANCER_NAME", "myrtleroute");
    c.listen = keys.endpoint("listen", "BALANCER_LISTEN");
    c.discovery = keys.endpoint("discovery", "BALANCER_DISCOVERY");
    const auto seed = keys.text("seed", nullptr);
    const auto number = wire::parse_integer<uint64_t>(seed, 16);
    if (!number) fail("seed", "is not a hexadecimal number of up to 16 digits: " + seed);
    c.seed = *number;
    c.memory_mb = keys.count("limits.memory_mb", "192", 16, 1 << 20);
    c.sockets = keys.count("limits.sockets", "1024", 16, 1 << 20);
    const auto level = keys.text("log_level", "MYRTLEROUTE_LOG", "info");
    if (!parse_level(level)) fail("log_level", "must be debug, info, warning or error: " + level);
    c.log_level = *parse_level(level);
    std::string pairs;
    constexpr std::string_view prefix = "settings.";
    for (const auto& [path, value] : flat.values)
        if (path.substr(0, prefix.size()) == prefix) pairs += path.substr(prefix.size()) + "=" + value + "\n";
    if (pairs.empty()) fail("settings", "is missing");
    try {
        const SettingsReader reader(pairs);
        c.settings = reader.decode();
        reader.check_topology();
    } catch (const std::runtime_error& fault) {
        throw ConfigError(std::string("configuration: ") + fault.what());
    }
    c.text = std::move(text);
    return c;
}

Config read_config(System& system, const Environment& environment) {
    const char* path = environment("BALANCER_CONFIG");
    if (!path || !*path) fail("BALANCER_CONFIG", "is not set: it names the configuration file");
    auto text = system.read_file(path);
    if (!text) fail("BALANCER_CONFIG", std::string("names a file that can't be read: ") + path);
    return read_config(std::move(*text), environment);
}

void Config::deliver_known(wire::ServerListSink& sink, uint64_t& rev) const {
    wire::ServerListReader check;
    Flattener validation(check);
    if (!flatten(text, validation) || !validation.has_known_list) return;
    wire::ServerListReader delivery(&sink, check.complete());
    Flattener delivering(delivery);
    flatten(text, delivering);
    rev = check.rev();
}

}  // namespace myrtleroute::run
