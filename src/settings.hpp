// The settings of the decisions and of the proxy, decoded once at start from path=value pairs.
#pragma once
#include <algorithm>
#include <charconv>
#include <cmath>
#include <deque>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "model.hpp"

namespace myrtleroute {

struct Settings {
    std::deque<Product> products;     // a deque, since calls point to its elements
    std::vector<double> allowances;   // API calls per second that each tenant may make across all proxies
    int balancers = 1, index = 0;     // the number of proxies, and this one's index
    uint16_t zone = 0;
    bool slo_penalty = false;         // a late answer costs more than a call that is rate-limited at once,
    double allowed_late = 0;          // once the share of late answers is above this
    bool warm_keys = false;           // a server that recently had a call with the same key is faster
    bool live_weights = false;        // the capacities in the list shrink with the calls that servers hold
    bool known_slots = false;         // capacities are numbers of concurrent calls, and servers report what they hold
    bool drain_binds_alone = false;   // of list states only draining excludes a server; gone or missing alone does not
    bool pushed = true, probing = false, cancel = false, retry_after = false;   // list is pushed; what is permitted
    bool hedging = false;             // a second attempt may be open while the first is
    int max_attempts = 1;             // per call
    Span max_retry_after;             // largest Retry-After that is sent
    Span ask_within;                  // within which the list must be requested again
    Span warm_after;                  // from the start of a server until it has its full capacity
    double start_capacity = 1;        // share of the capacity that a server has at its start
    double tip_multiple = 1;          // of its current capacity, above which a cold server is overloaded
    double cross_zone_price = 0;      // of a call to another zone
    double surplus_value_factor = 1;  // share of the value that calls beyond a tenant's allowance have
    // For the proxy only.
    Span connect_timeout, idle_close;
    Span answer_margin;               // by which a failure response is sent before the client's timeout
    int max_open_calls = 1;
    std::vector<std::string> zones;
};

class SettingsReader {
public:
    // `pairs`: a line per setting, path=value; of a repeated path the first counts.
    explicit SettingsReader(std::string_view pairs) {
        while (!pairs.empty()) {
            const auto end = pairs.find('\n');
            const auto line = pairs.substr(0, end);
            if (const auto is = line.find('='); is != line.npos)
                values_.emplace(line.substr(0, is), line.substr(is + 1));
            pairs = end == pairs.npos ? std::string_view{} : pairs.substr(end + 1);
        }
    }

    // Throws std::runtime_error, which names the setting that is missing or invalid.
    Settings decode() const {
        Settings s;
        const int products = count("Products.count", number("Products.count"));
        if (products < 1) throw std::runtime_error("setting Products.count must be 1 or more");
        for (int i = 0; i < products; ++i)
            s.products.push_back(product("Products." + std::to_string(i) + "."));
        const int tenants = count("Projects.count", number("Projects.count", 0));
        for (int i = 0; i < tenants; ++i)
            s.allowances.push_back(number("Projects." + std::to_string(i) + ".AllowancePerS", 0));
        s.balancers = std::max(1, count("Balancers", number("Balancers")));
        s.index = count("Me", number("Me"));
        s.zone = static_cast<uint16_t>(count("Locality", number("Locality", 0)));
        s.pushed = one_of("Discovery", {"pushed", "on_request"}) == 0;
        s.slo_penalty = number("ObjectiveMix.Tail", 0) > 0;
        s.allowed_late = number("ObjectiveMix.BorneMisses", 0);
        if (s.allowed_late > 1) throw std::runtime_error("setting ObjectiveMix.BorneMisses must be at most 1");
        s.warm_keys = values_.count("FamilyInfo.WarmKeys") && flag("FamilyInfo.WarmKeys");
        s.drain_binds_alone = values_.count("Guarantees.DrainBindsAlone") && flag("Guarantees.DrainBindsAlone");
        s.live_weights = values_.count("Weights") && one_of("Weights", {"none", "nominal", "rough", "live"}) == 3;
        s.probing = flag("Limits.Probing");
        s.cancel = flag("Limits.Cancel");
        s.retry_after = flag("Limits.RetryAfter");
        s.hedging = values_.count("Limits.MayDuplicate") && flag("Limits.MayDuplicate");
        s.max_attempts = std::max(1, count("Limits.MaxShots", number("Limits.MaxShots")));
        s.max_retry_after = {number("Limits.MaxRetryAfterS", 0)};
        // Optional with a pushed list: the list's source may fail nonetheless, and is then requested again.
        s.ask_within = {s.pushed ? positive("Guarantees.AskWithinS", 10) : positive("Guarantees.AskWithinS")};
        s.warm_after = {positive("Guarantees.WarmAfterS")};
        s.start_capacity = positive("Guarantees.StartCapacity");
        s.tip_multiple = positive("Guarantees.TipMultiple");
        s.cross_zone_price = number("Prices.CrossZone", 0);
        s.surplus_value_factor = number("SurplusBilledValue", 1);
        s.connect_timeout = {positive("Limits.ConnectTimeoutS", 1)};
        s.idle_close = {positive("Limits.IdleCloseS", 60)};
        s.answer_margin = {number("Guarantees.GraceToAnswerS", 0)};
        s.max_open_calls = std::max(1, count("Limits.MaxOpen", number("Limits.MaxOpen", 1e6)));
        s.zones = list("Zones");
        return s;
    }

