#include "messages/messages.hpp"

#include <cmath>
#include <nlohmann/json.hpp>

using Json = nlohmann::json;

// JSON conversion of each type; nlohmann/json finds these functions by argument-dependent lookup in the type's
// namespace.
namespace myrtleroute {

void to_json(Json& j, const Endpoint& e) { j = e.text(); }
void from_json(const Json& j, Endpoint& e) {
    const auto parsed = parse_endpoint(j.get<std::string>());
    if (!parsed) throw std::runtime_error("invalid endpoint");
    e = *parsed;
}

// A long text is written in packed form, as the only member of an object; a short one as a plain string. Plain strings
// of any length are read, since earlier versions wrote them.
void to_json(Json& j, const PackedText& t) {
    if (t.should_pack())
        j = {{"zlib", t.packed()}};
    else
        j = t.text();
}
void from_json(const Json& j, PackedText& t) {
    if (j.is_string()) {
        t = j.get<std::string>();
        return;
    }
    auto unpacked = PackedText::unpack(j.at("zlib").get_ref<const std::string&>(), messages::max_frame_bytes);
    if (!unpacked) throw std::runtime_error("invalid packed text");
    t = std::move(*unpacked);
}

namespace rollout {

void to_json(Json& j, const Rollout& r) {
    j = {{"number", r.number},
         {"service", r.service},
         {"target", r.target_version},
         {"duration", r.duration},
         {"stage", static_cast<int>(r.stage)},
         {"rejected", r.rejected}};
}
void from_json(const Json& j, Rollout& r) {
    j.at("number").get_to(r.number), j.at("service").get_to(r.service);
    j.at("target").get_to(r.target_version), j.at("duration").get_to(r.duration);
    j.at("rejected").get_to(r.rejected);
    const int stage = j.at("stage").get<int>();
    if (stage < 0 || stage > static_cast<int>(Stage::rolled_back))
        throw std::runtime_error("invalid stage of a rollout");
    r.stage = static_cast<Stage>(stage);
}
void to_json(Json& j, const Rollouts& r) { j = {{"revision", r.revision}, {"all", r.all}}; }
void from_json(const Json& j, Rollouts& r) { j.at("revision").get_to(r.revision), j.at("all").get_to(r.all); }

void to_json(Json& j, const Tally& t) { j = Json::array({t.requests, t.bad}); }
void from_json(const Json& j, Tally& t) {
    j.at(0).get_to(t.requests), j.at(1).get_to(t.bad);
    if (t.bad > t.requests) throw std::runtime_error("invalid tally: more bad requests than requests");
}
void to_json(Json& j, const CandidateTally& c) { j = Json::array({c.host, c.tally}); }
void from_json(const Json& j, CandidateTally& c) { j.at(0).get_to(c.host), j.at(1).get_to(c.tally); }
void to_json(Json& j, const RouteEvidence& e) { j = Json::array({e.route, e.serving, e.candidates}); }
void from_json(const Json& j, RouteEvidence& e) {
    j.at(0).get_to(e.route), j.at(1).get_to(e.serving), j.at(2).get_to(e.candidates);
}
void to_json(Json& j, const RolloutReport& b) {
    j = {{"node", b.node},       {"zone", b.zone}, {"life", b.incarnation}, {"sequence", b.sequence},
         {"rollout", b.rollout}, {"age", b.age},   {"stage", b.stage},      {"open", b.open_at_serving},
         {"routes", b.routes}};
}
void from_json(const Json& j, RolloutReport& b) {
    j.at("node").get_to(b.node), j.at("zone").get_to(b.zone), j.at("life").get_to(b.incarnation);
    j.at("sequence").get_to(b.sequence), j.at("rollout").get_to(b.rollout), j.at("age").get_to(b.age);
    j.at("stage").get_to(b.stage), j.at("open").get_to(b.open_at_serving), j.at("routes").get_to(b.routes);
}

}   // namespace rollout

namespace consensus {

void to_json(Json& j, const ReplicaId& r) { j = Json::array({r.endpoint, r.disk}); }
void from_json(const Json& j, ReplicaId& r) { j.at(0).get_to(r.endpoint), j.at(1).get_to(r.disk); }
void to_json(Json& j, const Position& p) { j = Json::array({p.term, p.index}); }
void from_json(const Json& j, Position& p) { j.at(0).get_to(p.term), j.at(1).get_to(p.index); }
void to_json(Json& j, const AcceptedConfiguration& a) { j = Json::array({a.version, a.digest}); }
void from_json(const Json& j, AcceptedConfiguration& a) { j.at(0).get_to(a.version), j.at(1).get_to(a.digest); }
void to_json(Json& j, const ClusterState& s) {
    j = {{"voters", s.voters},
         {"version", s.version},
         {"body", s.configuration},
         {"accepted", s.accepted},
         {"lease_holders", s.lease_holders}};
    if (s.rollouts.revision > 0) j["rollouts"] = s.rollouts;
}
void from_json(const Json& j, ClusterState& s) {
    j.at("voters").get_to(s.voters), j.at("version").get_to(s.version);
    j.at("body").get_to(s.configuration), j.at("accepted").get_to(s.accepted);
    if (j.contains("lease_holders")) j.at("lease_holders").get_to(s.lease_holders);   // absent in older records
    if (j.contains("rollouts")) j.at("rollouts").get_to(s.rollouts);
}
void to_json(Json& j, const Entry& e) { j = {{"position", e.position}, {"state", e.state}}; }
void from_json(const Json& j, Entry& e) { j.at("position").get_to(e.position), j.at("state").get_to(e.state); }
void to_json(Json& j, const HardState& h) {
    j = {{"term", h.term}};
    if (h.voted_for) j["voted_for"] = *h.voted_for;
}
void from_json(const Json& j, HardState& h) {
    j.at("term").get_to(h.term);
    if (j.contains("voted_for")) h.voted_for = j.at("voted_for").get<ReplicaId>();
}
void to_json(Json& j, const VoteRequest& m) {
    j = {{"trial", m.pre_vote}, {"term", m.term}, {"last", m.last}, {"transfer", m.transfer}};
}
void from_json(const Json& j, VoteRequest& m) {
    j.at("trial").get_to(m.pre_vote), j.at("term").get_to(m.term);
    j.at("last").get_to(m.last), j.at("transfer").get_to(m.transfer);
}
void to_json(Json& j, const VoteReply& m) {
    j = {{"trial", m.pre_vote}, {"term", m.term}, {"granted", m.granted}, {"quiet", m.leaderless}};
}
void from_json(const Json& j, VoteReply& m) {
    j.at("trial").get_to(m.pre_vote), j.at("term").get_to(m.term);
    j.at("granted").get_to(m.granted), j.at("quiet").get_to(m.leaderless);
}
void to_json(Json& j, const Append& m) {
    j = {{"term", m.term},
         {"round", m.round},
         {"last", m.last},
         {"commit", m.commit},
         {"everywhere", m.fully_replicated},
         {"answered", m.acknowledged_round}};
    if (m.state) j["state"] = *m.state;
}
void from_json(const Json& j, Append& m) {
    j.at("term").get_to(m.term), j.at("round").get_to(m.round);
    j.at("last").get_to(m.last), j.at("commit").get_to(m.commit);
    j.at("everywhere").get_to(m.fully_replicated), j.at("answered").get_to(m.acknowledged_round);
    if (j.contains("state")) m.state = j.at("state").get<ClusterState>();
}
void to_json(Json& j, const AppendReply& m) { j = {{"term", m.term}, {"round", m.round}, {"held", m.persisted}}; }
void from_json(const Json& j, AppendReply& m) {
    j.at("term").get_to(m.term), j.at("round").get_to(m.round), j.at("held").get_to(m.persisted);
}
void to_json(Json& j, const TransferLeadership& m) { j = {{"term", m.term}}; }
void from_json(const Json& j, TransferLeadership& m) { j.at("term").get_to(m.term); }
void to_json(Json& j, const Departure& m) { j = {{"term", m.term}}; }
void from_json(const Json& j, Departure& m) { j.at("term").get_to(m.term); }
void to_json(Json& j, const ReadRequest& m) {
    j = {{"term", m.term}, {"number", m.number}};
    if (m.can_wait) j["patient"] = true;
}
void from_json(const Json& j, ReadRequest& m) {
    j.at("term").get_to(m.term), j.at("number").get_to(m.number);
    m.can_wait = j.value("patient", false);
}
void to_json(Json& j, const ReadReply& m) { j = {{"term", m.term}, {"number", m.number}, {"index", m.index}}; }
void from_json(const Json& j, ReadReply& m) {
    j.at("term").get_to(m.term), j.at("number").get_to(m.number), j.at("index").get_to(m.index);
}

}   // namespace consensus

namespace registry {

void to_json(Json& j, const Host& h) {
    j = {{"id", h.id},
         {"service", h.service},
         {"address", h.address},
         {"zone", h.zone},
         {"capacity", h.capacity},
         {"state", static_cast<int>(h.state)},
         {"sequence", h.sequence}};
    if (!h.version.empty()) j["version"] = h.version;
}
void from_json(const Json& j, Host& h) {
    j.at("id").get_to(h.id), j.at("service").get_to(h.service), j.at("address").get_to(h.address);
    j.at("zone").get_to(h.zone), j.at("capacity").get_to(h.capacity), j.at("sequence").get_to(h.sequence);
    const int state = j.at("state").get<int>();
    h.version = j.value("version", "");
    if (state < 0 || state > static_cast<int>(HostState::gone)) throw std::runtime_error("invalid state of a host");
    h.state = static_cast<HostState>(state);
}

}   // namespace registry

namespace leases {
namespace {

// Large amounts are sent in whole units, small ones in thousandths. Granted amounts are rounded down and held amounts
// are rounded up, so that rounding never adds units. `tolerance` allows for the rounding error of floating-point
// arithmetic.
constexpr double large_amount = 1000, thousandths = 1000, tolerance = 1e-6;
double steps_per_unit(double units) { return units >= large_amount ? 1 : thousandths; }
double rounded_down(double units) {
    return std::floor(units * steps_per_unit(units) + tolerance) / steps_per_unit(units);
}
double rounded_up(double units) { return std::ceil(units * steps_per_unit(units) - tolerance) / steps_per_unit(units); }

}   // namespace

void to_json(Json& j, const HolderId& h) { j = Json::array({h.node, h.incarnation}); }
void from_json(const Json& j, HolderId& h) { j.at(0).get_to(h.node), j.at(1).get_to(h.incarnation); }
void to_json(Json& j, const LeaseStatus& l) {
    j = Json::array({rounded_up(l.demand), rounded_up(l.held), rounded_down(l.returned), rounded_up(l.needed),
                     rounded_up(l.needed_by_first), rounded_up(l.reserve_rate), rounded_down(l.idle)});
}
void from_json(const Json& j, LeaseStatus& l) {
    j.at(0).get_to(l.demand), j.at(1).get_to(l.held), j.at(2).get_to(l.returned);
    j.at(3).get_to(l.needed), j.at(4).get_to(l.needed_by_first);
    j.at(5).get_to(l.reserve_rate), j.at(6).get_to(l.idle);
}
void to_json(Json& j, const LeaseGrant& l) {
    j = Json::array({rounded_down(l.granted), rounded_down(l.target), rounded_down(l.threshold),
                     rounded_down(l.reserve_rate), rounded_down(l.reserve_cap), std::round(l.overload * 100) / 100});
}
void from_json(const Json& j, LeaseGrant& l) {
    j.at(0).get_to(l.granted), j.at(1).get_to(l.target), j.at(2).get_to(l.threshold);
    j.at(3).get_to(l.reserve_rate), j.at(4).get_to(l.reserve_cap), j.at(5).get_to(l.overload);
}
void to_json(Json& j, const LeaseRequest& m) {
    j = {{"holder", m.holder},         {"number", m.number},  {"applied", m.applied}, {"applied_term", m.applied_term},
         {"age", rounded_down(m.age)}, {"tenants", m.tenants}};
}
void from_json(const Json& j, LeaseRequest& m) {
    j.at("holder").get_to(m.holder), j.at("number").get_to(m.number);
    j.at("applied").get_to(m.applied), j.at("applied_term").get_to(m.applied_term), j.at("age").get_to(m.age),
        j.at("tenants").get_to(m.tenants);
}
void to_json(Json& j, const LeaseReply& m) {
    j = {{"holder", m.holder},
         {"number", m.number},
         {"term", m.term},
         {"confirm", m.request_again},
         {"tenants", m.tenants}};
}
void from_json(const Json& j, LeaseReply& m) {
    j.at("holder").get_to(m.holder), j.at("number").get_to(m.number), j.at("term").get_to(m.term);
    j.at("confirm").get_to(m.request_again), j.at("tenants").get_to(m.tenants);
}

void to_json(Json& j, const ConfigurationLeaseRequest& m) { j = {{"number", m.number}}; }
void from_json(const Json& j, ConfigurationLeaseRequest& m) { j.at("number").get_to(m.number); }
void to_json(Json& j, const ConfigurationLeaseReply& m) { j = {{"number", m.number}, {"version", m.version}}; }
void from_json(const Json& j, ConfigurationLeaseReply& m) {
    j.at("number").get_to(m.number), j.at("version").get_to(m.version);
}

}   // namespace leases

namespace messages {
namespace {

template <class Alternative>
struct Kind;   // the message type's `kind` on the wire
#define MYRTLEROUTE_KIND(type, name)               \
    template <>                                    \
    struct Kind<type> {                            \
        static constexpr const char* value = name; \
    }
MYRTLEROUTE_KIND(consensus::VoteRequest, "vote");
MYRTLEROUTE_KIND(consensus::VoteReply, "voted");
MYRTLEROUTE_KIND(consensus::Append, "append");
MYRTLEROUTE_KIND(consensus::AppendReply, "appended");
MYRTLEROUTE_KIND(consensus::TransferLeadership, "transfer");
MYRTLEROUTE_KIND(consensus::ReadRequest, "read");
MYRTLEROUTE_KIND(consensus::ReadReply, "read_at");
MYRTLEROUTE_KIND(consensus::Departure, "departs");
MYRTLEROUTE_KIND(PeerHello, "hello");
MYRTLEROUTE_KIND(ConsensusMessage, "consensus");
MYRTLEROUTE_KIND(HostsUpdate, "hosts");
MYRTLEROUTE_KIND(HostsConfirmation, "hosts_confirmed");
MYRTLEROUTE_KIND(HostHeartbeats, "hosts_heard");
MYRTLEROUTE_KIND(ProxiesStatus, "proxies");
MYRTLEROUTE_KIND(Subscribe, "subscribe");
MYRTLEROUTE_KIND(leases::LeaseRequest, "lease_ask");
MYRTLEROUTE_KIND(leases::LeaseReply, "lease_reply");
MYRTLEROUTE_KIND(leases::ConfigurationLeaseRequest, "configuration_lease_ask");
MYRTLEROUTE_KIND(leases::ConfigurationLeaseReply, "configuration_lease");
MYRTLEROUTE_KIND(ConfigurationUpdate, "configuration");
MYRTLEROUTE_KIND(FleetStatus, "fleet");
MYRTLEROUTE_KIND(RolloutsUpdate, "rollouts");
MYRTLEROUTE_KIND(rollout::RolloutReport, "ballot");
#undef MYRTLEROUTE_KIND

// Reads the alternative of `Variant` whose kind is `kind`; nullopt if there is none.
template <class Variant, size_t I = 0>
std::optional<Variant> read_alternative(const std::string& kind, const Json& j) {
    if constexpr (I == std::variant_size_v<Variant>) {
        return {};
    } else {
        using Alternative = std::variant_alternative_t<I, Variant>;
        if (kind == Kind<Alternative>::value) return Variant(j.get<Alternative>());
        return read_alternative<Variant, I + 1>(kind, j);
    }
}

template <class Variant>
Json write_alternative(const Variant& variant) {
    return std::visit(
        [](const auto& typed) {
            Json j = typed;
            j["kind"] = Kind<std::decay_t<decltype(typed)>>::value;
            return j;
        },
        variant);
}

}   // namespace

void to_json(Json& j, const ControlNode& n) { j = {{"peer", n.peer}, {"control", n.control}, {"zone", n.zone}}; }
void from_json(const Json& j, ControlNode& n) {
    j.at("peer").get_to(n.peer), j.at("control").get_to(n.control), j.at("zone").get_to(n.zone);
}
void to_json(Json& j, const PeerHello& m) {
    j = {{"replica", m.replica}, {"node", m.node}, {"may_vote", m.may_vote}, {"known", m.known}};
}
void from_json(const Json& j, PeerHello& m) {
    j.at("replica").get_to(m.replica), j.at("node").get_to(m.node);
    j.at("may_vote").get_to(m.may_vote), j.at("known").get_to(m.known);
}
void to_json(Json& j, const ConsensusMessage& m) {
    j = {{"to_disk", m.to_disk}, {"message", write_alternative(m.message)}};
}
void from_json(const Json& j, ConsensusMessage& m) {
    j.at("to_disk").get_to(m.to_disk);
    const auto& inner = j.at("message");
    auto read = read_alternative<consensus::Message>(inner.at("kind").get<std::string>(), inner);
    if (!read) throw std::runtime_error("unknown kind of consensus message");
    m.message = std::move(*read);
}
void to_json(Json& j, const HostsUpdate& m) {
    j = {{"hosts", m.hosts}, {"confirm", m.confirmation_id}, {"all", m.complete}};
}
void from_json(const Json& j, HostsUpdate& m) {
    j.at("hosts").get_to(m.hosts), j.at("confirm").get_to(m.confirmation_id), j.at("all").get_to(m.complete);
}
void to_json(Json& j, const HostsConfirmation& m) { j = {{"confirm", m.confirmation_id}}; }
void from_json(const Json& j, HostsConfirmation& m) { j.at("confirm").get_to(m.confirmation_id); }
void to_json(Json& j, const HostHeartbeats& m) { j = {{"sequences", m.sequences}}; }
void from_json(const Json& j, HostHeartbeats& m) { j.at("sequences").get_to(m.sequences); }
void to_json(Json& j, const ProxiesStatus& m) {
    j = {{"subscribers", m.subscribers}, {"current", m.current}, {"weight", m.weight}};
    if (m.proxies) j["proxies"] = *m.proxies;
}
void from_json(const Json& j, ProxiesStatus& m) {
    j.at("subscribers").get_to(m.subscribers), j.at("current").get_to(m.current), j.at("weight").get_to(m.weight);
    if (j.contains("proxies")) m.proxies = j.at("proxies").get<std::vector<std::string>>();
}
void to_json(Json& j, const Subscribe& m) { j = {{"node", m.node}, {"version", m.version}, {"zone", m.zone}}; }
void from_json(const Json& j, Subscribe& m) {
    j.at("node").get_to(m.node), j.at("version").get_to(m.version), j.at("zone").get_to(m.zone);
}
void to_json(Json& j, const ConfigurationUpdate& m) { j = {{"version", m.version}, {"body", m.body}}; }
void from_json(const Json& j, ConfigurationUpdate& m) {
    j.at("version").get_to(m.version), j.at("body").get_to(m.body);
}
void to_json(Json& j, const RolloutsUpdate& m) { j = {{"rollouts", m.rollouts}}; }
void from_json(const Json& j, RolloutsUpdate& m) { j.at("rollouts").get_to(m.rollouts); }
void to_json(Json& j, const FleetStatus& m) {
    j = {{"current", m.current},
         {"current_elsewhere", m.current_elsewhere},
         {"place", m.proxy_index},
         {"proxies", m.proxy_count},
         {"controls", m.control_nodes}};
    if (m.move_to) j["move_to"] = *m.move_to;
}
void from_json(const Json& j, FleetStatus& m) {
    j.at("current").get_to(m.current), j.at("current_elsewhere").get_to(m.current_elsewhere);
    j.at("place").get_to(m.proxy_index), j.at("proxies").get_to(m.proxy_count),
        j.at("controls").get_to(m.control_nodes);
    if (j.contains("move_to")) m.move_to = j.at("move_to").get<ControlNode>();
}

std::string encode(const Message& message) {
    return write_alternative(message).dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<Message> decode(std::string_view json) {
    try {
        const Json j = Json::parse(json);
        return read_alternative<Message>(j.at("kind").get<std::string>(), j);
    } catch (const std::exception&) {   // malformed JSON, a missing member or an invalid value
        return {};
    }
}

std::string encode_record(const Record& record) {
    Json j = {{"disk", record.disk}};
    if (record.hard_state) j["hard_state"] = *record.hard_state;
    if (record.entry) j["entry"] = *record.entry;
    if (record.hosts) j["hosts"] = *record.hosts;
    return j.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<Record> decode_record(std::string_view json) {
    try {
        const Json j = Json::parse(json);
        Record record;
        j.at("disk").get_to(record.disk);
        if (j.contains("hard_state")) record.hard_state = j.at("hard_state").get<consensus::HardState>();
        if (j.contains("entry")) record.entry = j.at("entry").get<consensus::Entry>();
        if (j.contains("hosts")) record.hosts = j.at("hosts").get<std::vector<registry::Host>>();
        return record;
    } catch (const std::exception&) {
        return {};
    }
}

std::string frame(std::string_view json) {
    const auto length = static_cast<uint32_t>(json.size());
    std::string bytes;
    bytes.reserve(json.size() + sizeof length);
    for (int shift = 0; shift < 32; shift += 8) bytes.push_back(static_cast<char>(length >> shift));
    return bytes.append(json);
}

std::optional<std::string> FrameReader::next() {
    constexpr size_t header_bytes = 4;
    if (frame_too_long_ || buffer_.size() - consumed_ < header_bytes) return {};
    uint32_t length = 0;
    for (size_t i = 0; i < header_bytes; ++i)
        length |= static_cast<uint32_t>(static_cast<unsigned char>(buffer_[consumed_ + i])) << (8 * i);
    if (length > max_frame_bytes) {
        frame_too_long_ = true;
        return {};
    }
    if (buffer_.size() - consumed_ - header_bytes < length) {
        buffer_.erase(0, std::exchange(consumed_, 0));
        return {};
    }
    auto json = buffer_.substr(consumed_ + header_bytes, length);
    consumed_ += header_bytes + length;
    if (consumed_ == buffer_.size()) {
        buffer_.clear();
        consumed_ = 0;
    }
    return json;
}

}   // namespace messages
}   // namespace myrtleroute
