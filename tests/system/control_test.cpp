// Tests of the control role's state machine alone, mostly as a cluster of one voter with a simulated disk.
#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <utility>

#include "control_node.hpp"
#include "random_text.hpp"
#include "roles/control/start.hpp"

using namespace myrtleroute;
using namespace myrtleroute::control;

using testing::Control;
using testing::document;
using testing::drain;
using testing::heartbeat;
using testing::other_connection;
using testing::other_node;

TEST_CASE("a configuration is accepted, read back unchanged and sent to a proxy") {
    Control control;
    control.subscribe();
    CHECK(control.status(control.request("GET", "/config")) == 404);
    CHECK(control.status(control.request("PUT", "/config", "0", document(3))) == 200);
    CHECK(control.body(control.request("GET", "/config")) == document(3));
    CHECK(control.sent_configuration() == 3);
}

TEST_CASE("during rapid changes a proxy is sent no more copies than the link share allows, and then the newest one") {
    constexpr double slow_link = 0.01;   // Mbit/s: at the share for copies, one takes over a quarter of a second
    Control control({}, "", slow_link);
    control.subscribe();
    int version = 0;
    for (int change = 0; change < 20; ++change) {
        const auto on = std::to_string(version);
        CHECK(control.status(control.request("PUT", "/config", on, document(++version))) == 200);
        control.advance(Span{0.1});
    }
    const auto is_configuration = [](const auto& message) {
        return std::holds_alternative<messages::ConfigurationUpdate>(message);
    };
    const auto copies = std::count_if(control.to_proxy.begin(), control.to_proxy.end(), is_configuration);
    CHECK(copies >= 6);
    CHECK(copies <= 11);
    control.advance(Span{0.5});
    CHECK(control.sent_configuration() == version);
}

TEST_CASE("on a slow link copies of a configuration are sent one at a time to the longest-waiting subscriber") {
    constexpr double slow_link = 10;   // Mbit/s
    constexpr ConnectionId subscribers = 15;
    Control control({}, "", slow_link);
    for (ConnectionId link = 1; link <= subscribers; ++link) control.subscribe(0, link, "edge-" + std::to_string(link));
    const auto copies = [&] {
        size_t count = 0;
        for (ConnectionId link = 1; link <= subscribers; ++link)
            count += control.count_on<messages::ConfigurationUpdate>(link);
        return count;
    };
    const auto padding = testing::random_text(120000, " \t\r\n");   // 40 KB on the wire
    CHECK(control.status(control.request("PUT", "/config", "0", document(1) + padding)) == 200);
    size_t before = copies(), most = before;
    for (int tick = 0; tick < 15; ++tick) {
        control.advance(Span{0.1});
        most = std::max(most, copies() - before);
        before = copies();
    }
    CHECK(most <= 2);
    CHECK(before == subscribers);
}

TEST_CASE("a proxy that subscribes again is sent nothing more on its old connection") {
    Control control;
    control.subscribe();
    constexpr ConnectionId new_connection = 8;
    control.subscribe(0, new_connection);
    const auto before = control.sent_on[Control::proxy_connection].size();
    CHECK(control.status(control.request("PUT", "/config", "0", document(3))) == 200);
    control.request("PUT", "/instances/i-1", "", heartbeat);
    control.advance(Span{3});
    CHECK(control.sent_on[Control::proxy_connection].size() == before);
    CHECK(control.count_on<messages::ConfigurationUpdate>(new_connection) == 1);
    CHECK(control.count_on<messages::HostsUpdate>(new_connection) >= 1);
    // A late message on the old connection does not affect the new one.
    control.subscribe(0, Control::proxy_connection);
    CHECK(control.status(control.request("PUT", "/config", "3", document(4))) == 200);
    control.advance(Span{1});
    CHECK(control.sent_on[Control::proxy_connection].size() == before);
    CHECK(control.count_on<messages::ConfigurationUpdate>(new_connection) == 2);
}

TEST_CASE("operations are checked against the version that they build on, and a repeated one is accepted again") {
    Control control;
    CHECK(control.status(control.request("PUT", "/config", "0", document(3))) == 200);
    CHECK(control.status(control.request("PUT", "/config", "0", document(4))) == 412);
    CHECK(control.status(control.request("PUT", "/config", "3", document(3, "/b/"))) == 400);
    CHECK(control.status(control.request("PUT", "/config", "3", "{")) == 400);
    CHECK(control.status(control.request("PUT", "/config", "", document(4))) == 428);
    CHECK(control.status(control.request("PUT", "/config", "3", document(5))) == 200);
    CHECK(control.status(control.request("PUT", "/config", "0", document(3))) == 200);
    CHECK(control.body(control.request("GET", "/config")) == document(5));
    CHECK(control.status(control.request("DELETE", "/config")) == 405);
    CHECK(control.status(control.request("GET", "/other")) == 404);
}

