// The hosts' side: carries out attempts, cancellations and probes on connections that are kept for each host.
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

// A host as the proxy keeps it.
struct HostRecord {
    ServerId id = 0;
    registry::Host host;
    sockaddr_in address{};
    size_t service = static_cast<size_t>(-1);   // number of its pool; of none, where no requests go there
    std::string probe_path;
    std::list<HostConnection*> idle;   // the latest used first
    // Connections to it; they hold the counter themselves, since at the end of the process they outlive this record.
    std::shared_ptr<int> connections = std::make_shared<int>(0);
    Time heard = long_ago;   // its last whole answer
    Time gone_since = long_ago;
};

// Reads an answer's head; its body collects until it is taken.
class ResponseReader : public wire::HttpHandler {
public:
    int status = 0;
    std::vector<Field> fields;
    std::string request_id, load, content;
    bool not_executed = false, head_done = false;
    double keep_alive = 0;   // seconds, 0 = not told

    int start(std::string_view version, std::string_view code, std::string_view reason) override;
    int field(std::string_view name, std::string_view value) override;
    int head_ended(Body) override {
        head_done = true;
        return 0;
    }
    void body(std::string_view bytes) override { content.append(bytes); }
};

class Hosts : public memory::ConnectionHandler {
public:
    struct Events {
        std::function<void(Request&, HostConnection&)> began;   // a success that is passed on as it comes
        std::function<void(Request&, HostConnection*, const std::string&)>
            piece;   // bytes of it, for streams whole events
        std::function<void(Request&, const Reply&, bool streamed)>
            answered;                                  // whole; before the attempt's end is told
        std::function<void(Request&, Reply)> failed;   // a host's own failure
        std::function<void(size_t service, ServerId)> heard;
        std::function<void(size_t service, ServerId, double held)> reported;
        std::function<void(HostRecord&)> misdirected;   // the address is another host's by now
        // The end of an attempt or a probe, told outside of what caused it.
        std::function<void(CallId, int number, Outcome)> attempt_ended;
        std::function<void(size_t service, ServerId, bool answered)> probe_ended;
        std::function<bool(Request&, int number)> may_begin;
    };
    Hosts(Context& context, Events events);

    HostRecord& record(const registry::Host& host);   // made where it is not known yet
    HostRecord* find(ServerId id);
    void forget_gone();   // those that are gone and have no connection

    void send(Request& request, ServerId host, Span try_for);
    void cancel(Request& request, int number);   // its end is told as cancelled
    void abandon(Request& request);              // all its attempts; their ends are told as cancelled
    void probe(ServerId host);
    void close_idle(HostRecord& host);
    void resume_reading(Request& request);   // its client has room again
    void settle();                           // tells the ends
    bool settled() const { return ended_.empty(); }

    void on_connected(memory::Connection& connection) override;
    void on_readable(memory::Connection& connection) override;
    void on_error(memory::Connection& connection, int error) override;
    void on_timer(memory::Connection& connection) override;

private:
    struct Ended {
        CallId call;
        int number;
        Outcome outcome;
        ServerId probed;
        size_t service;
        bool answered;
    };
    HostConnection* connection_to(HostRecord& host, Outcome& otherwise);
    HostConnection* idle_connection(HostRecord& host);
    void dispatch(HostConnection& connection, Span try_for);
    void write(HostConnection& connection);
    void head_came(HostConnection& connection);
    void take_body(HostConnection& connection);
    void done(HostConnection& connection);
    void release(HostConnection& connection);
    void ends(HostConnection& connection, Outcome outcome, memory::CloseReason why);
    void tell(CallId call, int number, Outcome outcome);
    void unused(HostConnection& connection);
    bool shed();

    Context& context_;
    Events events_;
    metrics::Counter idle_beyond_, shed_;
    std::unordered_map<ServerId, std::unique_ptr<HostRecord>> hosts_;
    std::list<HostConnection*> idle_;   // the latest used first
    std::deque<Ended> ended_;
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
    std::shared_ptr<int> connections;   // of the host
    ResponseReader reader;
    wire::HttpParser http;
    Request* request = nullptr;
    int number = 0;   // of the attempt
    bool is_probe = false;
    bool foreign = false;    // the answer under way is to an earlier request
    bool streamed = false;   // its answer is passed on as it comes
    Time sent, until;
    bool idle = false;
    double keep_alive = 0;   // seconds that the host keeps it idle, 0 = not told
    std::list<HostConnection*>::iterator place, host_place;
};

}   // namespace myrtleroute::proxy
