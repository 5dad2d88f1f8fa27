#include "soak/soak.hpp"

#include <algorithm>
#include <array>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

#include "soak/timing.hpp"

namespace myrtleroute::soak {
namespace {

constexpr double tick_interval = 0.01, late_tick_threshold = 0.25;                    // seconds between ticks
constexpr double start_timeout = 30, recovery_timeout = 12, read_back_timeout = 12;   // seconds
constexpr double served_window = 2.5, served_delay = 0.5;   // seconds; window of requests, judged this long after it
constexpr size_t served_min_requests = 8;                   // requests that the window must contain
constexpr double served_min_share = 0.5;                    // share of the modest tenant's requests
constexpr double contact_timeout = 3, configuration_timeout = 2;   // seconds, as in the settings (contactMs, configMs)
constexpr double max_stop_duration = 9;   // seconds from SIGTERM until the process has restarted
constexpr double response_loss = 0.5, subscription_loss = 0.1, host_response_loss = 0.33;
constexpr double stream_reset_rate = 0.04;   // for each event, while streams are reset
constexpr std::array services{"plain", "model"};
constexpr size_t hosts_of_service = host_count / services.size();
constexpr uint16_t host_port = 9000;

QuotaBounds bounds_of(const FleetOptions& fleet) { return {fleet.quota_window, fleet.quota_over, fleet.quota_slack}; }

FleetOptions fleet_options(const SoakOptions& options) {
    FleetOptions fleet;
    fleet.program = options.program;
    fleet.directory = options.directory;
    fleet.size = options.size;
    return fleet;
}

}   // namespace

Soak::Soak(SoakOptions options)
    : options_(std::move(options)),
      block_(context_),
      addresses_(block_.number(), options_.size.controls),
      checker_(bounds_of(fleet_options(options_)), options_.planned),
      chance_(options_.seed, 0x736f616b),
      plan_(options_.planned ? generate_planned_work(options_.seed, options_.size, options_.seconds)
                             : generate_plan(options_.seed, options_.size, options_.seconds)),
      start_(std::chrono::steady_clock::now()),
      fleet_(fleet_options(options_), addresses_,
             [this](const std::string& text) {
                 log_event(text);
                 checker_.report(Rule::own_end, now(), text);
             }),
      timer_(context_),
      counter_timer_(context_),
      signals_(context_, SIGINT, SIGTERM) {
    open_relays();
    open_hosts();
    std::vector<ProxyAddresses> proxies;
    for (size_t i = 0; i < options_.size.proxies; ++i)
        proxies.push_back(
            {{addresses_.machine(i), Addresses::front_port}, {addresses_.machine(i), Addresses::ready_port}});
    const auto clock = [this] {
        return now();
    };
    platform_ = std::make_unique<Platform>(context_, std::move(proxies), options_.seed);
    clients_ = std::make_unique<Clients>(context_, checker_, *platform_, options_.seed, clock);
    kept_clients_ =
        std::make_unique<KeptClients>(context_, checker_, *platform_, options_.kept_clients, options_.seed, clock);
    std::vector<Endpoint> controls;
    for (size_t i = 0; i < options_.size.controls; ++i) controls.push_back(addresses_.control(i));
    operator_ = std::make_unique<Operator>(
        context_, checker_, std::move(controls), options_.seed, clock,
        OperatorEvents{[this](uint64_t version) { acknowledged_.emplace_back(version, now()); },
                       [this](const std::string& text) {
                           log_event(text);
                       }},
        options_.storm     ? Operator::Pace::storm
        : options_.planned ? Operator::Pace::fast
                           : Operator::Pace::slow);
}

double Soak::now() const { return std::chrono::duration<double>(std::chrono::steady_clock::now() - start_).count(); }

void Soak::log_event(const std::string& text) {
    std::ostringstream line;
    line << std::fixed << std::setprecision(3) << std::setw(8) << now() << "  " << text << '\n';
    timeline_ += line.str();
}

void Soak::open_relays() {
    for (size_t machine = 0; machine < options_.size.controls; ++machine) {
        RelayOptions internal;
        internal.at = {addresses_.advertised(machine), Addresses::internal_port};
        internal.to = {addresses_.machine(machine), Addresses::internal_port};
        internal.identify = [this, machine](const std::string& json) {
            return identify(json, machine);
        };
        relays_.push_back(std::make_unique<Relay>(
            context_, internal,
            RelayRules{[this](const InternalConnection& connection, Direction direction) {
                           return is_blocked(connection, direction);
                       },
                       [this] {
                           return is_active(FaultKind::subscriptions_reset) && chance_.bernoulli(subscription_loss);
                       }}));
        RelayOptions control;
        control.at = addresses_.control(machine);
        control.to = {addresses_.machine(machine), Addresses::control_port};
        relays_.push_back(std::make_unique<Relay>(context_, control,
                                                  RelayRules{{}, [this] {
                                                                 return is_active(FaultKind::control_answers_lost) &&
                                                                        chance_.bernoulli(response_loss);
                                                             }}));
    }
}

void Soak::open_hosts() {
    for (size_t number = 0; number < host_count; ++number) {
        auto options = host_options(services[number / hosts_of_service], number);
        hosts_.push_back(std::make_unique<Host>(context_, std::move(options), host_events()));
    }
}

HostOptions Soak::host_options(const std::string& service, size_t number) const {
    const auto of_service = number % hosts_of_service;
    HostOptions host;
    host.id = "i-" + service + "-" + std::to_string(of_service);
    host.service = service;
    host.zone = "zone-" + std::to_string(of_service % 2);
    host.streams = service == "model";
    host.unframed_share = options_.unframed_share;
    host.address = {addresses_.host(number), host_port};
    host.seed = options_.seed * 100 + number;
    for (size_t c = 0; c < options_.size.controls; ++c) host.controls.push_back(addresses_.control(c));
    return host;
}

HostEvents Soak::host_events() {
    return {[this](const std::string& id, const std::string& tenant) { checker_.request_ran(id, tenant, now()); },
            [this] { return is_active(FaultKind::host_answers_lost) && chance_.bernoulli(host_response_loss); },
            [this] {
                return is_active(FaultKind::host_streams_reset) && chance_.bernoulli(stream_reset_rate);
            }};
}

// Identifies control nodes by their advertised address, proxies by their node name.
std::optional<InternalConnection> Soak::identify(const std::string& json, size_t dialed) const {
    const auto frame = nlohmann::json::parse(json, nullptr, false);
    if (!frame.is_object()) return {};
    const auto kind = frame.value("kind", "");
    for (size_t machine = 0; machine < options_.size.proxies; ++machine) {
        if (kind == "subscribe" && frame.value("node", "") == "machine-" + std::to_string(machine))
            return InternalConnection{true, machine, dialed};
        const auto endpoint = addresses_.advertised(machine) + ":" + std::to_string(Addresses::internal_port);
        if (kind == "hello" && frame["node"].value("peer", "") == endpoint)
            return InternalConnection{false, machine, dialed};
    }
    return {};
}

bool Soak::is_blocked(const InternalConnection& connection, Direction direction) const {
    return std::any_of(active_.begin(), active_.end(),
                       [&](const Fault* fault) { return blocks(*fault, connection, direction); });
}

bool Soak::is_active(FaultKind kind) const {
    return std::any_of(active_.begin(), active_.end(), [&](const Fault* fault) { return fault->kind == kind; });
}

Outcome Soak::run() {
    signals_.async_wait([this](asio::error_code error, int) {
        if (error) return;
        interrupted_ = true;
        context_.stop();
    });
    log_event("the fleet starts");
    fleet_.start();
    operator_->start();
    platform_->start();
    clients_->start();
    kept_clients_->start();
    last_tick_ = now();
    tick();
    read_counters();
    context_.run();
    fleet_.kill_all();
    return outcome();
}

void Soak::tick() {
    const double moment = now();
    max_tick_delay_ = std::max(max_tick_delay_, moment - last_tick_);
    if (moment - last_tick_ > late_tick_threshold)
        log_event("the soak process was late by " + std::to_string(moment - last_tick_) + " s");
    last_tick_ = moment;
    fleet_.tick(moment);
    update_phase();
    after(timer_, tick_interval, [this] { tick(); });
}

bool Soak::is_serving() const {
    const auto share =
        checker_.served_share(modest_tenant, std::max(phase_since_, now() - served_window - served_delay),
                              now() - served_delay, served_min_requests);
    return share.value_or(0) >= served_min_share;
}

void Soak::update_phase() {
    const double since = now() - phase_since_;
    const auto enter = [&](Phase phase, const char* text) {
        phase_ = phase;
        phase_since_ = now();
        log_event(text);
    };
    if (phase_ == Phase::starting) {
        if (is_serving()) {
            faults_start_ = now();
            return enter(Phase::faults, "the fleet serves requests; faults begin");
        }
        if (since < start_timeout) return;
        checker_.report(Rule::recover, now(),
                        "the fleet does not serve requests within " + std::to_string(since) + " s after its start");
        return context_.stop();
    }
    if (phase_ == Phase::faults) {
        const double at = now() - faults_start_;
        while (faults_begun_ < plan_.faults.size() && plan_.faults[faults_begun_].at <= at)
            begin_fault(plan_.faults[faults_begun_++]);
        for (const auto* fault : std::vector(active_))
            if (fault->end() <= at) end_fault(*fault);
        if (faults_begun_ == plan_.faults.size() && active_.empty() && at >= options_.seconds)
            enter(Phase::recovering, "faults are over");
        return;
    }
    if (phase_ == Phase::recovering) {
        const bool serving = is_serving();
        if (!serving && since < recovery_timeout + served_window + served_delay) return;
        if (!serving)
            checker_.report(
                Rule::recover, now(),
                "a tenant within its quota is not served " + std::to_string(since) + " s after the end of all faults");
        enter(Phase::reading, "reading the configuration back");
        return operator_->read_back([this] { context_.stop(); });
    }
    if (since < read_back_timeout) return;
    checker_.report(Rule::lost, now(), "no configuration could be read back");
    context_.stop();
}

void Soak::begin_fault(const Fault& fault) {
    log_event("fault begins: " + fault_text(fault));
    active_.push_back(&fault);
    for (const auto machine : fault.machines) apply_fault(fault, machine);
}

void Soak::apply_fault(const Fault& fault, size_t machine) {
    const double restart_at = faults_start_ + fault.end();
    switch (fault.kind) {
        case FaultKind::kill_proxies:
        case FaultKind::kill_every_proxy: return fleet_.kill(Role::proxy, machine, restart_at);
        case FaultKind::kill_controls:
        case FaultKind::kill_every_control: return fleet_.kill(Role::control, machine, restart_at);
        case FaultKind::pause_proxies: return fleet_.pause(Role::proxy, machine, true);
        case FaultKind::pause_controls: return fleet_.pause(Role::control, machine, true);
        case FaultKind::stop_proxies: return fleet_.stop(Role::proxy, machine, now());
        case FaultKind::stop_controls: return fleet_.stop(Role::control, machine, now());
        case FaultKind::wipe_control: return fleet_.wipe(machine, restart_at);
        case FaultKind::kill_hosts: return hosts_[machine]->kill();
        case FaultKind::hang_up_every_process:
            if (machine < options_.size.controls) fleet_.reload(Role::control, machine, now());
            return fleet_.reload(Role::proxy, machine, now());
        default: return;   // relays and hosts query cuts and lost responses themselves
    }
}

void Soak::end_fault(const Fault& fault) {
    log_event("fault ends: " + fault_text(fault));
    std::erase(active_, &fault);
    for (const auto machine : fault.machines) {
        if (fault.kind == FaultKind::pause_proxies) fleet_.pause(Role::proxy, machine, false);
        if (fault.kind == FaultKind::pause_controls) fleet_.pause(Role::control, machine, false);
        if (fault.kind == FaultKind::kill_hosts) hosts_[machine]->restart();
    }
}

// Reads the counters of invariant violations from processes that serve metrics.
void Soak::read_counters() {
    const auto request_metrics = [this](Role role, size_t machine) {
        const auto at = addresses_.metrics(role, machine);
        const auto text = request_text("GET", "/metrics", at.text(), {{"Connection", "close"}}, "");
        start_call(context_, {at, text, Span{0.8}, {}, [this, at](const HttpReply& reply) {
                                  if (reply.status != 200) return;
                                  for (const auto& line : violated_counters(reply.body))
                                      if (reported_counters_.insert(at.text() + line.substr(0, line.rfind(' '))).second)
                                          checker_.report(Rule::counter, now(), at.text() + " reports " + line);
                              }});
    };
    for (size_t i = 0; i < options_.size.controls; ++i) request_metrics(Role::control, i);
    for (size_t i = 0; i < options_.size.proxies; ++i) request_metrics(Role::proxy, i);
    after(counter_timer_, 1, [this] { read_counters(); });
}

// A version is in force everywhere when `configuration_timeout` has passed since its acknowledgement and no fault has
// been active for `contact_timeout`.
void Soak::determine_limits_in_force() {
    std::vector<std::pair<double, double>> disturbances;
    for (const auto& fault : plan_.faults) {
        const bool stops = fault.kind == FaultKind::stop_proxies || fault.kind == FaultKind::stop_controls;
        disturbances.emplace_back(faults_start_ + fault.at,
                                  faults_start_ + (stops ? fault.at + max_stop_duration : fault.end()));
    }
    for (const auto& [version, at] : acknowledged_)
        if (const auto in_force = stable_since(disturbances, at + configuration_timeout, contact_timeout, now()))
            checker_.configuration_in_force(version, *in_force);
}

Outcome Soak::outcome() {
    Outcome result;
    result.interrupted = interrupted_;
    if (!interrupted_) {
        determine_limits_in_force();
        checker_.finish();
    }
    result.violations = checker_.violations();
    result.timeline = timeline_;
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << plan_.faults.size() << " faults in " << options_.seconds << " s, "
         << acknowledged_.size() << " configurations, " << checker_.requests() << " requests, " << checker_.served()
         << " served, " << checker_.cuts() << " cut, " << checker_.left_unread()
         << " left unread; peak share of the quota:";
    for (const auto& [tenant, peak] : checker_.peaks()) text << ' ' << tenant << ' ' << peak.share();
    text << "; the soak process was late by " << max_tick_delay_ << " s at most";
    result.summary = text.str();
    return result;
}

}   // namespace myrtleroute::soak
