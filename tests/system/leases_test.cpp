// Leases on shared limits: single steps of the holder and the allocator, and fleets of them over a network that loses,
// delays and duplicates messages, checked against a plain sum of all units used within a window.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "leases/allocator.hpp"
#include "leases/holder.hpp"
#include "random.hpp"

using namespace myrtleroute;
using namespace myrtleroute::leases;

namespace {

constexpr const char* tenant = "tenant";
constexpr Span timeout{0.1};   // how long requests are queued for units

// The units allowed in a window.
double allowance(const Limit& limit, const LimitRule& rule) {
    return (limit.rate * rule.window.s + limit.burst) * (1 + rule.excess_ratio) + rule.slack;
}

// Proxies that serve one tenant with scripted demand, and one allocator at a time.
struct LeaseFleet {
    LimitRule rule{140000, 0.1, Span{8}};
    Limit limit{60000, 90000};
    LeaseTerms terms;
    Span min_delay{0.002}, max_delay{0.01};   // delay of a message
    double loss = 0, duplicated = 0;          // fractions of the messages
    Pcg rng{5};
    Time now{100};
    double mean_cost = 9000;

    struct Proxy {
        std::unique_ptr<Holder> holder;
        Time down_until = long_ago, frozen_until = long_ago, cut_until = long_ago;
        std::deque<double> delayed_requests;                  // costs of requests that arrived while it was frozen
        std::deque<std::function<void()>> delayed_messages;   // messages that arrived while it was frozen
        std::deque<std::pair<uint64_t, double>> queued;       // costs of queued requests, by ticket
    };
    std::vector<Proxy> proxies;
    std::unique_ptr<Allocator> allocator = std::make_unique<Allocator>(rule, terms);
    Time allocator_from = long_ago;   // when it begins
    bool begun = false;
    uint64_t term = 0;
    struct Delivery {
        Time at;
        std::function<void()> deliver;
    };
    std::vector<Delivery> in_transit;
    std::deque<std::pair<Time, double>> used;
    double requested = 0, refused = 0, worst = 0;
    size_t granted_requests = 0;
    std::array<size_t, refusal_causes.size()> refused_requests{};   // by cause
    uint64_t next_incarnation = 1, next_ticket = 1;

    explicit LeaseFleet(size_t size = 12) : proxies(size) {
        for (auto& proxy : proxies) start(proxy);
        allocator_from = now;
    }
    std::set<std::string> nodes() const {
        std::set<std::string> names;
        for (size_t i = 0; i < proxies.size(); ++i) names.insert("edge-" + std::to_string(i));
        return names;
    }
    size_t number(const Proxy& proxy) const { return static_cast<size_t>(&proxy - proxies.data()); }
    void start(Proxy& proxy) {
        proxy.holder =
            std::make_unique<Holder>(HolderId{"edge-" + std::to_string(number(proxy)), next_incarnation++}, terms, now);
        proxy.holder->connected(true);
        proxy.queued.clear();
        proxy.delayed_requests.clear();
        proxy.delayed_messages.clear();
    }
    void kill(size_t at, Span down) {
        start(proxies[at]);
        proxies[at].down_until = now + down;
    }
    void kill_first(size_t count, Span down) {
        for (size_t i = 0; i < count; ++i) kill(i, down);
    }
    // Replaces the allocator by one without memory, which begins once the authority of the previous one has certainly
    // expired.
    void change_allocator(Span after) {
        allocator = std::make_unique<Allocator>(rule, terms);
        begun = false;
        allocator_from = now + after;
    }
    bool runs(const Proxy& proxy) const { return proxy.down_until <= now; }
    bool reaches(const Proxy& proxy) const { return runs(proxy) && proxy.cut_until <= now; }

