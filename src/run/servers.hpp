// The servers' side: carries out attempts, cancels and probes on connections that are kept for each server.
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
    PendingCall* call = nullptr;        // whose attempt is out on it
    int attempt = 0;
    bool probes = false;
    Time sent, until;            // what it carries, and when that is given up
    bool begun = false;          // its answer has
    Time answered = long_ago;    // its last whole one
    bool idle = false;           // in both lists, at its places
    std::list<ServerConnection*>::iterator place, server_place;
    bool busy() const { return call || probes; }
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
    bool make_room();   // ends a connection that can go, of either side
    void settle();    // tells the decisions what ended inside of their own actions
    bool settled() const { return ended_.empty(); }

    void on_connected(memory::Connection& c) override;
    void on_readable(memory::Connection& c) override;
    void on_error(memory::Connection& c, int error) override;
    void on_timer(memory::Connection& c) override;

private:
    memory::ServerConnection* connection_to(ServerId id, Outcome& otherwise);
    void dispatch(memory::ServerConnection& connection, Span timeout);   // now, or once the connection is up
    void write(memory::ServerConnection& connection);
    void write(memory::ServerConnection& connection, const std::string& head, const std::string& body);
    void ends(memory::ServerConnection& connection, Outcome outcome, memory::CloseReason why);   // and closes it
    void done(memory::ServerConnection& connection);
    void unused(memory::ServerConnection& connection);
    void timed_out(memory::ServerConnection& connection, Outcome outcome, memory::CloseReason why);
    void told(CallId call, int attempt, Outcome outcome);
    void probed(ServerId server, bool answered);

    struct Ended {
        CallId call;
        int attempt;
        Outcome outcome;
        ServerId probed;
    };
    Shared& s_;
    Clients& clients_;
    std::list<memory::ServerConnection*> idle_;   // the latest used first
    std::deque<Ended> ended_;
};

}  // namespace myrtleroute::run
