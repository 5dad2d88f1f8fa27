#include "run/config.hpp"

#include <map>
#include <vector>

#include "wire/endpoint.hpp"

namespace myrtleroute::run {
namespace {

// Flattens nested JSON into path=value pairs; the list of servers in it goes to a reader of its own.
class Flattener : public wire::JsonHandler {
public:
    explicit Flattener(wire::ServerListReader& known) : known_(known) {}
    std::map<std::string, std::string> found;
    bool has_known = false, is_object = false;

    void opens(bool list) override {
        if (known_depth_ || (open_.size() == 1 && key_ == "known")) {
            has_known = true;
            ++known_depth_;
            return known_.opens(list);
        }
        if (open_.empty()) is_object = !list;
        open_.push_back({open_.empty() ? "" : path(), list, 0, {}});
    }
    void closes(bool list) override {
        if (known_depth_) {
            --known_depth_;
            return known_.closes(list);
        }
        const auto ended = std::move(open_.back());
        open_.pop_back();
        if (!ended.list) return;
        found[ended.path] = ended.joined;
        found[ended.path + ".count"] = std::to_string(ended.count);
    }
    void key(std::string_view name) override {
        if (known_depth_) return known_.key(name);
        key_ = name;
    }
    void value(Kind kind, std::string_view text) override {
        if (known_depth_) return known_.value(kind, text);
        if (open_.empty() || kind == Kind::null) return;
        std::string plain(text);
        for (char& c : plain)
            if (c == ' ' || c == ',' || c == '\n') c = '_';
        if (!open_.back().list) {
            found[path()] = plain;
            return;
        }
        auto& list = open_.back();
        if (list.count++) list.joined += ',';
        list.joined += plain;
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

[[noreturn]] void bad(const std::string& key, const std::string& what) {
    throw BadConfig("configuration: " + key + " " + what);
}

class Keys {
public:
    Keys(const std::map<std::string, std::string>& found, const Environment& environment)
        : found_(found), environment_(environment) {}
    std::string text(const char* key, const char* variable, const char* otherwise = nullptr) const {
        if (const char* set = variable ? environment_(variable) : nullptr; set && *set) return set;
        if (const auto it = found_.find(key); it != found_.end()) return it->second;
        if (!otherwise) bad(key, "is missing");
        return otherwise;
    }
    sockaddr_in endpoint(const char* key, const char* variable) const {
        const auto said = text(key, variable);
        const auto at = wire::parse_endpoint(said);
        if (!at) bad(key, "is no address and port: " + said);
        return *at;
    }
    size_t count(const char* key, const char* otherwise, size_t least, size_t most) const {
        const auto said = text(key, nullptr, otherwise);
        const auto n = wire::parse_decimal(said);
        if (!n || *n < static_cast<double>(least) || *n > static_cast<double>(most))
            bad(key, "must lie between " + std::to_string(least) + " and " + std::to_string(most) +
                         ": " + said);
        return static_cast<size_t>(*n);
    }

private:
    const std::map<std::string, std::string>& found_;
    const Environment& environment_;
};

}  // namespace

Config read_config(std::string text, const Environment& environment) {
    wire::ServerListReader known;
    Flattener flat(known);
    if (!flatten(text, flat)) bad("BALANCER_CONFIG", "is no JSON object");
    if (flat.has_known && !known.sound()) bad(std::string("known.") + known.fault(), "is missing or unsound");
    const Keys keys(flat.found, environment);
    Config c;
    c.name = keys.text("name", "BALANCER_NAME", "myrtleroute");
    c.listen = keys.endpoint("listen", "BALANCER_LISTEN");
    c.discovery = keys.endpoint("discovery", "BALANCER_DISCOVERY");
    const auto seed = keys.text("seed", nullptr);
    const auto number = wire::parse_integer<uint64_t>(seed, 16);
    if (!number) bad("seed", "is no hexadecimal number of up to 16 digits: " + seed);
    c.seed = *number;
    c.memory_mb = keys.count("limits.memory_mb", "192", 16, 1 << 20);
    c.sockets = keys.count("limits.sockets", "1024", 16, 1 << 20);
    const auto level = keys.text("log_level", "MYRTLEROUTE_LOG", "info");
    if (!read_level(level)) bad("log_level", "must be debug, info, warning or error: " + level);
    c.log_level = *read_level(level);
    std::string pairs;
    constexpr std::string_view inside = "settings.";
    for (const auto& [path, value] : flat.found)
        if (path.substr(0, inside.size()) == inside) pairs += path.substr(inside.size()) + "=" + value + "\n";
    if (pairs.empty()) bad("settings", "is missing");
    try {
        const SettingsReader reader(pairs);
        c.settings = reader.decode();
        reader.check_topology();
    } catch (const std::runtime_error& fault) {
        throw BadConfig(std::string("configuration: ") + fault.what());
    }
    c.text = std::move(text);
    return c;
}

Config read_config(System& system, const Environment& environment) {
    const char* path = environment("BALANCER_CONFIG");
    if (!path || !*path) bad("BALANCER_CONFIG", "is not set: it names the configuration file");
    auto text = system.read_file(path);
    if (!text) bad("BALANCER_CONFIG", std::string("names a file that can't be read: ") + path);
    return read_config(std::move(*text), environment);
}

void Config::tell_known(wire::ServerListSink& sink, uint64_t& rev) const {
    wire::ServerListReader check;
    Flattener first(check);
    if (!flatten(text, first) || !first.has_known) return;
    wire::ServerListReader tell(&sink, check.whole());
    Flattener second(tell);
    flatten(text, second);
    rev = check.rev();
}

}  // namespace myrtleroute::run
