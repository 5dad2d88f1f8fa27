#include "lab/control/callers.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace myrtleroute::lab::control {

using myrtleroute::control::HttpRequest;
using myrtleroute::control::HttpResponse;

namespace {

constexpr Span response_timeout{1};
constexpr int max_attempts = 14, max_redirects = 2;
constexpr double invalid_share = 0.06, read_share = 0.25, patch_share = 0.5;
constexpr int patched_route_names = 4;   // distinct route names that patches use
constexpr Span heartbeat_interval{1.2}, drain_duration{2};
constexpr Span proxy_tick_interval{0.2}, lease_request_delay{0.05};
constexpr int requests_per_tick = 8;   // sent by a proxy while a rollout is in progress
constexpr size_t zone_count = 2;
constexpr Span lease_timeout{0.2};   // how long a request waits for units

std::string document(uint64_t version, uint64_t salt, const std::string& tenants) {
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"hostname":"h","pathPrefix":"/)" +
           std::to_string(salt) + R"(/","timeoutMs":1000,"service":"s"}],"services":[{"name":"s"}],"tenants":)" +
           tenants + "}";
}

}   // namespace

uint64_t version_of(const std::string& body) {
    const auto json = nlohmann::json::parse(body, nullptr, false);
    return json.is_object() ? json.value("version", uint64_t{0}) : 0;
}

bool is_about_version(const std::string& answer) { return answer.find("\"/version\"") != std::string::npos; }

// Operators.

Operator::Operator(Queue& queue, RandomStream random, const CallerEnvironment& environment, Checker& checker,
                   std::vector<Operation>& history)
    : queue_(queue), random_(random), environment_(environment), checker_(checker), history_(history) {}

void Operator::schedule_next() {
    queue_.in({random_.exponential(1.2)}, [this] {
        if (stopped_) return;
        if (!busy_) {
            draw_update();
            call(choose_machine(), 0);
        }
        schedule_next();
    });
}

void Operator::draw_update() {
    busy_ = true;
    attempts_ = 0;
    body_is_valid_ = true;
    operation_ = {};
    if (random_.bernoulli(read_share)) {
        operation_.is_read = true;
        body_.clear();
        return;
    }
    operation_.base = base_version_;
    operation_.version =
        base_version_ + 1 + static_cast<uint64_t>(random_.below(2));   // often the same number as the other operator's
    operation_.is_patch = base_version_ > 0 && random_.bernoulli(patch_share);
    body_ = operation_.is_patch ? draw_patch()
                                : document(operation_.version, random_.number() % 100000,
                                           environment_.tenants_json(operation_.version));
    body_is_valid_ = !random_.bernoulli(invalid_share);
    if (!body_is_valid_) body_.resize(body_.size() / 2);
    operation_.body = checker_.number_of_update(body_, operation_.is_patch);
}

// A patch: one tenant as a whole document of that version would define it, often a new or replaced route, and
// sometimes a deleted one. Whether that route name exists is not known here.
std::string Operator::draw_patch() {
    const auto route_name = [this] {
        return "p" + std::to_string(random_.below(patched_route_names));
    };
    const auto tenants = nlohmann::json::parse(environment_.tenants_json(operation_.version));
    nlohmann::json patch{{"version", operation_.version}};
    auto tenant = tenants[static_cast<size_t>(random_.below(static_cast<int>(tenants.size())))];
    tenant["note"] = random_.number();   // so that no two patches produce the same document
    patch["upsert"]["tenants"] = {std::move(tenant)};
    if (random_.bernoulli(0.7))
        patch["upsert"]["routes"] = {{{"name", route_name()},
                                      {"hostname", "h"},
                                      {"pathPrefix", "/p" + std::to_string(random_.number() % 100000) + "/"},
                                      {"timeoutMs", 1000},
                                      {"service", "s"}}};
    if (random_.bernoulli(0.2)) patch["delete"]["routes"] = {route_name()};
    return patch.dump();
}

void Operator::read_now() {
    busy_ = true;
    attempts_ = 0;
    body_is_valid_ = true;
    operation_ = {};
    operation_.is_read = true;
    body_.clear();
    call(choose_machine(), 0);
}

