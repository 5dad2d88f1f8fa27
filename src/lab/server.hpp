// Simulated server: cores, a queue, reduced capacity after a cold start, overload beyond a limit while it is cold, and
// the server faults of the scenario.
#pragma once
#include <deque>
#include <map>

#include "lab/oracle.hpp"
#include "lab/registry.hpp"

namespace myrtleroute::lab {

class Server : public SocketObserver {
public:
    Server(Site& site, Registry& registry, int slot, std::function<void()> list_changed);
    ~Server() override;
    void start(bool cold);   // starts the process and lists it as serving
    void fault_begins(const Fault& fault);
    void fault_ends(const Fault& fault);
    void set_cost_factor(double factor) { cost_factor_ = factor; }
    void socket_changed(Socket& socket) override;
    std::function<void(uint64_t call, Time arrives)> on_response;   // the response to the call arrives then

private:
    struct Connection;
    struct Job {
        uint64_t call;
        size_t attempt;   // index in the call's attempts
        uint64_t socket;
        Span work;
        Time deadline;
    };
    bool is_active(FaultKind kind) const { return active_[static_cast<size_t>(kind)] > 0; }
    double strength(FaultKind kind) const { return strength_[static_cast<size_t>(kind)]; }
    int cores() const { return 2 * (1 + slot_ / 2 % 2); }   // matches its capacity_hint in the list
    double capacity_share() const;   // of the full capacity: below 1 while it is cold
    void list(Entry::State state);
    void crash(bool connections_lost = false);   // ends the process
    void drop(Job& job);
    void restart_after(Span after, bool new_uid);
    void request_received(Connection& connection);
    void add_cold_work(uint64_t call, Span work);
    void start_jobs();   // as many as there are free cores
    void finish(Job job);
    void send(Connection& connection, std::string text, Time arrives = {});
    void reply(Connection& connection, int status, const std::string& body, const std::string& fields = {});
    void send_result(const Job& job, bool duplicate);
    void close_connection(uint64_t socket, bool reset = false);
    LabAttempt& attempt(const Job& job) { return site_.oracle.call(job.call)->attempts[job.attempt]; }
    bool connected(const Job& job) const { return connections_.count(job.socket) > 0; }

    Site& site_;
    Registry& registry_;
    int slot_;
    std::function<void()> list_changed_;
    Machine machine_;
    RandomStream random_;
    Handle listener_;
    std::string uid_;
    Time launched_{};
    bool up_ = false, listed_ = false;
    int incarnation_ = 0;   // changes at each start and crash; events of an earlier one are dropped
    int running_count_ = 0;
    double cost_factor_ = 1;
    Time overloaded_until_{};
    std::map<uint64_t, std::unique_ptr<Connection>> connections_;   // by socket number
    std::deque<Job> queued_jobs_;
    std::vector<Job> running_jobs_;
    struct ColdWork {
        Time at;
        double work;
        bool known;   // sent by a proxy that knows of the last start
    };
    std::deque<ColdWork> cold_work_;   // received within the last cold_window
    std::array<int, static_cast<size_t>(FaultKind::kinds)> active_{};
    std::array<double, static_cast<size_t>(FaultKind::kinds)> strength_{};
};

}  // namespace myrtleroute::lab
