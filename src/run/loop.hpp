// The loop: polls every connection, the thin driver that moves bytes between sockets and rings, timers.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <vector>

#include "memory/connection.hpp"
#include "run/system.hpp"
#include "run/log.hpp"
#include "time.hpp"

namespace myrtleroute::run {

class Loop {
public:
    Loop(Log& log, System& system);
    Time now() const { return now_; }
    System& system() const { return system_; }
    size_t connections() const { return polled_.size(); }
    size_t timers() const { return timers_.size(); }
    size_t unwritten_connections() const;   // connections with bytes that wait to be written
    size_t scheduled() const { return scheduled_.size(); }

    template <class C>
    C& add(std::unique_ptr<C> connection) {
        C& c = *connection;
        register_connection(std::move(connection));
        return c;
    }
    void flush(memory::Connection& c);                     // writes what it can; the rest when it may
    void poll_for_input(memory::Connection& c, bool on);
    void close(memory::Connection& c, memory::CloseReason why);      // closes it, with its log line
    void close_all(memory::CloseReason why);
    void set_timer(memory::Connection& c, Time at) { timers_.set(c, at); }
    void clear_timer(memory::Connection& c) { timers_.clear(c); }
    void schedule(Time at, uint64_t cookie) { scheduled_.push({at, next_scheduled_++, cookie}); }

    // One round: waits until something is due or has come, and hands it on. `settle` runs after every part,
    // for what must not happen inside of what caused it; `woken` gets the cookies whose time has come.
    void run_once(const std::function<void(uint64_t)>& woken, const std::function<void()>& settle);

private:
    void register_connection(std::unique_ptr<memory::Connection> c);
    void update_poll_events(memory::Connection& c);                // at what it is polled for
    void read(memory::Connection& c);
    void dispatch(memory::Connection& c, short what);
    int poll_timeout() const;

    struct ScheduledTimer {
        Time at;
        uint64_t number, cookie;
        bool operator<(const ScheduledTimer& o) const { return at != o.at ? at > o.at : number > o.number; }
    };
    Log& log_;
    System& system_;
    Time now_;
    std::vector<pollfd> polled_;
    std::vector<std::unique_ptr<memory::Connection>> connections_;   // by the same places
    std::vector<std::unique_ptr<memory::Connection>> ended_;         // until the round is over
    std::vector<std::pair<memory::Connection*, short>> ready_;
    memory::Timers timers_;
    std::priority_queue<ScheduledTimer> scheduled_;
    uint64_t next_number_ = 1, next_scheduled_ = 0;
};

}  // namespace myrtleroute::run