    void send(std::function<void()> deliver) {
        const int copies = rng.uniform() < duplicated ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (rng.uniform() < loss) continue;
            const Span delay = min_delay + (max_delay - min_delay) * rng.uniform();
            in_transit.push_back({now + delay, deliver});
        }
    }
    void deliver_due() {
        std::vector<Delivery> due;
        std::erase_if(in_transit, [&](auto& delivery) {
            if (delivery.at > now) return false;
            due.push_back(delivery);
            return true;
        });
        for (const auto& delivery : due) delivery.deliver();
    }
    void send_request(Proxy& proxy) {
        const auto lease_request = proxy.holder->next_request(now);
        if (!lease_request || proxy.cut_until > now) return;
        send([this, request = *lease_request, &proxy] {
            if (!begun) return;
            const auto reply = allocator->handle(request, now);
            check();
            if (reply && proxy.cut_until <= now) send([this, reply = *reply, &proxy] { receive_reply(proxy, reply); });
        });
    }
    void receive_reply(Proxy& proxy, const LeaseReply& reply) {
        if (!runs(proxy)) return;
        if (proxy.frozen_until > now)
            return proxy.delayed_messages.push_back([this, &proxy, reply] { receive_reply(proxy, reply); });
        proxy.holder->apply(reply, now);
        decide(proxy);
    }
    void decide(Proxy& proxy) {
        for (const auto& decided : proxy.holder->take_decided()) {
            const auto at = std::find_if(proxy.queued.begin(), proxy.queued.end(),
                                         [&](const auto& waiting) { return waiting.first == decided.ticket; });
            REQUIRE(at != proxy.queued.end());
            record_decision(at->second, decided.decision);
            proxy.queued.erase(at);
        }
        CHECK(proxy.holder->totals().used <= proxy.holder->totals().received + 1);
    }
    void record_decision(double cost, const Decision& decision) {
        if (decision.verdict != Verdict::granted) {
            refused += cost;
            ++refused_requests[static_cast<size_t>(decision.cause)];
            return;
        }
        ++granted_requests;
        used.emplace_back(now, cost);
        while (used.front().first < now - rule.window) used.pop_front();
        double sum = 0;
        for (const auto& [when, units] : used) sum += units;
        worst = std::max(worst, sum);
    }
    void request(double cost) {
        requested += cost;
        auto* proxy = &proxies[rng.next() % proxies.size()];
        while (!runs(*proxy)) proxy = &proxies[rng.next() % proxies.size()];
        if (proxy->frozen_until > now) return proxy->delayed_requests.push_back(cost);
        request_at(*proxy, cost);
    }
    void request_at(Proxy& proxy, double cost) {
        const auto ticket = next_ticket++;
        const auto decision = proxy.holder->acquire(tenant, cost, ticket, timeout, now);
        if (decision.verdict != Verdict::waiting) return record_decision(cost, decision);
        proxy.queued.emplace_back(ticket, cost);
        send_request(proxy);
    }
    void resume(Proxy& proxy) {
        for (auto costs = std::exchange(proxy.delayed_requests, {}); !costs.empty(); costs.pop_front())
            request_at(proxy, costs.front());
        for (auto held = std::exchange(proxy.delayed_messages, {}); !held.empty(); held.pop_front()) held.front()();
    }
    void check() {
        const auto violated = allocator->violated_invariant();
        REQUIRE_MESSAGE(!violated, violated.value_or(""));
    }

