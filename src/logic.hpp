// The decisions' interface: events in, actions out. It knows no wire; an adapter or a proxy implements
// Actions and calls the Balancer's events in the order in which they happened, each with the time at which it
// did.
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

// What the list service has had to tell for so long counts as told, whatever call to it failed.
constexpr Span most_untold{6};

class Actions {
public:
    virtual ~Actions() = default;
    virtual void send(CallId call, ServerId server, Span try_for) = 0;
    virtual void cancel(CallId call, int shot) = 0;
    virtual void rate_limit(CallId call, Span come_back) = 0;   // final: a retry is harmless
    virtual void error(CallId call) = 0;                        // final: promises nothing
    virtual void probe(ServerId server) = 0;
    virtual void close_idle(ServerId server) = 0;
    virtual void watch_list() = 0;
    virtual void set_timer(Span after, uint64_t cookie) = 0;
    virtual void log(std::string_view line, ServerId about = 0) = 0;   // 0: no one server
    virtual bool may_repeat(CallId) { return true; }   // whether a further shot of the call is allowed now
};

class Balancer {
public:
    virtual ~Balancer() = default;
    // The list of servers comes as a start, its entries and an end; `whole` lists leave out what is gone.
    virtual void list_began(Time now, bool whole, bool cached) = 0;
    virtual void server_listed(ServerId id, uint16_t zone, uint16_t cell, State state, double size,
                       Time launched) = 0;
    virtual void list_ended() = 0;
    virtual void list_failed(Time now) = 0;
    // `work`: what the call is told to cost a server, `key`: what it concerns; 0 if that is not told. `again`:
    // it is told to be a further try of the client. `pull`: calls that a server which has what the call needs may
    // be busier than others.
    virtual void call_arrived(Time now, CallId id, uint32_t product, uint32_t tenant, Span patience,
                              Span work, uint64_t key, bool again, double pull = 0) = 0;
    virtual void client_left(Time now, CallId id) = 0;
    // Asked when the connection that a shot had to wait for has come up: whether its first byte may still go out.
    // What does not go out ends as never sent.
    virtual bool may_start(Time now, CallId id, int shot) = 0;
    virtual void stream_began(Time now, CallId id, int shot) = 0;
    virtual void attempt_ended(Time now, CallId id, int shot, Outcome outcome, bool call_done) = 0;
    virtual void probe_ended(Time now, ServerId id, bool answered) = 0;
    virtual void timer_fired(Time now, uint64_t cookie) = 0;
    // What changes while it runs: this balancer's place among all of them; products, told again under the same
    // number; bytes of an answer that goes on; and what a server says of the calls that it holds, of all balancers.
    virtual void position_changed(int me, int balancers) = 0;
    virtual uint32_t define_product(const Product& product) = 0;
    virtual const Product* product_of(CallId id) const = 0;   // as which a call is decided; null: it is over
    virtual void data_received(Time now, ServerId id) = 0;
    virtual void load_reported(Time now, ServerId id, double held) = 0;
};

std::unique_ptr<Balancer> start_balancer(Time now, Settings settings, uint64_t seed, Actions& actions);

}  // namespace myrtleroute