TEST_CASE("of two operations on the same version one is accepted, even while the first is still being written") {
    Control control;
    control.request("PUT", "/config", "0", document(3));
    control.disk_works = false;
    const auto first = control.request("PUT", "/config", "3", document(5));
    const auto second = control.request("PUT", "/config", "3", document(6));
    CHECK(control.status(first) == 0);
    CHECK(control.status(second) == 0);
    control.disk_works = true;
    control.advance(Span{0.3});
    CHECK(control.status(first) == 200);
    CHECK(control.status(second) == 412);
}

TEST_CASE("an operation that is not on disk is neither acknowledged nor sent, not even to a new subscriber") {
    Control control;
    control.request("PUT", "/config", "0", document(3));
    control.disk_works = false;
    const auto order = control.request("PUT", "/config", "3", document(5));
    control.subscribe();
    CHECK(control.sent_configuration() == 3);
    control.advance(Span{4});
    CHECK(control.status(order) == 503);
    CHECK(control.sent_configuration() == std::nullopt);
    control.disk_works = true;
    control.advance(Span{0.3});
    CHECK(control.sent_configuration() == 5);
}

TEST_CASE("heartbeats are acknowledged, and their host states are sent to a proxy") {
    Control control;
    control.subscribe();
    control.to_proxy.clear();
    CHECK(control.status(control.request("PUT", "/instances/i-1", "", heartbeat)) == 200);
    CHECK(control.status(control.request("PUT", "/instances/i-1", "", drain)) == 200);
    CHECK(control.status(control.request("PUT", "/instances/i-1", "", "{}")) == 400);
    CHECK(control.status(control.request("GET", "/instances/i-1")) == 405);
    CHECK(control.status(control.request("DELETE", "/instances/i-1")) == 200);
    std::vector<registry::HostState> states;
    for (const auto& message : control.to_proxy)
        if (const auto* update = std::get_if<messages::HostsUpdate>(&message))
            for (const auto& host : update->hosts) states.push_back(host.state);
    using registry::HostState;
    CHECK(states == std::vector<HostState>{HostState::ready, HostState::draining, HostState::gone});
}

TEST_CASE("a drain is acknowledged only when a majority of the voters knows of it") {
    Control control({"10.0.0.2", "10.0.0.3"});
    CHECK(control.status(control.request("PUT", "/instances/i-1", "", heartbeat)) ==
          503);   // applied, not acknowledged
    const auto alone = control.request("PUT", "/instances/i-1", "", drain);
    control.advance(Span{1.2});
    CHECK(control.status(alone) == 503);
    control.node->received(other_connection, messages::PeerHello{{other_node.peer, 0}, other_node, true, {}},
                           control.now);
    const auto again = control.request("PUT", "/instances/i-1", "", drain);
    CHECK(control.status(again) == 0);
    control.node->received(other_connection, messages::HostsConfirmation{2}, control.now);
    control.carry_out();
    CHECK(control.status(again) == 200);
}

TEST_CASE("a node that is not the leader and knows no leader answers 503 at once") {
    Control control({"10.0.0.2", "10.0.0.3"});
    CHECK(control.status(control.request("PUT", "/config", "0", document(3))) == 503);
    CHECK(control.status(control.request("GET", "/config")) == 503);
}

TEST_CASE("a drain is acknowledged only when it is on the node's disk") {
    Control control;
    control.request("PUT", "/instances/i-1", "", heartbeat);
    control.disk_works = false;
    const auto refused = control.request("PUT", "/instances/i-1", "", drain);
    control.advance(Span{1.2});
    CHECK(control.status(refused) == 503);
    const auto taken = control.request("PUT", "/instances/i-1", "", drain);
    CHECK(control.status(taken) == 0);
    control.disk_works = true;
    control.advance(Span{0.2});
    CHECK(control.status(taken) == 200);
}

TEST_CASE("a node confirms a host update to another node only once it is on its disk") {
    Control control({"10.0.0.2", "10.0.0.3"});
    control.node->received(other_connection, messages::PeerHello{{other_node.peer, 0}, other_node, true, {}},
                           control.now);
    control.carry_out();
    const registry::Host leaving{"i-1", "s", "10.9.0.1:80", "north", 1, registry::HostState::draining, 2};
    const auto confirmations = [&] {
        size_t count = 0;
        for (const auto& message : control.to_peers)
            if (const auto* confirmed = std::get_if<messages::HostsConfirmation>(&message))
                count += confirmed->confirmation_id == 7;
        return count;
    };
    control.disk_works = false;
    control.node->received(other_connection, messages::HostsUpdate{{leaving}, 7, false}, control.now);
    control.carry_out();
    CHECK(confirmations() == 0);
    control.disk_works = true;
    control.carry_out();
    CHECK(confirmations() == 1);
    control.node->received(other_connection, messages::HostsUpdate{{leaving}, 7, false},
                           control.now);   // it is on disk already
    control.carry_out();
    CHECK(confirmations() == 2);
}

