// The proxy role: serves clients, forwards requests to hosts, and follows the configuration and the fleet state
// that it receives from the control role.
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
    // `reread`: loads the settings file again; nothing if the file is invalid.
    Proxy(configuration::NodeSettings settings, run::System& system, uint64_t seed,
          std::function<std::optional<configuration::NodeSettings>()> reread);
    int run();   // runs until SIGTERM or SIGINT; returns the exit code of the process

    // The steps of `run`, for callers with a loop of their own.
    bool start();   // false: can't listen; the reason has been logged
    void round();   // waits for events and handles them
    bool over() const { return over_; }

private:
    // Clients.
    void on_request(Client& client, RequestReader& reader);
    // Whether its response might not be complete before the process ends.
    bool outlasts_process(const Request& request) const;
    void admit(Request& request);   // passes it to the pool of its service
    void refuse_over_quota(Client& client, const Request& request, const leases::Decision& decision);
    void refuse_over_quota(CallId call, const leases::Decision& decision);   // after a wait for units
    void client_left(Request& request);
    void refuse(CallId call, Span retry_after);
    void fail(CallId call);
    void cut(Client& client, const Request& request, CutCause cause);   // aborts a response that has started
    void give_up(Request& request);   // answers a request whose response has not started with an error

    // Hosts.
    void response_began(Request& request, HostConnection& connection);
    void response_chunk(Request& request, HostConnection* connection, const std::string& bytes);
    void response_ended(Request& request, const Reply& reply, bool streamed);
    void attempt_ended(CallId call, int number, Outcome outcome);
    void record_attempt(const Request& request, int number, Outcome outcome);   // statistics for rollouts
    void send_rollout_reports();
    size_t open_at_serving(const std::string& service);   // requests in progress at the serving hosts

    // The control role.
    void apply_configuration(const messages::ConfigurationUpdate& update);
    void request_configuration_lease();   // sends a request if one is due
    void update_fleet(const messages::FleetStatus& update);

    // Callbacks of the components.
    Frontend::Events front_events();
    HostConnections::Events host_events();
    ServicePool::Events pool_events();
    Admission::Events admission_events();
    Subscription::Events subscription_events();

    // The process.
    std::string render_metrics();   // renders the current metrics
    void on_readable(memory::Connection& connection) override;
    void on_error(memory::Connection&, int) override {}
    void on_timer(memory::Connection& connection) override;
    void timer_fired(uint64_t cookie);
    void tick();
    void settle();
    void stop();
    void answer_waiting();                       // requests whose response has not started
    void end();                                  // aborts responses that are not complete
    void log_progress(const char* step) const;   // of the shutdown
    bool ready() const;
    Span until_started() const;

    Context context_;
    std::function<std::optional<configuration::NodeSettings>()> reread_;
    RequestTable requests_;
    CutReport cut_report_;
    Frontend front_;
    HostConnections hosts_;
    rollout::Watcher rollout_watcher_;
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
