// The proxy's subscription as a state machine: connects to one control node at a time, either the nearest one that
// reaches a quorum or one that a control node names. It stays with a node without a quorum while no better one is
// known. The driver owns the connection, reports its events and carries out the outputs.
#pragma once
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "memory/connection.hpp"
#include "messages/messages.hpp"
#include "random.hpp"

namespace myrtleroute::proxy {

// Open a connection to a control node; none is open.
struct OpenConnection {
    Endpoint to;
};
struct SendMessage {
    messages::Message message;
};
// Close the connection; the driver does not report the end.
struct CloseConnection {
    memory::CloseReason why = memory::CloseReason::told_to_close;
};
// A message received from the control node.
struct MessageReceived {
    messages::Message message;
};
using SubscriberOutput = std::variant<OpenConnection, SendMessage, CloseConnection, MessageReceived>;

struct SubscriberOptions {
    std::string node;      // node name of this proxy
    std::string address;   // address of its machine
    std::string zone;
    uint64_t seed = 1;
};

class Subscriber {
public:
    static constexpr size_t max_nodes = 64;

    explicit Subscriber(SubscriberOptions options);

    void add_seeds(const std::vector<messages::ControlNode>& seeds);
    // The connection is established. `version`: of the configuration that this proxy has.
    void opened(uint64_t version, Time now);
    void failed(Time now);   // the connection broke or could not be established
    void received(const messages::Message& message, Time now);
    void tick(Time now);   // called several times a second

    std::vector<SubscriberOutput> take_outputs() { return std::exchange(outputs_, {}); }
    bool is_open() const { return state_ == ConnectionState::open; }
    const Endpoint& at() const { return at_; }   // the current or last control node
    size_t nodes() const { return nodes_.size(); }
    uint64_t evicted() const { return evicted_; }   // control nodes evicted because the table was full

private:
    struct Node {
        messages::ControlNode node;
        Time failed = long_ago;           // last time that it was silent, unreachable or without a quorum
        Time lost_quorum_at = long_ago;   // last time that it was left for having no quorum
        uint64_t last_mention = 0;        // order of its last mention by the settings or a control node
    };
    enum class ConnectionState { none, opening, open };
    Node* choose(Time now);
    int distance(const Node& node, Time now) const;
    bool is_suspected(const std::string& zone, Time now) const;
    void leave(memory::CloseReason why, Time now);
    Node& add_or_update(const messages::ControlNode& info);
    void evict_oldest();
    void track_quorum(const messages::FleetStatus& fleet, Time now);
    void move(const messages::ControlNode& to, Time now);
    void open(const Endpoint& to, Time now);

    SubscriberOptions options_;
    Pcg rng_;
    std::vector<SubscriberOutput> outputs_;
    std::map<Endpoint, Node> nodes_;   // keyed by peer endpoint
    ConnectionState state_ = ConnectionState::none;
    Endpoint at_;
    Time last_received_ = long_ago, no_quorum_since_ = long_ago;
    Span connect_timeout_;
    Span no_quorum_timeout_;   // wait before leaving a node without a quorum; doubled each time
    uint64_t mention_count_ = 0, evicted_ = 0;
};

}   // namespace myrtleroute::proxy
