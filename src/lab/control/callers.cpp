#include "lab/control/callers.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace myrtleroute::lab::control {

using myrtleroute::control::HttpRequest;
using myrtleroute::control::HttpResponse;

namespace {

constexpr Span answer_within{1};
constexpr int most_tries = 14, most_redirects = 2;
constexpr double invalid_share = 0.06, reading_share = 0.25, patch_share = 0.5;
constexpr int patched_routes = 4;   // names that patches use
constexpr Span beat_every{1.2}, serves_on{2};
constexpr Span proxy_tick{0.2}, proxy_hurry{0.05};
constexpr int requests_a_tick = 8;   // of a proxy, while a rollout is in progress
constexpr size_t zones = 2;
constexpr Span lease_patience{0.2};   // of a request that waits for units

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

Operator::Operator(Queue& queue, RandomStream chance, const Platform& platform, Checker& checker,
                   std::vector<Operation>& history)
    : queue_(queue), chance_(chance), platform_(platform), checker_(checker), history_(history) {}

void Operator::think() {
    queue_.in({chance_.exponential(1.2)}, [this] {
        if (stopped_) return;
        if (!busy_) {
            draw_order();
            call(choose(), 0);
        }
        think();
    });
}

void Operator::draw_order() {
    busy_ = true;
    tries_ = 0;
    valid_ = true;
    order_ = {};
    if (chance_.bernoulli(reading_share)) {
        order_.reads = true;
        body_.clear();
        return;
    }
    order_.base = base_;
    order_.version = base_ + 1 + static_cast<uint64_t>(chance_.below(2));   // often the other operator's number too
    order_.patches = base_ > 0 && chance_.bernoulli(patch_share);
    body_ = order_.patches ? draw_patch()
                           : document(order_.version, chance_.number() % 100000, platform_.tenants(order_.version));
    valid_ = !chance_.bernoulli(invalid_share);
    if (!valid_) body_.resize(body_.size() / 2);
    order_.body = checker_.number_of_order(body_, order_.patches);
}

// One tenant as a whole document of that version would have it, a route more or another one in its place, and now and then one
// less; whether that name is there is not known here.
std::string Operator::draw_patch() {
    const auto route_name = [this] {
        return "p" + std::to_string(chance_.below(patched_routes));
    };
    const auto tenants = nlohmann::json::parse(platform_.tenants(order_.version));
    nlohmann::json patch{{"version", order_.version}};
    auto tenant = tenants[static_cast<size_t>(chance_.below(static_cast<int>(tenants.size())))];
    tenant["note"] = chance_.number();   // so that no two patches make the same of a document
    patch["upsert"]["tenants"] = {std::move(tenant)};
    if (chance_.bernoulli(0.7))
        patch["upsert"]["routes"] = {{{"name", route_name()},
                                      {"hostname", "h"},
                                      {"pathPrefix", "/p" + std::to_string(chance_.number() % 100000) + "/"},
                                      {"timeoutMs", 1000},
                                      {"service", "s"}}};
    if (chance_.bernoulli(0.2)) patch["delete"]["routes"] = {route_name()};
    return patch.dump();
}

void Operator::read_now() {
    busy_ = true;
    tries_ = 0;
    valid_ = true;
    order_ = {};
    order_.reads = true;
    body_.clear();
    call(choose(), 0);
}

Machine* Operator::choose() {
    const auto machines = platform_.machines();
    return machines.empty() ? nullptr : machines[static_cast<size_t>(chance_.below(static_cast<int>(machines.size())))];
}

void Operator::call(Machine* machine, int redirects) {
    if (!machine) return try_again();
    const auto number = ++call_;
    auto operation = order_;
    operation.invoked = queue_.now();
    history_.push_back(operation);
    const auto at = history_.size() - 1;
    HttpRequest request;
    request.method = order_.reads ? "GET" : order_.patches ? "PATCH" : "PUT";
    request.path = "/config";
    if (!order_.reads) request.if_match = std::to_string(order_.base);
    request.body = body_;
    platform_.ask(*machine, request, [this, number, at, redirects](const std::optional<HttpResponse>& answer) {
        if (answer && platform_.loses_answers() && chance_.bernoulli(0.7)) return;   // a time-out follows
        if (number == call_) ended(at, answer, redirects);
    });
    queue_.in(answer_within, [this, number, at, redirects] {
        if (number == call_) ended(at, {}, redirects);
    });
}

void Operator::ended(size_t at, const std::optional<HttpResponse>& answer, int redirects) {
    ++call_;
    auto& operation = history_[at];
    operation.answered = queue_.now();
    if (!answer || answer->status == 503 || answer->status == 408) return try_again();
    if (answer->status == 307) {
        operation.invoked = Time{1e17};   // it was not asked for anything
        if (redirects < most_redirects) return call(platform_.machine_at(answer->location), redirects + 1);
        return try_again();
    }
    if (order_.reads) {
        operation.outcome = Operation::Outcome::read;
        operation.version = last_read_ = base_ = answer->status == 200 ? version_of(answer->body) : 0;
        operation.body = answer->status == 200 ? checker_.number_of_order(answer->body, false) : 0;
    } else if (answer->status == 200) {
        if (!valid_) checker_.breaks(Invariant::refused_stays_out, "an invalid order was confirmed");
        operation.outcome = Operation::Outcome::accepted;
        base_ = std::max(base_, order_.version);
    } else {
        const bool stale = answer->status == 412, old = answer->status == 400 && is_about_version(answer->body);
        if (stale) operation.outcome = Operation::Outcome::stale;
        if (old) operation.outcome = Operation::Outcome::old;
        if (!stale && !old) operation.invoked = Time{1e17};   // refused whatever the state
        if (valid_) return read_now();                        // what is current by now
    }
    done();
}

void Operator::try_again() {
    if (++tries_ >= most_tries) return done();
    queue_.in({chance_.between(0.05, 0.1 + 0.1 * tries_)}, [this, number = ++call_] {
        if (number == call_) call(choose(), 0);
    });
}

void Operator::done() { busy_ = false; }

// Hosts.

Announcer::Announcer(Queue& queue, RandomStream chance, const Platform& platform, Checker& checker, size_t number)
    : queue_(queue), chance_(chance), platform_(platform), checker_(checker), number_(number) {}

void Announcer::begin() { incarnate(); }

void Announcer::incarnate() {
    ++life_;
    sequence_ = 0;
    phase_ = Phase::ready;
    id_ = "i-" + std::to_string(number_) + "-" + std::to_string(life_);
    beat(life_);
    queue_.in({chance_.between(4, 30)}, [this, life = life_] {
        if (life == life_ && phase_ == Phase::ready) {
            phase_ = Phase::draining;
            tell(life, 6);
        }
    });
}

std::string Announcer::body() const {
    const nlohmann::json body{
        {"service", "s"},
        {"address", "10.9." + std::to_string(number_) + "." + std::to_string(life_ % 250) + ":80"},
        {"state", phase_ == Phase::ready ? "ready" : "draining"},
        {"sequence", sequence_}};
    return body.dump();
}

void Announcer::beat(uint64_t life) {
    if (life != life_ || phase_ == Phase::leaving) return;
    tell(life, 3);
    queue_.in(beat_every, [this, life] { beat(life); });
}

// Calls one machine after the other until one acknowledges.
void Announcer::tell(uint64_t life, int left) {
    if (life != life_ || left <= 0) return;
    const auto machines = platform_.machines();
    if (machines.empty()) return;
    if (!at_ || std::find(machines.begin(), machines.end(), at_) == machines.end())
        at_ = machines[static_cast<size_t>(chance_.below(static_cast<int>(machines.size())))];
    auto* const asked = at_;
    const auto phase = phase_;
    HttpRequest request;
    request.method = phase == Phase::leaving ? "DELETE" : "PUT";
    request.path = "/instances/" + id_;
    ++sequence_;
    if (phase != Phase::leaving) request.body = body();
    const auto over = std::make_shared<bool>(false);
    const auto next = [this, life, left, over] {
        if (std::exchange(*over, true) || life != life_) return;
        at_ = nullptr;
        tell(life, left - 1);
    };
    platform_.ask(*asked, request, [this, life, phase, over, next](const std::optional<HttpResponse>& answer) {
        if (*over || life != life_) return;
        if (!answer || answer->status != 200) return next();
        *over = true;
        if (phase == phase_) acknowledged(life);
    });
    queue_.in(answer_within, next);
}

void Announcer::acknowledged(uint64_t life) {
    if (phase_ == Phase::draining) {
        phase_ = Phase::serving_on;
        queue_.in(serves_on + Span{chance_.between(0, 3)}, [this, life] {
            if (life != life_) return;
            phase_ = Phase::leaving;
            tell(life, 8);
            queue_.in({5}, [this, life] {
                if (life == life_) incarnate();
            });
        });
    } else if (phase_ == Phase::leaving) {
        queue_.in({chance_.between(0.2, 2)}, [this, life] {
            if (life == life_) incarnate();
        });
    }
}

// Proxies.

SubscribedProxy::SubscribedProxy(Queue& queue, Network& network, Checker& checker, ProcessId process,
                                 std::optional<Span> revocation_bound,
                                 std::function<std::optional<ProcessId>(const Endpoint&)> find)
    : queue_(queue),
      network_(network),
      checker_(checker),
      process_(process),
      find_(std::move(find)),
      revocation_bound_(revocation_bound) {}

void SubscribedProxy::start(const std::vector<messages::ControlNode>& seeds, uint64_t seed) {
    ++life_;
    hosts_ = registry::HostTable({});
    version_ = 0;
    tenants_ = nullptr;
    waiting_.clear();
    back_at_ = queue_.now();
    connection_ = 0;
    knows_hosts_ = false;
    const auto name = "edge-" + std::to_string(process_);
    subscriber_ = std::make_unique<proxy::Subscriber>(proxy::SubscriberOptions{name, "10.1.0." + name, "north", seed});
    subscriber_->add_seeds(seeds);
    configuration_lease_ = leases::ConfigurationLease(revocation_bound_);
    leases_ = std::make_unique<leases::Holder>(leases::HolderId{name, seed}, leases::LeaseTerms{}, queue_.now());
    hosts_chance_ = RandomStream(seed, process_);
    rollouts_ = rollout::Watcher({name, "zone-" + std::to_string(process_ % zones), seed}, seed);
    network_.started(process_);
    tick(life_);
}

// The hosts of service s: two that serve, which seldom fail, and three candidates, which fail where their version is bad.
void SubscribedProxy::serve_and_tell() {
    const auto* rollout = rollouts_.rollout("s");
    if (!rollout || !rollout->in_progress()) return;
    for (int i = 0; i < requests_a_tick; ++i) {
        const bool at_candidate = rollouts_.choose_candidate("s", queue_.now());
        const double failing = at_candidate && is_bad_version(rollout->target_version) ? 0.5 : 0.02;
        rollout::AttemptResult end;
        end.route = "r";
        end.host = "host-" + std::to_string(hosts_chance_.below(at_candidate ? 3 : 2));
        end.group = at_candidate ? rollout::Group::candidate : rollout::Group::serving;
        end.failed = hosts_chance_.bernoulli(failing);
        end.duration = Span{0.1};
        rollouts_.record("s", end);
    }
    const auto none_open = [](const std::string&) {
        return size_t{0};
    };
    for (auto& ballot : rollouts_.take_reports(1, none_open, queue_.now()))
        if (subscriber_->is_open()) network_.send(connection_, process_, std::move(ballot));
}

void SubscribedProxy::end() {
    if (!runs()) return;
    subscriber_.reset();
    waiting_.clear();
    held_back_.clear();
    frozen_until_ = long_ago;
    network_.ended(process_, false);
}

void SubscribedProxy::tick(uint64_t life) {
    if (life != life_ || !runs()) return;
    if (stands_still()) return held_back_.push_back([this, life] { tick(life); });
    subscriber_->tick(queue_.now());
    carry_out();
    ask_for_leases();
    ask_for_configuration_lease();
    serve_and_tell();
    queue_.in(proxy_tick, [this, life] { tick(life); });
}

// Standing still.

void SubscribedProxy::do_or_wait(std::function<void()> what) {
    if (stands_still()) return held_back_.push_back(std::move(what));
    what();
}

void SubscribedProxy::freeze(Time until) {
    if (!runs()) return;
    frozen_until_ = std::max(frozen_until_, until);
    queue_.at(frozen_until_, [this, life = life_] { thaw(life); });
}

void SubscribedProxy::thaw_now() {
    if (!runs() || !stands_still()) return;
    frozen_until_ = queue_.now();
    thaw(life_);
}

void SubscribedProxy::thaw(uint64_t life) {
    if (life != life_ || !runs() || stands_still()) return;
    back_at_ = queue_.now();
    for (auto held = std::exchange(held_back_, {}); !held.empty(); held.pop_front()) held.front()();
}

void SubscribedProxy::opened(ConnectionId connection) {
    do_or_wait([this, connection] {
        if (connection != connection_) return;
        confirmed_when_asked_ = checker_.newest_confirmed();
        first_told_ = true;
        subscriber_->opened(version_, queue_.now());
        carry_out();
        leases_->connected(true);
        ask_for_leases();
        configuration_lease_.connected();
        ask_for_configuration_lease();
    });
}

void SubscribedProxy::came(ConnectionId connection, const messages::Message& message) {
    do_or_wait([this, connection, message] {
        if (connection != connection_) return;
        subscriber_->received(message, queue_.now());
        carry_out();
    });
}

void SubscribedProxy::closed(ConnectionId connection) {
    do_or_wait([this, connection] {
        if (connection != connection_) return;
        connection_ = 0;
        leases_->connected(false);
        subscriber_->failed(queue_.now());
        carry_out();
    });
}

void SubscribedProxy::request(const TenantRequest& request, std::function<void()> granted) {
    if (!runs()) return;
    do_or_wait([this, request, granted = std::move(granted)] {
        if (!tenants_ || !configuration_lease_.is_valid(queue_.now())) return;   // no configuration, or an old one: 503
        const auto tenant = tenants_->find(request.tenant);
        if (tenant == tenants_->end() || tenant->second.api_keys.empty()) return;   // no such key: 401
        const auto ticket = next_ticket_++;
        const auto decision = leases_->acquire(request.tenant, request.cost, ticket, lease_patience, queue_.now());
        if (decision.verdict == leases::Verdict::granted) return granted();
        if (decision.verdict == leases::Verdict::refused) return;
        waiting_[ticket] = granted;
        ask_for_leases();
        queue_.at(leases_->next_deadline(), [this, life = life_] {
            if (life != life_ || !runs()) return;
            do_or_wait([this] {
                leases_->tick(queue_.now());
                lease_decisions();
            });
        });
    });
}

void SubscribedProxy::ask_for_leases() {
    if (!subscriber_->is_open()) return;
    if (auto ask = leases_->next_request(queue_.now())) network_.send(connection_, process_, std::move(*ask));
}

void SubscribedProxy::ask_for_configuration_lease() {
    if (!subscriber_->is_open()) return;
    if (const auto ask = configuration_lease_.next_request(queue_.now())) network_.send(connection_, process_, *ask);
}

void SubscribedProxy::lease_decisions() {
    for (const auto& decided : leases_->take_decided()) {
        const auto waiting = waiting_.extract(decided.ticket);
        if (!waiting.empty() && decided.decision.verdict == leases::Verdict::granted) waiting.mapped()();
    }
    if (leases_->has_waiting()) ask_for_leases();
}

void SubscribedProxy::carry_out() {
    for (auto outputs = subscriber_->take_outputs(); !outputs.empty(); outputs = subscriber_->take_outputs())
        for (auto& output : outputs) {
            if (const auto* open = std::get_if<proxy::OpenConnection>(&output)) {
                const auto to = find_(open->to);
                connection_ = to ? network_.dial(process_, *to) : 0;
                if (!to) subscriber_->failed(queue_.now());
            } else if (auto* send = std::get_if<proxy::SendMessage>(&output)) {
                network_.send(connection_, process_, std::move(send->message));
            } else if (std::holds_alternative<proxy::CloseConnection>(output)) {
                network_.close(std::exchange(connection_, 0), process_);
                leases_->connected(false);
            } else {
                take(std::get<proxy::MessageReceived>(output).message);
            }
        }
}

void SubscribedProxy::take(const messages::Message& message) {
    if (const auto* told = std::get_if<messages::ConfigurationUpdate>(&message)) {
        const auto text = "edge-" + std::to_string(process_) + " was told version " + std::to_string(told->version);
        if (std::exchange(first_told_, false) && told->version < confirmed_when_asked_)
            checker_.breaks(Invariant::proxy_starts_current,
                            text + " after " + std::to_string(confirmed_when_asked_) + " had been confirmed");
        if (told->version < version_)
            checker_.breaks(Invariant::proxy_goes_on, text + " behind " + std::to_string(version_));
        configured(*told);
    } else if (const auto* reply = std::get_if<leases::LeaseReply>(&message)) {
        leases_->apply(*reply, queue_.now());
        lease_decisions();
        if (reply->request_again)
            queue_.in(proxy_hurry, [this, life = life_] {
                if (life == life_ && runs()) do_or_wait([this] { ask_for_leases(); });
            });
    } else if (const auto* lease = std::get_if<leases::ConfigurationLeaseReply>(&message)) {
        configuration_lease_.apply(*lease);
    } else if (const auto* fleet = std::get_if<messages::FleetStatus>(&message)) {
        if (fleet->current) rollouts_.confirm_control(queue_.now());
    } else if (const auto* rollouts = std::get_if<messages::RolloutsUpdate>(&message)) {
        rollouts_.update(rollouts->rollouts, queue_.now());
    } else if (const auto* hosts = std::get_if<messages::HostsUpdate>(&message)) {
        knows_hosts_ = true;
        for (const auto& host : hosts->hosts) hosts_.merge(host, queue_.now());
        hosts_.expire(queue_.now());
    }
}

void SubscribedProxy::configured(const messages::ConfigurationUpdate& told) {
    if (told.version <= version_) return;
    version_ = told.version;
    configuration_lease_.set_version(version_);
    tenants_ = checker_.documents().read(told.body);
}

}   // namespace myrtleroute::lab::control
