// The servers' side: carries out shots, cancels and probes on connections that are kept for each server.
#pragma once
#include <deque>
#include <list>

#include "run/clients.hpp"
#include "run/shared.hpp"
#include "wire/reply.hpp"

namespace myrtleroute::memory {

// A connection to a server; it carries one shot or probe at a time.
struct Line : Connection {
    Line(Owner& by, int fd, Server& to);
    ~Line() override { --server->lines; }
    std::string name() const override { return "server " + server->uid; }

    Server* server;
    wire::ReplyReader reader;
    wire::HttpMachine http;
    Held* call = nullptr;        // whose shot is out on it
    int shot = 0;
    bool probes = false;
    Time sent, until;            // what it carries, and when that is given up
    bool begun = false;          // its answer has
    Time answered = long_ago;    // its last whole one
    bool idle = false;           // in both lists, at its places
    std::list<Line*>::iterator place, server_place;
    bool busy() const { return call || probes; }
};

}  // namespace myrtleroute::memory

namespace myrtleroute::run {

class Servers : public memory::Owner {
public:
    Servers(Shared& shared, Clients& clients) : s_(shared), clients_(clients) {}
    void send(memory::Held& call, ServerId server, Span try_for);
    void cancel(memory::Held& call, int shot);
    void probe(ServerId server);
    void close_idle(memory::Server& server, memory::Why why);
    bool shed();
    bool make_room();   // ends a connection that can go, of either side
    void settle();    // tells the decisions what ended inside of their own actions
    bool settled() const { return ended_.empty(); }

    void up(memory::Connection& c) override;
    void came(memory::Connection& c) override;
    void broke(memory::Connection& c, int error) override;
    void due(memory::Connection& c) override;

private:
    memory::Line* line_to(ServerId id, Outcome& otherwise);
    void dispatch(memory::Line& line, Span try_for);   // now, or once the connection is up
    void write(memory::Line& line);
    void write(memory::Line& line, const std::string& head, const std::string& body);
    void ends(memory::Line& line, Outcome outcome, memory::Why why);   // and closes it
    void done(memory::Line& line);
    void unused(memory::Line& line);
    void timed_out(memory::Line& line, Outcome outcome, memory::Why why);
    void told(CallId call, int shot, Outcome outcome);
    void probed(ServerId server, bool answered);

    struct Ended {
        CallId call;
        int shot;
        Outcome outcome;
        ServerId probed;
    };
    Shared& s_;
    Clients& clients_;
    std::list<memory::Line*> idle_;   // the latest used first
    std::deque<Ended> ended_;
};

}  // namespace myrtleroute::run