    // `demand`: units per second at all proxies together, in requests of many sizes. `inject_faults`: called at each step.
    void run(
        Span length, double demand, const std::function<void()>& inject_faults = [] {}) {
        constexpr Span step{0.01};
        int steps = 0;
        for (const Time end = now + length; now < end; now = now + step, ++steps) {
            inject_faults();
            if (!begun && now >= allocator_from) {
                allocator->set_limits({{tenant, limit}}, now);
                allocator->begin(++term, nodes(), now);
                begun = true;
            }
            if (begun && steps % 10 == 0) allocator->tick(now), check();
            deliver_due();
            for (auto& proxy : proxies) {
                if (!runs(proxy) || proxy.frozen_until > now) continue;
                if (!proxy.delayed_requests.empty() || !proxy.delayed_messages.empty()) resume(proxy);
                proxy.holder->tick(now);
                decide(proxy);
                if (steps % 10 == 0 || proxy.holder->has_waiting()) send_request(proxy);
            }
            for (double due = demand * step.s / mean_cost; due > rng.uniform(); due -= 1)
                request(mean_cost * (0.2 + 1.6 * rng.uniform()));
        }
    }
    double allowed() const { return allowance(limit, rule); }
    // Restarts the counts of requested and refused units.
    void reset_counts() {
        requested = refused = 0;
        refused_requests = {};
    }
    std::string refusals() const {
        std::string text = std::to_string(refused / requested) + " refused;";
        for (const auto cause : refusal_causes)
            text += " " + std::string(to_string(cause)) + " " +
                    std::to_string(refused_requests[static_cast<size_t>(cause)]);
        return text;
    }
};

}   // namespace

TEST_CASE("the parts of a budget add up to its depth, and with the fill rate to the allowance of the rule") {
    for (const Limit limit : {Limit{60000, 90000}, Limit{10, 0}, Limit{1, 100}, Limit{500000, 500000}})
        for (const LimitRule rule :
             {LimitRule{140000, 0.1, Span{8}}, LimitRule{0, 0, Span{1}}, LimitRule{5, 0, Span{60}}}) {
            const auto budget = budget_of(limit, rule);
            CHECK(budget.pool() + budget.debt() + budget.max_accumulated() == doctest::Approx(budget.depth));
            CHECK(budget.fill_rate * rule.window.s + budget.depth == doctest::Approx(allowance(limit, rule)));
            CHECK(budget.fill_rate > 0);
            const double beyond = allowance(limit, rule) - limit.rate * rule.window.s;
            CHECK(budget.fill_rate * rule.window.s <= limit.rate * rule.window.s + beyond / 2 + 1e-6);
            CHECK(budget.usual_granted() < budget.max_granted());
            CHECK(budget.max_granted() <= budget.pool());
        }
}

TEST_CASE("with demand at three quarters of the limit in large requests, at most a fiftieth is refused") {
    LeaseFleet fleet;
    fleet.run(Span{10}, fleet.limit.rate / 1.3);
    fleet.reset_counts();
    fleet.run(Span{60}, fleet.limit.rate / 1.3);
    MESSAGE("below the limit: " << fleet.refusals());
    CHECK(fleet.refused < fleet.requested / 50);
}

TEST_CASE("a tenant with six times its usual demand stays within its limit in every window") {
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        LeaseFleet fleet;
        fleet.rng = Pcg(seed);
        fleet.run(Span{10}, fleet.limit.rate / 1.3);
        fleet.run(Span{11}, 6 * fleet.limit.rate / 1.3);
        fleet.run(Span{5}, fleet.limit.rate / 1.3);
        fleet.run(Span{11}, 7.5 * fleet.limit.rate / 1.3);
        CHECK(fleet.worst <= fleet.allowed());
        CHECK(fleet.worst >= 0.8 * fleet.limit.rate * fleet.rule.window.s);   // the limit is also used
    }
}

TEST_CASE("a tenant with demand over its limit stays within it while many proxies are killed and restarted") {
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        LeaseFleet fleet(68);
        fleet.limit = {870000, 1100000};
        fleet.rng = Pcg(seed);
        fleet.run(Span{10}, fleet.limit.rate / 1.3);
        fleet.run(Span{5.5}, 6 * fleet.limit.rate / 1.3);
        fleet.kill_first(28, Span{0.5});
        fleet.run(Span{6}, 6 * fleet.limit.rate / 1.3);
        fleet.kill_first(40, Span{0.5});
        fleet.run(Span{6}, 6 * fleet.limit.rate / 1.3);
        CHECK(fleet.worst <= fleet.allowed());
    }
}

