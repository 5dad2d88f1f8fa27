// What the processes of the system say to each other, typed, and its form on the wire: JSON in frames.
//
// A frame is a length of four bytes, the lowest first, and that many bytes of JSON. Every message has a `kind`.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "consensus/types.hpp"
#include "leases/configuration_lease.hpp"
#include "leases/lease.hpp"
#include "registry/host_table.hpp"
#include "rollout/report.hpp"
#include "rollout/rollout.hpp"

namespace myrtleroute::messages {

// A process of the control role, as told to everybody who looks for one.
struct ControlNode {
    Endpoint peer;      // for processes of the system
    Endpoint control;   // for hosts and the operator
    std::string zone;
    auto operator<=>(const ControlNode&) const = default;
};

// First message of a control node on a connection to another one.
struct PeerHello {
    consensus::ReplicaId replica;
    ControlNode node;
    bool may_vote = false;
    std::vector<ControlNode> known;   // control nodes that the sender knows
};

struct ConsensusMessage {
    uint64_t to_disk = 0;   // the replica meant; another one at its endpoint drops the message
    consensus::Message message;
};

// Hosts that are new or have changed. Where `confirm` is not 0 the receiver tells when it has them on disk.
struct HostsUpdate {
    std::vector<registry::Host> hosts;
    uint64_t confirmation_id = 0;
    bool complete = false;   // these are all that the sender knows of
};
struct HostsConfirmation {
    uint64_t confirmation_id = 0;
};

// Heartbeats heard of hosts that have not changed.
struct HostHeartbeats {
    std::vector<std::pair<std::string, uint64_t>> sequences;   // by host id
};

// Proxies subscribed at the sender, and how it stands. Told several times a second.
struct ProxiesStatus {
    std::optional<std::vector<std::string>> proxies;   // by node name; nothing: those that were told last
    size_t subscribers = 0;
    bool current = false;   // the sender is in touch with a leader that has a quorum
    double weight = 1;      // how many subscribers it bears, in proportion to other control nodes
};

// First message of a proxy on its subscription.
struct Subscribe {
    std::string node;
    uint64_t version = 0;   // of the configuration it has
    std::string zone;
};

struct ConfigurationUpdate {
    uint64_t version = 0;
    PackedText body;   // as the operator sent it
};

// The rollouts as they were last committed; told before the hosts, whose versions they are about.
struct RolloutsUpdate {
    rollout::Rollouts rollouts;
};

// Told to each subscriber several times a second.
struct FleetStatus {
    bool current = false;             // the sender is in touch with a leader that has a quorum
    bool current_elsewhere = false;   // it is not, and another control node may be
    size_t proxy_index = 0;           // of the receiver among the proxies
    size_t proxy_count = 1;
    std::vector<ControlNode> control_nodes;
    std::optional<ControlNode> move_to;   // where the receiver should subscribe instead
};

// Proxies ask for leases at the control node to which they subscribe; asks and replies go by way of it to the leader and
// back, and so do ballots.
using Message = std::variant<PeerHello, ConsensusMessage, HostsUpdate, HostsConfirmation, HostHeartbeats, ProxiesStatus,
                             Subscribe, leases::LeaseRequest, leases::LeaseReply, leases::ConfigurationLeaseRequest,
                             leases::ConfigurationLeaseReply, ConfigurationUpdate, FleetStatus, RolloutsUpdate,
                             rollout::RolloutReport>;

std::string encode(const Message& message);             // the JSON, without a frame
std::optional<Message> decode(std::string_view json);   // nothing where it is no sound message

// A record on disk: what has changed, or all of it.
struct Record {
    uint64_t disk = 0;
    std::optional<consensus::HardState> hard_state;
    std::optional<consensus::Entry> entry;
    std::optional<std::vector<registry::Host>> hosts;   // as known a moment ago; only a help after a restart
};
std::string encode_record(const Record& record);
std::optional<Record> decode_record(std::string_view json);

constexpr size_t max_frame_bytes = 16 << 20;
std::string frame(std::string_view json);

// Cuts a stream of bytes into frames.
class FrameReader {
public:
    void feed(std::string_view bytes) { buffer_.append(bytes); }
    std::optional<std::string> next();                // a frame's JSON, nothing until one is whole
    bool frame_too_long() const { return broken_; }   // a frame is longer than any may be

private:
    std::string buffer_;
    size_t taken_ = 0;
    bool broken_ = false;
};

}   // namespace myrtleroute::messages
