// Messages between the processes of the system, and their encoding on the wire: JSON in frames.
//
// A frame is a 4-byte little-endian length followed by that many bytes of JSON. Every message has a `kind`. The records
// that a control node stores on its disk are encoded here too.
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

// Addresses of a control node.
struct ControlNode {
    Endpoint peer;      // for other processes of the system
    Endpoint control;   // for hosts and the operator
    std::string zone;
    auto operator<=>(const ControlNode&) const = default;
};

// First message of a control node on a connection to another control node.
struct PeerHello {
    consensus::ReplicaId replica;
    ControlNode node;
    bool may_vote = false;
    std::vector<ControlNode> known;   // control nodes known to the sender
};

struct ConsensusMessage {
    uint64_t to_disk = 0;   // disk id of the addressed replica; another replica at its endpoint drops the message
    consensus::Message message;
};

// Hosts that are new or have changed. If `confirmation_id` is not 0, the receiver replies with a HostsConfirmation once
// it has stored them on its disk.
struct HostsUpdate {
    std::vector<registry::Host> hosts;
    uint64_t confirmation_id = 0;
    bool complete = false;   // these are all hosts known to the sender
};

// Reply to a HostsUpdate: its hosts are stored on the disk of the sender of this message.
struct HostsConfirmation {
    uint64_t confirmation_id = 0;
};

// Heartbeats received from hosts that have not changed.
struct HostHeartbeats {
    std::vector<std::pair<std::string, uint64_t>> sequences;   // host id and the heartbeat's sequence number
};

// The proxies subscribed at the sending control node, and its state. Sent to other control nodes several times per
// second.
struct ProxiesStatus {
    std::optional<std::vector<std::string>> proxies;   // node names; nullopt: unchanged since last sent
    size_t subscribers = 0;
    bool current = false;   // the sender has contact to a leader that has a quorum
    double weight = 1;      // the sender's capacity for subscribers, relative to other control nodes
};

// First message of a proxy on its subscription to a control node.
struct Subscribe {
    std::string node;
    uint64_t version = 0;   // of the proxy's configuration
    std::string zone;
};

// The committed configuration.
struct ConfigurationUpdate {
    uint64_t version = 0;
    PackedText body;   // the operator's document, unchanged
};

// The committed rollouts. Sent before the hosts whose versions they refer to.
struct RolloutsUpdate {
    rollout::Rollouts rollouts;
};

// Sent to each subscribed proxy several times per second.
struct FleetStatus {
    bool current = false;             // the sender has contact to a leader that has a quorum
    bool current_elsewhere = false;   // the sender has no such contact, but another control node may have it
    size_t proxy_index = 0;           // the receiver's index among the proxies
    size_t proxy_count = 1;
    std::vector<ControlNode> control_nodes;
    std::optional<ControlNode> move_to;   // control node where the receiver should subscribe instead
};

// Proxies request leases from the control node that they subscribe to. It relays the requests to the leader and the
// replies back, and relays rollout reports in the same way.
using Message = std::variant<PeerHello, ConsensusMessage, HostsUpdate, HostsConfirmation, HostHeartbeats, ProxiesStatus,
                             Subscribe, leases::LeaseRequest, leases::LeaseReply, leases::ConfigurationLeaseRequest,
                             leases::ConfigurationLeaseReply, ConfigurationUpdate, FleetStatus, RolloutsUpdate,
                             rollout::RolloutReport>;

std::string encode(const Message& message);             // JSON without a frame
std::optional<Message> decode(std::string_view json);   // nullopt if the message is invalid or of an unknown kind

// A record on a control node's disk: a change, or the whole state.
struct Record {
    uint64_t disk = 0;   // id of the disk
    std::optional<consensus::HardState> hard_state;
    std::optional<consensus::Entry> entry;
    std::optional<std::vector<registry::Host>> hosts;   // may be slightly out of date; a starting point after a restart
};
std::string encode_record(const Record& record);
std::optional<Record> decode_record(std::string_view json);   // nullopt if the record is invalid

constexpr size_t max_frame_bytes = 16 << 20;   // of JSON
std::string frame(std::string_view json);      // prepends the length

// Splits a byte stream into frames.
class FrameReader {
public:
    void feed(std::string_view bytes) { buffer_.append(bytes); }
    std::optional<std::string> next();   // the next frame's JSON; nullopt until the frame is complete
    // Whether a frame exceeded `max_frame_bytes`; no further frames are read then.
    bool frame_too_long() const { return frame_too_long_; }

private:
    std::string buffer_;
    size_t consumed_ = 0;   // bytes of `buffer_` that belong to frames already returned
    bool frame_too_long_ = false;
};

}   // namespace myrtleroute::messages