TEST_CASE("the sum over proxies disconnected from the allocator stays within the limit") {
    LeaseFleet fleet;
    fleet.run(Span{10}, fleet.limit.rate / 1.3);
    for (auto& proxy : fleet.proxies) proxy.cut_until = fleet.now + Span{20};
    fleet.run(Span{20}, 6 * fleet.limit.rate / 1.3);
    CHECK(fleet.worst <= fleet.allowed());
}

TEST_CASE("disconnected proxies can still use half of the limit for some seconds") {
    LeaseFleet fleet;
    fleet.mean_cost = 500;
    fleet.run(Span{20}, fleet.limit.rate / 1.3);
    for (auto& proxy : fleet.proxies) proxy.cut_until = fleet.now + Span{20};
    fleet.run(Span{1}, fleet.limit.rate / 1.3);
    fleet.reset_counts();
    fleet.run(Span{5}, fleet.limit.rate / 1.3);
    MESSAGE("disconnected: " << fleet.refusals());
    CHECK(fleet.refused < 0.4 * fleet.requested);
    CHECK(fleet.worst <= fleet.allowed());
}

TEST_CASE("around a change of the allocator, less is refused below the limit than arrives without an allocator") {
    LeaseFleet fleet;
    fleet.mean_cost = 3000;
    fleet.run(Span{20}, fleet.limit.rate / 1.3);
    fleet.reset_counts();
    constexpr Span gap{1.5}, played{10};
    fleet.change_allocator(gap);
    fleet.run(played, fleet.limit.rate / 1.3);
    MESSAGE("around a change of the allocator: " << fleet.refusals());
    CHECK(fleet.refused < fleet.requested * (gap / played));   // much is granted from units held before
    CHECK(fleet.worst <= fleet.allowed());
}

TEST_CASE("when the limit is binding, large requests are granted about as often as small ones") {
    LeaseFleet fleet;
    fleet.run(Span{10}, fleet.limit.rate / 1.3);
    fleet.run(Span{5}, 4 * fleet.limit.rate);
    size_t granted[2] = {}, requested[2] = {};
    for (int round = 0; round < 400; ++round) {
        const bool large = round % 2;
        const auto before = fleet.granted_requests;
        fleet.run(Span{0.02}, 4 * fleet.limit.rate);
        const auto others = fleet.granted_requests - before;
        fleet.request(large ? 30000 : 1000);
        const auto at = fleet.granted_requests;
        fleet.run(Span{0.12}, 0);   // until it is decided, if it is queued
        granted[large] += fleet.granted_requests > at || at > before + others;
        ++requested[large];
        fleet.run(Span{0.02}, 4 * fleet.limit.rate);
    }
    const double small = static_cast<double>(granted[0]) / static_cast<double>(requested[0]);
    const double large = static_cast<double>(granted[1]) / static_cast<double>(requested[1]);
    MESSAGE("granted of small ones " << small << ", of large ones " << large);
    CHECK(large > 0.5 * small);
}

TEST_CASE("no window exceeds the limit under lost and late messages, freezes, kills, cuts and new allocators") {
    for (uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        LeaseFleet fleet(6);
        fleet.rng = Pcg(seed);
        fleet.limit = {30000.0 + 10000 * static_cast<double>(seed % 30), 30000.0 * static_cast<double>(seed % 7)};
        fleet.rule.slack = seed % 3 ? 140000 : 20000;
        fleet.allocator = std::make_unique<Allocator>(fleet.rule, fleet.terms);
        fleet.mean_cost = fleet.limit.rate / 12;
        fleet.loss = 0.1;
        fleet.duplicated = 0.1;
        fleet.max_delay = Span{seed % 2 ? 0.1 : 1.0};
        const auto inject_faults = [&] {
            auto& proxy = fleet.proxies[fleet.rng.next() % fleet.proxies.size()];
            if (fleet.rng.uniform() < 0.003) fleet.kill(fleet.number(proxy), Span{0.5});
            if (fleet.rng.uniform() < 0.003) proxy.frozen_until = fleet.now + Span{6 * fleet.rng.uniform()};
            if (fleet.rng.uniform() < 0.003) proxy.cut_until = fleet.now + Span{8 * fleet.rng.uniform()};
            if (fleet.rng.uniform() >= 0.001) return;
            fleet.change_allocator(Span{2 * fleet.rng.uniform()});
        };
        for (int phase = 0; phase < 4; ++phase) {
            fleet.run(Span{8}, fleet.limit.rate / 1.3, inject_faults);
            fleet.run(Span{8}, 8 * fleet.limit.rate, inject_faults);
        }
        CHECK(fleet.worst <= fleet.allowed());
    }
}