Machine* Operator::choose_machine() {
    const auto machines = environment_.machines();
    return machines.empty() ? nullptr : machines[static_cast<size_t>(random_.below(static_cast<int>(machines.size())))];
}

void Operator::call(Machine* machine, int redirects) {
    if (!machine) return retry();
    const auto number = ++call_number_;
    auto operation = operation_;
    operation.invoked = queue_.now();
    history_.push_back(operation);
    const auto at = history_.size() - 1;
    HttpRequest request;
    request.method = operation_.is_read ? "GET" : operation_.is_patch ? "PATCH" : "PUT";
    request.path = "/config";
    if (!operation_.is_read) request.if_match = std::to_string(operation_.base);
    request.body = body_;
    environment_.send_request(*machine, request,
                              [this, number, at, redirects](const std::optional<HttpResponse>& answer) {
                                  if (answer && environment_.drops_responses() && random_.bernoulli(0.7))
                                      return;   // the call then times out
                                  if (number == call_number_) completed(at, answer, redirects);
                              });
    queue_.in(response_timeout, [this, number, at, redirects] {
        if (number == call_number_) completed(at, {}, redirects);
    });
}

void Operator::completed(size_t at, const std::optional<HttpResponse>& answer, int redirects) {
    ++call_number_;
    auto& operation = history_[at];
    operation.answered = queue_.now();
    if (!answer || answer->status == 503 || answer->status == 408) return retry();
    if (answer->status == 307) {
        operation.invoked = Time{1e17};   // excluded from the history: a redirect has no effect
        if (redirects < max_redirects) return call(environment_.machine_for_location(answer->location), redirects + 1);
        return retry();
    }
    if (operation_.is_read) {
        operation.outcome = Operation::Outcome::read;
        operation.version = last_read_version_ = base_version_ = answer->status == 200 ? version_of(answer->body) : 0;
        operation.body = answer->status == 200 ? checker_.number_of_update(answer->body, false) : 0;
    } else if (answer->status == 200) {
        if (!body_is_valid_) checker_.report_violation(Invariant::refused_stays_out, "an invalid update was confirmed");
        operation.outcome = Operation::Outcome::accepted;
        base_version_ = std::max(base_version_, operation_.version);
    } else {
        const bool precondition_failed = answer->status == 412,
                   version_too_low = answer->status == 400 && is_about_version(answer->body);
        if (precondition_failed) operation.outcome = Operation::Outcome::precondition_failed;
        if (version_too_low) operation.outcome = Operation::Outcome::version_too_low;
        if (!precondition_failed && !version_too_low)
            operation.invoked = Time{1e17};      // excluded from the history: refused whatever the state
        if (body_is_valid_) return read_now();   // reads the current version
    }
    finish();
}

void Operator::retry() {
    if (++attempts_ >= max_attempts) return finish();
    queue_.in({random_.between(0.05, 0.1 + 0.1 * attempts_)}, [this, number = ++call_number_] {
        if (number == call_number_) call(choose_machine(), 0);
    });
}

void Operator::finish() { busy_ = false; }

// Hosts.

SimulatedHost::SimulatedHost(Queue& queue, RandomStream random, const CallerEnvironment& environment, Checker& checker,
                             size_t number)
    : queue_(queue), random_(random), environment_(environment), checker_(checker), number_(number) {}

void SimulatedHost::start() { start_incarnation(); }

void SimulatedHost::start_incarnation() {
    ++incarnation_;
    sequence_ = 0;
    phase_ = Phase::ready;
    id_ = "i-" + std::to_string(number_) + "-" + std::to_string(incarnation_);
    send_heartbeats(incarnation_);
    queue_.in({random_.between(4, 30)}, [this, incarnation = incarnation_] {
        if (incarnation == incarnation_ && phase_ == Phase::ready) {
            phase_ = Phase::draining;
            send_update(incarnation, 6);
        }
    });
}

std::string SimulatedHost::body() const {
    const nlohmann::json body{
        {"service", "s"},
        {"address", "10.9." + std::to_string(number_) + "." + std::to_string(incarnation_ % 250) + ":80"},
        {"state", phase_ == Phase::ready ? "ready" : "draining"},
        {"sequence", sequence_}};
    return body.dump();
}

