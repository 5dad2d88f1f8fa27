#include "soak/soak.hpp"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

#include "soak/timing.hpp"

namespace myrtleroute::soak {
namespace {

constexpr double tick_every = 0.01, worth_noting = 0.25;                     // seconds between ticks
constexpr double start_within = 30, recover_within = 12, read_within = 12;   // seconds
constexpr double served_span = 2.5, served_delay = 0.5;   // requests sent in this span, as they stand this much later
constexpr size_t served_least = 8;                        // requests that such a span must hold
constexpr double served_enough = 0.5;                     // share, of the modest tenant's
constexpr double contact = 3, configuration_within = 2;   // seconds, as in the settings
constexpr double longest_stop = 9;                        // from SIGTERM until the process is back
constexpr double answer_loss = 0.5, subscription_loss = 0.1, host_loss = 0.33;
constexpr size_t hosts_of_service = 3;
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
      plan_(options_.planned ? draw_planned_work(options_.seed, options_.size, options_.seconds)
                             : draw_plan(options_.seed, options_.size, options_.seconds)),
      start_(std::chrono::steady_clock::now()),
      fleet_(fleet_options(options_), addresses_,
             [this](const std::string& text) {
                 note(text);
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
                           note(text);
                       }},
        options_.storm     ? Operator::Pace::storm
        : options_.planned ? Operator::Pace::series
                           : Operator::Pace::calm);
}

double Soak::now() const { return std::chrono::duration<double>(std::chrono::steady_clock::now() - start_).count(); }

void Soak::note(const std::string& text) {
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
            RelayRules{[this](const Link& link, Way way) { return holds(link, way); },
                       [this] {
                           return is_active(FaultKind::subscriptions_reset) && chance_.bernoulli(subscription_loss);
                       }}));
        RelayOptions control;
        control.at = addresses_.control(machine);
        control.to = {addresses_.machine(machine), Addresses::control_port};
        relays_.push_back(std::make_unique<Relay>(context_, control,
                                                  RelayRules{{}, [this] {
                                                                 return is_active(FaultKind::control_answers_lost) &&
                                                                        chance_.bernoulli(answer_loss);
                                                             }}));
    }
}

void Soak::open_hosts() {
    size_t number = 0;
    for (const char* service : {"plain", "model"})
        for (size_t i = 0; i < hosts_of_service; ++i, ++number) {
            HostOptions host;
            host.id = std::string("i-") + service + "-" + std::to_string(i);
            host.service = service;
            host.zone = "zone-" + std::to_string(i % 2);
            host.streams = host.service == "model";
            host.at = {addresses_.host(number), host_port};
            host.seed = options_.seed * 100 + number;
            for (size_t c = 0; c < options_.size.controls; ++c) host.controls.push_back(addresses_.control(c));
            hosts_.push_back(std::make_unique<Host>(
                context_, std::move(host),
                HostEvents{
                    [this](const std::string& id, const std::string& tenant) { checker_.ran(id, tenant, now()); },
                    [this] {
                        return is_active(FaultKind::host_answers_lost) && chance_.bernoulli(host_loss);
                    }}));
        }
}

// Control nodes tell the address that they advertise, proxies their name.
std::optional<Link> Soak::identify(const std::string& json, size_t dialed) const {
    const auto frame = nlohmann::json::parse(json, nullptr, false);
    if (!frame.is_object()) return {};
    const auto kind = frame.value("kind", "");
    for (size_t machine = 0; machine < options_.size.proxies; ++machine) {
        if (kind == "subscribe" && frame.value("node", "") == "machine-" + std::to_string(machine))
            return Link{true, machine, dialed};
        const auto endpoint = addresses_.advertised(machine) + ":" + std::to_string(Addresses::internal_port);
        if (kind == "hello" && frame["node"].value("peer", "") == endpoint) return Link{false, machine, dialed};
    }
    return {};
}

bool Soak::holds(const Link& link, Way way) const {
    return std::any_of(active_.begin(), active_.end(), [&](const Fault* fault) { return blocks(*fault, link, way); });
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
    note("starts");
    fleet_.start();
    operator_->start();
    platform_->start();
    clients_->start();
    kept_clients_->start();
    ticked_ = now();
    tick();
    read_counters();
    context_.run();
    fleet_.end();
    return outcome();
}

void Soak::tick() {
    const double moment = now();
    latest_tick_ = std::max(latest_tick_, moment - ticked_);
    if (moment - ticked_ > worth_noting) note("the soak itself was late by " + std::to_string(moment - ticked_) + " s");
    ticked_ = moment;
    fleet_.tick(moment);
    proceed();
    after(timer_, tick_every, [this] { tick(); });
}

bool Soak::serves() const {
    const auto share = checker_.served_share(modest_tenant, std::max(phase_since_, now() - served_span - served_delay),
                                             now() - served_delay, served_least);
    return share.value_or(0) >= served_enough;
}

