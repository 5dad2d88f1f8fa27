// Upstream HTTP/1.1 client: performs attempts, cancellations and probes on pooled connections to the hosts.
#pragma once
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "roles/proxy/context.hpp"
#include "roles/proxy/host_connection.hpp"
#include "roles/proxy/host_response_report.hpp"

namespace myrtleroute::proxy {

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
    HostConnection* open_connection(HostRecord& host, Outcome& failure);
    HostConnection* idle_connection(HostRecord& host);
    void dispatch(HostConnection& connection, Span timeout);
    void write(HostConnection& connection);
    void head_received(HostConnection& connection);
    void take_body(HostConnection& connection);
    void response_complete(HostConnection& connection);
    void deliver(Request& request, int number, const UnconfirmedResponse& response);
    // Health checks that prove that a host still runs, so that the end of its connection was the end of its response.
    void confirm(HostRecord& host, Request& request, int number, UnconfirmedResponse response, Time deadline);
    void health_check_answered(HostConnection& connection);
    void end_confirmed(HostConnection& connection);
    // Ends the attempt: its response can't be taken for complete.
    void reject_unconfirmed(const HostRecord& host, Request& request, int number);
    void report_end(const HostConnection& connection, HostResponseEnd end);
    void release(HostConnection& connection);
    void end_attempt(HostConnection& connection, Outcome outcome, memory::CloseReason why);
    void queue_attempt_end(CallId call, int number, Outcome outcome);
    void remove_from_idle(HostConnection& connection);
    bool close_oldest_idle();

    Context& context_;
    Events events_;
    HostResponseReport report_;
    metrics::Counter idle_limit_reached_, connection_limit_reached_;
    std::unordered_map<ServerId, std::unique_ptr<HostRecord>> hosts_;
    std::list<HostConnection*> idle_;   // most recently used first
    std::deque<PendingEnd> pending_ends_;
};

}   // namespace myrtleroute::proxy