TEST_CASE("a node without a majority sends a proxy neither hosts nor a configuration") {
    Control control({"10.0.0.2", "10.0.0.3"}, document(3));
    control.subscribe();
    control.advance(Span{3});
    CHECK(control.sent_configuration() == std::nullopt);
    CHECK(control.host_updates_sent == 0);
}

TEST_CASE("a single-node cluster sends a new proxy everything at once, and an up-to-date proxy only the hosts") {
    Control control({}, document(3));
    control.subscribe();
    CHECK(control.sent_configuration() == 3);
    CHECK(control.host_updates_sent == 1);
    control.subscribe(3);
    CHECK(control.sent_configuration() == std::nullopt);
    CHECK(control.host_updates_sent == 2);
}

namespace {

// Two of three voters; the test simulates the second one.
struct TwoOfThree {
    Control control{{"10.0.0.2", "10.0.0.3"}, document(3)};

    TwoOfThree() {
        control.node->received(other_connection, messages::PeerHello{{other_node.peer, 0}, other_node, true, {}},
                               control.now);
    }
    template <class Kind>
    std::optional<Kind> last_sent() const {
        for (auto it = control.to_peers.rbegin(); it != control.to_peers.rend(); ++it)
            if (const auto* consensus = std::get_if<messages::ConsensusMessage>(&*it))
                if (const auto* message = std::get_if<Kind>(&consensus->message)) return *message;
        return {};
    }
    void receive(consensus::Message message) {
        control.node->received(other_connection, messages::ConsensusMessage{0, std::move(message)}, control.now);
        control.carry_out();
    }
    void answer() {
        const auto append = last_sent<consensus::Append>();
        if (append) receive(consensus::AppendReply{append->term, append->round, append->last});
    }
    void elect() {
        while (!last_sent<consensus::VoteRequest>()) control.advance(Span{0.1});
        receive(consensus::VoteReply{true, last_sent<consensus::VoteRequest>()->term, true});
        receive(consensus::VoteReply{false, last_sent<consensus::VoteRequest>()->term, true});
        answer();
    }
};

}   // namespace

TEST_CASE("a leader answers reads, refusals and repeated operations only after a majority has answered it again") {
    for (const std::string kind : {"reading", "refusal", "again"}) {
        CAPTURE(kind);
        TwoOfThree cluster;
        cluster.elect();
        auto& control = cluster.control;
        REQUIRE(control.node->replica().role() == consensus::Role::leader);
        if (kind == "again") {
            const auto first = control.request("PUT", "/config", "3", document(4));
            cluster.answer();
            REQUIRE(control.status(first) == 200);
        }
        const auto request = kind == "reading"   ? control.request("GET", "/config")
                             : kind == "refusal" ? control.request("PUT", "/config", "1", document(9))
                                                 : control.request("PUT", "/config", "3", document(4));
        CHECK(control.status(request) == 0);
        cluster.answer();
        CHECK(control.status(request) == (kind == "refusal" ? 412 : 200));
    }
}

TEST_CASE("a leader without answers from the other voters serves no reads") {
    TwoOfThree cluster;
    cluster.elect();
    const auto request = cluster.control.request("GET", "/config");
    cluster.control.advance(Span{4});
    CHECK(cluster.control.status(request) == 503);
}

TEST_CASE("a stopping node may shut down once its leader reports that all answering voters hold its state") {
    TwoOfThree cluster;
    auto state = cluster.control.node->replica().entry()->state;
    state.version = 4;
    consensus::Append append{7, 1, {7, 2}, 1, false, 0, state};
    cluster.receive(append);
    CHECK_FALSE(cluster.control.node->may_shut_down());
    append.state.reset();
    append.round = 2;
    append.fully_replicated = true;
    cluster.receive(append);
    CHECK(cluster.control.node->may_shut_down());
}

