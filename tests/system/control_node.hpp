// One control node by itself, whose disk, peers and callers the test plays.
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

using control::Answer;
using control::LinkNumber;
using control::Node;
using control::NodeOptions;
using control::RequestNumber;
using control::StoredState;
using control::ToLink;
using control::ToPeer;
using control::Write;

inline std::string document(int version, const std::string& route = "/a/") {
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"hostname":"h","pathPrefix":")" + route +
           R"(","timeoutMs":1000,"service":"s"}],"services":[{"name":"s"}]})";
}

struct Control {
    static constexpr LinkNumber proxy_link = 5;
    Time now{100};
    std::unique_ptr<Node> node;
    bool disk_works = true;
    uint64_t unwritten = 0;
    std::vector<Answer> answers;
    std::vector<messages::Message> to_proxy, to_peers;
    std::map<LinkNumber, std::vector<messages::Message>> sent_on;   // by link, all that was sent on it
    size_t hosts_told = 0;                                          // messages to the proxy
    RequestNumber next = 1;

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
        pass(Span{2});
    }
    void pass(Span span) {
        for (const Time end = now + span; now < end; now = now + Span{0.1}) {
            node->tick(now);
            carry_out();
        }
    }
    void carry_out() {
        write();
        for (auto outputs = node->take_outputs(); !outputs.empty(); outputs = node->take_outputs()) {
            for (auto& output : outputs) {
                if (auto* answer = std::get_if<Answer>(&output)) answers.push_back(*answer);
                if (auto* link = std::get_if<ToLink>(&output)) {
                    to_proxy.push_back(link->message);
                    sent_on[link->link].push_back(link->message);
                    hosts_told += std::holds_alternative<messages::HostsUpdate>(link->message);
                }
                if (auto* peer = std::get_if<ToPeer>(&output)) to_peers.push_back(peer->message);
                if (const auto* wanted = std::get_if<Write>(&output)) unwritten = std::max(unwritten, wanted->number);
            }
            write();
        }
    }
    void write() {
        if (unwritten && disk_works) node->persisted(std::exchange(unwritten, 0), now);
    }
    RequestNumber ask(const std::string& method, const std::string& path, const std::string& if_match = "",
                      const std::string& body = "") {
        node->request({next, method, path, if_match, body}, now);
        carry_out();
        return next++;
    }
    int status(RequestNumber request) const {
        for (const auto& answer : answers)
            if (answer.request == request) return answer.status;
        return 0;
    }
    std::string body(RequestNumber request) const {
        for (const auto& answer : answers)
            if (answer.request == request) return answer.body;
        return {};
    }
    std::optional<uint64_t> configuration_told() {
        std::optional<uint64_t> version;
        for (const auto& message : to_proxy)
            if (const auto* told = std::get_if<messages::ConfigurationUpdate>(&message)) {
                const auto checked = configuration::read_configuration(told->body.text());
                version = std::get<configuration::Configuration>(checked).version;
                CHECK(version == told->version);
            }
        to_proxy.clear();
        return version;
    }
    void subscribe(uint64_t version = 0, LinkNumber link = proxy_link, const std::string& proxy = "edge-1") {
        messages::Subscribe subscribe;
        subscribe.node = proxy;
        subscribe.version = version;
        node->received(link, subscribe, now);
        carry_out();
    }
    template <class Kind>
    size_t count_on(LinkNumber link) const {
        const auto sent = sent_on.find(link);
        if (sent == sent_on.end()) return 0;
        return static_cast<size_t>(std::count_if(sent->second.begin(), sent->second.end(), [](const auto& message) {
            return std::holds_alternative<Kind>(message);
        }));
    }
};

inline const messages::ControlNode second{{"10.0.0.2", 7500}, {"10.0.0.2", 8367}, "south"};
inline constexpr LinkNumber second_link = 9;

inline constexpr auto heartbeat = R"({"service":"s","address":"10.9.0.1:80","state":"ready","sequence":1})";
inline constexpr auto drain = R"({"service":"s","address":"10.9.0.1:80","state":"draining","sequence":2})";

}   // namespace myrtleroute::testing