namespace {

// A holder and an allocator without a network between them.
struct Pair {
    LeaseTerms terms;
    LimitRule rule{140000, 0.1, Span{8}};
    Limit limit{60000, 90000};
    Allocator allocator{rule, terms};
    Holder holder{{"edge-1", 1}, terms, Time{100}};
    Time now{100};

    explicit Pair(LeaseTerms lease_terms = {}) : terms(lease_terms) {
        allocator.set_limits({{tenant, limit}}, now);
        allocator.begin(1, {"edge-1", "edge-2"}, now);
        holder.connected(true);
        // Both nodes have restarted, so that the allocator knows all outstanding grants.
        for (const auto* node : {"edge-1", "edge-2"}) {
            allocator.handle({{node, 0}, 1, 0, 0, 100, {}}, now);
            allocator.handle({{node, 0}, 2, 1, 1, 100, {}}, now);
        }
        advance(Span{5});
    }
    void advance(Span span) {
        for (const Time end = now + span; now < end; now = now + Span{0.1}) allocator.tick(now);
    }
    std::optional<LeaseReply> send_request() {
        const auto request = holder.next_request(now);
        return request ? allocator.handle(*request, now) : std::nullopt;
    }
    // Sends a regular lease request, without a queued request.
    void top_up() {
        advance(Span{0.3});
        if (const auto reply = send_request()) holder.apply(*reply, now);
    }
    // Queues a request, which is then granted; afterwards the holder has its usual units.
    void use(double cost) {
        CHECK(holder.acquire(tenant, cost, 1, timeout, now).verdict == Verdict::waiting);
        const auto reply = send_request();
        REQUIRE(reply);
        holder.apply(*reply, now);
        const auto decided = holder.take_decided();
        REQUIRE(decided.size() == 1);
        CHECK(decided[0].decision.verdict == Verdict::granted);
        top_up();
    }
};

}   // namespace

TEST_CASE("a new process has no units until its first grant, which is enough for the queued request") {
    Pair pair;
    CHECK_FALSE(pair.holder.tenant_status(tenant));
    pair.use(20000);
    CHECK(pair.allocator.amounts(tenant)->granted == doctest::Approx(pair.holder.tenant_status(tenant)->held));
    CHECK(pair.allocator.amounts(tenant)->granted > 0);
}

TEST_CASE("granted units are not used after they expire, even if the process was paused meanwhile") {
    LeaseTerms without_reserve;
    without_reserve.reserve_delay = without_reserve.reserve_duration;
    Pair pair(without_reserve);
    pair.use(20000);
    const double held = pair.holder.tenant_status(tenant)->held;
    REQUIRE(held > 100);
    pair.now = pair.now + pair.terms.grant_duration;
    CHECK(pair.holder.acquire(tenant, 100, 2, timeout, pair.now).verdict == Verdict::waiting);
}

TEST_CASE("a reply that arrives after its grant has expired grants nothing") {
    Pair pair;
    pair.holder.acquire(tenant, 20000, 1, timeout, pair.now);
    const auto reply = pair.send_request();
    REQUIRE(reply);
    pair.holder.apply(*reply, pair.now + pair.terms.grant_duration);
    CHECK(pair.holder.tenant_status(tenant)->held == 0);
}

