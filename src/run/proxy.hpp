// The proxy: carries out what the decisions ask for, and takes it through start, service and stop.
#pragma once
#include "run/clients.hpp"
#include "run/servers.hpp"
#include "run/shared.hpp"
#include "run/watcher.hpp"

namespace myrtleroute::run {

class Proxy : public Actions, public memory::ConnectionHandler {
public:
    Proxy(Config config, System& system, std::ostream& log = std::cerr);
    int run();      // until SIGTERM or SIGINT; the program's exit status
    bool start();   // false: it can't listen
    bool round();   // one of the loop's; false: it has ended
    Shared& state() { return s_; }   // to look at from outside

    void send(CallId call, ServerId server, Span timeout) override;
    void cancel(CallId call, int attempt) override;
    void rate_limit(CallId call, Span retry_after) override;
    void error(CallId call) override;
    void probe(ServerId server) override;
    void close_idle(ServerId server) override;
    void watch_list() override;
    void set_timer(Span after, uint64_t cookie) override;
    void log(std::string_view line, ServerId about) override;

private:
    void on_readable(memory::Connection& c) override;   // a signal
    void on_error(memory::Connection&, int) override {}
    void on_timer(memory::Connection&) override;      // the time to stop, then the time to end
    bool watch_signals();
    void read_again();
    std::string counts() const;
    void settle();
    void last_answers();

    Shared s_;
    Clients clients_;
    Servers servers_;
    Watcher watcher_;
    memory::Connection* signals_ = nullptr;
    enum { serving, stopping, closed, answered, over } phase_ = serving;
    Time end_at_;
};

}  // namespace myrtleroute::run
