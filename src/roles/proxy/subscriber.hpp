// The proxy's side of a subscription, as a state machine: one control node at a time, the nearest that is in touch with
// a majority, or the one that a control node names. It stays with a node that is out of touch while no other is known to be
// better off. The driver owns the connection; it tells what becomes of it and carries out what `take_outputs` returns.
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

// Opens a connection to a control node; there is none.
struct OpenLink {
    Endpoint to;
};
struct SendOnLink {
    messages::Message message;
};
// Ends the connection; its end is not told back.
struct CloseLink {
    memory::CloseReason why = memory::CloseReason::told_to_close;
};
// What the control node has said.
struct MessageReceived {
    messages::Message message;
};
using SubscriberOutput = std::variant<OpenLink, SendOnLink, CloseLink, MessageReceived>;

struct SubscriberOptions {
    std::string node;      // name of this proxy
    std::string address;   // of its machine
    std::string zone;
    uint64_t seed = 1;
};

class Subscriber {
public:
    static constexpr size_t most_nodes = 64;

    explicit Subscriber(SubscriberOptions options);

    void add_seeds(const std::vector<messages::ControlNode>& seeds);
    // The connection is up. `version`: of the configuration that this proxy has.
    void opened(uint64_t version, Time now);
    void failed(Time now);   // the connection broke or did not come up
    void received(const messages::Message& message, Time now);
    void tick(Time now);   // several times a second

    std::vector<SubscriberOutput> take_outputs() { return std::exchange(outputs_, {}); }
    bool is_open() const { return link_ == Link::open; }
    const Endpoint& at() const { return at_; }   // the control node that is or was connected to last
    size_t nodes() const { return nodes_.size(); }
    uint64_t forgotten() const { return forgotten_; }   // control nodes that gave way for want of room

private:
    struct Node {
        messages::ControlNode node;
        Time failed = long_ago;         // last time that it was silent, unreachable or out of touch with a majority
        Time out_of_touch = long_ago;   // last time that it was left for that last reason
        uint64_t named = 0;   // when it was last named by settings or a control node, in the order of such words
    };
    enum class Link { none, opening, open };
    Node* choose(Time now);
    int distance(const Node& node, Time now) const;
    bool is_suspected(const std::string& zone, Time now) const;
    void leave(memory::CloseReason why, Time now);
    Node& know(const messages::ControlNode& told);
    void forget_one();
    void hear_contact(const messages::FleetStatus& fleet, Time now);
    void move(const messages::ControlNode& to, Time now);
    void open(const Endpoint& to, Time now);

    SubscriberOptions options_;
    Pcg chance_;
    std::vector<SubscriberOutput> outputs_;
    std::map<Endpoint, Node> nodes_;   // by peer endpoint
    Link link_ = Link::none;
    Endpoint at_;
    Time heard_ = long_ago, out_of_touch_since_ = long_ago;
    Span open_within_;
    Span patience_;   // with a node that is out of touch; longer each time that one was left for it
    uint64_t words_ = 0, forgotten_ = 0;
};

}   // namespace myrtleroute::proxy