TEST_CASE("a node starts a subscription only when a majority has sent it all hosts that they know") {
    TwoOfThree cluster;
    cluster.elect();
    auto& control = cluster.control;
    control.to_proxy.clear();
    control.subscribe();
    cluster.answer();
    control.advance(Span{0.5});
    cluster.answer();
    CHECK(control.sent_configuration() == std::nullopt);
    CHECK(control.host_updates_sent == 0);
    const registry::Host leaving{"i-1", "s", "10.9.0.1:80", "north", 1, registry::HostState::draining, 2};
    control.node->received(other_connection, messages::HostsUpdate{{leaving}, 0, true}, control.now);
    for (int i = 0; i < 5; ++i) {
        control.advance(Span{0.1});
        cluster.answer();
    }
    CHECK(control.sent_configuration() == 3);
    CHECK(control.host_updates_sent == 1);
}

namespace {

// The second voter is the leader, and answers each read request after the given delay.
class LateLeader {
public:
    explicit LateLeader(Span late) : late_(late) {
        auto state = cluster.control.node->replica().entry()->state;
        state.version = 4;
        state.configuration = document(4);
        append_.state = state;
        cluster.control.node->received(other_connection, messages::HostsUpdate{{}, 0, true}, cluster.control.now);
    }
    void pass(Span span) {
        auto& control = cluster.control;
        for (const Time end = control.now + span; control.now < end; control.advance(Span{0.1})) {
            cluster.receive(append_);
            ++append_.round;
            append_.acknowledged_round = append_.round - 1;
            for (; seen_ < control.to_peers.size(); ++seen_)
                if (const auto* message = std::get_if<messages::ConsensusMessage>(&control.to_peers[seen_]))
                    if (const auto* request = std::get_if<consensus::ReadRequest>(&message->message))
                        requests_.emplace_back(control.now, *request);
            for (; !requests_.empty() && control.now - requests_.front().first >= late_; requests_.pop_front())
                cluster.receive(
                    consensus::ReadReply{append_.term, requests_.front().second.number, append_.last.index});
        }
    }
    TwoOfThree cluster;

private:
    Span late_;
    consensus::Append append_{7, 1, {7, 2}, 2, false, 0, std::nullopt};
    size_t seen_ = 0;
    std::deque<std::pair<Time, consensus::ReadRequest>> requests_;
};

}   // namespace

TEST_CASE("a proxy that subscribes while the leader is slow is sent the configuration once the leader has answered") {
    for (const double late : {0.1, 0.3, 0.8, 1.5}) {
        CAPTURE(late);
        LateLeader leader(Span{late});
        leader.pass(Span{0.5});
        auto& control = leader.cluster.control;
        control.to_proxy.clear();
        control.subscribe();
        leader.pass(Span{late + 0.5});
        CHECK(control.sent_configuration() == 4);
    }
}

TEST_CASE("a node's metrics show its proxies and its replica status") {
    Control control;
    control.subscribe();
    metrics::Registry registry;
    NodeMetrics node_metrics(registry);
    const auto render = [&] {
        node_metrics.update(control.node->state(control.now));
        return "\n" + registry.render();
    };
    auto text = render();
    CHECK(text.find("\nmyrtleroute_control_proxies 1\n") != text.npos);
    CHECK(text.find("\nmyrtleroute_control_subscribers 1\n") != text.npos);
    CHECK(text.find("\nmyrtleroute_control_leads 1\n") != text.npos);
    CHECK(text.find("\nmyrtleroute_control_current 1\n") != text.npos);
    CHECK(text.find("\nmyrtleroute_control_term " + std::to_string(control.node->replica().term()) + "\n") !=
          text.npos);
    control.node->connection_closed(Control::proxy_connection, control.now);
    text = render();
    CHECK(text.find("\nmyrtleroute_control_proxies 0\n") != text.npos);
    CHECK(text.find("\nmyrtleroute_control_subscribers 0\n") != text.npos);
}

TEST_CASE("a node that is cut off from the other voters reports that it is not current") {
    Control control({"10.0.0.2", "10.0.0.3"});
    const auto state = control.node->state(control.now);
    CHECK_FALSE(state.leads);
    CHECK_FALSE(state.is_current);
}

TEST_CASE("a seed behind a relay recognises itself among the seeds by its advertised address") {
    configuration::NodeSettings settings;
    settings.address = "10.1.0.3";
    settings.advertised_address = "10.9.0.3";
    settings.control = Endpoint{"10.1.0.3", 8367};
    settings.first_internal_port = 7500;
    settings.seeds = {{"10.9.0.3", 8367}, {"10.9.0.4", 8367}};
    settings.bootstrap = true;
    const auto self = node_options(settings, 1).self;
    CHECK(self.peer.text() == "10.9.0.3:7500");
    CHECK(self.control.text() == "10.9.0.3:8367");
    const auto state = stored_state({}, settings, 1);
    REQUIRE(state.entry);
    CHECK(state.entry->state.voters.front().endpoint == self.peer);
}
