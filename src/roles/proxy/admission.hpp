// Lets requests through within their tenants' limits: units that were lent to this proxy are used as requests are let
// through, and are asked for where they lack. A request may wait for a moment for the reply.
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
        std::function<void(const leases::LeaseRequest&)> ask;   // to the control role, where there is a connection
        // What has become of a request that waited.
        std::function<void(CallId)> granted;
        std::function<void(CallId, const leases::Decision&)> refused;
    };
    static constexpr uint64_t cookie = (1ULL << 62) + 1;   // of its wakes

    // `life`: of this process, another one each time.
    Admission(Context& context, uint64_t life, Events events);

    // Units are used at the moment at which the request is let through: the client has sent it, and no host has it yet.
    // Where it waits, one of the events tells later.
    leases::Decision decide(const Request& request);
    // Asks for units at once, for requests that have begun to wait.
    void wait();
    void withdraw(const Request& request);   // it waits no longer
    // What was decided after a wait.
    void note_granted(const Request& request);
    void note_refused(const Request& request, const leases::Decision& decision);

    void configured();   // there is another route table
    void connected(bool is_up);
    void fleet_told(const messages::FleetStatus& told);
    void apply(const leases::LeaseReply& reply);
    void woke();
    void ask();   // where an ask is due
    void refresh_figures();

private:
    void tell_decided();

    Context& context_;
    Events events_;
    leases::Holder leases_;
    QuotaReport report_;
    Invariant& used_units_were_lent_;
    metrics::Counter without_room_;
    Time wakes_at_ = long_ago;   // a wake for requests that wait is set for this time
    bool control_is_current_ = false;
};

}   // namespace myrtleroute::proxy
