#include "soak/operator.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "soak/clients.hpp"
#include "soak/timing.hpp"

namespace myrtleroute::soak {
namespace {

constexpr Span request_timeout{1.5};                                 // for a response
constexpr double retry_delay = 0.2;                                  // seconds before a request is repeated
constexpr double min_change_interval = 2, max_change_interval = 6;   // seconds between changes
constexpr double min_fast_interval = 0.05, max_fast_interval = 0.6;
constexpr double min_factor = 0.4, max_factor = 2;   // of a changed limit, as a multiple of the initial one
constexpr int max_redirects = 2;
constexpr int timeout_ms = 3000, long_timeout_ms = 12000;   // of routes
constexpr uint64_t max_added_ms = 900;   // to the timeouts of the clients' routes, where every part varies
constexpr uint64_t max_version_step = 3;
constexpr double patch_share = 0.5;   // of the changes that are sent as a patch

std::string number(double value) { return std::to_string(static_cast<int64_t>(value)); }

std::string route_json(const ClientRoute& route, int added_ms) {
    const bool is_long = route.streams && route.repeatable;
    return R"({"name":"r","hostname":")" + std::string(route_host) + R"(","pathPrefix":")" + route.path +
           R"(","kind":")" + route.kind + R"(","service":")" + route.service + R"(","timeoutMs":)" +
           std::to_string((is_long ? long_timeout_ms : timeout_ms) + added_ms) +
           R"(,"targetLatencyMs":1000,"priority":0,"maxAttempts":2,"public":false,"sticky":)" +
           (route.streams ? "true" : "false") + R"(,"resumable":)" + (is_long ? "true" : "false") + "}";
}

std::string tenant_json(const Tenant& tenant, const TenantLimit& limit) {
    return R"({"name":")" + tenant.name + R"(","apiKeys":[")" + tenant.key +
           R"("],"priority":1,"unit":"token_rate","uncachedTokens":200,"ratePerS":)" + number(limit.rate) +
           R"(,"burst":)" + number(limit.burst) + "}";
}

std::string tenants_json(const Limits& limits) {
    std::string list;
    for (const auto& tenant : tenants())
        list += (list.empty() ? "" : ",") + tenant_json(tenant, limits.at(tenant.name));
    return list;
}

constexpr const char* services_json =
    R"([{"name":"plain","healthCheck":"/health","maxConnections":500},{"name":"model","healthCheck":"/health",)"
    R"("maxConnections":500,"engine":{"capacity":64,"kvCapacityTokens":1000000,"models":[{"name":"m"}]}}])";

}   // namespace

