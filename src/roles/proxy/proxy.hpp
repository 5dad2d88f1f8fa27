// The proxy role: clients in front, hosts behind, the configuration and the fleet as the control role tells them.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "leases/holder.hpp"
#include "registry/host_table.hpp"
#include "roles/proxy/context.hpp"
#include "roles/proxy/cut_report.hpp"
#include "roles/proxy/front.hpp"
#include "roles/proxy/hosts.hpp"
#include "roles/proxy/metrics_listener.hpp"
#include "roles/proxy/quota_report.hpp"
#include "roles/proxy/service_pools.hpp"
#include "roles/proxy/shutdown.hpp"
#include "roles/proxy/subscription.hpp"

namespace myrtleroute::proxy {

class Proxy : public memory::Owner {
public:
    // `reread`: the settings file as it is now, nothing where it is at fault.
    Proxy(configuration::NodeSettings settings, run::Home& home, uint64_t seed,
          std::function<std::optional<configuration::NodeSettings>()> reread);
    int run();   // until SIGTERM or SIGINT; the process's exit code

    // The parts of `run`, for a driver of its own.
    bool start();   // false: it can't listen, and the log says why
    void round();   // waits until something is due or has come, and hands it on
    bool over() const { return over_; }

private:
    // Clients.
    void arrived(Client& client, RequestReader& reader);
    int entitle(Request& request, const RequestReader& reader) const;   // 0, or the status of a refusal
    bool outlasts_process(const Request& request) const;                // its answer might not be whole before the end
    leases::Decision limit(const Request& request);                     // by its tenant's limit
    void admit(Request& request);                                       // to the pool of its service
    void turn_away(Client& client, const Request& request, const leases::Decision& decision);
    void wait_for_leases();
    void ask_for_leases();
    void lease_decisions();
    void client_left(Request& request);
    void refuse(CallId call, Span retry_after);
    void fail(CallId call);
    void cut(Client& client, const Request& request, CutCause cause);   // an answer that has begun
    void give_up(Request& request);   // whose answer has not begun: its client gets a failure

    // Hosts.
    void began(Request& request, HostConnection& connection);
    void piece(Request& request, HostConnection* connection, const std::string& bytes);
    void answered(Request& request, const Reply& reply, bool streamed);
    void attempt_ended(CallId call, int number, Outcome outcome);

    // The control role.
    void configured(const messages::ConfigurationTold& told);
    void hosts_told(const messages::HostsTold& told);
    void fleet_told(const messages::FleetTold& told);
    void tell_pool(const registry::Host& host);
    void retire_pools();
    ServicePool::Events pool_events();

    // The process.
    std::string figures();   // as text, as they are now
    void came(memory::Connection& connection) override;
    void broke(memory::Connection&, int) override {}
    void due(memory::Connection& connection) override;
    void woke(uint64_t cookie);
    void tick();
    void settle();
    void stop();
    void answer_waiting();                       // requests whose answer has not begun
    void end();                                  // answers that are not whole are cut
    void log_progress(const char* step) const;   // of the stop
    bool ready() const;
    Request* find(CallId call);
    void forget_if_over(Request& request);

    Context context_;
    std::function<std::optional<configuration::NodeSettings>()> reread_;
    registry::HostTable table_;
    ServicePools pools_;
    Time pools_looked_at_ = long_ago;
    leases::Holder leases_;
    Time leases_wake_ = long_ago;   // a wake for requests that wait for units is set for this time
    QuotaReport quota_report_;
    CutReport cut_report_;
    Front front_;
    Hosts hosts_;
    Subscription subscription_;
    MetricsListener metrics_listener_;
    std::unordered_map<CallId, std::unique_ptr<Request>> requests_;
    CallId next_call_ = 1;
    size_t held_bytes_ = 0;   // bodies of requests
    Invariant &held_bytes_cover_bodies_, &used_units_were_lent_;
    memory::Connection* signals_ = nullptr;
    bool hosts_known_ = false;
    bool control_current_ = false;   // the control node that this proxy hears is in touch with a leader
    Shutdown shutdown_;
    bool over_ = false;
};

}   // namespace myrtleroute::proxy
