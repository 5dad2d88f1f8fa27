// A simulated control machine: the real node on a virtual disk, driven as the runtime drives it.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "lab/control/disk.hpp"
#include "lab/control/network.hpp"
#include "roles/control/node.hpp"
#include "roles/control/start.hpp"
#include "roles/control/write_queue.hpp"

namespace myrtleroute::lab::control {

using Reply =
    std::function<void(const std::optional<myrtleroute::control::HttpResponse>&)>;   // nullopt: no response arrives

class Machine {
public:
    // What a machine needs of the simulation.
    struct Environment {
        std::function<std::optional<ProcessId>(const Endpoint&)> process_at;
        std::function<void(Machine&)> after_step;   // called after each step of its node
    };
    Machine(Queue& queue, Network& network, ProcessId process, configuration::NodeSettings settings, uint64_t seed,
            Environment environment);

    void start();
    enum class Termination { killed, power_lost };
    void terminate(Termination how);
    void freeze(Time until);
    // SIGTERM: the process ends by itself a little later, and `on_stopped` is called.
    void stop(std::function<void()> on_stopped);
    void delay_disk_until(Time until,
                          double factor);   // factor: multiplies the time of a write; 0 = no write completes until then
    void end_disk_delay();
    bool disk_is_impaired() const { return disk_.fails_writes || queue_.now() < disk_delayed_until_; }
    void thaw_now();
    void clear_bootstrap() { settings_.bootstrap = false; }

    // For the network and the callers of the HTTP interface.
    void opened(ConnectionId connection);
    void received(ConnectionId connection, const messages::Message& message);
    void closed(ConnectionId connection);
    // `on_answered` is called when the node responds, `reply` when the response arrives.
    void request(myrtleroute::control::HttpRequest request, Reply on_answered, Reply reply);

    bool is_running() const { return node_ != nullptr; }
    bool is_frozen() const { return queue_.now() < frozen_until_; }
    bool is_stopping() const { return stopping_; }
    const myrtleroute::control::Node* node() const { return node_.get(); }
    ProcessId process() const { return process_; }
    const configuration::NodeSettings& settings() const { return settings_; }
    Endpoint peer() const { return {settings_.address, settings_.first_internal_port}; }
    VirtualDisk& disk() { return disk_; }
    // What a start after a power loss would recover.
    myrtleroute::control::StoredState durable_state() const;
    uint64_t incarnations() const { return incarnation_; }
    bool removed = false;              // for good
    bool is_successor = false;         // replaces a machine that is, or will be, removed
    Time resumed_at = long_ago;        // last time it was started, thawed or added
    Time disk_created_at = long_ago;   // when it got its current disk

private:
    struct OutgoingConnection {
        ConnectionId connection = 0;
        bool established = false;
        Time next_attempt = long_ago;
    };
    void run_or_defer(std::function<void()> action);   // runs the action now, or after the thaw
    void tick(uint64_t incarnation);
    void thaw(uint64_t incarnation);
    void shut_down(uint64_t incarnation, Time until);
    std::function<void()> on_stopped_;
    void dial_peers();
    void execute_outputs();
    void write(myrtleroute::control::Write write);
    void write_next();
    void answer(const myrtleroute::control::HttpResponse& answer);

    Queue& queue_;
    Network& network_;
    ProcessId process_;
    configuration::NodeSettings settings_;
    RandomStream random_;
    Environment environment_;
    VirtualDisk disk_;
    std::unique_ptr<myrtleroute::control::Node> node_;
    std::optional<storage::RecordRing> ring_;
    myrtleroute::control::WriteQueue writes_;
    bool writing_ = false, stopping_ = false;
    uint64_t incarnation_ = 0;
    Time frozen_until_ = long_ago, disk_delayed_until_ = long_ago;
    double write_time_factor_ = 1;
    std::deque<std::function<void()>> deferred_;
    std::map<Endpoint, OutgoingConnection> outgoing_;
    struct PendingRequest {
        Reply on_answered, reply;
    };
    std::map<myrtleroute::control::RequestId, PendingRequest> pending_requests_;
    myrtleroute::control::RequestId next_request_ = 1;
};

}   // namespace myrtleroute::lab::control
