#include "roles/proxy/subscription.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

#include "base/bounds.hpp"
#include "roles/log.hpp"

namespace myrtleroute::proxy {
namespace {

using memory::CloseReason;
using memory::Connection;

constexpr size_t max_in = 256 * 1024, max_out = 256 * 1024;
constexpr int unacknowledged_ms = 1500;   // TCP_USER_TIMEOUT: afterwards the peer counts as dead

}   // namespace

struct Subscription::ControlConnection : Connection {
    ControlConnection(memory::ConnectionHandler& by, int fd) : Connection(by, fd, max_in, max_out) {}
    std::string name() const override { return "control"; }
    messages::FrameReader reader;
};

Subscription::Subscription(Context& context, Events events)
    : context_(context),
      events_(std::move(events)),
      subscriber_({context.settings.node_name, context.settings.reachable_address(), context.settings.zone,
                   context.rng.next()}),
      evicted_nodes_(bound_reached_counter(context.metrics, "control_nodes")) {
    add_seeds();
}

void Subscription::add_seeds() {
    std::vector<messages::ControlNode> seeds;
    for (const auto& seed : context_.settings.seeds)
        seeds.push_back({{seed.address, context_.settings.first_internal_port}, seed, ""});
    subscriber_.add_seeds(seeds);
}

void Subscription::settings_changed() { add_seeds(); }

void Subscription::stop() {
    stopped_ = true;
    if (connection_) end(CloseReason::stopping);
}

void Subscription::tick() {
    if (stopped_) return;
    subscriber_.tick(context_.now());
    execute_outputs();
    evicted_nodes_.add(static_cast<double>(subscriber_.evicted()) - evicted_nodes_.value());
}

void Subscription::execute_outputs() {
    for (auto outputs = subscriber_.take_outputs(); !outputs.empty(); outputs = subscriber_.take_outputs())
        for (const auto& output : outputs) {
            if (const auto* to = std::get_if<OpenConnection>(&output))
                open(to->to);
            else if (const auto* message = std::get_if<SendMessage>(&output))
                send(message->message);
            else if (const auto* close = std::get_if<CloseConnection>(&output))
                end(close->why);
            else
                deliver(std::get<MessageReceived>(output).message);
        }
}

void Subscription::open(const Endpoint& to) {
    const auto address = wire::parse_endpoint(to.text());
    bool immediate = false;
    const int fd = address ? context_.system.connect(*address, immediate) : -1;
    if (fd < 0) return subscriber_.failed(context_.now());
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms, sizeof unacknowledged_ms);
    auto control = std::make_unique<ControlConnection>(*this, fd);
    control->connecting = !immediate;
    connection_ = &context_.loop.add(std::move(control));
    connected_to_ = to;
    if (immediate) on_connected(*connection_);
}

void Subscription::send_if_open(const messages::Message& message) {
    if (subscriber_.is_open()) send(message);
}

void Subscription::on_connected(Connection&) {
    log_info() << "connected to control node " << subscriber_.at().text();
    subscriber_.opened(events_.version(), context_.now());
    execute_outputs();
    events_.connected(true);
}

void Subscription::send(const messages::Message& message) {
    if (connection_ && connection_->out.push(messages::frame(messages::encode(message))))
        context_.loop.flush(*connection_);
}

void Subscription::on_readable(Connection& connection) {
    auto& control = static_cast<ControlConnection&>(connection);
    while (control.open() && !control.in.empty()) {
        const auto bytes = control.in.front();
        control.reader.feed(bytes);
        control.in.drop(bytes.size());
    }
    while (auto json = control.reader.next())
        if (auto message = messages::decode(*json)) subscriber_.received(*message, context_.now());
    execute_outputs();
    if (control.open() && (control.ended || control.error || control.reader.frame_too_long()))
        on_error(control, ECONNRESET);
}

void Subscription::deliver(const messages::Message& message) {
    if (const auto* configuration = std::get_if<messages::ConfigurationUpdate>(&message))
        events_.configuration(*configuration);
    else if (const auto* hosts = std::get_if<messages::HostsUpdate>(&message))
        events_.hosts(*hosts);
    else if (const auto* rollouts = std::get_if<messages::RolloutsUpdate>(&message))
        events_.rollouts(*rollouts);
    else if (const auto* fleet = std::get_if<messages::FleetStatus>(&message))
        events_.fleet(*fleet);
    else if (const auto* reply = std::get_if<leases::LeaseReply>(&message))
        events_.leases(*reply);
    else if (const auto* lease = std::get_if<leases::ConfigurationLeaseReply>(&message))
        events_.configuration_lease(*lease);
}

void Subscription::on_error(Connection& connection, int) {
    if (&connection != connection_) return;
    subscriber_.failed(context_.now());
    end(CloseReason::peer_reset);
}

void Subscription::end(CloseReason why) {
    if (!connection_) return;
    events_.connected(false);
    log_info() << "disconnected from control node " << connected_to_.text() << ": " << memory::code(why);
    context_.loop.close(*std::exchange(connection_, nullptr), why);
}

}   // namespace myrtleroute::proxy
