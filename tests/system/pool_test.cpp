// ServicePool: which hosts get requests after host updates, and how routes are applied.
#include <doctest/doctest.h>

#include <cerrno>

#include "roles/proxy/service_pool.hpp"

using namespace myrtleroute;
using registry::HostState;

namespace {

// A system in which time stands still and nothing can be opened.
class StillSystem : public run::System {
public:
    Time now() override { return Time{1000}; }
    double unix_time() override { return 0; }
    int poll(pollfd*, size_t, int) override { return 0; }
    int listen(const sockaddr_in&) override { return refuse(); }
    int connect(const sockaddr_in&, bool&) override { return refuse(); }
    int accept(int) override { return refuse(); }
    int connect_error(int) override { return 0; }
    ssize_t read(int, const iovec*, int) override { return refuse(); }
    ssize_t write(int, const iovec*, int) override { return refuse(); }
    bool is_idle(int) override { return true; }
    bool has_unread(int) override { return false; }
    void shutdown_write(int) override {}
    void close(int) override {}
    void reset(int) override {}
    int watch_signals() override { return refuse(); }
    int next_signal(int) override { return 0; }
    size_t max_descriptors() override { return 1024; }
    const char* environment_variable(const char*) override { return nullptr; }
    std::optional<std::string> read_file(const std::string&) override { return {}; }

private:
    static int refuse() {
        errno = EMFILE;
        return -1;
    }
};

struct Pool {
    StillSystem system;
    proxy::Context context{settings(), system, 1};
    std::vector<ServerId> sent;
    int refused = 0;
    configuration::Route route;
    proxy::ServicePool pool{
        context,
        {"service", {}},
        0,
        7,
        std::make_shared<routing::RetryBudget>(
            routing::RetryBudgetOptions{context.settings.retry_budget_ratio, context.settings.retry_budget_window,
                                        context.settings.retry_budget_slack},
            context.started),
        {[this](CallId, ServerId server, Span) { sent.push_back(server); }, [](CallId, int) {},
         [this](CallId, Span) { ++refused; }, [](CallId) {}, [](ServerId) {},
         [](ServerId) {
         }}};
    CallId next = 1;

    Pool() {
        route.timeout = Span{10};
        route.target_latency = Span{1};
        route.kind = configuration::RouteKind::idempotent;
        route.max_attempts = 2;
    }
    static configuration::NodeSettings settings() {
        configuration::NodeSettings node;
        node.retry_budget_slack = 100;
        return node;
    }
    void set_state(const std::string& id, ServerId server, HostState state) {
        pool.update_host({id, "service", "10.0.0.1:80", "zone", 4, state, 1}, server);
    }
    CallId request() {
        proxy::Request request;
        request.id = next++;
        request.route = &route;
        request.deadline = context.now() + Span{10};
        pool.start_request(request);
        return request.id;
    }
    size_t sent_to(ServerId server) const { return static_cast<size_t>(std::count(sent.begin(), sent.end(), server)); }
};

}   // namespace

TEST_CASE("a draining or gone host gets no request, even if there is no other host") {
    for (const auto state : {HostState::draining, HostState::gone}) {
        Pool pool;
        pool.set_state("a", 11, HostState::ready);
        pool.set_state("a", 11, state);
        pool.request();
        CHECK(pool.sent.empty());
        CHECK(pool.refused == 1);
    }
}

TEST_CASE("a lost host that then reports draining gets no request") {
    Pool pool;
    pool.set_state("a", 11, HostState::ready);
    pool.set_state("a", 11, HostState::lost);
    pool.set_state("a", 11, HostState::draining);
    pool.request();
    CHECK(pool.sent.empty());
}

TEST_CASE("requests go to the host with the fewest requests of this proxy") {
    Pool pool;
    for (const ServerId server : {11, 12, 13}) pool.set_state(std::to_string(server), server, HostState::ready);
    for (int i = 0; i < 9; ++i) pool.request();
    for (const ServerId server : {11, 12, 13}) CHECK(pool.sent_to(server) == 3);
}

TEST_CASE("a host that reports load from other proxies gets fewer requests") {
    Pool pool;
    for (const ServerId server : {11, 12}) pool.set_state(std::to_string(server), server, HostState::ready);
    pool.pool.balancer().load_reported(pool.context.now(), 11, 3);
    for (int i = 0; i < 4; ++i) pool.request();
    CHECK(pool.sent_to(12) > pool.sent_to(11));
}

TEST_CASE("a host at capacity gets no more requests, and the client is refused immediately") {
    Pool pool;
    pool.set_state("a", 11, HostState::ready);
    for (int i = 0; i < 9; ++i) pool.request();
    CHECK(pool.sent.size() == 5);   // four slots, and a quarter more in the queue
    CHECK(pool.refused == 4);
}

TEST_CASE("a request whose connection was reset is retried once at another host if the route allows two attempts") {
    Pool pool;
    for (const ServerId server : {11, 12, 13}) pool.set_state(std::to_string(server), server, HostState::ready);
    const auto call = pool.request();
    pool.pool.balancer().attempt_ended(pool.context.now(), call, 0, Outcome::reset, false);
    REQUIRE(pool.sent.size() == 2);
    CHECK(pool.sent[0] != pool.sent[1]);
    pool.pool.balancer().attempt_ended(pool.context.now(), call, 1, Outcome::reset, false);
    CHECK(pool.sent.size() == 2);
}

namespace {

// Sends one request to each of many routes that differ by their timeout, as after a day of configuration changes.
void ask_many_routes(Pool& pool, int routes) {
    for (int n = 0; n < routes; ++n) {
        pool.route.timeout = Span{10 + n * 0.01};
        const auto call = pool.request();
        pool.pool.balancer().attempt_ended(pool.context.now(), call, 0, Outcome::fulfilled, true);
    }
}

constexpr int many_routes = 2000;

}   // namespace

TEST_CASE("after hundreds of route changes a non-idempotent request is still not retried") {
    Pool pool;
    for (const ServerId server : {11, 12, 13}) pool.set_state(std::to_string(server), server, HostState::ready);
    ask_many_routes(pool, many_routes);
    pool.route.kind = configuration::RouteKind::non_idempotent;
    const auto before = pool.sent.size();
    const auto call = pool.request();
    REQUIRE(pool.sent.size() == before + 1);
    pool.pool.balancer().attempt_ended(pool.context.now(), call, 0, Outcome::reset, false);
    CHECK(pool.sent.size() == before + 1);
}

TEST_CASE("after hundreds of route changes a request is decided by its own target latency, timeout and attempts") {
    Pool pool;
    for (const ServerId server : {11, 12, 13}) pool.set_state(std::to_string(server), server, HostState::ready);
    ask_many_routes(pool, many_routes);
    for (const double target : {0.2, 3.0}) {
        pool.route.target_latency = Span{target};
        pool.route.timeout = Span{target * 4};
        pool.route.max_attempts = 1;
        const auto* product = pool.pool.balancer().product_of(pool.request());
        REQUIRE(product);
        CHECK(product->slo == Span{target});
        CHECK(product->client_timeout == Span{target * 4});
        CHECK(product->max_attempts == 1);
    }
}
