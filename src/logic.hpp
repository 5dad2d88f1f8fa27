// Interface of the load balancer's decisions: events in, actions out, without any I/O. An adapter or a proxy implements
// Actions, and calls the Balancer's events in the order in which they happened, each with its time.
#pragma once
#include <cstdint>
#include <memory>
#include <string_view>

#include "settings.hpp"

namespace myrtleroute {

using CallId = uint64_t;     // below 2^52
using ServerId = uint64_t;

// How long a server that is gone is remembered after it was last listed as running, or last answered a call.
constexpr Span gone_server_retention{60};

// An upper bound for the delay of server list updates that failed list requests may cause, including the next request.
constexpr Span max_list_delay{6};

// What the decisions order. Calls and servers are named by the ids that the events gave them.
class Actions {
public:
    virtual ~Actions() = default;
    // Starts the call's next attempt, numbered from 0; it times out after `timeout`. attempt_ended reports its outcome.
    virtual void send(CallId call, ServerId server, Span timeout) = 0;
    virtual void cancel(CallId call, int attempt) = 0;           // its outcome follows, as attempt_ended
    virtual void rate_limit(CallId call, Span retry_after) = 0;  // final response: the client can retry safely
    virtual void error(CallId call) = 0;                         // final response: the call may have run
    virtual void probe(ServerId server) = 0;                     // health probe; probe_ended reports its outcome
    virtual void close_idle(ServerId server) = 0;                // closes idle connections to the server
    virtual void watch_list() = 0;                               // requests the server list
    virtual void set_timer(Span after, uint64_t cookie) = 0;     // timer_fired follows with that cookie
    virtual void log(std::string_view line, ServerId about = 0) = 0;   // 0: not about a single server
    virtual bool may_repeat(CallId) { return true; }   // whether the retry budget allows the call a further attempt now
};

// Receives the events, and answers with actions during each of them. Ids that are unknown are ignored.
class Balancer {
public:
    virtual ~Balancer() = default;
    // A list of servers: its start, its entries, its end. A `whole` list names all servers, any other the changes. A
    // `cached` one does not prove that the list service is reachable.
    virtual void list_began(Time now, bool whole, bool cached) = 0;
    virtual void server_listed(ServerId id, uint16_t zone, uint16_t cell, State state, double size,
                               Time launched) = 0;
    virtual void list_ended() = 0;
    virtual void list_failed(Time now) = 0;
    // `timeout`: how long the client still waits. `work`: declared cost of the call at a server; `key`: the object that
    // it concerns; 0 if unknown. `again`: the client declared it to be a retry. `affinity`: how many calls busier than
    // others a server that holds what the call needs may be.
    virtual void call_arrived(Time now, CallId id, uint32_t product, uint32_t tenant, Span timeout,
                              Span work, uint64_t key, bool again, double affinity = 0) = 0;
    virtual void client_left(Time now, CallId id) = 0;
    // Called when the connection that an attempt waited for is up: whether its first byte may still be sent. If not, the
    // attempt ends as never_sent.
    virtual bool may_start(Time now, CallId id, int attempt) = 0;
    virtual void stream_began(Time now, CallId id, int attempt) = 0;
    // `call_done`: the client has its response, or is gone, so that no further attempt is needed.
    virtual void attempt_ended(Time now, CallId id, int attempt, Outcome outcome, bool call_done) = 0;
    virtual void probe_ended(Time now, ServerId id, bool answered) = 0;
    virtual void timer_fired(Time now, uint64_t cookie) = 0;
    // Changes at runtime: this proxy's index and the number of proxies; a product, which a later one of the same name
    // updates; data of a response that goes on; and the calls of all proxies that a server reports to hold.
    virtual void position_changed(int index, int balancers) = 0;
    virtual uint32_t define_product(const Product& product) = 0;   // returns its number, for call_arrived
    virtual const Product* product_of(CallId id) const = 0;   // that the call is decided by; null: the call is over
    virtual void data_received(Time now, ServerId id) = 0;
    virtual void load_reported(Time now, ServerId id, double held) = 0;
};

std::unique_ptr<Balancer> start_balancer(Time now, Settings settings, uint64_t seed, Actions& actions);

}  // namespace myrtleroute
