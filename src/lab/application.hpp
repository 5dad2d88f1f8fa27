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
    void begins(const Fault& fault);
    void ends(const Fault& fault);
    void burst(double factor) { burst_ = factor; }
    void answer_comes(uint64_t call, Time when);   // to the proxy
    void stops();                                  // no more calls; idle connections are closed
    void socket_changed(Socket& socket) override;

private:
    struct Conn;
    bool on(FaultKind kind) const { return on_[static_cast<size_t>(kind)] > 0; }
    double how(FaultKind kind) const { return how_[static_cast<size_t>(kind)]; }
    bool left_out(uint64_t number) const;
    void next_call();
    void call_on(uint64_t socket);
    void make(uint64_t number, uint64_t idle);
    Conn& connect();
    void send(Conn& conn);
    void leave(uint64_t socket, Time arrives = {});
    void over(Conn& conn);
    void lost(uint64_t socket);
    void stranger();
    void check_owed(uint64_t socket, Time due);

    Site& site_;
    int proxy_;
    Machine machine_;
    RandomStream chance_, arrivals_;
    uint64_t made_ = 0;
    double burst_ = 1;
    bool stopped_ = false;
    std::map<uint64_t, std::unique_ptr<Conn>> conns_;    // by socket
    std::vector<uint64_t> idle_;                         // the latest used last
    std::map<uint64_t, uint64_t> leaves_as_answered_;    // socket by call
    std::array<int, static_cast<size_t>(FaultKind::kinds)> on_{};
    std::array<double, static_cast<size_t>(FaultKind::kinds)> how_{};
};

constexpr uint64_t calls_a_proxy = 10'000'000;   // numbers of calls: proxy times this, and one more each

}  // namespace myrtleroute::lab