    // A deployment has one of two topologies: a proxy beside each application, which requests its list, or a
    // pool of proxies behind a front, to which the list is pushed, with live weights and load reports in answers.
    // Guards against settings mixed from both: the error names the first one that belongs to the other topology.
    void check_topology() const {
        const bool pool = text("Discovery") == "pushed";
        struct Mark { const char *key, *value; bool of_pool; };
        for (const auto& mark : {Mark{"Family", "mesh", false}, {"Family", "proxy", true}, {"Weights", "live", true},
                                 {"Weights", "rough", false}, {"Weights", "nominal", false},
                                 {"Feedback.Via", "answers", true}, {"Feedback.Via", "probe", false},
                                 {"Limits.MayTell", "true", true}}) {
            const auto it = values_.find(mark.key);
            if (it != values_.end() && it->second == mark.value && mark.of_pool != pool)
                throw std::runtime_error(std::string("setting ") + mark.key + " is " + mark.value +
                                         ", which does not go with Discovery " + text("Discovery"));
        }
    }

private:
    Product product(const std::string& at) const {
        Product p;
        p.name = text(at + "Name");
        p.value = number(at + "BilledValue");
        p.slo = {positive(at + "LatencySloS")};
        p.client_timeout = {positive(at + "ClientTimeoutS")};
        p.window = {number(at + "DedupWindowS", 0)};
        p.repeat = static_cast<Idempotency>(
            one_of(at + "Idempotency", {"read_like", "idempotency_key", "non_idempotent"}));
        if (p.repeat == Idempotency::deduplicated)
            p.scope = static_cast<DedupScope>(one_of(at + "KeyScope", {"all", "zone", "cell"}));
        p.late_value = number(at + "TardyBilledValue", 0);
        return p;
    }
    const std::string& text(const std::string& path) const {
        const auto it = values_.find(path);
        if (it == values_.end()) throw std::runtime_error("setting " + path + " is missing");
        return it->second;
    }
    double number(const std::string& path) const {
        const auto& value = text(path);
        double n = 0;
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), n);
        if (error != std::errc{} || end != value.data() + value.size() || !std::isfinite(n) || n < 0)
            throw std::runtime_error("setting " + path + " is no sound number: " + value);
        return n;
    }
    double number(const std::string& path, double otherwise) const {
        return values_.count(path) ? number(path) : otherwise;
    }
    double positive(const std::string& path, double otherwise) const {
        return values_.count(path) ? positive(path) : otherwise;
    }
    std::vector<std::string> list(const std::string& path) const {
        std::vector<std::string> parts;
        const auto it = values_.find(path);
        if (it == values_.end()) return parts;
        for (size_t from = 0, to; from < it->second.size(); from = to + 1) {
            to = std::min(it->second.find(',', from), it->second.size());
            parts.push_back(it->second.substr(from, to - from));
        }
        return parts;
    }
    double positive(const std::string& path) const {
        const double n = number(path);
        if (n <= 0) throw std::runtime_error("setting " + path + " must be above 0");
        return n;
    }
    static int count(const std::string& path, double n) {
        if (n > 1e6 || n != std::floor(n))
            throw std::runtime_error("setting " + path + " must be a whole number, 1000000 at most");
        return static_cast<int>(n);
    }
    bool flag(const std::string& path) const { return one_of(path, {"false", "true"}) == 1; }
    int one_of(const std::string& path, const std::vector<std::string>& choices) const {
        const auto& value = text(path);
        for (size_t i = 0; i < choices.size(); ++i)
            if (value == choices[i]) return static_cast<int>(i);
        throw std::runtime_error("setting " + path + " has an unknown value: " + value);
    }
    std::map<std::string, std::string> values_;
};

}  // namespace myrtleroute
