#include "roles/proxy/service_pool.hpp"

#include <utility>

#include "roles/log.hpp"

namespace myrtleroute::proxy {
namespace {

// A balancer's cookies are request numbers, below 2^40 here, or have bit 60 set. The pool's number is stored
// between these bits.
constexpr int pool_shift = 40;
constexpr uint64_t pool_mask = ServicePool::max_numbers - 1;
constexpr int attempt_limit = 16;
constexpr Span retry_after{0.15};
constexpr Time long_past{-1e9};   // a start time long past, so that the host counts as warmed up
// A host that has cached the shared prefix of a prompt may be busier than others, by one request for every
// `tokens_per_request` tokens.
constexpr double tokens_per_request = 600, max_affinity = 10;
// Estimated work before the first token, up to a constant factor: the part of the prompt that must be processed.
constexpr double tokens_per_second = 1e5, base_tokens = 500, cached_share = 0.7;
constexpr double late_value = 0.5;   // of a late response; any value above 0 lets attempts go on to the deadline

Settings balancer_settings(const Context& context) {
    Settings settings;
    settings.balancers = static_cast<int>(context.proxies);
    settings.known_slots = settings.drain_binds_alone = true;
    settings.probing = settings.cancel = settings.retry_after = true;
    settings.max_attempts = attempt_limit;
    settings.max_retry_after = retry_after;
    settings.ask_within = Span{10};
    settings.warm_after = Span{1};
    return settings;
}

// Whether the two products lead to the same decisions.
bool same_rules(const Product& a, const Product& b) {
    return a.slo == b.slo && a.client_timeout == b.client_timeout && a.repeat == b.repeat &&
           a.max_attempts == b.max_attempts;
}

}   // namespace

ServicePool::ServicePool(Context& context, PoolKey key, size_t number, uint64_t seed,
                         std::shared_ptr<routing::RetryBudget> budget, Events events)
    : context_(context),
      key_(std::move(key)),
      number_(number),
      events_(std::move(events)),
      budget_(std::move(budget)),
      balancer_(start_balancer(context.now(), balancer_settings(context), seed, *this)),
      decided_by_route_(context.invariants.named("requests_are_decided_as_their_routes_say")) {}

void ServicePool::start_request(const Request& request) {
    has_served_ = true;
    const auto& route = *request.route;
    Product product;
    product.slo = route.target_latency;
    product.client_timeout = route.timeout;
    product.repeat = route.is_retryable() ? Idempotency::idempotent : Idempotency::non_idempotent;
    product.late_value = late_value;
    product.max_attempts = std::min(route.max_attempts, attempt_limit);
    product.name = std::to_string(static_cast<int>(route.kind)) + "/" + std::to_string(route.resumable) + "/" +
                   std::to_string(product.slo.s) + "/" + std::to_string(product.client_timeout.s) + "/" +
                   std::to_string(product.max_attempts);
    budget_->count_request(context_.now());
    const auto number = balancer_->define_product(product);
    const double uncached = std::max(0.0, request.prompt.tokens_in - cached_share * request.prompt.shared_tokens);
    const Span work{is_engine ? (uncached + base_tokens) / tokens_per_second : 0};
    const double affinity = std::min(max_affinity, request.prompt.shared_tokens / tokens_per_request);
    balancer_->call_arrived(context_.now(), request.id, number, 0, request.deadline - context_.now(), work,
                            request.prompt.shared_key, false, affinity);
    const auto* decided = balancer_->product_of(request.id);   // null: already answered
    decided_by_route_.check(!decided || same_rules(*decided, product),
                            [&] { return "decided as " + decided->name + " instead of " + product.name; });
}

void ServicePool::update_host(const registry::Host& host, ServerId id) {
    using registry::HostState;
    const bool away = host.state == HostState::lost || host.state == HostState::gone;
    if (away)
        ready_.erase(id);
    else
        ready_[id] = host.state == HostState::ready;
    ready_hosts_ = static_cast<size_t>(std::count_if(ready_.begin(), ready_.end(), [](auto& r) { return r.second; }));
    if (host.state == HostState::ready && excluded_.erase(id)) ++returns_[id];
    if (away) returns_.erase(id);
    const auto returns = returns_.find(id);
    const Time launched = long_past + Span{returns == returns_.end() ? 0.0 : returns->second};
    balancer_->list_began(context_.now(), false, false);
    // A draining or gone host never gets another request. A lost one may, until connecting to it fails as well.
    const auto list = [&](State state) {
        balancer_->server_listed(id, 0, 0, state, host.capacity, launched);
    };
    if (host.state == HostState::ready) list(State::ready);
    if (host.state == HostState::draining || host.state == HostState::gone) list(State::draining);
    if (away) list(State::gone);
    balancer_->list_ended();
}

void ServicePool::exclude_host(const registry::Host& host, ServerId id) {
    auto draining = host;
    draining.state = registry::HostState::draining;
    update_host(draining, id);
    excluded_.insert(id);
}

void ServicePool::set_timer(Span after, uint64_t cookie) {
    context_.loop.schedule(context_.now() + after, cookie | static_cast<uint64_t>(number_) << pool_shift);
}

size_t ServicePool::pool_of(uint64_t cookie) { return (cookie >> pool_shift) & pool_mask; }

void ServicePool::on_timer(uint64_t cookie) {
    balancer_->timer_fired(context_.now(), cookie & ~(pool_mask << pool_shift));
}

void ServicePool::log(std::string_view line, ServerId) { log_debug() << key_.service << ": " << line; }

bool ServicePool::may_repeat(CallId) {
    return budget_->try_take(context_.now(), context_.fleet_size.maximum(context_.now()));
}

}   // namespace myrtleroute::proxy
