// The application beside a proxy: makes its calls, leaves some, and, by faults, shares the address with
// clients that misbehave.
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
    void response_expected(uint64_t call, Time when);   // to the proxy
    void stop();                                  // no more calls; idle connections are closed
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
    std::map<uint64_t, std::unique_ptr<Connection>> connections_;    // by socket
    std::vector<uint64_t> idle_;                         // the latest used last
    std::map<uint64_t, uint64_t> disconnect_on_response_;    // socket by call
    std::array<int, static_cast<size_t>(FaultKind::kinds)> active_{};
    std::array<double, static_cast<size_t>(FaultKind::kinds)> strength_{};
};

constexpr uint64_t call_numbers_per_proxy = 10'000'000;   // numbers of calls: proxy times this, and one more each

}  // namespace myrtleroute::lab
