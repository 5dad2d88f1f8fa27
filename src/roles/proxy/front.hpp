// Client-facing HTTP/1.1 server: reads requests, one at a time on each connection, and writes the responses.
#pragma once
#include <deque>
#include <functional>
#include <set>
#include <string>

#include "memory/connection.hpp"
#include "roles/proxy/context.hpp"
#include "roles/proxy/front_report.hpp"
#include "roles/proxy/request.hpp"

namespace myrtleroute::proxy {

// Collects a request's head and body.
class RequestReader : public wire::HttpHandler {
public:
    std::string method, target, content;
    std::vector<Field> fields;
    bool head_done = false;
    bool is_http_1_0 = false;   // the client speaks HTTP/1.0

    int start(std::string_view verb, std::string_view path, std::string_view version) override;
    int field(std::string_view name, std::string_view value) override;
    int head_ended(Body) override {
        head_done = true;
        return 0;
    }
    void body(std::string_view bytes) override { content.append(bytes); }
    void next() { *this = RequestReader(); }
};

class Frontend : public memory::ConnectionHandler {
public:
    struct Events {
        // A complete request; answered by one of the calls below.
        std::function<void(Client&, RequestReader&)> request;
        std::function<void(Request&)> client_left;
        std::function<void(Request&)> drained;   // the output buffer is empty again
        std::function<bool()> ready;             // result of the readiness probe
    };
    Frontend(Context& context, Events events);
    bool open(std::string& error);   // false: can't listen; `error` names the settings key and the address

    // Complete responses.
    void respond(Client& client, int status, const std::vector<Field>& fields, std::string_view body);
    void refuse(Client& client, int status, Span retry_after = {});
    // A response sent in chunks.
    void begin_response(Client& client, int status, const std::vector<Field>& fields);
    void send_chunk(Client& client, std::string_view bytes);
    void finish_response(Client& client);
    void abort_response(Client& client);              // ends the connection so that the client sees the truncation
    bool is_backlogged(const Client& client) const;   // the client reads more slowly than its host sends

    // From now on every response closes its connection. A request that arrives after `requests_end` is refused, since
    // its response might not be complete before the process ends.
    void stop(Time requests_end);
    void close_listeners();   // accepts the connections already queued, then no more
    size_t connections() const { return open_connections_; }

    void on_readable(memory::Connection& connection) override;
    void on_written(memory::Connection& connection) override;
    void on_error(memory::Connection& connection, int error) override;
    void on_timer(memory::Connection& connection) override;

private:
    struct Listener;
    bool is_listener(const memory::Connection& connection) const;
    void accept(Listener& listener);
    void read(Client& client);
    void begin_reading(Client& client);   // prepares the parser for a new request
    configuration::Limits limits() const;
    void begin_request(Client& client);   // from now on the request must be answered
    void dispatch(Client& client);
    std::string connection_fields(Client& client) const;
    Span idle_limit() const;
    void end_response(Client& client);
    void cut_oversized_response(Client& client);   // a part of it doesn't fit into the client's buffer
    void end(Client& client, memory::CloseReason why);
    void half_close(Client& client, ConnectionEnd cause);
    void report_end(Client& client, memory::CloseReason why);

    Context& context_;
    Events events_;
    FrontendReport report_;
    metrics::Counter output_limit_reached_;
    Invariant& read_requests_are_answered_;
    Listener* client_listener_ = nullptr;
    Listener* probe_listener_ = nullptr;
    std::set<Client*> clients_;
    size_t open_connections_ = 0;
    bool stopping_ = false, listeners_closed_ = false;
    Time requests_end_;
};

struct Client : memory::Connection {
    Client(memory::ConnectionHandler& by, int fd, size_t max_in, size_t max_out, bool probe)
        : Connection(by, fd, max_in, max_out), http(wire::HttpParser::Side::request, reader), is_probe(probe) {
        detect_peer_close = true;
    }
    std::string name() const override { return "client"; }
    RequestReader reader;
    wire::HttpParser http;
    Request* request = nullptr;
    const bool is_probe;                 // from the listener for readiness probes
    bool busy = false;                   // a request is in progress
    bool chunked = true;                 // the current response uses chunked encoding
    bool close_after_response = false;   // the connection is closed after the current response
    bool lingers = false;                // half-closed: only the peer may still send
    ConnectionEnd half_close_cause = ConnectionEnd::client_left;   // why it was half-closed
    Span announced_idle;   // the idle timeout announced with the last response; 0 = none
    Time idle_since, half_closed_at;
    bool discards_body = false;   // the rest of a request that was refused early is read and discarded
};

}   // namespace myrtleroute::proxy
