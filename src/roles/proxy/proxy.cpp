#include "roles/proxy/proxy.hpp"

#include <csignal>
#include <utility>

#include "roles/log.hpp"

namespace myrtleroute::proxy {
namespace {

constexpr Span tick_every{0.2};
constexpr size_t most_requests = 8192;
constexpr uint64_t tick_cookie = 1ULL << 62, leases_cookie = tick_cookie + 1;   // pools' are below 2^61
constexpr Span pools_looked_at_every{1};
constexpr int exit_fault = 2;
constexpr Span refused_again{0.2};
constexpr Span come_back{0.02};   // a request that this process would not live to answer may go to another one at once
constexpr Span shutdown_every{0.05};
constexpr Span hurry_every{0.05};   // asks for leases that are wanted soon
constexpr double rounding = 1e-9;
constexpr double answer_margin = 0.01;   // of the time left, so that an answer still reaches the client

struct Signals : memory::Connection {
    Signals(memory::Owner& by, int fd) : Connection(by, fd, 1, 1) { listens = true; }
    std::string name() const override { return "signals"; }
};

// Fields that the proxy sets itself, or keeps to itself.
bool is_own_field(std::string_view name) {
    constexpr std::string_view names[] = {"Authorization",       "X-Tenant-Id", "X-Deadline-Ms",
                                          "X-Expected-Instance", "Priority",    "Last-Event-Id"};
    for (const auto known : names)
        if (wire::same(name, known)) return true;
    return false;
}

// What a request costs of its tenant's limit, in the limit's unit.
double cost_of(const Request& request) {
    const auto& tenant = *request.tenant;
    const double told = request.prompt.tokens_in + request.prompt.tokens_out;
    if (!tenant.counts_tokens) return 1;
    return told > 0 ? told : tenant.uncached_tokens;
}

// How long a request waits for units: served then, it is still in time.
Span patience_for(const configuration::Route& route) {
    constexpr double waited_part = 0.4;   // of the latency that is aimed at
    constexpr Span least{0.05}, most{0.3};
    return std::clamp(route.target_latency * waited_part, least, most);
}

std::string_view presented_key(const std::vector<Field>& fields) {
    auto value = field_value(fields, "Authorization");
    constexpr std::string_view scheme = "Token ";
    if (value.size() < scheme.size() || !wire::same(value.substr(0, scheme.size()), scheme)) return {};
    return wire::trim(value.substr(scheme.size()));
}

}   // namespace

Proxy::Proxy(configuration::NodeSettings settings, run::Home& home, uint64_t seed,
             std::function<std::optional<configuration::NodeSettings>()> reread)
    : context_(std::move(settings), home, seed),
      reread_(std::move(reread)),
      table_({}),
      pools_(context_, pool_events()),
      leases_({context_.settings.node_name, seed}, {}, context_.started),
      quota_report_(context_.metrics, [](const std::string& line) { log_info() << line; }),
      cut_report_(context_.metrics, [](const std::string& line) { log_info() << line; }),
      front_(context_, {[this](Client& client, RequestReader& reader) { arrived(client, reader); },
                        [this](Request& request) { client_left(request); },
                        [this](Request& request) { hosts_.resume_reading(request); },
                        [this] {
                            return ready();
                        }}),
      hosts_(context_,
             {[this](Request& request, HostConnection& connection) { began(request, connection); },
              [this](Request& request, HostConnection* connection, const std::string& bytes) {
                  piece(request, connection, bytes);
              },
              [this](Request& request, const Reply& reply, bool streamed) { answered(request, reply, streamed); },
              [](Request& request, Reply reply) { request.last_failure = std::move(reply); },
              [this](size_t service, ServerId id) {
                  if (auto* serving = pools_.find(service)) serving->balancer().heard(context_.now(), id);
              },
              [this](size_t service, ServerId id, double held) {
                  if (auto* serving = pools_.find(service)) serving->balancer().reported(context_.now(), id, held);
              },
              [this](HostRecord& host) {
                  auto gone = host.host;
                  gone.state = registry::HostState::gone;
                  hosts_.close_idle(host);
                  if (auto* serving = pools_.find(host.service)) serving->told(gone, host.id);
              },
              [this](CallId call, int number, Outcome outcome) { attempt_ended(call, number, outcome); },
              [this](size_t service, ServerId id, bool answered) {
                  if (auto* serving = pools_.find(service)) serving->balancer().probed(context_.now(), id, answered);
              },
              [this](Request& request, int number) {
                  auto* serving = pools_.find(request.service);
                  return serving && serving->balancer().may_begin(context_.now(), request.id, number);
              }}),
      subscription_(context_, {[this](const messages::ConfigurationTold& told) { configured(told); },
                               [this](const messages::HostsTold& told) { hosts_told(told); },
                               [this](const messages::FleetTold& told) { fleet_told(told); },
                               [this](const leases::LeaseReply& reply) {
                                   leases_.apply(reply, context_.home.now());
                                   lease_decisions();
                               },
                               [this](bool is_up) {
                                   leases_.connected(is_up);
                                   ask_for_leases();
                               },
                               [this] {
                                   return context_.table ? context_.table->configuration().version : 0;
                               }}),
      metrics_listener_(context_, [this] { return figures(); }),
      held_bytes_cover_bodies_(context_.invariants.named("held_bytes_cover_bodies")),
      used_units_were_lent_(context_.invariants.named("used_units_were_lent")),
      shutdown_(context_.settings.grace) {}

int Proxy::run() {
    if (!start()) return exit_fault;
    while (!over()) round();
    return 0;
}

bool Proxy::start() {
    std::string fault;
    if (!front_.open(fault)) {
        log_error() << fault;
        return false;
    }
    signals_ = &context_.loop.adopt(std::make_unique<Signals>(*this, context_.home.hear_signals()));
    context_.loop.listen_to(*signals_, true);
    metrics_listener_.open();
    log_info() << "proxy " << context_.settings.node_name << " starts";
    tick();
    return true;
}

void Proxy::round() {
    context_.loop.round([this](uint64_t cookie) { woke(cookie); }, [this] { settle(); });
}

bool Proxy::ready() const { return !shutdown_.begun() && context_.table && hosts_known_; }

Request* Proxy::find(CallId call) {
    const auto it = requests_.find(call);
    return it == requests_.end() ? nullptr : it->second.get();
}

void Proxy::forget_if_over(Request& request) {
    if (request.client || request.open_attempts > 0) return;
    held_bytes_cover_bodies_.check(held_bytes_ >= request.body.size(), [&] {
        return std::to_string(held_bytes_) + " bytes held, a body of " + std::to_string(request.body.size());
    });
    held_bytes_ -= request.body.size();
    requests_.erase(request.id);
}

// Clients.

int Proxy::entitle(Request& request, const RequestReader& reader) const {
    request.route = request.table->find(field_value(reader.fields, "Host"), reader.target);
    if (!request.route) return 404;
    if (!request.table->has_tenants()) return 0;
    const auto key = presented_key(reader.fields);
    if (!key.empty()) request.tenant = request.table->tenant(key);
    return request.tenant || request.route->is_public ? 0 : 401;
}

void Proxy::arrived(Client& client, RequestReader& reader) {
    if (!context_.table) return front_.refuse(client, 503, refused_again);
    auto owned = std::make_unique<Request>();
    Request& request = *owned;
    request.table = context_.table;
    if (const int status = entitle(request, reader)) return front_.refuse(client, status);
    const size_t most_bytes = context_.settings.memory_megabytes * (1 << 20) / 4;
    if (requests_.size() >= most_requests || held_bytes_ + reader.content.size() > most_bytes)
        return front_.refuse(client, 503, refused_again);

    request.id = next_call_++;
    request.arrived = context_.now();
    request.prompt = routing::read_prompt(field_value(reader.fields, "X-Token-Count"),
                                          field_value(reader.fields, "X-Prompt-Prefix"));
    const auto told = wire::decimal(field_value(reader.fields, "X-Deadline-Ms"));
    Span patience = request.route->timeout;
    if (told && *told > 0) patience = std::min(patience, Span{*told / 1e3} * (1 - answer_margin));
    request.deadline = request.arrived + patience;
    if (outlasts_process(request)) return front_.refuse(client, 503, come_back);
    const auto decision = limit(request);
    if (decision.verdict == leases::Verdict::refused) return turn_away(client, request, decision);
    request.events = routing::EventStream(std::string(field_value(reader.fields, "Last-Event-Id")));
    request.method = std::move(reader.method);
    request.target = std::move(reader.target);
    request.body = std::move(reader.content);
    for (auto& field : reader.fields)
        if (!is_own_field(field.first)) request.fields.push_back(std::move(field));
    const int priority =
        request.tenant && request.tenant->priority >= 0 ? request.tenant->priority : request.route->priority;
    request.fields.emplace_back("Priority", std::to_string(std::clamp(priority, 0, 9)));
    held_bytes_ += request.body.size();
    request.client = &client;
    client.request = &request;
    requests_[request.id] = std::move(owned);
    if (decision.verdict == leases::Verdict::granted) return admit(request);
    wait_for_leases();
}

// A stream may take until its deadline, and once it has begun it can't be ended otherwise than by cutting it. What is not
// a stream gets a failure at the end, where its host has not answered by then.
bool Proxy::outlasts_process(const Request& request) const {
    return shutdown_.begun() && request.streams() && request.deadline > shutdown_.answers_end();
}

// Units are used at the moment at which the request is let through: the client has sent it, and no host has it yet.
leases::Decision Proxy::limit(const Request& request) {
    if (!request.tenant || request.tenant->rate_per_second <= 0) return {};
    const auto& tenant = *request.tenant;
    const auto decision =
        leases_.request(tenant.name, cost_of(request), request.id, patience_for(*request.route), context_.home.now());
    if (decision.verdict == leases::Verdict::granted) quota_report_.note_granted(tenant.name, cost_of(request));
    return decision;
}

void Proxy::admit(Request& request) {
    used_units_were_lent_.check(leases_.totals().used <= leases_.totals().got * (1 + rounding), [&] {
        return std::to_string(leases_.totals().used) + " units used of " + std::to_string(leases_.totals().got);
    });
    auto* serving = pools_.of(routing::pick_backend(*request.route, context_.chance.share()));
    if (!serving) {
        front_.refuse(*std::exchange(request.client, nullptr), 503, refused_again);
        return forget_if_over(request);
    }
    request.service = serving->number();
    request.admitted = true;
    serving->take(request);
}

void Proxy::turn_away(Client& client, const Request& request, const leases::Decision& decision) {
    quota_report_.note_refused(request.tenant->name, cost_of(request), decision.cause, leases_, context_.now());
    front_.refuse(client, 429, decision.retry_after);
}

void Proxy::wait_for_leases() {
    ask_for_leases();
    if (!leases_.has_waiting() || leases_wake_ > context_.now()) return;
    leases_wake_ = leases_.waits_until();
    context_.loop.wake(leases_wake_, leases_cookie);
}

void Proxy::ask_for_leases() {
    if (const auto ask = leases_.ask(context_.home.now())) subscription_.ask(*ask);
    if (leases_.hurries()) context_.loop.wake(context_.now() + hurry_every, leases_cookie);
}

void Proxy::lease_decisions() {
    for (const auto& decided : leases_.take_decided()) {
        auto* request = find(decided.ticket);
        if (!request) continue;
        if (decided.decision.verdict == leases::Verdict::granted) {
            quota_report_.note_granted(request->tenant->name, cost_of(*request));
            admit(*request);
            continue;
        }
        turn_away(*std::exchange(request->client, nullptr), *request, decided.decision);
        forget_if_over(*request);
    }
    if (leases_.has_waiting() || leases_.hurries()) wait_for_leases();
}

void Proxy::client_left(Request& request) {
    request.client = nullptr;
    const auto id = request.id;
    if (!request.admitted) {
        leases_.withdraw(id);
        return forget_if_over(request);
    }
    if (auto* serving = pools_.find(request.service)) serving->balancer().client_left(context_.now(), id);
    if (auto* held = find(id)) hosts_.abandon(*held);
    if (auto* held = find(id)) forget_if_over(*held);
}

void Proxy::refuse(CallId call, Span retry_after) {
    auto* request = find(call);
    if (!request || !request->client) return;
    auto& client = *std::exchange(request->client, nullptr);
    if (request->answering) return cut(client, *request, CutCause::host_failed);
    if (request->last_failure.status) {
        const auto& reply = request->last_failure;
        return front_.answer(client, reply.status, reply.fields, reply.body);
    }
    front_.refuse(client, 503, retry_after);
}

void Proxy::fail(CallId call) {
    auto* request = find(call);
    if (!request || !request->client) return;
    auto& client = *std::exchange(request->client, nullptr);
    const bool late = context_.now() >= request->deadline;
    if (request->answering) return cut(client, *request, late ? CutCause::out_of_time : CutCause::host_failed);
    const auto& reply = request->last_failure;
    if (reply.status) return front_.answer(client, reply.status, reply.fields, reply.body);
    front_.refuse(client, late ? 504 : 502);
}

void Proxy::give_up(Request& request) {
    const bool may_have_run = !request.attempts.empty();
    if (may_have_run)
        front_.refuse(*request.client, context_.now() >= request.deadline ? 504 : 502);
    else
        front_.refuse(*request.client, 503, come_back);
    client_left(request);
}

void Proxy::cut(Client& client, const Request& request, CutCause cause) {
    const auto now = context_.now();
    cut_report_.note(cause, field_value(request.fields, "X-Request-Id"), now - request.arrived, now);
    front_.abort(client);
}

// Hosts.

void Proxy::began(Request& request, HostConnection& connection) {
    const auto now = context_.now();
    if (auto* serving = pools_.find(request.service))
        serving->balancer().stream_began(now, request.id, connection.number);
    if (!request.client || std::exchange(request.answering, true)) return;
    front_.begin(*request.client, connection.reader.status, connection.reader.fields);
}

void Proxy::piece(Request& request, HostConnection* connection, const std::string& bytes) {
    if (!request.client) return;
    front_.piece(*request.client, bytes);
    if (request.client && connection && front_.crowded(*request.client)) connection->deaf = true;
}

void Proxy::answered(Request& request, const Reply& reply, bool streamed) {
    if (!request.client) return;
    auto& client = *std::exchange(request.client, nullptr);
    const std::string rest = request.streams() ? request.events.rest() : reply.body;
    if (streamed || request.answering) {
        front_.piece(client, rest);
        if (client.open()) front_.finish(client);
        return;
    }
    front_.answer(client, reply.status, reply.fields, request.streams() && reply.status < 300 ? rest : reply.body);
}

void Proxy::attempt_ended(CallId call, int number, Outcome outcome) {
    auto* request = find(call);
    if (!request) return;
    --request->open_attempts;
    const bool answered = !request->client;
    if (auto* serving = pools_.find(request->service))
        serving->balancer().shot_ended(context_.now(), call, number, outcome, answered);
    if (auto* held = find(call)) forget_if_over(*held);
}

// The control role.

ServicePool::Events Proxy::pool_events() {
    return {[this](CallId call, ServerId host, Span try_for) {
                if (auto* request = find(call)) hosts_.send(*request, host, try_for);
            },
            [this](CallId call, int attempt) {
                if (auto* request = find(call)) hosts_.cancel(*request, attempt);
            },
            [this](CallId call, Span retry_after) { refuse(call, retry_after); },
            [this](CallId call) { fail(call); },
            [this](ServerId host) { hosts_.probe(host); },
            [this](ServerId host) {
                if (auto* record = hosts_.find(host)) hosts_.close_idle(*record);
            }};
}

// A service is in use while the configuration names it, a host belongs to it or a request is under way there.
void Proxy::retire_pools() {
    pools_looked_at_ = context_.now();
    std::set<std::string> used;
    if (context_.table)
        for (const auto& service : context_.table->configuration().services) used.insert(service.name);
    for (const auto& host : table_.all())
        if (host.state != registry::HostState::gone) used.insert(host.service);
    for (const auto& [id, request] : requests_)
        if (auto* serving = request->admitted ? pools_.find(request->service) : nullptr) used.insert(serving->name());
    pools_.retire_unused(used, context_.now());
}

void Proxy::configured(const messages::ConfigurationTold& told) {
    if (context_.table && told.version <= context_.table->configuration().version) return;
    auto checked = configuration::read_configuration(told.body);
    if (const auto* findings = std::get_if<Findings>(&checked)) {
        log_error() << "configuration " << told.version << ": " << one_line(*findings);
        return;
    }
    context_.table = std::make_shared<routing::RouteTable>(std::get<configuration::Configuration>(std::move(checked)));
    quota_report_.configured(context_.table->configuration().tenants);
    for (const auto& service : context_.table->configuration().services) {
        auto* serving = pools_.of(service.name);
        if (!serving) continue;
        serving->health_check = service.health_check;
        serving->is_engine = service.is_engine;
    }
    for (const auto& host : table_.all()) tell_pool(host);
    log_debug() << "configuration " << told.version << " is in force";
}

void Proxy::hosts_told(const messages::HostsTold& told) {
    hosts_known_ = true;
    for (const auto& host : told.hosts)
        if (table_.merge(host, context_.now())) tell_pool(*table_.find(host.id));
    for (const auto& retired : table_.expire(context_.now())) tell_pool(retired);
}

void Proxy::tell_pool(const registry::Host& host) {
    auto* serving = pools_.of(host.service);
    auto& record = hosts_.record(host);
    record.service = serving ? serving->number() : ServicePools::none;
    if (serving) {
        record.probe_path = serving->is_engine              ? "/report"
                            : serving->health_check.empty() ? "/"
                                                            : serving->health_check;
        serving->told(host, record.id);
    }
    if (host.state == registry::HostState::gone) hosts_.close_idle(record);
}

void Proxy::fleet_told(const messages::FleetTold& told) {
    if (told.current && !std::exchange(control_current_, told.current)) {
        leases_.hurry();   // there is a leader again
        ask_for_leases();
    }
    control_current_ = told.current;
    context_.proxies = told.proxies;
    context_.fleet_size.told(told.proxies, context_.now());
    quota_report_.fleet_told(told, context_.now());
    pools_.placed(static_cast<int>(told.place), static_cast<int>(told.proxies));
}

// The process.

std::string Proxy::figures() {
    quota_report_.refresh(leases_, context_.now());
    return context_.metrics.render();
}

void Proxy::settle() {
    do hosts_.settle();
    while (!hosts_.settled());
}

void Proxy::woke(uint64_t cookie) {
    if (cookie == tick_cookie) return tick();
    if (cookie == leases_cookie) {
        leases_.tick(context_.home.now());
        return lease_decisions();
    }
    const size_t number = ServicePool::pool_of(cookie);
    if (auto* serving = pools_.find(number)) serving->woke(cookie);
}

void Proxy::tick() {
    subscription_.tick();
    ask_for_leases();
    context_.loop.wake(context_.now() + (ready() ? tick_every : tick_every * 0.25), tick_cookie);
    hosts_.forget_gone();
    if (context_.now() - pools_looked_at_ >= pools_looked_at_every) retire_pools();
}

void Proxy::came(memory::Connection& connection) {
    while (const int number = context_.home.next_signal(connection.fd)) {
        if (number == SIGTERM || number == SIGINT) stop();
        if (number != SIGHUP) continue;
        log_info() << "SIGHUP: the settings are read again";
        if (auto settings = reread_()) {
            context_.settings.seeds = settings->seeds;
            subscription_.settings_changed();
        }
    }
}

void Proxy::log_progress(const char* step) const {
    log_info() << step << ": " << requests_.size() << " requests under way, " << front_.connections()
               << " clients connected";
}

// Ready no more at once; after the platform has seen it, no new connections; then the rest is answered.
void Proxy::stop() {
    if (shutdown_.begun()) return;
    shutdown_.begin(context_.now());
    front_.stop(shutdown_.take_until());
    log_progress("told to stop");
    context_.loop.set(*signals_, shutdown_.listeners_end());
}

void Proxy::due(memory::Connection& timer) {
    switch (shutdown_.next(context_.now())) {
        case Shutdown::Step::none: break;
        case Shutdown::Step::close_listeners:
            front_.close_listeners();
            metrics_listener_.close();
            log_progress("listeners are closed");
            break;
        case Shutdown::Step::answer_waiting: answer_waiting(); break;
        case Shutdown::Step::cut: return end();
    }
    if (requests_.empty() && front_.connections() == 0) return end();
    context_.loop.set(timer, context_.now() + shutdown_every);
}

void Proxy::answer_waiting() {
    std::vector<CallId> waiting;
    for (const auto& [id, request] : requests_)
        if (request->client && !request->answering) waiting.push_back(id);
    for (const auto id : waiting) give_up(*find(id));
}

void Proxy::end() {
    log_progress("ends");
    for (auto& [id, request] : requests_)
        if (request->client) cut(*std::exchange(request->client, nullptr), *request, CutCause::process_ends);
    subscription_.stop();
    over_ = true;
}

}   // namespace myrtleroute::proxy