TEST_CASE("a reply is applied once, and a reply to an earlier request never") {
    Pair pair;
    pair.holder.acquire(tenant, 20000, 1, timeout, pair.now);
    const auto first = pair.send_request();
    REQUIRE(first);
    pair.advance(Span{0.5});   // no reply has arrived, so it sends another request
    const auto second = pair.send_request();
    REQUIRE(second);
    pair.holder.apply(*first, pair.now);
    CHECK(pair.holder.tenant_status(tenant)->held == 0);
    pair.holder.apply(*second, pair.now);
    const double held = pair.holder.tenant_status(tenant)->held;
    pair.holder.apply(*second, pair.now);
    CHECK(pair.holder.tenant_status(tenant)->held == held);
}

TEST_CASE("a lease request that arrives twice, or after a later one, is not answered") {
    Pair pair;
    pair.holder.acquire(tenant, 20000, 1, timeout, pair.now);
    const auto first = pair.holder.next_request(pair.now);
    pair.advance(Span{0.5});
    const auto second = pair.holder.next_request(pair.now);
    REQUIRE(second);
    CHECK(pair.allocator.handle(*second, pair.now));
    const double granted = pair.allocator.amounts(tenant)->granted;
    CHECK_FALSE(pair.allocator.handle(*second, pair.now));
    CHECK_FALSE(pair.allocator.handle(*first, pair.now));
    CHECK(pair.allocator.amounts(tenant)->granted == granted);
}

TEST_CASE("a silent holder's grant stays counted until it has expired") {
    Pair pair;
    pair.use(20000);
    const double granted = pair.allocator.amounts(tenant)->granted;
    REQUIRE(granted > 0);
    pair.advance(pair.terms.grant_duration - Span{0.2});
    CHECK(pair.allocator.amounts(tenant)->granted == granted);
    pair.advance(Span{0.4});
    CHECK(pair.allocator.amounts(tenant)->granted == 0);
}

TEST_CASE("a new incarnation of a node ends the grant of the earlier one once it is confirmed to be alive") {
    Pair pair;
    pair.use(20000);
    const double granted = pair.allocator.amounts(tenant)->granted;
    REQUIRE(granted > 0);
    LeaseRequest restarted{{"edge-1", 2}, 1, 0, 0, 0, {{tenant, {}}}};
    const auto reply = pair.allocator.handle(restarted, pair.now);
    REQUIRE(reply);
    CHECK(reply->request_again);
    CHECK(pair.allocator.amounts(tenant)->granted >= granted);   // it may be an old request of an ended incarnation
    restarted.number = 2;
    restarted.applied = 1;
    restarted.applied_term = 1;
    const auto second = pair.allocator.handle(restarted, pair.now);
    REQUIRE(second);
    CHECK_FALSE(second->request_again);
    CHECK(pair.allocator.amounts(tenant)->granted < granted);
    LeaseRequest other{{"edge-2", 3}, 1, 0, 0, 0, {{tenant, {}}}};
    CHECK(pair.allocator.handle(other, pair.now));
}

TEST_CASE("a late request of an ended incarnation leaves the grant of the current one counted") {
    Pair pair;
    pair.use(20000);
    const double granted = pair.allocator.amounts(tenant)->granted;
    REQUIRE(granted > 0);
    CHECK(pair.allocator.handle({{"edge-1", 77}, 1, 0, 0, 0, {{tenant, {}}}}, pair.now));
    CHECK(pair.allocator.amounts(tenant)->granted >= granted);
}

TEST_CASE("a reply that does not name a tenant does not extend its grant") {
    Pair pair;
    pair.use(20000);
    REQUIRE(pair.holder.tenant_status(tenant)->held > 100);
    pair.now = pair.now + pair.terms.grant_duration - Span{0.1};
    const auto request = pair.holder.next_request(pair.now);
    REQUIRE(request);
    pair.holder.apply({request->holder, request->number, 1, false, {}}, pair.now);
    pair.now = pair.now + Span{0.2};
    CHECK(pair.holder.acquire(tenant, 60000, 9, timeout, pair.now).verdict != Verdict::granted);
}

