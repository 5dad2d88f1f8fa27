// The settings that are read, decoded once at start from path=value pairs.
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
    std::deque<Product> products;     // calls point to theirs
    std::vector<double> allowances;   // API calls a second a tenant may make across all balancers
    int balancers = 1, me = 0;
    uint16_t zone = 0;
    bool tail = false;                // a late answer costs more than a call rate-limited at once,
    double borne_misses = 0;          // beyond this share of late ones
    bool warm_keys = false;           // a server that met a call's key lately has less to do
    bool live_weights = false;        // the list's sizes fall with the calls that servers hold
    bool known_slots = false;         // sizes are the calls that a server works on at once, and servers tell what they hold
    bool drain_binds_alone = false;   // a server listed as gone, or left out, may still be sent to
    bool pushed = true, probing = false, cancel = false, retry_after = false;
    bool duplicates = false;          // a second copy may be out while the first is
    int max_attempts = 1;
    Span max_retry_after, ask_within, warm_after;
    double start_capacity = 1, tip_multiple = 1;
    double cross_price = 0;
    double surplus_value = 1;         // share of the value beyond a tenant's allowance
    // The proxy's own: how connections and answers are kept, and the zones' names.
    Span connect_timeout, idle_close, answer_margin;
    int max_open_calls = 1;
    std::vector<std::string> zones;
};

class SettingsReader {
public:
    explicit SettingsReader(std::string_view pairs) {
        while (!pairs.empty()) {
            const auto end = pairs.find('\n');
            const auto line = pairs.substr(0, end);
            if (const auto is = line.find('='); is != line.npos)
                found_.emplace(line.substr(0, is), line.substr(is + 1));
            pairs = end == pairs.npos ? std::string_view{} : pairs.substr(end + 1);
        }
    }

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
        s.me = count("Me", number("Me"));
        s.zone = static_cast<uint16_t>(count("Locality", number("Locality", 0)));
        s.pushed = one_of("Discovery", {"pushed", "on_request"}) == 0;
        s.tail = number("ObjectiveMix.Tail", 0) > 0;
        s.borne_misses = number("ObjectiveMix.BorneMisses", 0);
        if (s.borne_misses > 1) throw std::runtime_error("setting ObjectiveMix.BorneMisses must be 1 at most");
        s.warm_keys = found_.count("FamilyInfo.WarmKeys") && yes("FamilyInfo.WarmKeys");
        s.drain_binds_alone = found_.count("Guarantees.DrainBindsAlone") && yes("Guarantees.DrainBindsAlone");
        s.live_weights = found_.count("Weights") && one_of("Weights", {"none", "nominal", "rough", "live"}) == 3;
        s.probing = yes("Limits.Probing");
        s.cancel = yes("Limits.Cancel");
        s.retry_after = yes("Limits.RetryAfter");
        s.duplicates = found_.count("Limits.MayDuplicate") && yes("Limits.MayDuplicate");
        s.max_attempts = std::max(1, count("Limits.MaxShots", number("Limits.MaxShots")));
        s.max_retry_after = {number("Limits.MaxRetryAfterS", 0)};
        // A pushed list need not have it; what brings the list may fail all the same, and is asked again.
        s.ask_within = {s.pushed ? positive("Guarantees.AskWithinS", 10) : positive("Guarantees.AskWithinS")};
        s.warm_after = {positive("Guarantees.WarmAfterS")};
        s.start_capacity = positive("Guarantees.StartCapacity");
        s.tip_multiple = positive("Guarantees.TipMultiple");
        s.cross_price = number("Prices.CrossZone", 0);
        s.surplus_value = number("SurplusBilledValue", 1);
        s.connect_timeout = {positive("Limits.ConnectTimeoutS", 1)};
        s.idle_close = {positive("Limits.IdleCloseS", 60)};
        s.answer_margin = {number("Guarantees.GraceToAnswerS", 0)};
        s.max_open_calls = std::max(1, count("Limits.MaxOpen", number("Limits.MaxOpen", 1e6)));
        s.zones = list("Zones");
        return s;
    }

    // A deployment has one of two shapes: a proxy beside each application, which asks for its list, or a pool
    // of proxies behind a front, which is sent its list, with live weights and load reports in answers.
    // Guards against settings taken from both: the first key that belongs to the other shape is named.
    void check_topology() const {
        const bool pool = text("Discovery") == "pushed";
        struct Mark { const char *key, *value; bool of_pool; };
        for (const auto& mark : {Mark{"Family", "mesh", false}, {"Family", "proxy", true}, {"Weights", "live", true},
                                 {"Weights", "rough", false}, {"Weights", "nominal", false},
                                 {"Feedback.Via", "answers", true}, {"Feedback.Via", "probe", false},
                                 {"Limits.MayTell", "true", true}}) {
            const auto it = found_.find(mark.key);
            if (it != found_.end() && it->second == mark.value && mark.of_pool != pool)
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
            p.group = static_cast<Group>(one_of(at + "KeyScope", {"all", "zone", "cell"}));
        p.late_value = number(at + "TardyBilledValue", 0);
        return p;
    }
    const std::string& text(const std::string& path) const {
        const auto it = found_.find(path);
        if (it == found_.end()) throw std::runtime_error("setting " + path + " is missing");
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
        return found_.count(path) ? number(path) : otherwise;
    }
    double positive(const std::string& path, double otherwise) const {
        return found_.count(path) ? positive(path) : otherwise;
    }
    std::vector<std::string> list(const std::string& path) const {
        std::vector<std::string> parts;
        const auto it = found_.find(path);
        if (it == found_.end()) return parts;
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
        if (n > 1e6 || n != std::floor(n)) throw std::runtime_error("setting " + path + " is no sound count");
        return static_cast<int>(n);
    }
    bool yes(const std::string& path) const { return one_of(path, {"false", "true"}) == 1; }
    int one_of(const std::string& path, const std::vector<std::string>& choices) const {
        const auto& value = text(path);
        for (size_t i = 0; i < choices.size(); ++i)
            if (value == choices[i]) return static_cast<int>(i);
        throw std::runtime_error("setting " + path + " has an unknown value: " + value);
    }
    std::map<std::string, std::string> found_;
};

}  // namespace myrtleroute
