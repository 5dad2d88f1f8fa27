// The applications: one for each proxy that this process serves. Each calls at the arrival times of the seed, whatever the
// outcome of earlier calls, on persistent connections, and records the answers.
#pragma once
#include <unordered_map>

#include "rig/arrivals.hpp"
#include "rig/part.hpp"

namespace myrtleroute::rig {

class Load : public Part {
public:
    Load(Experiment e, std::string directory, std::string name, int number, int of);

private:
    struct ProxyConnection;
    struct Application {
        int proxy = 0;
        sockaddr_in at{};
        bool up = false;
        std::vector<ProxyConnection*> idle;
        std::unique_ptr<Arrivals> arrivals;
    };
    void on_command(const std::string& word, std::istringstream& more) override;
    void timer_fired(uint64_t cookie) override;
    void write_results() override;
    void on_readable(memory::Connection& c) override;
    void on_error(memory::Connection& c, int error) override;
    void on_timer(memory::Connection& c) override;

    Application& application(int proxy) { return applications_[static_cast<size_t>(proxy / of_)]; }
    void call(Application& a);
    void send(Application& a, CallRecord& record, size_t index, bool new_connection);
    void check_health(Application& a);
    ProxyConnection* connect(Application& a);
    void finish_call(ProxyConnection& connection, CallOutcome how);            // ends the call on the connection
    void on_response(ProxyConnection& connection);
    void close(ProxyConnection& connection, CallOutcome how);            // closes the connection
    void report_if_done();

    int number_, of_;
    std::vector<double> rates_;
    std::vector<Application> applications_;
    std::vector<CallRecord> calls_;
    size_t in_flight_ = 0, unhealthy_ = 0, unfinished_ = 0;
    bool done_sent_ = false;
};

}  // namespace myrtleroute::rig
