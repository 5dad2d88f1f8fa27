// A connection to a host, the reader of the responses on it, and the proxy's state for the host.
#pragma once
#include <netinet/in.h>

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "memory/connection.hpp"
#include "registry/host_table.hpp"
#include "roles/proxy/request.hpp"
#include "wire/http.hpp"

namespace myrtleroute::proxy {

struct HostConnection;

// The proxy's state for one host.
struct HostRecord {
    ServerId id = 0;
    registry::Host host;
    sockaddr_in address{};
    // Number of its service pool; the default means that no requests go to this host.
    size_t service = static_cast<size_t>(-1);
    std::string probe_path;
    std::list<HostConnection*> idle;   // most recently used first
    // Open connections to the host. The connections share the counter because they outlive this record when the
    // process ends.
    std::shared_ptr<int> connections = std::make_shared<int>(0);
    Time last_response = long_ago;   // time of its last complete response
    Time gone_since = long_ago;
};

// Collects a response's head; the body accumulates in `content` until it is taken.
class ResponseReader : public wire::HttpHandler {
public:
    int status = 0;
    std::vector<Field> fields;
    std::string request_id, load, content;
    bool not_executed = false, head_done = false;
    double keep_alive = 0;   // seconds, 0 = not announced

    int start(std::string_view version, std::string_view code, std::string_view reason) override;
    int field(std::string_view name, std::string_view value) override;
    int head_ended(Body) override {
        head_done = true;
        return 0;
    }
    void body(std::string_view bytes) override { content.append(bytes); }
};

// A response whose host has ended it with the connection, without a length. It is complete if the host still runs: the
// system also ends the connections of a killed process in order.
struct UnconfirmedResponse {
    Reply reply;
    bool streamed = false;
};

struct HostConnection : memory::Connection {
    HostConnection(memory::ConnectionHandler& by, int fd, HostRecord& to, size_t max_in, size_t max_out,
                   wire::HttpLimits limits)
        : Connection(by, fd, max_in, max_out),
          host(&to),
          connections(to.connections),
          http(wire::HttpParser::Side::response, reader, limits) {
        ++*connections;
    }
    ~HostConnection() override { --*connections; }
    std::string name() const override { return "host " + host->host.id; }
    bool busy() const { return request || is_probe; }
    bool checks_health() const { return is_probe || unconfirmed; }

    HostRecord* host;
    std::shared_ptr<int> connections;   // counter shared with the host's record
    ResponseReader reader;
    wire::HttpParser http;
    Request* request = nullptr;
    int number = 0;   // number of the attempt
    bool is_probe = false;
    std::optional<UnconfirmedResponse> unconfirmed;   // complete if the host answers a health check on this connection
    bool stale = false;                               // the current response belongs to an earlier request
    bool streamed = false;                            // the response is forwarded as it arrives
    Time sent, deadline;
    bool idle = false;
    double keep_alive = 0;   // seconds that the host keeps it open while idle, 0 = not announced
    std::list<HostConnection*>::iterator idle_position, host_idle_position;
};

}   // namespace myrtleroute::proxy
