// The proxy's connection to the control role: runs a Subscriber over a socket.
#pragma once
#include <functional>
#include <optional>

#include "roles/proxy/context.hpp"
#include "roles/proxy/subscriber.hpp"

namespace myrtleroute::proxy {

class Subscription : public memory::ConnectionHandler {
public:
    struct Events {
        std::function<void(const messages::ConfigurationUpdate&)> configuration;
        std::function<void(const messages::HostsUpdate&)> hosts;
        std::function<void(const messages::RolloutsUpdate&)> rollouts;
        std::function<void(const messages::FleetStatus&)> fleet;
        std::function<void(const leases::LeaseReply&)> leases;
        std::function<void(const leases::ConfigurationLeaseReply&)> configuration_lease;
        std::function<void(bool)> connected;   // whether a control node is connected now
        std::function<uint64_t()> version;     // version of the current configuration
    };
    Subscription(Context& context, Events events);
    void settings_changed();   // the seeds may have changed
    void tick();               // called several times a second
    void stop();
    bool is_open() const { return subscriber_.is_open(); }
    void send_if_open(const messages::Message& message);   // dropped if no control node is connected

    void on_connected(memory::Connection& connection) override;
    void on_readable(memory::Connection& connection) override;
    void on_error(memory::Connection& connection, int error) override;
    void on_timer(memory::Connection&) override {}

private:
    struct ControlConnection;
    void add_seeds();
    void execute_outputs();
    void open(const Endpoint& to);
    void deliver(const messages::Message& message);
    void send(const messages::Message& message);
    void end(memory::CloseReason why);

    Context& context_;
    Events events_;
    Subscriber subscriber_;
    metrics::Counter evicted_nodes_;
    ControlConnection* connection_ = nullptr;
    Endpoint connected_to_;   // the connected control node
    bool stopped_ = false;
};

}   // namespace myrtleroute::proxy
