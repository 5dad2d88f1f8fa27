// Upstream HTTP/1.1 client: performs attempts, cancellations and probes on pooled connections to the hosts.
#pragma once
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "memory/connection.hpp"
#include "registry/host_table.hpp"
#include "roles/proxy/context.hpp"
#include "roles/proxy/request.hpp"

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

class HostConnections : public memory::ConnectionHandler {
public:
    struct Events {
        // A successful response that is forwarded as it arrives.
        std::function<void(Request&, HostConnection&)> response_began;
        std::function<void(Request&, HostConnection*, const std::string&)>
            response_chunk;   // bytes of it; for event streams whole events only
        std::function<void(Request&, const Reply&, bool streamed)>
            answered;   // a complete response, reported before the end of the attempt
        std::function<void(Request&, Reply)> host_failed;   // a 5xx response of the host
        std::function<void(size_t service, ServerId)> host_active;
        std::function<void(size_t service, ServerId, double held)> load_reported;
        std::function<void(HostRecord&)> misdirected;   // the address now belongs to another host
        // The end of an attempt or a probe. Reported by `settle`, never from within the call that caused it.
        std::function<void(CallId, int number, Outcome)> attempt_ended;
        std::function<void(size_t service, ServerId, bool answered)> probe_ended;
        std::function<bool(Request&, int number)> may_start;
    };
    HostConnections(Context& context, Events events);

    HostRecord& record(const registry::Host& host);   // created if unknown
    HostRecord* find(ServerId id);
    void remove_gone();   // removes hosts that are gone and have no connection

    void send(Request& request, ServerId host, Span timeout);
    void cancel(Request& request, int number);   // reported as cancelled
    void abandon(Request& request);              // cancels all its attempts
    void probe(ServerId host);
    void close_idle(HostRecord& host);
    void resume_reading(Request& request);   // the client's buffer has room again
    void settle();                           // reports the ends
    bool settled() const { return pending_ends_.empty(); }

    void on_connected(memory::Connection& connection) override;
    void on_readable(memory::Connection& connection) override;
    void on_error(memory::Connection& connection, int error) override;
    void on_timer(memory::Connection& connection) override;

private:
    struct PendingEnd {
        CallId call;
        int number;
        Outcome outcome;
        ServerId probed;
        size_t service;
        bool answered;
    };
    HostConnection* connection_to(HostRecord& host, Outcome& failure);
    HostConnection* idle_connection(HostRecord& host);
    void dispatch(HostConnection& connection, Span timeout);
    void write(HostConnection& connection);
    void head_received(HostConnection& connection);
    void take_body(HostConnection& connection);
    void response_complete(HostConnection& connection);
    void release(HostConnection& connection);
    void end_attempt(HostConnection& connection, Outcome outcome, memory::CloseReason why);
    void queue_attempt_end(CallId call, int number, Outcome outcome);
    void remove_from_idle(HostConnection& connection);
    bool close_oldest_idle();

    Context& context_;
    Events events_;
    metrics::Counter idle_limit_reached_, connection_limit_reached_;
    std::unordered_map<ServerId, std::unique_ptr<HostRecord>> hosts_;
    std::list<HostConnection*> idle_;   // most recently used first
    std::deque<PendingEnd> pending_ends_;
};

struct HostConnection : memory::Connection {
    HostConnection(memory::ConnectionHandler& by, int fd, HostRecord& to, size_t max_in, size_t max_out,
                   wire::HttpLimits limits)
        : Connection(by, fd, max_in, max_out),
          host(&to),
          connections(to.connections),
          http(wire::HttpParser::Side::response, reader, limits) {
        detect_peer_close = true;
        ++*connections;
    }
    ~HostConnection() override { --*connections; }
    std::string name() const override { return "host " + host->host.id; }
    bool busy() const { return request || is_probe; }

    HostRecord* host;
    std::shared_ptr<int> connections;   // counter shared with the host's record
    ResponseReader reader;
    wire::HttpParser http;
    Request* request = nullptr;
    int number = 0;   // number of the attempt
    bool is_probe = false;
    bool stale = false;      // the current response belongs to an earlier request
    bool streamed = false;   // the response is forwarded as it arrives
    Time sent, deadline;
    bool idle = false;
    double keep_alive = 0;   // seconds that the host keeps it open while idle, 0 = not announced
    std::list<HostConnection*>::iterator idle_position, host_idle_position;
};

}   // namespace myrtleroute::proxy
