// One run of the soak: starts a fleet of real processes, injects the faults of a seed under traffic and reports
// violations.
#pragma once
#include <asio.hpp>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "soak/checker.hpp"
#include "soak/clients.hpp"
#include "soak/fleet.hpp"
#include "soak/hosts.hpp"
#include "soak/kept_clients.hpp"
#include "soak/operator.hpp"
#include "soak/plan.hpp"
#include "soak/platform.hpp"
#include "soak/relay.hpp"

namespace myrtleroute::soak {

struct SoakOptions {
    std::string program;     // myrtlerouted
    std::string directory;   // existing directory for settings files, logs and data directories
    uint64_t seed = 1;
    double seconds = 20;   // duration of the fault phase
    FleetSize size;
    bool planned = false;   // only planned work: stops and reloads in series
    bool storm = false;     // all parts of the configuration change without a pause
    size_t kept_clients = 40;
    double unframed_share = 0.2;   // share of the hosts' responses without a length
};

struct Outcome {
    bool interrupted = false;
    std::vector<Violation> violations;
    std::string summary;    // one line
    std::string timeline;   // a line for each fault and configuration change, with the seconds since the start
};

class Soak {
public:
    // Throws std::runtime_error if no block of addresses is free.
    explicit Soak(SoakOptions options);
    Outcome run();
    std::string requests_text() const { return checker_.requests_text(); }   // CSV

private:
    // Waits for the first responses; injects faults; waits until the fleet serves again; reads the configuration back.
    enum class Phase { starting, faults, recovering, reading };

    double now() const;
    void log_event(const std::string& text);
    void open_relays();
    void open_hosts();
    void tick();
    void update_phase();
    void begin_fault(const Fault& fault);
    void end_fault(const Fault& fault);
    void apply_fault(const Fault& fault, size_t machine);
    HostOptions host_options(const std::string& service, size_t number) const;
    HostEvents host_events();
    bool is_active(FaultKind kind) const;
    bool is_blocked(const InternalConnection& connection, Direction direction) const;
    std::optional<InternalConnection> identify(const std::string& json, size_t dialed) const;
    bool is_serving() const;
    void determine_limits_in_force();
    void read_counters();
    Outcome outcome();

    SoakOptions options_;
    asio::io_context context_;
    AddressBlock block_;
    Addresses addresses_;
    Checker checker_;
    lab::RandomStream chance_;
    Plan plan_;
    std::chrono::steady_clock::time_point start_;
    Fleet fleet_;
    std::vector<std::unique_ptr<Relay>> relays_;
    std::vector<std::unique_ptr<Host>> hosts_;
    std::unique_ptr<Platform> platform_;
    std::unique_ptr<Clients> clients_;
    std::unique_ptr<KeptClients> kept_clients_;
    std::unique_ptr<Operator> operator_;
    asio::steady_timer timer_, counter_timer_;
    asio::signal_set signals_;
    Phase phase_ = Phase::starting;
    double phase_since_ = 0, faults_start_ = 0, last_tick_ = 0, max_tick_delay_ = 0;
    size_t faults_begun_ = 0;   // number of faults of the plan that have begun
    std::vector<const Fault*> active_;
    std::vector<std::pair<uint64_t, double>> acknowledged_;   // versions with the time of acknowledgement
    std::set<std::string> reported_counters_;                 // counters that were above 0
    std::string timeline_;
    bool interrupted_ = false;
};

}   // namespace myrtleroute::soak
