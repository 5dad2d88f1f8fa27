#include "roles/proxy/proxy.hpp"

#include <algorithm>
#include <csignal>
#include <utility>

#include "roles/log.hpp"
#include "roles/proxy/request_intake.hpp"

namespace myrtleroute::proxy {
namespace {

constexpr Span tick_interval{0.2};
constexpr double not_ready_factor = 0.25;      // fraction of the tick interval while not ready
constexpr uint64_t tick_cookie = 1ULL << 62;   // the pools' cookies are below 2^61
constexpr int exit_error = 2;
constexpr Span retry_delay{0.2};
constexpr Span typical_startup{1};            // typical time from process start until configuration and hosts are known
constexpr Span retry_elsewhere_after{0.02};   // Retry-After near the process's end: another proxy may take it at once
constexpr Span shutdown_poll_interval{0.05};

struct Signals : memory::Connection {
    Signals(memory::ConnectionHandler& by, int fd) : Connection(by, fd, 1, 1) { listens = true; }
    std::string name() const override { return "signals"; }
};

RequestTable::Bounds request_bounds(const configuration::NodeSettings& settings) {
    RequestTable::Bounds bounds;
    bounds.body_bytes = settings.memory_megabytes * (1 << 20) / 4;
    return bounds;
}

}   // namespace

Proxy::Proxy(configuration::NodeSettings settings, run::System& system, uint64_t seed,
             std::function<std::optional<configuration::NodeSettings>()> reread)
    : context_(std::move(settings), system, seed),
      reread_(std::move(reread)),
      requests_(request_bounds(context_.settings), context_.metrics, context_.invariants),
      cut_report_(context_.metrics, [](const std::string& line) { log_info() << line; }),
      front_(context_, front_events()),
      hosts_(context_, host_events()),
      rollout_watcher_({context_.settings.node_name, context_.settings.zone, seed}, context_.rng.next()),
      services_(context_, hosts_, rollout_watcher_, pool_events()),
      admission_(context_, seed, admission_events()),
      configuration_lease_(context_.settings.revocation_bound),
      refused_without_lease_(
          context_.metrics.counter("myrtleroute_refused_without_configuration_lease_total",
                                   "Requests with keys refused since the configuration may be old.")),
      subscription_(context_, subscription_events()),
      metrics_listener_(context_, [this] { return render_metrics(); }),
      hosts_evicted_(bound_reached_counter(context_.metrics, "hosts")),
      shutdown_(context_.settings.termination_grace) {}

Frontend::Events Proxy::front_events() {
    return {[this](Client& client, RequestReader& reader) { on_request(client, reader); },
            [this](Request& request) { client_left(request); },
            [this](Request& request) { hosts_.resume_reading(request); },
            [this] {
                return ready();
            }};
}

HostConnections::Events Proxy::host_events() {
    return {[this](Request& request, HostConnection& connection) { response_began(request, connection); },
            [this](Request& request, HostConnection* connection, const std::string& bytes) {
                response_chunk(request, connection, bytes);
            },
            [this](Request& request, const Reply& reply, bool streamed) { response_ended(request, reply, streamed); },
            [](Request& request, Reply reply) { request.last_failure = std::move(reply); },
            [this](size_t service, ServerId id) {
                if (auto* pool = services_.find(service)) pool->balancer().data_received(context_.now(), id);
            },
            [this](size_t service, ServerId id, double held) {
                if (auto* pool = services_.find(service)) pool->balancer().load_reported(context_.now(), id, held);
            },
            [this](HostRecord& host) {
                auto gone = host.host;
                gone.state = registry::HostState::gone;
                hosts_.close_idle(host);
                if (auto* pool = services_.find(host.service)) pool->update_host(gone, host.id);
            },
            [this](CallId call, int number, Outcome outcome) { attempt_ended(call, number, outcome); },
            [this](size_t service, ServerId id, bool answered) {
                if (auto* pool = services_.find(service)) pool->balancer().probe_ended(context_.now(), id, answered);
            },
            [this](Request& request, int number) {
                auto* pool = services_.find(request.service);
                return pool && pool->balancer().may_start(context_.now(), request.id, number);
            }};
}

ServicePool::Events Proxy::pool_events() {
    return {[this](CallId call, ServerId host, Span timeout) {
                auto* request = requests_.find(call);
                if (!request) return;
                request->times.push_back({host, context_.now(), {}, {}, 0});
                hosts_.send(*request, host, timeout);
            },
            [this](CallId call, int attempt) {
                if (auto* request = requests_.find(call)) hosts_.cancel(*request, attempt);
            },
            [this](CallId call, Span retry_after) { refuse(call, retry_after); },
            [this](CallId call) { fail(call); },
            [this](ServerId host) { hosts_.probe(host); },
            [this](ServerId host) {
                if (auto* record = hosts_.find(host)) hosts_.close_idle(*record);
            }};
}

Admission::Events Proxy::admission_events() {
    return {[this](const leases::LeaseRequest& request) { subscription_.send_if_open(request); },
            [this](CallId call) {
                auto* request = requests_.find(call);
                if (!request) return;
                admission_.record_granted(*request);
                admit(*request);
            },
            [this](CallId call, const leases::Decision& decision) {
                refuse_over_quota(call, decision);
            }};
}

Subscription::Events Proxy::subscription_events() {
    return {[this](const messages::ConfigurationUpdate& update) { apply_configuration(update); },
            [this](const messages::HostsUpdate& update) { services_.update_hosts(update); },
            [this](const messages::RolloutsUpdate& update) { services_.update_rollouts(update); },
            [this](const messages::FleetStatus& update) { update_fleet(update); },
            [this](const leases::LeaseReply& reply) { admission_.apply(reply); },
            [this](const leases::ConfigurationLeaseReply& reply) { configuration_lease_.apply(reply); },
            [this](bool is_up) {
                admission_.connected(is_up);
                configuration_lease_.connected();
                request_configuration_lease();
            },
            [this] {
                return context_.table ? context_.table->configuration().version : 0;
            }};
}

int Proxy::run() {
    if (!start()) return exit_error;
    while (!over()) round();
    return 0;
}

bool Proxy::start() {
    std::string error;
    if (!front_.open(error)) {
        log_error() << error;
        return false;
    }
    signals_ = &context_.loop.add(std::make_unique<Signals>(*this, context_.system.watch_signals()));
    context_.loop.poll_for_input(*signals_, true);
    metrics_listener_.open();
    log_info() << "proxy " << context_.settings.node_name << " starts";
    tick();
    return true;
}

void Proxy::round() {
    context_.loop.run_once([this](uint64_t cookie) { timer_fired(cookie); }, [this] { settle(); });
}

bool Proxy::ready() const {
    const bool knows_all = context_.table && services_.knows_hosts() && configuration_lease_.is_valid(context_.now());
    return !shutdown_.begun() && knows_all;
}

// Clients.

void Proxy::on_request(Client& client, RequestReader& reader) {
    if (!context_.table) return front_.refuse(client, 503, until_started());
    auto request = std::make_unique<Request>();
    request->table = context_.table;
    const bool keys_are_current = configuration_lease_.is_valid(context_.system.now());
    if (const int status = entitle(*request, reader, keys_are_current)) {
        const bool may_be_old = status == 503;
        if (may_be_old) refused_without_lease_.add();
        return front_.refuse(client, status, may_be_old ? until_started() : Span{});
    }
    if (!requests_.has_room(reader.content.size())) return front_.refuse(client, 503, retry_delay);
    request->id = requests_.next_number();
    read_terms(*request, reader, context_.now());
    if (outlasts_process(*request)) return front_.refuse(client, 503, retry_elsewhere_after);
    const auto decision = admission_.decide(*request);
    if (decision.verdict == leases::Verdict::refused) return refuse_over_quota(client, *request, decision);
    take_content(*request, reader);
    request->client = &client;
    auto& held = requests_.hold(std::move(request));
    client.request = &held;
    if (decision.verdict == leases::Verdict::granted) return admit(held);
    admission_.wait_for_units();
}

// Retry-After for clients refused because this process has no configuration yet, or no valid lease on it.
Span Proxy::until_started() const {
    return std::max(retry_delay, typical_startup - (context_.now() - context_.started));
}

// A stream may last until its deadline, and once started it can only be ended by aborting it. Any other request
// gets an error response at the end of the grace period if its host has not answered.
bool Proxy::outlasts_process(const Request& request) const {
    return shutdown_.begun() && request.streams() && request.deadline > shutdown_.answers_end();
}

void Proxy::admit(Request& request) {
    auto* pool = services_.choose(routing::pick_backend(*request.route, context_.rng.uniform()));
    if (!pool) {
        front_.refuse(*std::exchange(request.client, nullptr), 503, retry_delay);
        return requests_.remove_if_over(request);
    }
    request.service = pool->number();
    request.admitted = true;
    pool->start_request(request);
}

void Proxy::refuse_over_quota(Client& client, const Request& request, const leases::Decision& decision) {
    admission_.record_refused(request, decision);
    front_.refuse(client, 429, decision.retry_after);
}

void Proxy::refuse_over_quota(CallId call, const leases::Decision& decision) {
    auto* request = requests_.find(call);
    if (!request) return;
    refuse_over_quota(*std::exchange(request->client, nullptr), *request, decision);
    requests_.remove_if_over(*request);
}

void Proxy::client_left(Request& request) {
    request.client = nullptr;
    const auto id = request.id;
    if (!request.admitted) {
        admission_.cancel(request);
        return requests_.remove_if_over(request);
    }
    if (auto* pool = services_.find(request.service)) pool->balancer().client_left(context_.now(), id);
    if (auto* held = requests_.find(id)) hosts_.abandon(*held);
    if (auto* held = requests_.find(id)) requests_.remove_if_over(*held);
}

void Proxy::refuse(CallId call, Span retry_after) {
    auto* request = requests_.find(call);
    if (!request || !request->client) return;
    auto& client = *std::exchange(request->client, nullptr);
    requests_.mark_answered(call);
    if (request->answering) return cut(client, *request, CutCause::host_failed);
    if (request->last_failure.status) {
        const auto& reply = request->last_failure;
        return front_.respond(client, reply.status, reply.fields, reply.body);
    }
    front_.refuse(client, 503, retry_after);
}

void Proxy::fail(CallId call) {
    auto* request = requests_.find(call);
    if (!request || !request->client) return;
    auto& client = *std::exchange(request->client, nullptr);
    requests_.mark_answered(call);
    const bool late = context_.now() >= request->deadline;
    if (request->answering) return cut(client, *request, late ? CutCause::out_of_time : CutCause::host_failed);
    const auto& reply = request->last_failure;
    if (reply.status) return front_.respond(client, reply.status, reply.fields, reply.body);
    front_.refuse(client, late ? 504 : 502);
}

void Proxy::give_up(Request& request) {
    const bool may_have_run = !request.attempts.empty();
    if (may_have_run)
        front_.refuse(*request.client, context_.now() >= request.deadline ? 504 : 502);
    else
        front_.refuse(*request.client, 503, retry_elsewhere_after);
    client_left(request);
}

void Proxy::cut(Client& client, const Request& request, CutCause cause) {
    const auto now = context_.now();
    cut_report_.record(cause, field_value(request.fields, "X-Request-Id"), now - request.arrived, now);
    front_.abort_response(client);
}

// Hosts.

void Proxy::response_began(Request& request, HostConnection& connection) {
    const auto now = context_.now();
    if (auto* pool = services_.find(request.service)) pool->balancer().stream_began(now, request.id, connection.number);
    if (!request.client || std::exchange(request.answering, true)) return;
    front_.begin_response(*request.client, connection.reader.status, connection.reader.fields);
}

void Proxy::response_chunk(Request& request, HostConnection* connection, const std::string& bytes) {
    if (connection) request.times[static_cast<size_t>(connection->number)].add_chunk(context_.now());
    if (!request.client) return;
    front_.send_chunk(*request.client, bytes);
    if (request.client && connection && front_.is_backlogged(*request.client)) connection->read_paused = true;
}

void Proxy::response_ended(Request& request, const Reply& reply, bool streamed) {
    if (!request.client) return;
    auto& client = *std::exchange(request.client, nullptr);
    const std::string rest = request.streams() ? request.events.partial_event() : reply.body;
    if (streamed || request.answering) {
        front_.send_chunk(client, rest);
        if (client.open()) front_.finish_response(client);
        return;
    }
    front_.respond(client, reply.status, reply.fields, request.streams() && reply.status < 300 ? rest : reply.body);
}

void Proxy::attempt_ended(CallId call, int number, Outcome outcome) {
    auto* request = requests_.find(call);
    if (!request) return;
    --request->open_attempts;
    record_attempt(*request, number, outcome);
    // No second run may be sent for it: only a resumed stream continues what the client has received.
    if (request->answering && !request->can_resume()) fail(call);
    const bool answered = !request->client;
    if (auto* pool = services_.find(request->service))
        pool->balancer().attempt_ended(context_.now(), call, number, outcome, answered);
    if (auto* held = requests_.find(call)) requests_.remove_if_over(*held);
}

// Attempts that never reached a host say nothing about it, and neither does a refusal by a full host.
void Proxy::record_attempt(const Request& request, int number, Outcome outcome) {
    auto* pool = services_.find(request.service);
    const auto& times = request.times[static_cast<size_t>(number)];
    auto* host = hosts_.find(times.host);
    if (!pool || !host) return;
    rollout::AttemptResult end;
    end.failed = outcome == Outcome::errored || outcome == Outcome::reset || outcome == Outcome::timed_out;
    end.cancelled = outcome == Outcome::cancelled;
    if (!end.failed && !end.cancelled && outcome != Outcome::fulfilled) return;
    const auto& route = *request.route;
    end.route = route.name.empty() ? route.hostname + route.path_prefix : route.name;
    end.host = host->host.id;
    end.group = pool->is_candidate() ? rollout::Group::candidate : rollout::Group::serving;
    end.loaded = pool->is_candidate() && services_.were_loaded(pool->name(), times.sent);
    end.duration = context_.now() - times.sent;
    end.chunks = times.chunks;
    end.streaming_time = times.last_chunk - times.first_chunk;
    rollout_watcher_.record(pool->name(), end);
}

// The control role.

size_t Proxy::open_at_serving(const std::string& service) {
    const auto requests = requests_.all();
    return static_cast<size_t>(std::count_if(requests.begin(), requests.end(), [&](const auto* request) {
        if (!request->admitted || request->open_attempts == 0) return false;
        const auto* pool = services_.find(request->service);
        return pool && !pool->is_candidate() && pool->name() == service;
    }));
}

void Proxy::send_rollout_reports() {
    if (!subscription_.is_open()) return;
    const auto open = [this](const std::string& service) {
        return open_at_serving(service);
    };
    for (auto& report : rollout_watcher_.take_reports(context_.proxies, open, context_.now()))
        subscription_.send_if_open(std::move(report));
}

void Proxy::apply_configuration(const messages::ConfigurationUpdate& update) {
    if (context_.table && update.version <= context_.table->configuration().version) return;
    auto checked = configuration::read_configuration(update.body.text());
    if (const auto* findings = std::get_if<Findings>(&checked)) {
        log_error() << "configuration " << update.version << " rejected: " << join_findings(*findings);
        return;
    }
    context_.table = std::make_shared<routing::RouteTable>(std::get<configuration::Configuration>(std::move(checked)));
    configuration_lease_.set_version(update.version);
    admission_.configured();
    services_.configured();
    log_info() << "configuration " << update.version << " is in force";
}

void Proxy::request_configuration_lease() {
    if (!subscription_.is_open()) return;
    if (const auto request = configuration_lease_.next_request(context_.system.now()))
        subscription_.send_if_open(*request);
}

void Proxy::update_fleet(const messages::FleetStatus& update) {
    if (update.current) rollout_watcher_.confirm_control(context_.now());
    admission_.update_fleet(update);
    context_.proxies = update.proxy_count;
    context_.fleet_size.update(update.proxy_count, context_.now());
    services_.set_place(update);
}

// The process.

std::string Proxy::render_metrics() {
    admission_.refresh_metrics();
    hosts_evicted_.add(static_cast<double>(services_.evicted_hosts()) - hosts_evicted_.value());
    return context_.metrics.render();
}

void Proxy::settle() {
    do hosts_.settle();
    while (!hosts_.settled());
    requests_.sweep();
}

void Proxy::timer_fired(uint64_t cookie) {
    if (cookie == tick_cookie) return tick();
    if (cookie == Admission::cookie) return admission_.on_timer();
    if (auto* pool = services_.find(ServicePool::pool_of(cookie))) pool->on_timer(cookie);
}

void Proxy::tick() {
    subscription_.tick();
    admission_.request_units();
    request_configuration_lease();
    send_rollout_reports();
    context_.loop.schedule(context_.now() + tick_interval * (ready() ? 1 : not_ready_factor), tick_cookie);
    hosts_.remove_gone();
    services_.tick(requests_);
}

void Proxy::on_readable(memory::Connection& connection) {
    while (const int number = context_.system.next_signal(connection.fd)) {
        if (number == SIGTERM || number == SIGINT) stop();
        if (number != SIGHUP) continue;
        log_info() << "SIGHUP: reloading the settings";
        if (auto settings = reread_()) {
            context_.settings.seeds = settings->seeds;
            subscription_.settings_changed();
        }
    }
}

void Proxy::log_progress(const char* step) const {
    log_info() << step << ": " << requests_.size() << " requests in progress, " << front_.connections()
               << " client connections";
}

// Readiness fails immediately; once the platform has noticed, no new connections are accepted; then the remaining
// requests are answered.
void Proxy::stop() {
    if (shutdown_.begun()) return;
    shutdown_.begin(context_.now());
    front_.stop(shutdown_.requests_end());
    log_progress("shutdown started");
    context_.loop.set_timer(*signals_, shutdown_.listeners_end());
}

void Proxy::on_timer(memory::Connection& timer) {
    switch (shutdown_.next(context_.now())) {
        case Shutdown::Step::none: break;
        case Shutdown::Step::close_listeners:
            front_.close_listeners();
            metrics_listener_.close();
            log_progress("listeners closed");
            break;
        case Shutdown::Step::answer_waiting: answer_waiting(); break;
        case Shutdown::Step::cut: return end();
    }
    if (requests_.empty() && front_.connections() == 0) return end();
    context_.loop.set_timer(timer, context_.now() + shutdown_poll_interval);
}

void Proxy::answer_waiting() {
    for (auto* request : requests_.all())
        if (request->client && !request->answering) give_up(*request);
}

void Proxy::end() {
    log_progress("exiting");
    for (auto* request : requests_.all())
        if (request->client) cut(*std::exchange(request->client, nullptr), *request, CutCause::process_ends);
    subscription_.stop();
    over_ = true;
}

}   // namespace myrtleroute::proxy