void Soak::proceed() {
    const double since = now() - phase_since_;
    const auto enter = [&](Phase phase, const char* text) {
        phase_ = phase;
        phase_since_ = now();
        note(text);
    };
    if (phase_ == Phase::starting) {
        if (serves()) {
            faults_at_ = now();
            return enter(Phase::faults, "it serves; faults begin");
        }
        if (since < start_within) return;
        checker_.report(Rule::recover, now(), "it does not serve after its start");
        return context_.stop();
    }
    if (phase_ == Phase::faults) {
        const double at = now() - faults_at_;
        while (begun_ < plan_.faults.size() && plan_.faults[begun_].at <= at) begin(plan_.faults[begun_++]);
        for (const auto* fault : std::vector(active_))
            if (fault->end() <= at) end(*fault);
        if (begun_ == plan_.faults.size() && active_.empty() && at >= options_.seconds)
            enter(Phase::recovering, "faults are over");
        return;
    }
    if (phase_ == Phase::recovering) {
        const bool serving = serves();
        if (!serving && since < recover_within + served_span + served_delay) return;
        if (!serving)
            checker_.report(Rule::recover, now(),
                            "a tenant within its quota is not served " + std::to_string(since) + " s after all faults");
        enter(Phase::reading, "the configuration is read back");
        return operator_->read_back([this] { context_.stop(); });
    }
    if (since < read_within) return;
    checker_.report(Rule::lost, now(), "no configuration could be read back");
    context_.stop();
}

void Soak::begin(const Fault& fault) {
    note("begins: " + text_of(fault));
    active_.push_back(&fault);
    for (const auto machine : fault.machines) strike(fault, machine);
}

void Soak::strike(const Fault& fault, size_t machine) {
    const double back_at = faults_at_ + fault.end();
    switch (fault.kind) {
        case FaultKind::kill_proxies:
        case FaultKind::kill_every_proxy: return fleet_.kill(Role::proxy, machine, back_at);
        case FaultKind::kill_controls:
        case FaultKind::kill_every_control: return fleet_.kill(Role::control, machine, back_at);
        case FaultKind::pause_proxies: return fleet_.pause(Role::proxy, machine, true);
        case FaultKind::pause_controls: return fleet_.pause(Role::control, machine, true);
        case FaultKind::stop_proxies: return fleet_.stop(Role::proxy, machine, now());
        case FaultKind::stop_controls: return fleet_.stop(Role::control, machine, now());
        case FaultKind::wipe_control: return fleet_.wipe(machine, back_at);
        case FaultKind::hang_up_every_process:
            if (machine < options_.size.controls) fleet_.hang_up(Role::control, machine, now());
            return fleet_.hang_up(Role::proxy, machine, now());
        default: return;   // cuts and lost answers are asked for by those that carry bytes
    }
}

void Soak::end(const Fault& fault) {
    note("ends: " + text_of(fault));
    std::erase(active_, &fault);
    for (const auto machine : fault.machines) {
        if (fault.kind == FaultKind::pause_proxies) fleet_.pause(Role::proxy, machine, false);
        if (fault.kind == FaultKind::pause_controls) fleet_.pause(Role::control, machine, false);
    }
}

// Counters of broken invariants, for programs that serve them.
void Soak::read_counters() {
    const auto ask = [this](Role role, size_t machine) {
        const auto at = addresses_.metrics(role, machine);
        const auto text = request_text("GET", "/metrics", at.text(), {{"Connection", "close"}}, "");
        start_call(context_, {at, text, Span{0.8}, {}, [this, at](const HttpReply& reply) {
                                  if (reply.status != 200) return;
                                  for (const auto& line : violated_counters(reply.body))
                                      if (counters_.insert(at.text() + line.substr(0, line.rfind(' '))).second)
                                          checker_.report(Rule::counter, now(), at.text() + " tells " + line);
                              }});
    };
    for (size_t i = 0; i < options_.size.controls; ++i) ask(Role::control, i);
    for (size_t i = 0; i < options_.size.proxies; ++i) ask(Role::proxy, i);
    after(counter_timer_, 1, [this] { read_counters(); });
}

// A version is in force everywhere once nothing has been in trouble for a while, some time past its acknowledgement.
void Soak::settle_limits() {
    std::vector<std::pair<double, double>> troubles;
    for (const auto& fault : plan_.faults) {
        const bool stops = fault.kind == FaultKind::stop_proxies || fault.kind == FaultKind::stop_controls;
        troubles.emplace_back(faults_at_ + fault.at, faults_at_ + (stops ? fault.at + longest_stop : fault.end()));
    }
    for (const auto& [version, at] : acknowledged_)
        if (const auto in_force = calm_since(troubles, at + configuration_within, contact, now()))
            checker_.configuration_in_force(version, *in_force);
}

Outcome Soak::outcome() {
    Outcome result;
    result.interrupted = interrupted_;
    if (!interrupted_) {
        settle_limits();
        checker_.finish();
    }
    result.violations = checker_.violations();
    result.timeline = timeline_;
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << plan_.faults.size() << " faults in " << options_.seconds << " s, "
         << acknowledged_.size() << " configurations, " << checker_.requests() << " requests, " << checker_.served()
         << " served, " << checker_.cuts() << " cut, " << checker_.left_unread() << " left unread; most of the quota:";
    for (const auto& [tenant, peak] : checker_.peaks()) text << ' ' << tenant << ' ' << peak.share();
    text << "; the soak itself was late by " << latest_tick_ << " s at most";
    result.summary = text.str();
    return result;
}

}   // namespace myrtleroute::soak
