// The proxy role: clients in front, hosts behind, the configuration and the fleet as the control role tells them.
#pragma once
#include <functional>
#include <optional>
#include <string>

#include "leases/configuration_lease.hpp"
#include "roles/proxy/admission.hpp"
#include "roles/proxy/context.hpp"
#include "roles/proxy/cut_report.hpp"
#include "roles/proxy/front.hpp"
#include "roles/proxy/hosts.hpp"
#include "roles/proxy/metrics_listener.hpp"
#include "roles/proxy/request_table.hpp"
#include "roles/proxy/service_directory.hpp"
#include "roles/proxy/shutdown.hpp"
#include "roles/proxy/subscription.hpp"

namespace myrtleroute::proxy {

class Proxy : public memory::ConnectionHandler {
public:
    // `reread`: the settings file as it is now, nothing where it is at fault.
    Proxy(configuration::NodeSettings settings, run::System& system, uint64_t seed,
          std::function<std::optional<configuration::NodeSettings>()> reread);
    int run();   // until SIGTERM or SIGINT; the process's exit code

    // The parts of `run`, for a driver of its own.
    bool start();   // false: it can't listen, and the log says why
    void round();   // waits until something is due or has come, and hands it on
    bool over() const { return over_; }

private:
    // Clients.
    void arrived(Client& client, RequestReader& reader);
    bool outlasts_process(const Request& request) const;   // its answer might not be whole before the end
    void admit(Request& request);                          // to the pool of its service
    void turn_away(Client& client, const Request& request, const leases::Decision& decision);
    void turn_away(CallId call, const leases::Decision& decision);   // after it has waited
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
    void watch_attempt(const Request& request, int number, Outcome outcome);   // for rollouts
    void tell_ballots();
    size_t open_at_serving(const std::string& service);   // requests under way there

    // The control role.
    void configured(const messages::ConfigurationUpdate& told);
    void ask_for_configuration_lease();   // where an ask is due
    void fleet_told(const messages::FleetStatus& told);

    // What the parts tell.
    Front::Events front_events();
    Hosts::Events host_events();
    ServicePool::Events pool_events();
    Admission::Events admission_events();
    Subscription::Events subscription_events();

    // The process.
    std::string figures();   // as text, as they are now
    void on_readable(memory::Connection& connection) override;
    void on_error(memory::Connection&, int) override {}
    void on_timer(memory::Connection& connection) override;
    void woke(uint64_t cookie);
    void tick();
    void settle();
    void stop();
    void answer_waiting();                       // requests whose answer has not begun
    void end();                                  // answers that are not whole are cut
    void log_progress(const char* step) const;   // of the stop
    bool ready() const;
    Span until_started() const;

    Context context_;
    std::function<std::optional<configuration::NodeSettings>()> reread_;
    RequestTable requests_;
    CutReport cut_report_;
    Front front_;
    Hosts hosts_;
    rollout::Watcher rollouts_;
    ServiceDirectory services_;
    Admission admission_;
    leases::ConfigurationLease configuration_lease_;
    metrics::Counter refused_without_lease_;
    Subscription subscription_;
    MetricsListener metrics_listener_;
    metrics::Counter hosts_evicted_;
    memory::Connection* signals_ = nullptr;
    Shutdown shutdown_;
    bool over_ = false;
};

}   // namespace myrtleroute::proxy
