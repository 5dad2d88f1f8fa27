// Stand-in hosts: they tell control nodes of themselves, run requests and answer them, and say what they have run.
#pragma once
#include <asio.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/endpoint.hpp"
#include "lab/random_stream.hpp"

namespace myrtleroute::soak {

// What a host calls and asks for.
struct HostEvents {
    std::function<void(const std::string& request_id, const std::string& tenant)> ran;   // it begins work on a request
    std::function<bool()> loses_answer;   // the answer that it has just made is lost by a reset
};

struct HostOptions {
    std::string id;   // of this start of the host
    std::string service, zone;
    bool streams = false;     // it answers by events, else by one body
    int capacity = 64;        // requests at once
    double heartbeat = 1.2;   // seconds between heartbeats
    Endpoint at;
    std::vector<Endpoint> controls;   // who takes heartbeats
    uint64_t seed = 1;                // of how long answers take
};

// The number of events of the stream that answers a request; its body says it as well.
constexpr int events_of_stream = 5;
// Whether the body is all that a host sends for the request.
bool is_whole_body(const std::string& body, const std::string& request_id, bool streams);

class Host {
public:
    // Listens at once; throws asio::system_error where it can't.
    Host(asio::io_context& context, HostOptions options, HostEvents events);

private:
    class Connection;
    void accept();
    void beat();
    void tell(size_t control, size_t tries);

    asio::io_context& context_;
    HostOptions options_;
    HostEvents events_;
    lab::RandomStream chance_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer timer_;
    size_t control_ = 0;   // that took the last heartbeat
    uint64_t sequence_ = 0;
    int running_ = 0;
};

}   // namespace myrtleroute::soak