void SimulatedHost::send_heartbeats(uint64_t incarnation) {
    if (incarnation != incarnation_ || phase_ == Phase::leaving) return;
    send_update(incarnation, 3);
    queue_.in(heartbeat_interval, [this, incarnation] { send_heartbeats(incarnation); });
}

// Calls one machine after the other until one acknowledges.
void SimulatedHost::send_update(uint64_t incarnation, int attempts_left) {
    if (incarnation != incarnation_ || attempts_left <= 0) return;
    const auto machines = environment_.machines();
    if (machines.empty()) return;
    if (!machine_ || std::find(machines.begin(), machines.end(), machine_) == machines.end())
        machine_ = machines[static_cast<size_t>(random_.below(static_cast<int>(machines.size())))];
    auto* const machine = machine_;
    const auto phase = phase_;
    HttpRequest request;
    request.method = phase == Phase::leaving ? "DELETE" : "PUT";
    request.path = "/instances/" + id_;
    ++sequence_;
    if (phase != Phase::leaving) request.body = body();
    const auto finished = std::make_shared<bool>(false);
    const auto next = [this, incarnation, attempts_left, finished] {
        if (std::exchange(*finished, true) || incarnation != incarnation_) return;
        machine_ = nullptr;
        send_update(incarnation, attempts_left - 1);
    };
    environment_.send_request(*machine, request,
                              [this, incarnation, phase, finished, next](const std::optional<HttpResponse>& answer) {
                                  if (*finished || incarnation != incarnation_) return;
                                  if (!answer || answer->status != 200) return next();
                                  *finished = true;
                                  if (phase == phase_) acknowledged(incarnation);
                              });
    queue_.in(response_timeout, next);
}

void SimulatedHost::acknowledged(uint64_t incarnation) {
    if (phase_ == Phase::draining) {
        phase_ = Phase::drain_acknowledged;
        queue_.in(drain_duration + Span{random_.between(0, 3)}, [this, incarnation] {
            if (incarnation != incarnation_) return;
            phase_ = Phase::leaving;
            send_update(incarnation, 8);
            queue_.in({5}, [this, incarnation] {
                if (incarnation == incarnation_) start_incarnation();
            });
        });
    } else if (phase_ == Phase::leaving) {
        queue_.in({random_.between(0.2, 2)}, [this, incarnation] {
            if (incarnation == incarnation_) start_incarnation();
        });
    }
}

// Proxies.

SubscribedProxy::SubscribedProxy(Queue& queue, Network& network, Checker& checker, ProcessId process,
                                 std::optional<Span> revocation_bound,
                                 std::function<std::optional<ProcessId>(const Endpoint&)> find_process)
    : queue_(queue),
      network_(network),
      checker_(checker),
      process_(process),
      find_process_(std::move(find_process)),
      revocation_bound_(revocation_bound) {}

void SubscribedProxy::start(const std::vector<messages::ControlNode>& seeds, uint64_t seed) {
    ++incarnation_;
    hosts_ = registry::HostTable({});
    version_ = 0;
    tenants_ = nullptr;
    waiting_requests_.clear();
    resumed_at_ = queue_.now();
    connection_ = 0;
    has_hosts_ = false;
    const auto name = "edge-" + std::to_string(process_);
    subscriber_ = std::make_unique<proxy::Subscriber>(proxy::SubscriberOptions{name, "10.1.0." + name, "north", seed});
    subscriber_->add_seeds(seeds);
    configuration_lease_ = leases::ConfigurationLease(revocation_bound_);
    leases_ = std::make_unique<leases::Holder>(leases::HolderId{name, seed}, leases::LeaseTerms{}, queue_.now());
    host_random_ = RandomStream(seed, process_);
    rollouts_ = rollout::Watcher({name, "zone-" + std::to_string(process_ % zone_count), seed}, seed);
    network_.process_started(process_);
    tick(incarnation_);
}

