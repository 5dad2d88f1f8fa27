// Simulated hosts: they send heartbeats to control nodes, run requests, respond to them and report each request that
// runs.
#pragma once
#include <asio.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/endpoint.hpp"
#include "lab/random_stream.hpp"

namespace myrtleroute::soak {

// Callbacks of a host.
struct HostEvents {
    std::function<void(const std::string& request_id, const std::string& tenant)>
        request_started;                    // the host starts to run a request
    std::function<bool()> drops_response;   // whether to reset the connection instead of sending the finished response
    std::function<bool()> breaks_stream;    // whether to reset the connection in the middle of a stream
};

struct HostOptions {
    std::string id;   // instance id of the first run of the host process; later runs add their number
    std::string service, zone;
    bool streams = false;        // it responds with a stream of events, otherwise with one body
    int capacity = 64;           // concurrent requests
    double unframed_share = 0;   // share of responses without a length, which end with their connection
    double heartbeat = 1.2;      // seconds between heartbeats
    Endpoint address;
    std::vector<Endpoint> controls;   // control nodes that accept heartbeats
    uint64_t seed = 1;                // of the random response delays
};

// Whether the body is exactly what a host sends for a request that isn't answered with a stream.
bool is_plain_body(const std::string& body, const std::string& request_id);

class Host {
public:
    // Starts listening; throws asio::system_error on failure.
    Host(asio::io_context& context, HostOptions options, HostEvents events);

    // Ends all connections and stops listening, as the system does for a killed process: most connections end in order.
    void kill();
    // Listens again, as a new run of the host process with another instance id.
    void restart();

private:
    class Connection;
    void listen();
    void accept();
    void send_heartbeats();
    void send_heartbeat(size_t control, size_t tries);

    asio::io_context& context_;
    HostOptions options_;
    HostEvents events_;
    std::string id_;   // instance id of the current run
    // Shared with the connections, which may outlive the host.
    std::shared_ptr<std::set<Connection*>> connections_ = std::make_shared<std::set<Connection*>>();
    lab::RandomStream chance_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer timer_;
    size_t control_ = 0;   // control node that received the last heartbeat
    uint64_t sequence_ = 0, runs_ = 0;
    uint64_t requests_run_ = 0;
    int running_ = 0;
};

}   // namespace myrtleroute::soak
