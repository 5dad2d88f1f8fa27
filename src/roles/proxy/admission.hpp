// Admits requests within their tenants' rate limits. A request consumes units that the control role has leased to
// this proxy; further units are requested when they run short, and a request may wait briefly for the reply.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "base/bounds.hpp"
#include "leases/holder.hpp"
#include "roles/proxy/context.hpp"
#include "roles/proxy/quota_report.hpp"
#include "roles/proxy/request.hpp"

namespace myrtleroute::proxy {

class Admission {
public:
    struct Events {
        std::function<void(const leases::LeaseRequest&)> send_request;   // sends to the control role, if connected
        // Outcome of a request that had to wait.
        std::function<void(CallId)> granted;
        std::function<void(CallId, const leases::Decision&)> refused;
    };
    static constexpr uint64_t cookie = (1ULL << 62) + 1;   // of this class's timers

    // `incarnation`: identifies this process, different after each restart.
    Admission(Context& context, uint64_t incarnation, Events events);

    // Consumes units at the moment of admission, when the request is complete and no host has it yet. If the
    // request has to wait, one of the events reports the outcome later.
    leases::Decision decide(const Request& request);
    // Requests units immediately, for requests that have started to wait.
    void wait_for_units();
    void cancel(const Request& request);   // the client has left
    // Record the outcome of a wait.
    void record_granted(const Request& request);
    void record_refused(const Request& request, const leases::Decision& decision);

    void configured();   // a new route table is in use
    void connected(bool is_up);
    void update_fleet(const messages::FleetStatus& update);
    void apply(const leases::LeaseReply& reply);
    void on_timer();
    void request_units();   // sends a lease request if one is due
    void refresh_metrics();

private:
    void deliver_decisions();

    Context& context_;
    Events events_;
    leases::Holder leases_;
    QuotaReport report_;
    Invariant& used_units_were_granted_;
    metrics::Counter refused_for_room_;
    Time timer_at_ = long_ago;   // time of the timer set for waiting requests
    bool control_is_current_ = false;
};

}   // namespace myrtleroute::proxy