TEST_CASE("a grant in a reply that was not applied returns to the pool") {
    Pair pair;
    pair.use(20000);
    pair.holder.acquire(tenant, 60000, 2, timeout, pair.now);
    const auto lost = pair.send_request();
    REQUIRE(lost);
    const auto before = *pair.allocator.amounts(tenant);
    pair.now = pair.now + Span{0.51};
    REQUIRE(pair.send_request());
    const auto after = *pair.allocator.amounts(tenant);
    CHECK(after.pooled + after.granted >= before.pooled + before.granted - 1);
}

TEST_CASE("a lowered limit lowers the grants, and nothing more is granted until they fit") {
    Pair pair;
    pair.use(20000);
    pair.advance(Span{1});
    pair.allocator.set_limits({{tenant, {6000, 0}}}, pair.now);
    const auto budget = budget_of({6000, 0}, pair.rule);
    CHECK(pair.allocator.amounts(tenant)->pooled <= budget.pool());
    for (int i = 0; i < 20; ++i) {
        pair.advance(Span{0.3});
        pair.holder.acquire(tenant, 1, 3, timeout, pair.now);
        if (const auto reply = pair.send_request()) pair.holder.apply(*reply, pair.now);
    }
    CHECK(pair.holder.tenant_status(tenant)->held <= budget.max_granted());
    CHECK_FALSE(pair.allocator.violated_invariant());
}

TEST_CASE("lowering a limit while units are granted ahead is no violation, and nothing more is granted ahead") {
    Pair pair;
    const auto budget = budget_of(pair.limit, pair.rule);
    pair.use(0.3 * budget.depth);
    const double all = pair.holder.tenant_status(tenant)->held + pair.allocator.amounts(tenant)->pooled;
    pair.holder.acquire(tenant, all + 0.9 * budget.debt(), 2, timeout, pair.now);
    const auto reply = pair.send_request();
    REQUIRE(reply);
    pair.holder.apply(*reply, pair.now);
    REQUIRE(pair.allocator.amounts(tenant)->pooled < -0.5 * budget.debt());
    pair.allocator.set_limits({{tenant, {60, 0}}}, pair.now);
    CHECK_FALSE(pair.allocator.violated_invariant());
    const double granted = pair.allocator.amounts(tenant)->granted;
    pair.holder.acquire(tenant, budget.debt(), 1000, timeout, pair.now);
    pair.send_request();
    CHECK(pair.allocator.amounts(tenant)->granted <= granted);
    pair.advance(Span{3});
    CHECK_FALSE(pair.allocator.violated_invariant());
}

TEST_CASE("a request is refused at once if no allocator can be reached") {
    Holder holder{{"edge-1", 1}, {}, Time{5}};
    const auto decision = holder.acquire(tenant, 10, 1, timeout, Time{5});
    CHECK(decision.verdict == Verdict::refused);
    CHECK(decision.cause == RefusalCause::out_of_touch);
    CHECK(decision.retry_after > Span{});
}

TEST_CASE("a request is queued for at most a tenth of a second") {
    Holder holder{{"edge-1", 1}, {}, Time{5}};
    holder.connected(true);
    CHECK(holder.acquire(tenant, 10, 1, timeout, Time{5}).verdict == Verdict::waiting);
    CHECK(holder.next_deadline() <= Time{5.1});
    CHECK(holder.next_request(Time{5}));
    holder.tick(Time{5.11});
    const auto decided = holder.take_decided();
    REQUIRE(decided.size() == 1);
    CHECK(decided[0].decision.verdict == Verdict::refused);
    CHECK_FALSE(holder.has_waiting());
}

TEST_CASE("a request whose client has disconnected is removed from the queue") {
    Holder holder{{"edge-1", 1}, {}, Time{5}};
    holder.connected(true);
    holder.acquire(tenant, 10, 1, timeout, Time{5});
    holder.cancel(1);
    CHECK_FALSE(holder.has_waiting());
    holder.tick(Time{6});
    CHECK(holder.take_decided().empty());
}
