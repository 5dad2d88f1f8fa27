// The server side: performs attempts, cancellations and probes over pooled connections to each server.
#pragma once
#include <deque>
#include <list>

#include "run/clients.hpp"
#include "run/shared.hpp"
#include "wire/reply.hpp"

namespace myrtleroute::memory {

// A connection to a server; it carries one attempt or probe at a time.
struct ServerConnection : Connection {
    ServerConnection(ConnectionHandler& by, int fd, Server& to);
    ~ServerConnection() override { --server->connections; }
    std::string name() const override { return "server " + server->uid; }

    Server* server;
    wire::ResponseReader reader;
    wire::HttpParser http;
    PendingCall* call = nullptr; // the call of the attempt that it carries
    int attempt = 0;
    bool is_probe = false;
    Time sent, until;            // start and deadline of the attempt or probe
    bool begun = false;          // the response has begun
    Time answered = long_ago;    // when its last complete response arrived
    bool idle = false;           // in both lists of idle connections, at these positions
    std::list<ServerConnection*>::iterator position, server_position;
    bool busy() const { return call || is_probe; }
};

}  // namespace myrtleroute::memory

namespace myrtleroute::run {

class Servers : public memory::ConnectionHandler {
public:
    Servers(Shared& shared, Clients& clients) : s_(shared), clients_(clients) {}
    void send(memory::PendingCall& call, ServerId server, Span timeout);
    void cancel(memory::PendingCall& call, int attempt);
    void probe(ServerId server);
    void close_idle(memory::Server& server, memory::CloseReason why);
    bool shed();
    bool make_room();   // closes an idle connection to a server or of a client; false: there is none
    void report_ended();    // reports attempts that ended within the balancer's own actions
    bool all_reported() const { return ended_.empty(); }

    void on_connected(memory::Connection& c) override;
    void on_readable(memory::Connection& c) override;
    void on_error(memory::Connection& c, int error) override;
    void on_timer(memory::Connection& c) override;

private:
    memory::ServerConnection* connection_to(ServerId id, Outcome& failure);
    void dispatch(memory::ServerConnection& connection, Span timeout);   // now, or once the connection is established
    void write(memory::ServerConnection& connection);
    void write(memory::ServerConnection& connection, const std::string& head, const std::string& body);
    void fail(memory::ServerConnection& connection, Outcome outcome, memory::CloseReason why);   // and closes it
    void response_complete(memory::ServerConnection& connection);
    void remove_from_pool(memory::ServerConnection& connection);
    void timed_out(memory::ServerConnection& connection, Outcome outcome, memory::CloseReason why);
    void report_attempt(CallId call, int attempt, Outcome outcome);
    void report_probe(ServerId server, bool answered);

    struct Ended {
        CallId call;
        int attempt;
        Outcome outcome;
        ServerId probed_server;   // 0: an attempt
    };
    Shared& s_;
    Clients& clients_;
    std::list<memory::ServerConnection*> idle_;   // most recently used first
    std::deque<Ended> ended_;
};

}  // namespace myrtleroute::run
