// Simulated hosts: they send heartbeats to control nodes, run requests, respond to them and report each request that
// runs.
#pragma once
#include <asio.hpp>

#include <functional>
#include <memory>
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
};

struct HostOptions {
    std::string id;   // of this run of the host process (instance id)
    std::string service, zone;
    bool streams = false;     // it responds with a stream of events, otherwise with one body
    int capacity = 64;        // concurrent requests
    double heartbeat = 1.2;   // seconds between heartbeats
    Endpoint address;
    std::vector<Endpoint> controls;   // control nodes that accept heartbeats
    uint64_t seed = 1;                // of the random response delays
};

// The number of events in the streamed response to a request. The events are numbered from 1.
constexpr int events_per_stream = 5;
// Whether the body is exactly what a host sends for the request.
bool is_complete_body(const std::string& body, const std::string& request_id, bool streams);

class Host {
public:
    // Starts listening; throws asio::system_error on failure.
    Host(asio::io_context& context, HostOptions options, HostEvents events);

private:
    class Connection;
    void accept();
    void send_heartbeats();
    void send_heartbeat(size_t control, size_t tries);

    asio::io_context& context_;
    HostOptions options_;
    HostEvents events_;
    lab::RandomStream chance_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer timer_;
    size_t control_ = 0;   // control node that received the last heartbeat
    uint64_t sequence_ = 0;
    int running_ = 0;
};

}   // namespace myrtleroute::soak
