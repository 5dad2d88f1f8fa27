// Simulates the client application of one proxy: makes API calls, disconnects from some of them and, while the
// matching faults are active, opens misbehaving connections to the same proxy.
#pragma once
#include <map>

#include "lab/oracle.hpp"

namespace myrtleroute::lab {

class Application : public SocketObserver {
public:
    Application(Site& site, int proxy);
    ~Application() override;
    void fault_begins(const Fault& fault);
    void fault_ends(const Fault& fault);
    void set_load_factor(double factor) { load_factor_ = factor; }
    void response_expected(uint64_t call, Time when);   // a server's response reaches the proxy then
    void stop();                                        // makes no more calls and closes idle connections
    void socket_changed(Socket& socket) override;

private:
    struct Connection;
    bool is_active(FaultKind kind) const { return active_[static_cast<size_t>(kind)] > 0; }
    double strength(FaultKind kind) const { return strength_[static_cast<size_t>(kind)]; }
    bool is_omitted(uint64_t number) const;
    void next_call();
    void call_on(uint64_t socket);
    void make_call(uint64_t number, uint64_t idle);
    Connection& connect();
    void send(Connection& connection);
    void disconnect(uint64_t socket, Time arrives = {});
    void call_finished(Connection& connection);
    void connection_lost(uint64_t socket);
    void connect_stray();
    void check_first_response(uint64_t socket, Time due);

    Site& site_;
    int proxy_;
    Machine machine_;
    RandomStream random_, arrivals_;
    uint64_t calls_made_ = 0;
    double load_factor_ = 1;
    bool stopped_ = false;
    std::map<uint64_t, std::unique_ptr<Connection>> connections_;   // by socket number
    std::vector<uint64_t> idle_;                                    // socket numbers, most recently used last
    std::map<uint64_t, uint64_t> disconnect_on_response_;           // call number -> socket number
    std::array<int, static_cast<size_t>(FaultKind::kinds)> active_{};
    std::array<double, static_cast<size_t>(FaultKind::kinds)> strength_{};
};

constexpr uint64_t call_numbers_per_proxy = 10'000'000;   // call numbers: proxy index times this, plus 1, 2, ...

}  // namespace myrtleroute::lab