// The hosts of service s: two serving hosts, which seldom fail, and three candidates, which fail often if their
// version is bad.
void SubscribedProxy::serve_and_report() {
    const auto* rollout = rollouts_.rollout("s");
    if (!rollout || !rollout->in_progress()) return;
    for (int i = 0; i < requests_per_tick; ++i) {
        const bool at_candidate = rollouts_.choose_candidate("s", queue_.now());
        const double failure_probability = at_candidate && is_bad_version(rollout->target_version) ? 0.5 : 0.02;
        rollout::AttemptResult result;
        result.route = "r";
        result.host = "host-" + std::to_string(host_random_.below(at_candidate ? 3 : 2));
        result.group = at_candidate ? rollout::Group::candidate : rollout::Group::serving;
        result.failed = host_random_.bernoulli(failure_probability);
        result.duration = Span{0.1};
        rollouts_.record("s", result);
    }
    const auto none_open = [](const std::string&) {
        return size_t{0};
    };
    for (auto& report : rollouts_.take_reports(1, none_open, queue_.now()))
        if (subscriber_->is_open()) network_.send(connection_, process_, std::move(report));
}

void SubscribedProxy::terminate() {
    if (!is_running()) return;
    subscriber_.reset();
    waiting_requests_.clear();
    deferred_.clear();
    frozen_until_ = long_ago;
    network_.process_ended(process_, false);
}

void SubscribedProxy::tick(uint64_t incarnation) {
    if (incarnation != incarnation_ || !is_running()) return;
    if (is_frozen()) return deferred_.push_back([this, incarnation] { tick(incarnation); });
    subscriber_->tick(queue_.now());
    execute_outputs();
    request_leases();
    request_configuration_lease();
    serve_and_report();
    queue_.in(proxy_tick_interval, [this, incarnation] { tick(incarnation); });
}

// Freezing: while frozen, the process runs nothing and everything that arrives is deferred.

void SubscribedProxy::run_or_defer(std::function<void()> action) {
    if (is_frozen()) return deferred_.push_back(std::move(action));
    action();
}

void SubscribedProxy::freeze(Time until) {
    if (!is_running()) return;
    frozen_until_ = std::max(frozen_until_, until);
    queue_.at(frozen_until_, [this, incarnation = incarnation_] { thaw(incarnation); });
}

void SubscribedProxy::thaw_now() {
    if (!is_running() || !is_frozen()) return;
    frozen_until_ = queue_.now();
    thaw(incarnation_);
}

void SubscribedProxy::thaw(uint64_t incarnation) {
    if (incarnation != incarnation_ || !is_running() || is_frozen()) return;
    resumed_at_ = queue_.now();
    for (auto deferred = std::exchange(deferred_, {}); !deferred.empty(); deferred.pop_front()) deferred.front()();
}

void SubscribedProxy::opened(ConnectionId connection) {
    run_or_defer([this, connection] {
        if (connection != connection_) return;
        confirmed_at_subscription_ = checker_.newest_confirmed();
        awaits_first_configuration_ = true;
        subscriber_->opened(version_, queue_.now());
        execute_outputs();
        leases_->connected(true);
        request_leases();
        configuration_lease_.connected();
        request_configuration_lease();
    });
}

void SubscribedProxy::received(ConnectionId connection, const messages::Message& message) {
    run_or_defer([this, connection, message] {
        if (connection != connection_) return;
        subscriber_->received(message, queue_.now());
        execute_outputs();
    });
}

void SubscribedProxy::closed(ConnectionId connection) {
    run_or_defer([this, connection] {
        if (connection != connection_) return;
        connection_ = 0;
        leases_->connected(false);
        subscriber_->failed(queue_.now());
        execute_outputs();
    });
}

void SubscribedProxy::request(const TenantRequest& request, std::function<void()> granted) {
    if (!is_running()) return;
    run_or_defer([this, request, granted = std::move(granted)] {
        if (!tenants_ || !configuration_lease_.is_valid(queue_.now()))
            return;   // no configuration, or an expired one: 503
        const auto tenant = tenants_->find(request.tenant);
        if (tenant == tenants_->end() || tenant->second.api_keys.empty()) return;   // no valid API key: 401
        const auto ticket = next_ticket_++;
        const auto decision = leases_->acquire(request.tenant, request.cost, ticket, lease_timeout, queue_.now());
        if (decision.verdict == leases::Verdict::granted) return granted();
        if (decision.verdict == leases::Verdict::refused) return;
        waiting_requests_[ticket] = granted;
        request_leases();
        queue_.at(leases_->next_deadline(), [this, incarnation = incarnation_] {
            if (incarnation != incarnation_ || !is_running()) return;
            run_or_defer([this] {
                leases_->tick(queue_.now());
                handle_lease_decisions();
            });
        });
    });
}