std::string configuration_text(uint64_t version, const Limits& limits, bool varied) {
    std::string route_list, tenant_list = tenants_json(limits), services = services_json, rest;
    const int added_ms = varied ? static_cast<int>(version % max_added_ms) : 0;
    for (const auto& route : routes) route_list += (route_list.empty() ? "" : ",") + route_json(route, added_ms);
    if (varied) {
        const auto n = std::to_string(version);
        route_list += R"(,{"name":"w","hostname":"w.example","pathPrefix":"/w)" + n + R"(/","kind":"idempotent",)" +
                      R"("timeoutMs":)" + std::to_string(1000 + version % 5000) +
                      R"(,"backends":[{"service":"plain",)" + R"("weight":)" + std::to_string(1 + version % 99) +
                      R"(},{"service":"s)" + n + R"(","weight":1}]})";
        services.insert(services.size() - 1, R"(,{"name":"s)" + n + R"("})");
        tenant_list +=
            R"(,{"name":"t)" + n + R"(","apiKeys":["key-of-)" + n + R"("],"ratePerS":)" + n + R"(,"burst":10})";
        rest = R"(,"limits":{"idleTimeoutMs":)" + std::to_string(15000 + version % 7 * 1000) + "}";
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route_list + R"(],"services":)" + services +
           R"(,"tenants":[)" + tenant_list + "]" + rest + "}";
}

std::string patch_text(uint64_t version, const Limits& limits) {
    return R"({"version":)" + std::to_string(version) + R"(,"upsert":{"tenants":[)" + tenants_json(limits) + "]}}";
}

Operator::Operator(asio::io_context& context, Checker& checker, std::vector<Endpoint> controls, uint64_t seed,
                   std::function<double()> now, OperatorEvents events, Pace pace)
    : context_(context),
      checker_(checker),
      controls_(std::move(controls)),
      chance_(seed, 0x6f7065),
      now_(std::move(now)),
      events_(std::move(events)),
      pace_(pace),
      timer_(context) {
    for (const auto& tenant : tenants()) limits_[tenant.name] = tenant.limit;
}

size_t Operator::random_control() { return static_cast<size_t>(chance_.below(static_cast<int>(controls_.size()))); }

void Operator::start() {
    if (stopped_) return;
    for (const auto& tenant : tenants()) {
        const double factor = chance_.between(min_factor, max_factor);
        if (tenant.varying_limit && version_)
            limits_[tenant.name] = {std::floor(tenant.limit.rate * factor), std::floor(tenant.limit.burst * factor)};
    }
    version_ += 1 + static_cast<uint64_t>(chance_.below(static_cast<int>(max_version_step)));
    prepare_change();
    checker_.configuration_sent(version_, limits_, now_());
    events_.log_event("configuration " + std::to_string(version_) + " was sent");
    send_again();
}

void Operator::prepare_change() {
    const bool all_parts = pace_ == Pace::storm;
    bodies_[version_] = configuration_text(version_, limits_, all_parts);
    const bool patches = acknowledged_ > 0 && !all_parts && chance_.bernoulli(patch_share);
    method_ = patches ? "PATCH" : "PUT";
    request_body_ = patches ? patch_text(version_, limits_) : bodies_[version_];
}

void Operator::send(size_t control, int redirects) {
    const auto& to = controls_[control];
    const auto text =
        request_text(method_, "/config", to.text(),
                     {{"If-Match", std::to_string(acknowledged_)}, {"Connection", "close"}}, request_body_);
    start_call(context_, {to, text, request_timeout, {}, [this, redirects](const HttpReply& reply) {
                              handle_response(reply, redirects);
                          }});
}

// The control node that a 307 names.
std::optional<size_t> Operator::redirected(const HttpReply& reply) const {
    if (reply.status != 307) return {};
    const auto location = field_of(reply.fields, "Location");
    for (size_t i = 0; i < controls_.size(); ++i)
        if (location == "http://" + controls_[i].text() + "/config") return i;
    return {};
}

void Operator::handle_response(const HttpReply& reply, int redirects) {
    if (reply.status == 200) return acknowledged();
    if (const auto leader = redirected(reply); leader && redirects < max_redirects) return send(*leader, redirects + 1);
    const bool refused = reply.status >= 400 && reply.status < 500 && reply.status != 408 && reply.status != 429;
    if (refused) {
        checker_.report(Rule::configuration, now_(),
                        "configuration " + std::to_string(version_) + " based on version " +
                            std::to_string(acknowledged_) + " was refused: " + std::to_string(reply.status) + " " +
                            reply.body);
        return;
    }
    after(timer_, retry_delay, [this] { send_again(); });
}

double Operator::change_interval() {
    switch (pace_) {
        case Pace::slow: return chance_.between(min_change_interval, max_change_interval);
        case Pace::fast: return chance_.between(min_fast_interval, max_fast_interval);
        case Pace::storm: return 0;
    }
    return 0;
}

void Operator::acknowledged() {
    acknowledged_ = version_;
    events_.log_event("configuration " + std::to_string(version_) + " was acknowledged");
    events_.acknowledged(version_);
    after(timer_, change_interval(), [this] { start(); });
}

void Operator::read_back(std::function<void()> done) {
    stopped_ = true;
    read_done_ = std::move(done);
    timer_.cancel();
    read_again();
}

void Operator::read(size_t control, int redirects) {
    const auto& to = controls_[control];
    const auto text = request_text("GET", "/config", to.text(), {{"Connection", "close"}}, "");
    start_call(context_, {to, text, request_timeout, {}, [this, redirects](const HttpReply& reply) {
                              const auto leader = redirected(reply);
                              if (leader && redirects < max_redirects) return read(*leader, redirects + 1);
                              if (reply.status == 200) return check_reading(reply);
                              after(timer_, retry_delay, [this] { read_again(); });
                          }});
}

// The configuration that was read must be the last acknowledged one or one that was sent after it.
void Operator::check_reading(const HttpReply& reply) {
    const auto document = nlohmann::json::parse(reply.body, nullptr, false);
    const auto read = std::find_if(bodies_.begin(), bodies_.end(),
                                   [&](const auto& known) { return nlohmann::json::parse(known.second) == document; });
    if (read == bodies_.end())
        checker_.report(Rule::lost, now_(), "the configuration read back is not one that was sent");
    else if (read->first < acknowledged_)
        checker_.report(Rule::lost, now_(),
                        "configuration " + std::to_string(acknowledged_) + " was acknowledged, but version " +
                            std::to_string(read->first) + " was read back");
    if (read_done_) std::exchange(read_done_, {})();
}

}   // namespace myrtleroute::soak
