// One run of the soak: a fleet of real processes under the faults of a seed, with traffic, and what was found.
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
    std::string directory;   // for settings, logs and disks; it exists
    uint64_t seed = 1;
    double seconds = 20;   // with faults
    FleetSize size;
    bool planned = false;   // planned work alone, in series
    bool storm = false;     // the configuration changes without a pause, in all its parts
    size_t kept_clients = 40;
};

struct Outcome {
    bool interrupted = false;
    std::vector<Violation> violations;
    std::string summary;    // one line
    std::string timeline;   // faults and orders, a line each, with seconds of the run
};

class Soak {
public:
    // Throws std::runtime_error where no block of addresses is free.
    explicit Soak(SoakOptions options);
    Outcome run();
    std::string requests_text() const { return checker_.requests_text(); }   // comma-separated

private:
    // Waits for first answers, then faults, then waits until it serves again, reads the configuration back.
    enum class Phase { starting, faults, recovering, reading };

    double now() const;
    void note(const std::string& text);
    void open_relays();
    void open_hosts();
    void tick();
    void proceed();
    void begin(const Fault& fault);
    void end(const Fault& fault);
    void strike(const Fault& fault, size_t machine);
    bool is_active(FaultKind kind) const;
    bool holds(const Link& link, Way way) const;
    std::optional<Link> identify(const std::string& json, size_t dialed) const;
    bool serves() const;
    void settle_limits();
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
    double phase_since_ = 0, faults_at_ = 0, ticked_ = 0, latest_tick_ = 0;
    size_t begun_ = 0;   // faults of the plan
    std::vector<const Fault*> active_;
    std::vector<std::pair<uint64_t, double>> acknowledged_;   // versions, with the time
    std::set<std::string> counters_;                          // that were above 0
    std::string timeline_;
    bool interrupted_ = false;
};

}   // namespace myrtleroute::soak