void SubscribedProxy::request_leases() {
    if (!subscriber_->is_open()) return;
    if (auto lease_request = leases_->next_request(queue_.now()))
        network_.send(connection_, process_, std::move(*lease_request));
}

void SubscribedProxy::request_configuration_lease() {
    if (!subscriber_->is_open()) return;
    if (const auto lease_request = configuration_lease_.next_request(queue_.now()))
        network_.send(connection_, process_, *lease_request);
}

void SubscribedProxy::handle_lease_decisions() {
    for (const auto& decided : leases_->take_decided()) {
        const auto waiting = waiting_requests_.extract(decided.ticket);
        if (!waiting.empty() && decided.decision.verdict == leases::Verdict::granted) waiting.mapped()();
    }
    if (leases_->has_waiting()) request_leases();
}

void SubscribedProxy::execute_outputs() {
    for (auto outputs = subscriber_->take_outputs(); !outputs.empty(); outputs = subscriber_->take_outputs())
        for (auto& output : outputs) {
            if (const auto* open = std::get_if<proxy::OpenConnection>(&output)) {
                const auto to = find_process_(open->to);
                connection_ = to ? network_.dial(process_, *to) : 0;
                if (!to) subscriber_->failed(queue_.now());
            } else if (auto* send = std::get_if<proxy::SendMessage>(&output)) {
                network_.send(connection_, process_, std::move(send->message));
            } else if (std::holds_alternative<proxy::CloseConnection>(output)) {
                network_.close(std::exchange(connection_, 0), process_);
                leases_->connected(false);
            } else {
                handle(std::get<proxy::MessageReceived>(output).message);
            }
        }
}

void SubscribedProxy::handle(const messages::Message& message) {
    if (const auto* update = std::get_if<messages::ConfigurationUpdate>(&message)) {
        const auto text = "edge-" + std::to_string(process_) + " received version " + std::to_string(update->version);
        if (std::exchange(awaits_first_configuration_, false) && update->version < confirmed_at_subscription_)
            checker_.report_violation(
                Invariant::proxy_starts_current,
                text + " after " + std::to_string(confirmed_at_subscription_) + " had been confirmed");
        if (update->version < version_)
            checker_.report_violation(Invariant::proxy_goes_on, text + " after version " + std::to_string(version_));
        apply_configuration(*update);
    } else if (const auto* reply = std::get_if<leases::LeaseReply>(&message)) {
        leases_->apply(*reply, queue_.now());
        handle_lease_decisions();
        if (reply->request_again)
            queue_.in(lease_request_delay, [this, incarnation = incarnation_] {
                if (incarnation == incarnation_ && is_running()) run_or_defer([this] { request_leases(); });
            });
    } else if (const auto* lease = std::get_if<leases::ConfigurationLeaseReply>(&message)) {
        configuration_lease_.apply(*lease);
    } else if (const auto* fleet = std::get_if<messages::FleetStatus>(&message)) {
        if (fleet->current) rollouts_.confirm_control(queue_.now());
    } else if (const auto* rollouts = std::get_if<messages::RolloutsUpdate>(&message)) {
        rollouts_.update(rollouts->rollouts, queue_.now());
    } else if (const auto* hosts = std::get_if<messages::HostsUpdate>(&message)) {
        has_hosts_ = true;
        for (const auto& host : hosts->hosts) hosts_.merge(host, queue_.now());
        hosts_.expire(queue_.now());
    }
}

void SubscribedProxy::apply_configuration(const messages::ConfigurationUpdate& update) {
    if (update.version <= version_) return;
    version_ = update.version;
    configuration_lease_.set_version(version_);
    tenants_ = checker_.documents().read(update.body);
}

}   // namespace myrtleroute::lab::control
