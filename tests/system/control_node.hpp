// Test fixture: a single control node; the test simulates its disk, peers and callers.
#pragma once
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "configuration/configuration.hpp"
#include "roles/control/node.hpp"

namespace myrtleroute::testing {

using control::ConnectionId;
using control::HttpResponse;
using control::Node;
using control::NodeOptions;
using control::RequestId;
using control::SendToConnection;
using control::SendToPeer;
using control::StoredState;
using control::Write;

inline std::string document(int version, const std::string& route = "/a/") {
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"hostname":"h","pathPrefix":")" + route +
           R"(","timeoutMs":1000,"service":"s"}],"services":[{"name":"s"}]})";
}

struct Control {
    static constexpr ConnectionId proxy_connection = 5;
    Time now{100};
    std::unique_ptr<Node> node;
    bool disk_works = true;
    uint64_t pending_write = 0;
    std::vector<HttpResponse> responses;
    std::vector<messages::Message> to_proxy, to_peers;
    std::map<ConnectionId, std::vector<messages::Message>> sent_on;   // by connection, all messages sent on it
    size_t host_updates_sent = 0;                                     // HostsUpdate messages to the proxy
    RequestId next = 1;

    explicit Control(std::vector<std::string> others = {}, const std::string& known = "", double link_megabits = 0) {
        NodeOptions options;
        options.link_megabits = link_megabits;
        options.self = {{"10.0.0.1", 7500}, {"10.0.0.1", 8367}, "north"};
        options.may_vote = true;
        StoredState stored;
        consensus::ClusterState cluster;
        cluster.voters.push_back({options.self.peer, 0});
        for (const auto& other : others) cluster.voters.push_back({{other, 7500}, 0});
        if (!known.empty()) {
            cluster.configuration = known;
            cluster.version = std::get<configuration::Configuration>(configuration::read_configuration(known)).version;
        }
        stored.entry = consensus::Entry{{0, 1}, cluster};
        node = std::make_unique<Node>(options, stored, now);
        advance(Span{2});
    }
    void advance(Span span) {
        for (const Time end = now + span; now < end; now = now + Span{0.1}) {
            node->tick(now);
            carry_out();
        }
    }
    void carry_out() {
        write();
        for (auto outputs = node->take_outputs(); !outputs.empty(); outputs = node->take_outputs()) {
            for (auto& output : outputs) {
                if (auto* response = std::get_if<HttpResponse>(&output)) responses.push_back(*response);
                if (auto* connection = std::get_if<SendToConnection>(&output)) {
                    to_proxy.push_back(connection->message);
                    sent_on[connection->connection].push_back(connection->message);
                    host_updates_sent += std::holds_alternative<messages::HostsUpdate>(connection->message);
                }
                if (auto* peer = std::get_if<SendToPeer>(&output)) to_peers.push_back(peer->message);
                if (const auto* write = std::get_if<Write>(&output))
                    pending_write = std::max(pending_write, write->number);
            }
            write();
        }
    }
    void write() {
        if (pending_write && disk_works) node->persisted(std::exchange(pending_write, 0), now);
    }
    RequestId request(const std::string& method, const std::string& path, const std::string& if_match = "",
                      const std::string& body = "") {
        node->request({next, method, path, if_match, body}, now);
        carry_out();
        return next++;
    }
    int status(RequestId request) const {
        for (const auto& response : responses)
            if (response.request == request) return response.status;
        return 0;
    }
    std::string body(RequestId request) const {
        for (const auto& response : responses)
            if (response.request == request) return response.body;
        return {};
    }
    std::optional<uint64_t> sent_configuration() {
        std::optional<uint64_t> version;
        for (const auto& message : to_proxy)
            if (const auto* update = std::get_if<messages::ConfigurationUpdate>(&message)) {
                const auto checked = configuration::read_configuration(update->body.text());
                version = std::get<configuration::Configuration>(checked).version;
                CHECK(version == update->version);
            }
        to_proxy.clear();
        return version;
    }
    void subscribe(uint64_t version = 0, ConnectionId link = proxy_connection, const std::string& proxy = "edge-1") {
        messages::Subscribe subscribe;
        subscribe.node = proxy;
        subscribe.version = version;
        node->received(link, subscribe, now);
        carry_out();
    }
    template <class Kind>
    size_t count_on(ConnectionId link) const {
        const auto sent = sent_on.find(link);
        if (sent == sent_on.end()) return 0;
        return static_cast<size_t>(std::count_if(sent->second.begin(), sent->second.end(), [](const auto& message) {
            return std::holds_alternative<Kind>(message);
        }));
    }
};

inline const messages::ControlNode other_node{{"10.0.0.2", 7500}, {"10.0.0.2", 8367}, "south"};
inline constexpr ConnectionId other_connection = 9;

inline constexpr auto heartbeat = R"({"service":"s","address":"10.9.0.1:80","state":"ready","sequence":1})";
inline constexpr auto drain = R"({"service":"s","address":"10.9.0.1:80","state":"draining","sequence":2})";

}   // namespace myrtleroute::testing
