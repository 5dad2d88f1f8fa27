// A service's pool: what it does with what it is told of hosts.
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
    void tell(const std::string& id, ServerId server, HostState state) {
        pool.told({id, "service", "10.0.0.1:80", "zone", 4, state, 1}, server);
    }
    CallId request() {
        proxy::Request request;
        request.id = next++;
        request.route = &route;
        request.deadline = context.now() + Span{10};
        pool.take(request);
        return request.id;
    }
    size_t sent_to(ServerId server) const { return static_cast<size_t>(std::count(sent.begin(), sent.end(), server)); }
};

}   // namespace

TEST_CASE("a host that drains, or has left, gets no request; not even when there is no other") {
    for (const auto state : {HostState::draining, HostState::gone}) {
        Pool pool;
        pool.tell("a", 11, HostState::ready);
        pool.tell("a", 11, state);
        pool.request();
        CHECK(pool.sent.empty());
        CHECK(pool.refused == 1);
    }
}

TEST_CASE("a host that was lost and then says that it leaves gets no request") {
    Pool pool;
    pool.tell("a", 11, HostState::ready);
    pool.tell("a", 11, HostState::lost);
    pool.tell("a", 11, HostState::draining);
    pool.request();
    CHECK(pool.sent.empty());
}

TEST_CASE("requests go to the host with the fewest of the proxy's own") {
    Pool pool;
    for (const ServerId server : {11, 12, 13}) pool.tell(std::to_string(server), server, HostState::ready);
    for (int i = 0; i < 9; ++i) pool.request();
    for (const ServerId server : {11, 12, 13}) CHECK(pool.sent_to(server) == 3);
}

TEST_CASE("a host that tells of others' requests gets fewer") {
    Pool pool;
    for (const ServerId server : {11, 12}) pool.tell(std::to_string(server), server, HostState::ready);
    pool.pool.balancer().load_reported(pool.context.now(), 11, 3);
    for (int i = 0; i < 4; ++i) pool.request();
    CHECK(pool.sent_to(12) > pool.sent_to(11));
}

TEST_CASE("hosts whose slots are all taken get no more, and the client is told at once") {
    Pool pool;
    pool.tell("a", 11, HostState::ready);
    for (int i = 0; i < 9; ++i) pool.request();
    CHECK(pool.sent.size() == 5);   // four slots, and a quarter more in the queue
    CHECK(pool.refused == 4);
}

TEST_CASE("what broke off is sent again elsewhere, once as the route allows two hosts") {
    Pool pool;
    for (const ServerId server : {11, 12, 13}) pool.tell(std::to_string(server), server, HostState::ready);
    const auto call = pool.request();
    pool.pool.balancer().attempt_ended(pool.context.now(), call, 0, Outcome::reset, false);
    REQUIRE(pool.sent.size() == 2);
    CHECK(pool.sent[0] != pool.sent[1]);
    pool.pool.balancer().attempt_ended(pool.context.now(), call, 1, Outcome::reset, false);
    CHECK(pool.sent.size() == 2);
}

namespace {

// As many routes as there may be in a day of changes: each differs by its time-out, and is asked once.
void ask_many_routes(Pool& pool, int routes) {
    for (int n = 0; n < routes; ++n) {
        pool.route.timeout = Span{10 + n * 0.01};
        const auto call = pool.request();
        pool.pool.balancer().attempt_ended(pool.context.now(), call, 0, Outcome::fulfilled, true);
    }
}

constexpr int many_routes = 2000;

}   // namespace

TEST_CASE("after hundreds of changes a request that may not be repeated is still not repeated") {
    Pool pool;
    for (const ServerId server : {11, 12, 13}) pool.tell(std::to_string(server), server, HostState::ready);
    ask_many_routes(pool, many_routes);
    pool.route.kind = configuration::RouteKind::non_idempotent;
    const auto before = pool.sent.size();
    const auto call = pool.request();
    REQUIRE(pool.sent.size() == before + 1);
    pool.pool.balancer().attempt_ended(pool.context.now(), call, 0, Outcome::reset, false);
    CHECK(pool.sent.size() == before + 1);
}

TEST_CASE("after hundreds of changes a request is decided by its own target, time-out and attempts") {
    Pool pool;
    for (const ServerId server : {11, 12, 13}) pool.tell(std::to_string(server), server, HostState::ready);
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
